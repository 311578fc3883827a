// Package cicadarouter implements the router process. It serves callers, runs
// the homes of its budget partitions, and communicates with peers, upstreams and
// the platform.
//
// A request passes through admission (API key, limits, claim of the idempotency
// key, reservation of units), routing, one or more attempts, and settlement, each
// in its own file. Handlers contain little logic: the core packages make the
// decisions.
package cicadarouter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadafleet"
	"github.com/cicadadyke/cicadadyke/internal/cicadahome"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/cicadadyke/cicadadyke/internal/cicadasession"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
)

const (
	// maxTrailsPerClass is the maximum number of retained audit trails, for
	// completed and for failed requests each.
	maxTrailsPerClass = 2048
	// loadPollInterval is the time between two load polls of a runner.
	loadPollInterval = 500 * time.Millisecond
	// unitReturnTimeout is the maximum time for returning units at a planned stop.
	unitReturnTimeout = 10 * time.Second
)

type (
	// Config configures a Router. The listeners must already be open, so that
	// their addresses are known before the start.
	Config struct {
		Name             string
		DataCentre       string
		Region           string
		Incarnation      uint64 // increases with each start on this host; zero selects the current time in milliseconds
		CallerListener   net.Listener
		OperatorListener net.Listener
		PeerListener     net.Listener
		CallerTLS        *TLSFiles // nil serves plain HTTP
		OperatorTLS      *TLSFiles
		OperatorToken    string
		Platform         cicadastore.Platform
		Identity         *cicadapeer.Identity
		SeedPeers        []string // addresses of peers to contact while the platform is unavailable
		RandomSeed       uint64   // seed of the random choices
		Log              log.Interface
		Metrics          *Metrics // nil creates new metrics
	}

	// Router is one router process. Stop or Kill ends its goroutines.
	Router struct {
		cfg            Config
		self           cicadastore.Host
		metrics        *Metrics
		fleet          *cicadafleet.Fleet
		home           *cicadahome.Home
		session        *cicadasession.Manager
		watcher        *cicadaconfig.Watcher
		upstreamClient *cicadaupstream.Client
		peerClient     *cicadapeer.Client
		peerServer     *cicadapeer.Server
		trails         *cicadatrail.Store
		responses      *responseStore
		limits         *orgLimiter
		retries        *retryBudget
		httpServers    []*http.Server

		ctx            context.Context // cancelled when the router stops
		cancel         context.CancelFunc
		wg             sync.WaitGroup
		activeRequests sync.WaitGroup
		stopping       atomic.Bool
		requestSeq     atomic.Uint64
		done           chan struct{}

		tableMu sync.Mutex // guards table
		table   *cicadaroute.Table

		quarantine    *cicadaquarantine.Quarantine
		crashDetector *cicadacrash.Detector[string] // by address
		blocksMu      sync.Mutex                    // guards loggedBlocks
		loggedBlocks  map[string]bool
	}
)

// New returns a router that has not been started.
func New(cfg Config) *Router {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	cfg.Log = cfg.Log.WithField("router", cfg.Name)
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		cfg:       cfg,
		metrics:   cfg.Metrics,
		ctx:       ctx,
		cancel:    cancel,
		trails:    cicadatrail.NewStore(cfg.Name, maxTrailsPerClass),
		responses: newResponseStore(),
		limits:    newOrgLimiter(),
		retries:   newRetryBudget(),
		table:     cicadaroute.NewTable(cfg.Name, cfg.RandomSeed),

		quarantine: cicadaquarantine.New(cicadaquarantine.Config{}),
		done:       make(chan struct{}),
		self: cicadastore.Host{
			Name: cfg.Name, DataCentre: cfg.DataCentre, Region: cfg.Region, Incarnation: cfg.Incarnation,
			State:        cicadastore.HostLive,
			PeerAddr:     cfg.PeerListener.Addr().String(),
			OperatorAddr: cfg.OperatorListener.Addr().String(),
			CallerAddr:   cfg.CallerListener.Addr().String(),
		},
	}
	r.initComponents()
	return r
}

func (r *Router) initComponents() {
	m := r.metrics
	r.crashDetector = cicadacrash.NewDetector(cicadacrash.Config[string]{Go: r.runTask, Check: r.checkBroken})
	r.peerClient = cicadapeer.NewClient(cicadapeer.ClientConfig{
		Identity: r.cfg.Identity, BytesReceived: &m.PeerBytesIn, BytesSent: &m.PeerBytesOut, Calls: m.PeerCalls,
	})
	r.upstreamClient = cicadaupstream.New(cicadaupstream.Config{OnLoad: r.recordLoad})
	r.watcher = cicadaconfig.NewWatcher(cicadaconfig.WatcherConfig{
		Platform: r.cfg.Platform, Log: r.cfg.Log, FetchFromPeers: r.fetchConfigFromPeers,
	}, r.applyConfig)
	r.fleet = cicadafleet.New(cicadafleet.Config{
		Self: r.self, Platform: r.cfg.Platform, Client: r.peerClient, Log: r.cfg.Log, Counts: m.Fleet, SeedPeers: r.cfg.SeedPeers,
		ConfigSeq:         func() uint64 { return r.watcher.Current().Seq() },
		OnPeerConfigSeq:   r.watcher.NotifySeq,
		DrainingRunners:   r.drainingRunners,
		OnDrainingRunners: r.markRunnersDraining,
		Crashes:           r.knownCrashes,
		OnCrashes:         r.mergeCrashes,
	})
	r.home = cicadahome.New(cicadahome.Config{
		Platform: r.cfg.Platform, Fleet: r.fleet, RecoverySource: &recoverySource{r: r}, Self: r.fleet.RouterID(), Region: r.cfg.Region, PeerAddr: r.self.PeerAddr,
		CommitInterval: r.fleet.CommitInterval,
		KeyWindow:      r.maxKeyWindow,
		MaxRunTime:     r.maxRequestDeadline,
		Log:            r.cfg.Log, Counts: m.Home,
	})
	r.session = cicadasession.New(cicadasession.Config{
		HomeClient: r.fleet, Self: r.fleet.RouterID(), Region: r.cfg.Region, FlushInterval: r.fleet.CommitInterval,
		Log: r.cfg.Log, Counts: m.Session, Now: time.Now, OnDeclaredEnded: r.stopDeclaredEnded,
	})
	r.peerServer = cicadapeer.NewServer(cicadapeer.ServerConfig{
		Listener: r.cfg.PeerListener, Identity: r.cfg.Identity, Handler: &peerHandler{r: r}, Log: r.cfg.Log,
		BytesReceived: &m.PeerBytesIn, BytesSent: &m.PeerBytesOut,
	})
}

// Start starts serving and returns without waiting for the configuration. Ready
// reports when callers are served.
func (r *Router) Start() error {
	callers, err := r.newServer(r.callerMux(), r.cfg.CallerTLS)
	if err != nil {
		return err
	}
	operators, err := r.newServer(r.operatorMux(), r.cfg.OperatorTLS)
	if err != nil {
		return err
	}
	guard := r.newGuard()
	callers.ConnState = guard.ConnState
	r.httpServers = []*http.Server{callers, operators}
	r.peerServer.Start()
	r.fleet.Start(r.home)
	r.home.Start()
	r.watcher.Start()
	r.serveHTTP(callers, guard.Listen(r.cfg.CallerListener))
	r.serveHTTP(operators, r.cfg.OperatorListener)
	r.wg.Add(1)
	go r.pollLoads()
	r.cfg.Log.WithField("callers", r.self.CallerAddr).WithField("operators", r.self.OperatorAddr).
		WithField("peers", r.self.PeerAddr).Info("router started")
	return nil
}

// Ready returns a channel that is closed once a configuration is in force.
func (r *Router) Ready() <-chan struct{} { return r.watcher.Ready() }

// Done returns a channel that is closed when the router has stopped.
func (r *Router) Done() <-chan struct{} { return r.done }

// Host returns the router's entry of the host list.
func (r *Router) Host() cicadastore.Host { return r.self }

// Metrics returns the router's counters.
func (r *Router) Metrics() *Metrics { return r.metrics }

// Snapshot returns the configuration in force.
func (r *Router) Snapshot() *cicadaconfig.Snapshot { return r.watcher.Current() }

// Stop shuts the router down gracefully: it accepts no new requests, lets active
// requests finish, returns unused units and releases its homes. It stops waiting
// when ctx is done.
func (r *Router) Stop(ctx context.Context) error {
	if r.stopping.Swap(true) {
		<-r.done
		return nil
	}
	r.cfg.Log.Info("router is stopping: waiting for active requests to finish")
	r.fleet.SetDraining()
	err := r.awaitActiveRequests(ctx)
	returnCtx, cancel := context.WithTimeout(ctx, unitReturnTimeout)
	defer cancel()
	if closeErr := r.session.Close(returnCtx); err == nil {
		err = closeErr
	}
	r.home.Shutdown()
	r.close()
	return err
}

func (r *Router) awaitActiveRequests(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		r.activeRequests.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stop before all active requests finished")
	}
}

// stopDeclaredEnded stops a router whose units were recovered while it was
// partitioned or paused. A new process has to be started in its place.
func (r *Router) stopDeclaredEnded() {
	r.cfg.Log.Error("this router process was declared ended while it was unreachable, and its units were recovered; stopping, start a new process")
	go r.Kill()
}

// Kill stops the router like a crash: connections are closed and no units are
// returned.
func (r *Router) Kill() {
	if r.stopping.Swap(true) {
		<-r.done
		return
	}
	r.cancel()
	for _, s := range r.httpServers {
		_ = s.Close()
	}
	r.home.Close()
	r.session.Abandon()
	r.close()
}

// close releases what both Stop and Kill release.
func (r *Router) close() {
	r.cancel()
	for _, s := range r.httpServers {
		_ = s.Close()
	}
	r.watcher.Close()
	r.fleet.Close()
	r.peerServer.Close()
	r.peerClient.Close()
	r.upstreamClient.Close()
	r.wg.Wait()
	close(r.done)
	r.cfg.Log.Info("router ended")
}

func (r *Router) serveHTTP(s *http.Server, l net.Listener) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		var err error
		if s.TLSConfig != nil {
			err = s.ServeTLS(l, "", "")
		} else {
			err = s.Serve(l)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			r.cfg.Log.WithError(err).Error("HTTP listener failed")
		}
	}()
}

// routerID identifies this process to upstreams.
func (r *Router) routerID() cicadaledger.RouterID { return r.fleet.RouterID() }

// maxKeyWindow returns the longest idempotency key window of all services, as a
// partition holds budgets of several services.
func (r *Router) maxKeyWindow() time.Duration {
	d := cicadadoc.DefaultKeyWindow
	for _, s := range r.watcher.Current().Services() {
		d = max(d, time.Duration(s.Rules().KeyWindow))
	}
	return d
}

// maxRequestDeadline returns the longest request deadline of all services.
func (r *Router) maxRequestDeadline() time.Duration {
	var d time.Duration
	for _, s := range r.watcher.Current().Services() {
		d = max(d, time.Duration(s.Rules().RequestDeadline))
	}
	if d == 0 {
		return cicadadoc.DefaultRequestDeadline
	}
	return d
}
