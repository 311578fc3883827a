// Package cicadademo runs a small fleet in one process, over real loopback
// sockets: platform and upstream stand-ins, routers in every place, callers
// that retry, and the faults of an ordinary bad day. A judge then works out
// from the stand-ins' own records whether the promises held.
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
	// EnvironmentConfig sets up a World.
	EnvironmentConfig struct {
		Files                fs.FS // with the documents below
		Documents            []string
		RoutersPerDataCentre int
		RandomSeed           uint64
		Logger               log.Interface
		Platform             cicadastandin.PlatformConfig
		ResponseDelay        time.Duration
		// Prepaid replaces the budgets of the documents, by fleet-wide name.
		Prepaid map[string]cicadabudget.Units
	}

	// Environment is a fleet with its surroundings.
	Environment struct {
		cfg      EnvironmentConfig
		identity *cicadapeer.Identity
		platform *cicadastandin.Platform
		baseURL  string
		engines  []*cicadastandin.Engine
		plains   []*cicadastandin.PlainService
		servers  []*http.Server

		mu      sync.Mutex // guards the fields below
		docs    map[string]*cicadadoc.Document
		routers []*cicadarouter.Router
		all     []*cicadarouter.Router
		topUps  []topUp
		gates   map[*cicadarouter.Router]*gate
	}

	// topUp is a change of a budget's prepaid total.
	topUp struct {
		budget  string
		prepaid cicadabudget.Units
		at      time.Time // before it can have had an effect
	}
)

// NewEnvironment starts stand-ins and routers and applies the documents.
func NewEnvironment(ctx context.Context, cfg EnvironmentConfig) (*Environment, error) {
	id, err := cicadapeer.IdentityFromSharedKey(sharedKey)
	if err != nil {
		return nil, err
	}
	w := &Environment{
		cfg: cfg, identity: id,
		docs: make(map[string]*cicadadoc.Document), gates: make(map[*cicadarouter.Router]*gate),
	}
	w.platform = cicadastandin.NewPlatform(cfg.Platform)
	addr, err := w.serve(w.platform.Handler())
	if err != nil {
		return nil, err
	}
	w.baseURL = "http://" + addr
	var first *cicadadoc.Document
	for _, name := range cfg.Documents {
		doc, err := w.loadDocument(name)
		if err != nil {
			return w, err
		}
		if first == nil {
			first = doc
		}
	}
	if err := w.startRouters(first); err != nil {
		return w, err
	}
	for _, doc := range maps.Clone(w.docs) {
		if err := w.Apply(ctx, doc); err != nil {
			return w, err
		}
	}
	return w, w.awaitReady(ctx)
}

// listen opens a free loopback port.
func listen() (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

func (w *Environment) serve(h http.Handler) (string, error) {
	ln, err := listen()
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// loadDocument reads a document and starts its runners on free ports.
func (w *Environment) loadDocument(name string) (*cicadadoc.Document, error) {
	text, err := fs.ReadFile(w.cfg.Files, name)
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
			if u.Runners[k].Address, err = w.startRunner(u, &u.Runners[k]); err != nil {
				return nil, err
			}
		}
	}
	for i := range doc.Budgets {
		b := &doc.Budgets[i]
		if units, ok := w.cfg.Prepaid[cicadadoc.BudgetID(doc.Service, b.Name)]; ok {
			b.Prepaid = units
		}
	}
	w.docs[doc.Service] = doc
	return doc, nil
}

func (w *Environment) startRunner(u *cicadadoc.Upstream, r *cicadadoc.Runner) (string, error) {
	if u.Kind == cicadadoc.KindPlainService {
		p := cicadastandin.NewPlainService(cicadastandin.PlainServiceConfig{Name: r.Name, Delay: w.cfg.ResponseDelay})
		w.plains = append(w.plains, p)
		return w.serve(p.Handler())
	}
	e := cicadastandin.NewEngine(cicadastandin.EngineConfig{
		Name: r.Name, Capacity: r.Capacity, TokenInterval: w.cfg.ResponseDelay, LoadReportDelay: 200 * time.Millisecond,
	})
	w.engines = append(w.engines, e)
	return w.serve(e.Handler())
}

func (w *Environment) startRouters(doc *cicadadoc.Document) error {
	for _, place := range doc.DataCentres {
		for n := range w.cfg.RoutersPerDataCentre {
			if _, err := w.StartRouter(fmt.Sprintf("%s-%d", place.Name, n+1), place); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartRouter starts one more router.
func (w *Environment) StartRouter(name string, place cicadadoc.DataCentre) (*cicadarouter.Router, error) {
	metrics := cicadarouter.NewMetrics()
	gate := &gate{Platform: cicadastore.NewClient(cicadastore.ClientConfig{BaseURL: w.baseURL, Counts: metrics.Platform})}
	cfg := cicadarouter.Config{
		Name: name, DataCentre: place.Name, Region: place.Region, OperatorToken: operatorToken, Identity: w.identity,
		Log: w.cfg.Logger, Metrics: metrics, RandomSeed: w.cfg.RandomSeed,
		Platform: gate,
	}
	for _, r := range w.Routers() {
		cfg.SeedPeers = append(cfg.SeedPeers, r.Host().PeerAddr)
	}
	for _, l := range []*net.Listener{&cfg.CallerListener, &cfg.OperatorListener, &cfg.PeerListener} {
		ln, err := listen()
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		*l = ln
	}
	r := cicadarouter.New(cfg)
	if err := r.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routers = append(w.routers, r)
	w.all = append(w.all, r)
	w.gates[r] = gate
	return r, nil
}

// SetPlatformOutage cuts one router off from the platform, or lets it reach it again.
func (w *Environment) SetPlatformOutage(r *cicadarouter.Router, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gates[r].cut.Store(cut)
}

// Apply brings a document into force through its YAML form, as the command
// line does.
func (w *Environment) Apply(ctx context.Context, doc *cicadadoc.Document) error {
	text, err := yaml.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "write document")
	}
	src, err := cicadadoc.Decode(doc.Service, text)
	if err != nil {
		return err
	}
	at := time.Now()
	client := cicadastore.NewClient(cicadastore.ClientConfig{BaseURL: w.baseURL})
	defer client.Close()
	res, err := cicadaconfig.Apply(ctx, client, src)
	if err != nil {
		return err
	}
	applied := *doc
	applied.BaseVersion = res.Version
	w.mu.Lock()
	defer w.mu.Unlock()
	w.docs[doc.Service] = &applied
	for _, b := range doc.Budgets {
		w.topUps = append(w.topUps, topUp{budget: cicadadoc.BudgetID(doc.Service, b.Name), prepaid: b.Prepaid, at: at})
	}
	return nil
}

// TopUp raises some budgets of a service by an apply.
func (w *Environment) TopUp(ctx context.Context, service string, add map[string]cicadabudget.Units) error {
	doc := *w.Document(service)
	doc.Budgets = slices.Clone(doc.Budgets)
	for i := range doc.Budgets {
		doc.Budgets[i].Prepaid += add[doc.Budgets[i].Name]
	}
	return w.Apply(ctx, &doc)
}

// Document returns the document of a service that was applied last. It must not
// be changed.
func (w *Environment) Document(service string) *cicadadoc.Document {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.docs[service]
}

func (w *Environment) awaitReady(ctx context.Context) error {
	for _, r := range w.Routers() {
		for len(r.Snapshot().Services()) < len(w.docs) {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "routers not ready")
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Routers returns the routers that run.
func (w *Environment) Routers() []*cicadarouter.Router {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*cicadarouter.Router(nil), w.routers...)
}

// Platform returns the platform stand-in.
func (w *Environment) Platform() *cicadastandin.Platform { return w.platform }

// Engines returns the engine stand-ins.
func (w *Environment) Engines() []*cicadastandin.Engine { return w.engines }

// PlainServices returns the stand-ins of plain services.
func (w *Environment) PlainServices() []*cicadastandin.PlainService { return w.plains }

// OperatorToken returns the operators' token of the routers.
func (w *Environment) OperatorToken() string { return operatorToken }

// Bills returns every bill in the platform's record.
func (w *Environment) Bills() ([]cicadaledger.Bill, error) {
	var out []cicadaledger.Bill
	for _, row := range w.platform.TableRows(cicadastore.TableBatch) {
		rec, err := cicadaledger.DecodeRecord(row.Value)
		if err != nil {
			return nil, err
		}
		for i := range rec.Batches {
			for _, s := range rec.Batches[i].Operations {
				out = append(out, s.Bills...)
			}
		}
	}
	return out, nil
}

// remove takes a router off the balancer and out of the running ones.
func (w *Environment) remove(r *cicadarouter.Router) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.routers {
		if x == r {
			w.routers = append(w.routers[:i], w.routers[i+1:]...)
			return
		}
	}
}

// StopRouter stops a router as planned. The balancer sends it callers until it
// has read that the router is not ready.
func (w *Environment) StopRouter(ctx context.Context, r *cicadarouter.Router) error {
	time.AfterFunc(balancerLag, func() { w.remove(r) })
	return r.Stop(ctx)
}

// KillRouter ends a router as a crash does.
func (w *Environment) KillRouter(r *cicadarouter.Router) {
	time.AfterFunc(balancerLag, func() { w.remove(r) })
	r.Kill()
}

// balancerLag is how late the balancer notices that a router is gone.
const balancerLag = 300 * time.Millisecond

// Close stops every router as planned, and the stand-ins.
func (w *Environment) Close(ctx context.Context) error {
	var first error
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, r := range w.Routers() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := r.Stop(ctx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = err
				}
			}
		}()
	}
	wg.Wait()
	return first
}

// CloseStandIns ends the stand-ins' servers.
func (w *Environment) CloseStandIns() {
	for _, s := range w.servers {
		_ = s.Close()
	}
}
