// Package cicadarouter is the router process: it answers callers, runs the
// homes of its budget partitions, and talks to peers, upstreams and platform.
//
// A request passes admission (key, limits, claim, reservation), routing, one or
// more attempts, and settlement, each in a file of its own. Handlers are thin:
// the decisions are made by the packages of the core.
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
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadafleet"
	"github.com/cicadadyke/cicadadyke/internal/cicadahome"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/cicadadyke/cicadadyke/internal/cicadasession"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
)

const (
	// trailsKept bounds the explained requests, plain and notable each.
	trailsKept = 2048
	// loadPoll is the time between two polls of a runner's load.
	loadPoll = 500 * time.Millisecond
	// returnTimeout bounds the return of units at a planned stop.
	returnTimeout = 10 * time.Second
)

type (
	// Config sets up a Router. The listeners are open already, so that the
	// caller knows their addresses.
	Config struct {
		Name             string
		DataCentre       string
		Region           string
		Incarnation      uint64 // larger at each start of this host; zero for the clock's
		CallerListener   net.Listener
		OperatorListener net.Listener
		PeerListener     net.Listener
		CallerTLS        *TLSFiles // nil for plain HTTP
		OperatorTLS      *TLSFiles
		OperatorToken    string
		Platform         cicadastore.Platform
		Identity         *cicadapeer.Identity
		SeedPeers        []string // peer addresses to ask while the platform is away
		RandomSeed       uint64   // of random choices
		Log              log.Interface
		Metrics          *Metrics // nil for new ones
	}

	// Router is one router process. Its goroutines end at Stop or Kill.
	Router struct {
		cfg     Config
		self    cicadastore.Host
		metrics *Metrics
		fleet   *cicadafleet.Fleet
		home    *cicadahome.Home
		session *cicadasession.Manager
		watcher *cicadaconfig.Watcher
		runners *cicadaupstream.Client
		peers   *cicadapeer.Client
		server  *cicadapeer.Server
		trails  *cicadatrail.Store
		kept    *answerStore
		limits  *limiter
		retries *retryBudget
		http    []*http.Server

		ctx      context.Context // ends with the process
		cancel   context.CancelFunc
		wg       sync.WaitGroup
		jobs     sync.WaitGroup
		stopping atomic.Bool
		requests atomic.Uint64
		done     chan struct{}

		tableMu sync.Mutex // guards table
		table   *cicadaroute.Table
	}
)

// New returns a router that has not started.
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
		cfg:     cfg,
		metrics: cfg.Metrics,
		ctx:     ctx,
		cancel:  cancel,
		trails:  cicadatrail.NewStore(cfg.Name, trailsKept),
		kept:    newAnswerStore(),
		limits:  newLimiter(),
		retries: newRetryBudget(),
		table:   cicadaroute.NewTable(cfg.Name, cfg.RandomSeed),
		done:    make(chan struct{}),
		self: cicadastore.Host{
			Name: cfg.Name, DataCentre: cfg.DataCentre, Region: cfg.Region, Incarnation: cfg.Incarnation,
			State:        cicadastore.HostLive,
			PeerAddr:     cfg.PeerListener.Addr().String(),
			OperatorAddr: cfg.OperatorListener.Addr().String(),
			CallerAddr:   cfg.CallerListener.Addr().String(),
		},
	}
	r.build()
	return r
}

func (r *Router) build() {
	m := r.metrics
	r.peers = cicadapeer.NewClient(cicadapeer.ClientConfig{Identity: r.cfg.Identity, BytesReceived: &m.PeerBytesIn, BytesSent: &m.PeerBytesOut, Calls: m.PeerCalls})
	r.runners = cicadaupstream.New(cicadaupstream.Config{OnLoad: r.heardLoad})
	r.watcher = cicadaconfig.NewWatcher(cicadaconfig.WatcherConfig{
		Platform: r.cfg.Platform, Log: r.cfg.Log, FetchFromPeers: r.configFromPeers,
	}, r.configChanged)
	r.fleet = cicadafleet.New(cicadafleet.Config{
		Self: r.self, Platform: r.cfg.Platform, Client: r.peers, Log: r.cfg.Log, Counts: m.Fleet, SeedPeers: r.cfg.SeedPeers,
		ConfigSeq:         func() uint64 { return r.watcher.Current().Seq() },
		OnPeerConfigSeq:   r.watcher.NotifySeq,
		DrainingRunners:   r.leavingRunners,
		OnDrainingRunners: r.heardLeaving,
	})
	r.home = cicadahome.New(cicadahome.Config{
		Platform: r.cfg.Platform, Fleet: r.fleet, RecoverySource: &evidence{r: r}, Self: r.fleet.RouterID(), Region: r.cfg.Region, PeerAddr: r.self.PeerAddr,
		CommitInterval: r.fleet.CommitInterval,
		KeyWindow:      r.keyWindow,
		MaxRunTime:     r.runWindow,
		Log:            r.cfg.Log, Counts: m.Home,
	})
	r.session = cicadasession.New(cicadasession.Config{
		HomeClient: r.fleet, Self: r.fleet.RouterID(), Region: r.cfg.Region, FlushInterval: r.fleet.CommitInterval,
		Log: r.cfg.Log, Counts: m.Session, Now: time.Now, OnDeclaredEnded: r.declaredEnded,
	})
	r.server = cicadapeer.NewServer(cicadapeer.ServerConfig{
		Listener: r.cfg.PeerListener, Identity: r.cfg.Identity, Handler: &peerHandler{r: r}, Log: r.cfg.Log,
		BytesReceived: &m.PeerBytesIn, BytesSent: &m.PeerBytesOut,
	})
}

// Start begins to serve. It returns at once; Ready tells when callers are
// served.
func (r *Router) Start() error {
	callers, err := r.newServer(r.callerMux(), r.cfg.CallerTLS)
	if err != nil {
		return err
	}
	operators, err := r.newServer(r.operatorMux(), r.cfg.OperatorTLS)
	if err != nil {
		return err
	}
	r.http = []*http.Server{callers, operators}
	r.server.Start()
	r.fleet.Start(r.home)
	r.home.Start()
	r.watcher.Start()
	r.serveHTTP(callers, r.cfg.CallerListener)
	r.serveHTTP(operators, r.cfg.OperatorListener)
	r.wg.Add(1)
	go r.pollLoads()
	r.cfg.Log.WithField("callers", r.self.CallerAddr).WithField("operators", r.self.OperatorAddr).
		WithField("peers", r.self.PeerAddr).Info("router started")
	return nil
}

// Ready is closed once the configuration is in force.
func (r *Router) Ready() <-chan struct{} { return r.watcher.Ready() }

// Done is closed when the router has ended.
func (r *Router) Done() <-chan struct{} { return r.done }

// Host returns the router's entry of the host list.
func (r *Router) Host() cicadastore.Host { return r.self }

// Metrics returns the router's counters.
func (r *Router) Metrics() *Metrics { return r.metrics }

// Snapshot returns the configuration in force.
func (r *Router) Snapshot() *cicadaconfig.Snapshot { return r.watcher.Current() }

// Stop ends the router as planned: no new work, requests in progress finish,
// units and homes are given back. It gives up when ctx ends.
func (r *Router) Stop(ctx context.Context) error {
	if r.stopping.Swap(true) {
		<-r.done
		return nil
	}
	r.cfg.Log.Info("stopping: finishing requests in progress")
	r.fleet.SetDraining()
	err := r.awaitJobs(ctx)
	returnCtx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	if closeErr := r.session.Close(returnCtx); err == nil {
		err = closeErr
	}
	r.home.Shutdown()
	r.close()
	return err
}

func (r *Router) awaitJobs(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		r.jobs.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests were still in progress")
	}
}

// declaredEnded ends a router whose units were given to others while it was cut
// off or paused. A new process takes its place.
func (r *Router) declaredEnded() {
	r.cfg.Log.Error("this process was declared ended while it was away; it stops, start it anew")
	go r.Kill()
}

// Kill ends the router as a crash does: connections break, nothing is returned.
func (r *Router) Kill() {
	if r.stopping.Swap(true) {
		<-r.done
		return
	}
	r.cancel()
	for _, s := range r.http {
		_ = s.Close()
	}
	r.home.Close()
	r.session.Abandon()
	r.close()
}

// close ends what Stop and Kill end alike.
func (r *Router) close() {
	r.cancel()
	for _, s := range r.http {
		_ = s.Close()
	}
	r.watcher.Close()
	r.fleet.Close()
	r.server.Close()
	r.peers.Close()
	r.runners.Close()
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
			r.cfg.Log.WithError(err).Error("listener failed")
		}
	}()
}

// holder is this process as upstreams see it.
func (r *Router) holder() cicadaledger.RouterID { return r.fleet.RouterID() }

// keyWindow is the longest window of any service: partitions hold budgets of
// several.
func (r *Router) keyWindow() time.Duration {
	d := cicadadoc.DefaultKeyWindow
	for _, s := range r.watcher.Current().Services() {
		d = max(d, time.Duration(s.Rules().KeyWindow))
	}
	return d
}

// runWindow is the longest time that a request of any service may run.
func (r *Router) runWindow() time.Duration {
	var d time.Duration
	for _, s := range r.watcher.Current().Services() {
		d = max(d, time.Duration(s.Rules().RequestDeadline))
	}
	if d == 0 {
		return cicadadoc.DefaultRequestDeadline
	}
	return d
}
