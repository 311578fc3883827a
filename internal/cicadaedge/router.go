package cicadaedge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaadmission"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadaresume"
	"github.com/cicadadyke/cicadadyke/internal/cicadaretry"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// drainDelay is how long a stopping router still accepts connections: the platform checks
	// readiness once a second and stops sending after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// killMargin is the time kept free between the end of a planned stop and the kill.
	killMargin = 500 * time.Millisecond
	// finalAnswerMargin is the time kept free in a planned stop for the answers to requests that it ends.
	finalAnswerMargin = 250 * time.Millisecond
	// defaultIdleTimeout applies to idle connections until a configuration sets another value.
	defaultIdleTimeout = 60 * time.Second
	// announceRetryDelay is the delay after a failed write of this router's row.
	announceRetryDelay = 500 * time.Millisecond
	// announceInterval is the minimum time between two writes of this router's row.
	announceInterval = time.Second
)

// Router is a router process.
type Router struct {
	cfg         Config
	balancer    *cicadaplace.Balancer
	accounts    *cicadabudget.Accounts
	retries     *cicadaretry.Budget
	clock       *cicadalimit.Clock
	limits      *cicadalimit.Limits
	link        *cicadaadmission.Link
	dialer      *runnerDialer
	transports  *runnerTransports
	relayServer *relayServer
	guards
	buffers         *bodyBuffers
	requestBuffers  *bodyBuffers
	poolSyncer      *poolSyncer
	eraTracker      *eraTracker
	peers           *peerSet
	placementServer *placementServer
	placementClient *placementClient
	peerClients     *peerClients
	borrower        *borrower

	settings     atomic.Pointer[RuntimeSettings]
	deployment   atomic.Pointer[cicadadeploy.Snapshot]
	deploymentMu sync.Mutex // serialises changes of deployment
	evacuations  evacuations

	deploymentWatcher, runnerWatcher *tableWatcher
	// unusableEntries are the reasons logged why entries name no usable runners, by id. Only runnerWatcher
	// uses it.
	unusableEntries map[string]string
	// peerDeploymentAt and peerRunnersAt are the times at which the deployment and the runners
	// received from other routers were current.
	peerDeploymentAt, peerRunnersAt atomicTime

	// announceSignal requests another write of this router's row.
	announceSignal signal

	quarantine *cicadaquarantine.Quarantine
	// peerClock estimates the shared time by what other routers tell, until the store has answered.
	peerClock     *cicadalimit.Clock
	crashDetector *cicadacrash.Detector[*cicadaplace.Runner]
	breakTracker  *breakTracker
	// heartbeatsHidden is when a live runner was last found not to write its entry, see recordAlive.
	heartbeatsHidden atomicTime
	// quarantineLoaded is set once the crashes that other processes reported are known.
	quarantineLoaded atomic.Bool
	// crashRowRead is set once this router's own row of crashes was read, which it may then overwrite.
	crashRowRead atomic.Bool
	// crashSignal requests another write of this router's crashes. crashEra increases when the store
	// may have lost them.
	crashSignal  signal
	crashEra     atomic.Uint64
	blocksMu     sync.Mutex      // guards loggedBlocks
	loggedBlocks map[string]bool // blocks whose begin was logged

	// streams holds where the streams began that this router forwards.
	streams    *cicadaresume.Streams
	streamRows *streamRows
	versions   *versionTracker

	shares   routerShares
	stopping atomic.Bool
	// requests is cancelled at the end of a planned stop, which ends the requests in progress.
	requests     context.Context
	endRequests  context.CancelCauseFunc
	callerServer *http.Server
	healthServer *http.Server
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
}

// New returns a router. Start makes it run.
func New(cfg Config) *Router {
	clock := &cicadalimit.Clock{}
	limits := cicadalimit.New(clock)
	link := cicadaadmission.NewLink(cfg.LinkMbps)
	rt := &Router{
		cfg: cfg,
		balancer: cicadaplace.NewBalancer(cicadaplace.Config{
			DataCentre: cfg.DataCentre, HoldPeriod: cfg.HoldPeriod, HeartbeatInterval: cfg.HeartbeatInterval, Limits: limits,
			Regions: cfg.Regions,
		}),
		clock:          clock,
		limits:         limits,
		accounts:       cicadabudget.NewAccounts(),
		retries:        cicadaretry.NewBudget(cfg.Runtime.RetryBudget),
		link:           link,
		guards:         newGuards(&cfg),
		buffers:        newBodyBuffers(cfg.MemoryLimitBytes, responseMemoryShare),
		requestBuffers: newBodyBuffers(cfg.MemoryLimitBytes, requestMemoryShare),

		announceSignal: newSignal(),
		crashSignal:    newSignal(),
		peerClock:      &cicadalimit.Clock{},
		quarantine:     cicadaquarantine.New(cicadaquarantine.Config{}),
		streams:        cicadaresume.NewStreams(),

		unusableEntries: map[string]string{},
	}
	rt.requests, rt.endRequests = context.WithCancelCause(context.Background())
	rt.dialer = newRunnerDialer(rt)
	rt.transports = newRunnerTransports(cfg.Metrics, link, rt.dialer)
	rt.relayServer = &relayServer{rt: rt}
	peerAddr := ""
	if cfg.PeerListener != nil {
		peerAddr = cfg.PeerListener.Addr().String()
	}
	rt.accounts.SetRoutersUnknown()
	rt.settings.Store(&cfg.Runtime)
	rt.peers = newPeerSet(peer{name: cfg.Name, addr: peerAddr, dataCentre: cfg.DataCentre}, cfg.Runtime.Seeds)
	rt.eraTracker = &eraTracker{rt: rt}
	rt.poolSyncer = newPoolSyncer(rt)
	rt.placementServer = newPlacementServer(rt.balancer)
	rt.peerClients = newPeerClients(rt)
	rt.placementClient = newPlacementClient(rt)
	rt.borrower = newBorrower(rt)
	rt.streamRows = newStreamRows(rt)
	rt.versions = newVersionTracker(rt)
	rt.breakTracker = newBreakTracker(rt)
	rt.crashDetector = cicadacrash.NewDetector(cicadacrash.Config[*cicadaplace.Runner]{Go: rt.runTask, Check: rt.checkBroken})
	return rt
}

// Start starts the table watchers, the background tasks and the listeners.
func (rt *Router) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	rt.cancel = cancel
	rt.cfg.Log.WithField("host", rt.cfg.Name).WithField("place", rt.cfg.DataCentre).WithField("boot", rt.cfg.BootID).Info("start")
	rt.deploymentWatcher = rt.watchTable(ctx, watchConfig{
		table: rt.cfg.Sources.DeploymentTable, maxWait: deploymentMaxWait, interval: fixedInterval(0), apply: rt.applyOperatorRows,
	})
	rt.runnerWatcher = rt.watchTable(ctx, watchConfig{
		table: rt.cfg.Sources.RunnerTable, maxWait: tableMaxWait, interval: fixedInterval(runnerInterval), apply: rt.applyRunners,
		onLost: rt.balancer.StoreUnavailable, onRecovered: rt.balancer.StoreRecovered,
	})
	rt.watchTable(ctx, watchConfig{table: tablePools, maxWait: tableMaxWait, interval: rt.poolInterval, apply: rt.applyPools})
	rt.watchTable(ctx, watchConfig{table: tableRouters, maxWait: tableMaxWait, interval: routerInterval, apply: rt.applyRouters})
	rt.watchTable(ctx, watchConfig{table: tableCrashes, maxWait: crashMaxWait, interval: fixedInterval(crashInterval), apply: rt.applyCrashes})
	rt.runTask(func() { rt.poolSyncer.run(ctx) })
	rt.runTask(func() { rt.announce(ctx) })
	rt.runTask(func() { rt.reportCrashes(ctx) })
	rt.runTask(func() { rt.versions.run(ctx) })
	rt.runTask(func() { rt.streamRows.run(ctx) })
	if rt.cfg.PeerListener != nil {
		rt.runTask(func() { rt.servePeers(ctx) })
		rt.runTask(func() { rt.pollPeers(ctx) })
		rt.runTask(func() { rt.borrower.run(ctx) })
	}
	rt.callerServer = rt.callerGuard.NewServer(rt)
	rt.callerServer.IdleTimeout = defaultIdleTimeout
	rt.callerServer.ConnState = rt.trackState
	rt.callerServer.ConnContext = withCallerConn
	rt.healthServer = rt.healthGuard.NewServer(rt.healthMux())
	rt.runTask(func() {
		rt.serveListener(rt.callerServer, &callerListener{Listener: rt.callerGuard.Listen(rt.cfg.CallerListener), rt: rt})
	})
	rt.runTask(func() { rt.serveListener(rt.healthServer, rt.healthGuard.Listen(rt.cfg.HealthListener)) })
}

// ApplySettings replaces the runtime settings. Listeners and held units are not affected.
func (rt *Router) ApplySettings(s RuntimeSettings) {
	rt.settings.Store(&s)
	rt.retries.Configure(s.RetryBudget)
	if d := rt.deployment.Load(); d != nil {
		rt.applyWarmups(d.Document())
	}
	rt.peers.setSeeds(s.Seeds)
}

func (rt *Router) runTask(task func()) {
	rt.tasks.Add(1)
	go func() {
		defer rt.tasks.Done()
		task()
	}()
}

func (rt *Router) serveListener(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		rt.cfg.Log.WithError(err).Error("HTTP listener failed")
	}
}

func (rt *Router) healthMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rt.cfg.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !rt.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", rt.cfg.Metrics)
	mux.HandleFunc("GET /state", rt.serveState)
	return mux
}

// Ready reports whether the router takes new callers: it has a configuration and runners, knows which
// requests are in quarantine, is not stopping, and its link is not overloaded.
func (rt *Router) Ready() bool {
	return !rt.stopping.Load() && !rt.linkOverloaded() && rt.deployment.Load() != nil && rt.balancer.Len() > 0 && rt.quarantineLoaded.Load()
}

// announce writes this router's row until the store accepts it, and again when the rate limits in
// it have changed or the store was restored from a backup.
func (rt *Router) announce(ctx context.Context) {
	ref := cicadastore.Ref{Table: tableRouters, Key: rt.cfg.Name}
	rt.requestAnnounce()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rt.announceSignal:
		}
		value, err := json.Marshal(routerRow{
			BootID: rt.cfg.BootID, PeerAddr: rt.peers.self.addr, DataCentre: rt.cfg.DataCentre, Limits: rt.limits.Reports(time.Now()),
		})
		if err != nil {
			rt.cfg.Log.WithError(err).Error("failed to encode this router's row")
			return
		}
		if _, err := rt.cfg.Store.Commit(ctx, cicadastore.Txn{Writes: []cicadastore.Write{{Ref: ref, Value: value}}}); err != nil {
			rt.cfg.Log.WithError(err).Info("failed to write this router's row; retrying")
			sleep(ctx, announceRetryDelay)
			rt.requestAnnounce()
			continue
		}
		sleep(ctx, announceInterval)
	}
}

func (rt *Router) requestAnnounce() { rt.announceSignal.send() }

// deploymentAge returns the time since the current configuration was last known to be the newest.
func (rt *Router) deploymentAge(now time.Time) time.Duration {
	return min(rt.deploymentWatcher.age(now), rt.peerDeploymentAt.age(now))
}

func (rt *Router) runnersAge(now time.Time) time.Duration {
	return min(rt.runnerWatcher.age(now), rt.peerRunnersAt.age(now))
}

func (rt *Router) serveState(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	state := struct {
		Host            string                       `json:"host"`
		Boot            string                       `json:"boot"`
		Version         uint64                       `json:"deployVersion"`
		DeployAgeMillis int64                        `json:"deployAgeMillis"`
		Evacuated       []string                     `json:"evacuated"`
		Routers         int                          `json:"routers"`
		Retries         map[string]cicadaretry.Count `json:"retries"`    // by service
		RetrySlack      float64                      `json:"retrySlack"` // share of the slack, in retries for each window
		Accounts        []cicadabudget.AccountState  `json:"accounts"`
		Runners         []cicadaplace.RunnerState    `json:"runners"`
		Quarantine      []cicadaquarantine.Block     `json:"quarantine"`
	}{
		Host: rt.cfg.Name, Boot: rt.cfg.BootID, DeployAgeMillis: rt.deploymentAge(now).Milliseconds(), Evacuated: rt.evacuations.list(), Routers: rt.peers.count(),
		Accounts: rt.accounts.State(now), Runners: rt.balancer.State(now),
		Quarantine: rt.quarantine.Blocks(rt.sharedTime()), Retries: rt.retries.Counts(), RetrySlack: rt.retries.SlackShare(),
	}
	if d := rt.deployment.Load(); d != nil {
		state.Version = d.Version()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		rt.cfg.Log.WithError(err).Warn("failed to write the state response")
	}
}

// Stop performs a planned stop: it accepts no new connections once the platform has noticed, lets
// requests in progress finish and returns free units to the pools.
func (rt *Router) Stop() {
	startedAt := time.Now()
	deadline := startedAt.Add(rt.cfg.StopTimeout - killMargin)
	rt.stopping.Store(true)
	rt.cfg.Log.WithField("inFlight", rt.cfg.Metrics.InFlight.String()).Info("stop")
	rt.accounts.Drain()
	rt.poolSyncer.wake()
	endTimer := time.AfterFunc(time.Until(deadline)-finalAnswerMargin, func() { rt.endRequests(errStopping) })
	defer endTimer.Stop()
	time.Sleep(min(drainDelay, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := rt.callerServer.Shutdown(ctx); err != nil {
		rt.cfg.Log.WithError(err).WithField("inFlight", rt.cfg.Metrics.InFlight.String()).Warn("requests still in progress at the stop deadline are aborted")
	}
	rt.relayServer.wait(ctx)
	rt.cancel()
	<-rt.poolSyncer.done
	rt.poolSyncer.returnUnits(ctx)
	if err := rt.healthServer.Close(); err != nil {
		rt.cfg.Log.WithError(err).Warn("failed to close the health listener")
	}
	rt.transports.close()
	rt.peerClients.close()
	rt.cfg.Log.WithField("millis", time.Since(startedAt).Milliseconds()).Info("stopped")
}

// Runners returns the state of the known runners.
func (rt *Router) Runners() []cicadaplace.RunnerState { return rt.balancer.State(time.Now()) }

// Accounts returns the units that the router holds of each budget.
func (rt *Router) Accounts() []cicadabudget.AccountState { return rt.accounts.State(time.Now()) }

// ConfigVersion returns the version of the current configuration, or 0 if there is none.
func (rt *Router) ConfigVersion() uint64 {
	if d := rt.deployment.Load(); d != nil {
		return d.Version()
	}
	return 0
}

// RouterCount returns the number of known routers, this one included.
func (rt *Router) RouterCount() int { return rt.peers.count() }
