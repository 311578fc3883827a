// Package cicadademo runs a small fleet in one process over loopback sockets:
// stand-ins for the platform and the upstreams, routers in every data centre,
// callers that retry, and common faults. A verifier then checks the system's
// guarantees against the stand-ins' own records.
package cicadademo

import (
	"context"
	"fmt"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

const (
	operatorToken = "demo-operator"
	sharedKey     = "shared key of the demo's routers"
	headerTimeout = 5 * time.Second
)

type (
	// EnvironmentConfig configures an Environment.
	EnvironmentConfig struct {
		Files                fs.FS // with the documents below
		Documents            []string
		RoutersPerDataCentre int
		RandomSeed           uint64
		Logger               log.Interface
		Platform             cicadastandin.PlatformConfig
		ResponseDelay        time.Duration // between two tokens of an engine, and before the response of a plain service
		// Prepaid overrides prepaid totals of the documents, by budget id.
		Prepaid map[string]cicadabudget.Units
	}

	// Environment is a fleet of routers with stand-ins for the platform and the
	// upstreams.
	Environment struct {
		cfg           EnvironmentConfig
		identity      *cicadapeer.Identity
		platform      *cicadastandin.Platform
		platformURL   string
		engines       []*cicadastandin.Engine
		plainServices []*cicadastandin.PlainService

		mu             sync.Mutex // guards the fields below
		servers        []*http.Server
		crashes        []time.Time // of engines
		documents      map[string]*cicadadoc.Document
		routers        []*cicadarouter.Router
		allRouters     []*cicadarouter.Router
		prepaidChanges []prepaidChange
		platforms      map[*cicadarouter.Router]*faultyPlatform
	}

	// prepaidChange is a change of a budget's prepaid total.
	prepaidChange struct {
		budget  string
		prepaid cicadabudget.Units
		at      time.Time // before the change could take effect
	}
)

// NewEnvironment starts the stand-ins and routers, and applies the documents.
func NewEnvironment(ctx context.Context, cfg EnvironmentConfig) (*Environment, error) {
	id, err := cicadapeer.IdentityFromSharedKey(sharedKey)
	if err != nil {
		return nil, err
	}
	env := &Environment{
		cfg: cfg, identity: id,
		documents: make(map[string]*cicadadoc.Document), platforms: make(map[*cicadarouter.Router]*faultyPlatform),
	}
	env.platform = cicadastandin.NewPlatform(cfg.Platform)
	addr, err := env.startServer(env.platform.Handler())
	if err != nil {
		return nil, err
	}
	env.platformURL = "http://" + addr
	var firstDoc *cicadadoc.Document
	for _, name := range cfg.Documents {
		doc, err := env.loadDocument(name)
		if err != nil {
			return env, err
		}
		if firstDoc == nil {
			firstDoc = doc
		}
	}
	if err := env.startRouters(firstDoc); err != nil {
		return env, err
	}
	for _, doc := range maps.Clone(env.documents) {
		if err := env.Apply(ctx, doc); err != nil {
			return env, err
		}
	}
	return env, env.awaitReady(ctx)
}

func listen(addr string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", addr)
}

func (env *Environment) startServer(h http.Handler) (string, error) {
	ln, err := listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	env.serve(ln, h)
	return ln.Addr().String(), nil
}

func (env *Environment) serve(ln net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	env.mu.Lock()
	env.servers = append(env.servers, s)
	env.mu.Unlock()
	go func() { _ = s.Serve(ln) }()
	return s
}

// loadDocument reads a document, starts its runners on free ports and sets their
// addresses.
func (env *Environment) loadDocument(name string) (*cicadadoc.Document, error) {
	text, err := fs.ReadFile(env.cfg.Files, name)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	src, err := cicadadoc.Decode(name, text)
	if err != nil {
		return nil, err
	}
	doc := src.Document()
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		for k := range u.Runners {
			if u.Runners[k].Address, err = env.startRunner(u, &u.Runners[k]); err != nil {
				return nil, err
			}
		}
	}
	for i := range doc.Budgets {
		b := &doc.Budgets[i]
		if units, ok := env.cfg.Prepaid[cicadadoc.BudgetID(doc.Service, b.Name)]; ok {
			b.Prepaid = units
		}
	}
	env.documents[doc.Service] = doc
	return doc, nil
}

func (env *Environment) startRunner(u *cicadadoc.Upstream, r *cicadadoc.Runner) (string, error) {
	if u.Kind == cicadadoc.KindPlainService {
		return env.startPlainService(cicadastandin.PlainServiceConfig{Name: r.Name, Delay: env.cfg.ResponseDelay})
	}
	return env.startEngine(cicadastandin.EngineConfig{
		Name: r.Name, Capacity: r.Capacity, TokenInterval: env.cfg.ResponseDelay, LoadReportDelay: 200 * time.Millisecond,
	})
}

// startPlainService starts a plain service that may end, and another process in its place.
func (env *Environment) startPlainService(cfg cicadastandin.PlainServiceConfig) (string, error) {
	ln, err := listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	var server atomic.Pointer[http.Server]
	cfg.End = func() { _ = server.Load().Close() }
	var p *cicadastandin.PlainService
	cfg.StartAgain = func() {
		if again, err := listen(ln.Addr().String()); err == nil {
			server.Store(env.serve(again, p.Handler()))
		}
	}
	p = cicadastandin.NewPlainService(cfg)
	env.plainServices = append(env.plainServices, p)
	server.Store(env.serve(ln, p.Handler()))
	return ln.Addr().String(), nil
}

func (env *Environment) startRouters(doc *cicadadoc.Document) error {
	for _, dataCentre := range doc.DataCentres {
		for n := range env.cfg.RoutersPerDataCentre {
			if _, err := env.StartRouter(fmt.Sprintf("%s-%d", dataCentre.Name, n+1), dataCentre); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartRouter starts an additional router.
func (env *Environment) StartRouter(name string, dataCentre cicadadoc.DataCentre) (*cicadarouter.Router, error) {
	metrics := cicadarouter.NewMetrics()
	platform := &faultyPlatform{Platform: cicadastore.NewClient(cicadastore.ClientConfig{BaseURL: env.platformURL, Counts: metrics.Platform})}
	cfg := cicadarouter.Config{
		Name: name, DataCentre: dataCentre.Name, Region: dataCentre.Region, OperatorToken: operatorToken, Identity: env.identity,
		Log: env.cfg.Logger, Metrics: metrics, RandomSeed: env.cfg.RandomSeed,
		Platform: platform,
	}
	for _, r := range env.Routers() {
		cfg.SeedPeers = append(cfg.SeedPeers, r.Host().PeerAddr)
	}
	for _, l := range []*net.Listener{&cfg.CallerListener, &cfg.OperatorListener, &cfg.PeerListener} {
		ln, err := listen("127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		*l = ln
	}
	r := cicadarouter.New(cfg)
	if err := r.Start(); err != nil {
		return nil, err
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.routers = append(env.routers, r)
	env.allRouters = append(env.allRouters, r)
	env.platforms[r] = platform
	return r, nil
}

// SetPlatformOutage starts or ends an outage of the platform for one router.
func (env *Environment) SetPlatformOutage(r *cicadarouter.Router, outage bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.platforms[r].outage.Store(outage)
}

// Apply applies a document through its YAML form, as the command line does.
func (env *Environment) Apply(ctx context.Context, doc *cicadadoc.Document) error {
	text, err := yaml.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "encode document as YAML")
	}
	src, err := cicadadoc.Decode(doc.Service, text)
	if err != nil {
		return err
	}
	at := time.Now()
	client := cicadastore.NewClient(cicadastore.ClientConfig{BaseURL: env.platformURL})
	defer client.Close()
	res, err := cicadaconfig.Apply(ctx, client, src)
	if err != nil {
		return err
	}
	applied := *doc
	applied.BaseVersion = res.Version
	env.mu.Lock()
	defer env.mu.Unlock()
	env.documents[doc.Service] = &applied
	for _, b := range doc.Budgets {
		env.prepaidChanges = append(env.prepaidChanges, prepaidChange{budget: cicadadoc.BudgetID(doc.Service, b.Name), prepaid: b.Prepaid, at: at})
	}
	return nil
}

// TopUp raises the prepaid totals of a service's budgets by applying a changed
// document.
func (env *Environment) TopUp(ctx context.Context, service string, add map[string]cicadabudget.Units) error {
	doc := *env.Document(service)
	doc.Budgets = slices.Clone(doc.Budgets)
	for i := range doc.Budgets {
		doc.Budgets[i].Prepaid += add[doc.Budgets[i].Name]
	}
	return env.Apply(ctx, &doc)
}

// Document returns the last applied document of a service. The caller must not
// modify it.
func (env *Environment) Document(service string) *cicadadoc.Document {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.documents[service]
}

func (env *Environment) awaitReady(ctx context.Context) error {
	for _, r := range env.Routers() {
		for len(r.Snapshot().Services()) < len(env.documents) || !r.State().Ready {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "wait until all routers have loaded the documents")
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Routers returns the routers behind the load balancer.
func (env *Environment) Routers() []*cicadarouter.Router {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]*cicadarouter.Router(nil), env.routers...)
}

// Platform returns the platform stand-in.
func (env *Environment) Platform() *cicadastandin.Platform { return env.platform }

// Engines returns the engine stand-ins.
func (env *Environment) Engines() []*cicadastandin.Engine { return env.engines }

// PlainServices returns the stand-ins of plain services.
func (env *Environment) PlainServices() []*cicadastandin.PlainService { return env.plainServices }

// Identity returns the identity by which the routers know each other.
func (env *Environment) Identity() *cicadapeer.Identity { return env.identity }

// OperatorToken returns the token for the routers' operator endpoints.
func (env *Environment) OperatorToken() string { return operatorToken }

// Bills returns all bills in the store's batch records.
func (env *Environment) Bills() ([]cicadaledger.Bill, error) {
	var out []cicadaledger.Bill
	for _, row := range env.platform.TableRows(cicadastore.TableBatch) {
		rec, err := cicadaledger.DecodeRecord(row.Value)
		if err != nil {
			return nil, err
		}
		for i := range rec.Batches {
			for _, op := range rec.Batches[i].Operations {
				out = append(out, op.Bills...)
			}
		}
	}
	return out, nil
}

// removeRouter removes a router from the load balancer.
func (env *Environment) removeRouter(r *cicadarouter.Router) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for i, x := range env.routers {
		if x == r {
			env.routers = append(env.routers[:i], env.routers[i+1:]...)
			return
		}
	}
}

// StopRouter stops a router gracefully. The load balancer still sends it requests
// until balancerDelay has passed.
func (env *Environment) StopRouter(ctx context.Context, r *cicadarouter.Router) error {
	time.AfterFunc(balancerDelay, func() { env.removeRouter(r) })
	return r.Stop(ctx)
}

// KillRouter stops a router abruptly, as a crash does.
func (env *Environment) KillRouter(r *cicadarouter.Router) {
	time.AfterFunc(balancerDelay, func() { env.removeRouter(r) })
	r.Kill()
}

// balancerDelay is the time until the load balancer detects that a router is not
// ready.
const balancerDelay = 300 * time.Millisecond

// Close stops all routers gracefully and returns the first error. The stand-ins
// keep running.
func (env *Environment) Close(ctx context.Context) error {
	var firstErr error
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, r := range env.Routers() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := r.Stop(ctx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				if firstErr == nil {
					firstErr = err
				}
			}
		}()
	}
	wg.Wait()
	return firstErr
}

// CloseStandIns closes the stand-ins' servers.
func (env *Environment) CloseStandIns() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, s := range env.servers {
		_ = s.Close()
	}
}
