package cicadaedge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaretry"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// noticeTime is how long a stopping router still takes new connections: the
	// platform asks for readiness each second and stops sending after two misses.
	noticeTime = 2500 * time.Millisecond
	// killMargin is kept between the end of a planned stop and the kill.
	killMargin = 500 * time.Millisecond
	// defaultIdle is used until the configuration bounds idle connections.
	defaultIdle = 60 * time.Second
	// defaultHeaderTime bounds reading a header where the configuration does not.
	defaultHeaderTime = 10 * time.Second
	// announceRetry lies between two tries to write the router's own row.
	announceRetry = 500 * time.Millisecond
	// announcePause lies between two writings of it.
	announcePause = time.Second
	maxHeaderRead = 64 << 10
)

// Router is a router process.
type Router struct {
	cfg       Config
	fleet     *cicadaplace.Balancer
	accounts  *cicadabudget.Accounts
	retries   *cicadaretry.Budget
	clock     *cicadalimit.Clock
	limits    *cicadalimit.Limits
	upstreams *upstreams
	held      *heldAnswers
	bank      *bank
	eras      *eras
	peers     *peers
	desk      *desk
	desks     *desks
	links     *links
	borrower  *borrower

	bounds   atomic.Pointer[RuntimeSettings]
	deploy   atomic.Pointer[cicadadeploy.Snapshot]
	deployMu sync.Mutex // orders changes of deploy

	deployments, runners *follower
	// peerViewAt and peerRunnersAt are how current the views of other routers
	// were.
	peerViewAt, peerRunnersAt instant

	// announced asks for this router's row to be written again.
	announced signal

	stopping atomic.Bool
	callers  *http.Server
	health   *http.Server
	cancel   context.CancelFunc
	parts    sync.WaitGroup
}

// New returns a router that Start begins.
func New(cfg Config) *Router {
	clock := &cicadalimit.Clock{}
	limits := cicadalimit.New(clock)
	rt := &Router{
		cfg: cfg,
		fleet: cicadaplace.NewBalancer(cicadaplace.Config{
			DataCentre: cfg.DataCentre, HoldPeriod: cfg.HoldPeriod, HeartbeatInterval: cfg.HeartbeatInterval, Limits: limits,
		}),
		clock:     clock,
		limits:    limits,
		accounts:  cicadabudget.NewAccounts(),
		retries:   cicadaretry.NewBudget(cfg.Runtime.RetryBudget),
		upstreams: newUpstreams(cfg.Metrics),
		held:      newHeldAnswers(cfg.MemoryLimitBytes),

		announced: newSignal(),
	}
	relay := ""
	if cfg.PeerListener != nil {
		relay = cfg.PeerListener.Addr().String()
	}
	rt.accounts.SetRoutersUnknown()
	rt.bounds.Store(&cfg.Runtime)
	rt.peers = newPeers(peer{name: cfg.Name, addr: relay, place: cfg.DataCentre}, cfg.Runtime.Seeds)
	rt.eras = &eras{rt: rt}
	rt.bank = newBank(rt)
	rt.desk = newDesk(rt.fleet)
	rt.links = newLinks(rt)
	rt.desks = newDesks(rt)
	rt.borrower = newBorrower(rt)
	return rt
}

// Start begins to follow the store and to serve.
func (rt *Router) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	rt.cancel = cancel
	rt.cfg.Log.WithField("host", rt.cfg.Name).WithField("place", rt.cfg.DataCentre).WithField("boot", rt.cfg.BootID).Info("start")
	rt.deployments = rt.follow(ctx, followConfig{
		table: rt.cfg.Sources.DeploymentTable, wait: deploymentWait, pause: always(0), take: rt.takeDeployment,
	})
	rt.runners = rt.follow(ctx, followConfig{
		table: rt.cfg.Sources.RunnerTable, wait: tableWait, pause: always(runnerPause), take: rt.takeRunners,
		lost: rt.fleet.StoreUnavailable, back: rt.fleet.StoreRecovered,
	})
	rt.follow(ctx, followConfig{table: tablePools, wait: tableWait, pause: rt.poolsPause, take: rt.takePools})
	rt.follow(ctx, followConfig{table: tableRouters, wait: tableWait, pause: routersPause, take: rt.takeRouters})
	rt.goPart(func() { rt.bank.run(ctx) })
	rt.goPart(func() { rt.announce(ctx) })
	if rt.cfg.PeerListener != nil {
		rt.goPart(func() { rt.serveRelay(ctx) })
		rt.goPart(func() { rt.askPeers(ctx) })
		rt.goPart(func() { rt.borrower.run(ctx) })
	}
	rt.callers = rt.server(rt)
	rt.callers.IdleTimeout = defaultIdle
	rt.callers.ConnState = noteState
	rt.health = rt.server(rt.healthMux())
	rt.goPart(func() { rt.serve(rt.callers, &callerListener{Listener: rt.cfg.CallerListener, rt: rt}) })
	rt.goPart(func() { rt.serve(rt.health, rt.cfg.HealthListener) })
}

// ApplySettings puts changed settings in force. What the router listens on and holds
// stays.
func (rt *Router) ApplySettings(b RuntimeSettings) {
	rt.bounds.Store(&b)
	rt.retries.Configure(b.RetryBudget)
	rt.peers.setSeeds(b.Seeds)
}

func (rt *Router) goPart(run func()) {
	rt.parts.Add(1)
	go func() {
		defer rt.parts.Done()
		run()
	}()
}

func (rt *Router) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTime, MaxHeaderBytes: maxHeaderRead,
		ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}
}

func (rt *Router) serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		rt.cfg.Log.WithError(err).Error("listener ended")
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

// Ready tells whether the router takes requests: it knows a configuration and
// runners, and is not stopping.
func (rt *Router) Ready() bool {
	return !rt.stopping.Load() && rt.deploy.Load() != nil && rt.fleet.Len() > 0
}

// announce writes the router's own row until the store has taken it, and again when
// the limits that it heard have changed or the store has come back from an older copy.
func (rt *Router) announce(ctx context.Context) {
	ref := cicadastore.Ref{Table: tableRouters, Key: rt.cfg.Name}
	rt.announceAgain()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rt.announced:
		}
		value, err := json.Marshal(routerRow{
			Boot: rt.cfg.BootID, Relay: rt.peers.self.addr, Place: rt.cfg.DataCentre, Limits: rt.limits.Reports(time.Now()),
		})
		if err != nil {
			rt.cfg.Log.WithError(err).Error("own row not encoded")
			return
		}
		if _, err := rt.cfg.Store.Commit(ctx, cicadastore.Txn{Writes: []cicadastore.Write{{Ref: ref, Value: value}}}); err != nil {
			rt.cfg.Log.WithError(err).Info("own row not written, it is tried again")
			pause(ctx, announceRetry)
			rt.announceAgain()
			continue
		}
		pause(ctx, announcePause)
	}
}

func (rt *Router) announceAgain() { rt.announced.send() }

// deployAge is the time since the configuration in force was known to be the
// newest.
func (rt *Router) deployAge(now time.Time) time.Duration {
	return min(rt.deployments.age(now), rt.peerViewAt.age(now))
}

func (rt *Router) runnersAge(now time.Time) time.Duration {
	return min(rt.runners.age(now), rt.peerRunnersAt.age(now))
}

func (rt *Router) serveState(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	state := struct {
		Host            string                      `json:"host"`
		Boot            string                      `json:"boot"`
		Version         uint64                      `json:"deployVersion"`
		DeployAgeMillis int64                       `json:"deployAgeMillis"`
		Routers         int                         `json:"routers"`
		Accounts        []cicadabudget.AccountState `json:"accounts"`
		Runners         []cicadaplace.RunnerState   `json:"runners"`
	}{
		Host: rt.cfg.Name, Boot: rt.cfg.BootID, DeployAgeMillis: rt.deployAge(now).Milliseconds(), Routers: rt.peers.count(),
		Accounts: rt.accounts.State(now), Runners: rt.fleet.State(now),
	}
	if d := rt.deploy.Load(); d != nil {
		state.Version = d.Version()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		rt.cfg.Log.WithError(err).Warn("state not written")
	}
}

// Stop ends the router as planned: no new connections once the platform has
// noticed, requests in progress finish, free units are given back.
func (rt *Router) Stop() {
	began := time.Now()
	end := began.Add(rt.cfg.StopTimeout - killMargin)
	rt.stopping.Store(true)
	rt.cfg.Log.WithField("inFlight", rt.cfg.Metrics.InFlight.String()).Info("stop")
	rt.accounts.Drain()
	rt.bank.wake()
	time.Sleep(min(noticeTime, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := rt.callers.Shutdown(ctx); err != nil {
		rt.cfg.Log.WithError(err).WithField("inFlight", rt.cfg.Metrics.InFlight.String()).Warn("requests cut at the end of the stop")
	}
	rt.cancel()
	<-rt.bank.done
	rt.bank.giveBack(ctx)
	if err := rt.health.Close(); err != nil {
		rt.cfg.Log.WithError(err).Warn("health listener not closed")
	}
	rt.upstreams.close()
	rt.links.close()
	rt.cfg.Log.WithField("millis", time.Since(began).Milliseconds()).Info("stopped")
}

// Runners describes the runners that the router knows.
func (rt *Router) Runners() []cicadaplace.RunnerState { return rt.fleet.State(time.Now()) }

// Accounts describes what the router holds of each budget.
func (rt *Router) Accounts() []cicadabudget.AccountState { return rt.accounts.State(time.Now()) }

// ConfigVersion returns the version of the configuration in force, or 0.
func (rt *Router) ConfigVersion() uint64 {
	if d := rt.deploy.Load(); d != nil {
		return d.Version()
	}
	return 0
}

// RouterCount returns the number of routers that this one knows, itself included.
func (rt *Router) RouterCount() int { return rt.peers.count() }
