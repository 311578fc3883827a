package cicadarouter_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/goccy/go-yaml"
)

// BenchmarkAdmission measures the core operations of one request: reserving units,
// choosing one of 18 runners, and settling.
func BenchmarkAdmission(b *testing.B) {
	allocations := cicadabudget.NewAllocations(2 * time.Second)
	table := cicadaroute.NewTable("r1", 1)
	var runners []cicadaroute.Runner
	for i := range 18 {
		runners = append(runners, cicadaroute.Runner{
			Name: fmt.Sprint(i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), DataCentre: fmt.Sprint(i % 4), Capacity: 16,
		})
	}
	table.SetUpstream("u", runners)
	req := &cicadaroute.Request{Upstream: "u", DataCentre: "0", LocalFirst: true, PrefixHash: 5}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		allocations.AddGrant("budget", 100)
		reservation, shortfall := allocations.Reserve("budget", 100, now)
		if shortfall != nil {
			b.Fatal("short")
		}
		addr, err := table.Choose(req, now)
		if err != nil {
			b.Fatal(err)
		}
		table.RequestStarted(addr)
		table.RequestFinished(addr, false, now)
		if err := allocations.Settle(reservation, 40); err != nil {
			b.Fatal(err)
		}
		allocations.ConfirmBilled("budget", 40)
	}
}

// singleRouter is one router with one engine.
type singleRouter struct {
	router *cicadarouter.Router
	engine *httptest.Server
}

func newSingleRouter(b *testing.B, budgets int, tokenInterval time.Duration) *singleRouter {
	b.Helper()
	platform := cicadastandin.NewPlatform(cicadastandin.PlatformConfig{RandomSeed: 1, WritesPerSecond: 300, ReadsPerSecond: 2000})
	server := httptest.NewServer(platform.Handler())
	engine := httptest.NewServer(cicadastandin.NewEngine(cicadastandin.EngineConfig{Name: "e", Capacity: 1000, TokenInterval: tokenInterval}).Handler())
	b.Cleanup(engine.Close)
	b.Cleanup(server.Close)
	if _, err := cicadaconfig.Apply(b.Context(), platform, newDocument(b, budgets, engine.Listener.Addr().String())); err != nil {
		b.Fatal(err)
	}
	id, err := cicadapeer.IdentityFromSharedKey("shared key of the benchmark")
	if err != nil {
		b.Fatal(err)
	}
	cfg := cicadarouter.Config{
		Name: "r1", DataCentre: "p1", Region: "east", Identity: id, Log: &log.Logger{Handler: discard.New()},
		Platform: cicadastore.NewClient(cicadastore.ClientConfig{BaseURL: server.URL}), OperatorToken: "op",
	}
	for _, l := range []*net.Listener{&cfg.CallerListener, &cfg.OperatorListener, &cfg.PeerListener} {
		if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
	}
	r := cicadarouter.New(cfg)
	if err := r.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(r.Kill)
	<-r.Ready()
	return &singleRouter{router: r, engine: engine}
}

// newDocument returns a service document with n organisations with one budget each.
func newDocument(tb testing.TB, n int, engine string) *cicadadoc.Source {
	tb.Helper()
	doc := cicadadoc.Document{
		Schema: cicadadoc.Schema, Service: "svc",
		DataCentres: []cicadadoc.DataCentre{{Name: "p1", Region: "east"}},
		Upstreams: []cicadadoc.Upstream{{
			Name: "e", Kind: cicadadoc.KindModelEngine, Models: []string{"m"},
			Runners: []cicadadoc.Runner{{Name: "e1", Address: engine, DataCentre: "p1", Capacity: 1000}},
		}},
		Rules: cicadadoc.Rules{Preference: cicadadoc.PreferNoOverspend},
	}
	for i := range n {
		name := fmt.Sprintf("org-%d", i)
		doc.Organisations = append(doc.Organisations, cicadadoc.Organisation{
			Name: name, KeyDigests: []string{cicadaconfig.KeyDigest("key-" + name)},
		})
		doc.Budgets = append(doc.Budgets, cicadadoc.Budget{Name: name + "-2026", Organisation: name, Prepaid: 1_000_000_000})
	}
	text, err := yaml.Marshal(doc)
	if err != nil {
		tb.Fatal(err)
	}
	src, err := cicadadoc.Decode("svc.yaml", text)
	if err != nil {
		tb.Fatal(err)
	}
	return src
}

func loadConfig(l *singleRouter, rate float64, d time.Duration, direct bool) cicadaload.RunConfig {
	cfg := cicadaload.RunConfig{
		Targets: []string{baseURL(l.router)}, Model: "m", Rate: rate, Duration: d, MaxTokens: 10, PromptWords: 10, Stream: true,
		RandomSeed: 1, Timeout: 20 * time.Second, DirectToEngine: direct,
		Organisations: []cicadaload.Organisation{{Name: "org-0", APIKey: "key-org-0"}},
	}
	if direct {
		cfg.Targets = []string{l.engine.URL}
	}
	return cfg
}

func newLoadCaller() *cicadaload.Caller { return cicadaload.NewCaller(512, &http.Transport{}) }

// BenchmarkAddedFirstToken compares the time to first token through a router with
// that of direct requests to the engine, at 200 requests per second, in the same
// run.
func BenchmarkAddedFirstToken(b *testing.B) {
	l := newSingleRouter(b, 10, 5*time.Millisecond)
	caller := newLoadCaller()
	defer caller.Close()
	cicadaload.Run(b.Context(), loadConfig(l, 200, time.Second, false), caller) // open connections and allocate units
	for b.Loop() {
		direct := cicadaload.Run(context.Background(), loadConfig(l, 200, 5*time.Second, true), caller)
		routed := cicadaload.Run(context.Background(), loadConfig(l, 200, 5*time.Second, false), caller)
		b.ReportMetric(direct.FirstToken.P99, "directP99ms")
		b.ReportMetric(direct.FirstToken.P50, "directP50ms")
		b.ReportMetric(routed.FirstToken.P50-direct.FirstToken.P50, "addedP50ms")
		b.ReportMetric(routed.FirstToken.P99-direct.FirstToken.P99, "addedP99ms")
		b.ReportMetric(float64(routed.Verdicts[cicadaload.Complete])/float64(routed.Sent), "whole")
	}
}

// BenchmarkShortRequests sends 2,000 short requests per second to one router. A
// growing queue would show as more open requests in the second half.
func BenchmarkShortRequests(b *testing.B) {
	l := newSingleRouter(b, 10, 0)
	caller := newLoadCaller()
	defer caller.Close()
	cicadaload.Run(b.Context(), loadConfig(l, 200, time.Second, false), caller)
	for b.Loop() {
		first := cicadaload.Run(context.Background(), loadConfig(l, 2000, 4*time.Second, false), caller)
		second := cicadaload.Run(context.Background(), loadConfig(l, 2000, 4*time.Second, false), caller)
		b.ReportMetric(float64(first.PeakInFlight), "openFirstHalf")
		b.ReportMetric(float64(second.PeakInFlight), "openSecondHalf")
		b.ReportMetric(second.Total.P99, "p99ms")
		b.ReportMetric(float64(second.Verdicts[cicadaload.Complete])/float64(second.Sent), "whole")
		b.ReportMetric(float64(second.Sent)/second.Seconds, "requests/s")
	}
}
