package cicadaedge_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
	"github.com/creachadair/jrpc2/server"
	"github.com/google/go-cmp/cmp"
)

// startOlderRouter starts the peer interface of a router of the build before relays and brittle runners,
// which serves JSON-RPC only, and returns its address.
func (f *fleet) startOlderRouter(name string, methods handler.Map) (addr string) {
	f.t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	// Ends with the listener and its connections: a JSON-RPC server that is stopped as a call arrives panics.
	ctx := context.WithoutCancel(f.t.Context())
	go func() {
		_ = server.Loop(ctx, server.NetAccepter(ln, channel.Line), server.Static(methods), nil)
	}()
	f.t.Cleanup(func() { _ = ln.Close() })
	f.store.put("routers", name, map[string]string{"boot": name, "relay": ln.Addr().String(), "place": "p"})
	return ln.Addr().String()
}

// A router without store gets its view from one that knows nothing of the quarantine.
func TestViewOfAnOlderRouterLeavesARouterUnready(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	entry := cicadaplace.Entry{ID: r.id, Service: "svc", Addr: r.Listener.Addr().String(), DataCentre: "p", Slots: 8}
	addr := f.startOlderRouter("older", handler.Map{"view": handler.New(func(context.Context, map[string]any) map[string]any {
		return map[string]any{"ageMillis": 1, "deployment": f.doc, "runnersAgeMillis": 1, "runners": []cicadaplace.Entry{entry}}
	})})
	n := f.startNode("n1", func(cfg *cicadaedge.Config) {
		cfg.Runtime.Seeds = []string{addr}
		cfg.Store.(*storeClient).down.Store(true)
	})
	eventually(t, "the router is ready", n.Ready)
}

func TestHostCutFromRunnersDuringAnUpgrade(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("whole"))
	f.startOlderRouter("older1", handler.Map{})
	f.startOlderRouter("older2", handler.Map{})
	var cut runnerCut
	host := f.waitReady(f.startNode("n1", cut.configure))
	f.waitReady(f.startNode("n2"))
	eventually(t, "the host knows the others", func() bool { return host.RouterCount() == 4 })
	cut.begin(cutReset)
	for i := range 5 {
		if got := call(t, host, "/once/", nil, "x"); got.status != http.StatusOK {
			t.Errorf("request %d: %+v", i, got)
		}
	}
}

// Older routers place requests, and know nothing of brittle runners.
func TestOlderRouterPlacesForBrittleRunners(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Brittle", "3")
		fmt.Fprintf(w, "whole")
	})
	type oldRequest struct {
		Service string `json:"service"`
	}
	placed := make(chan string, 100)
	methods := handler.Map{"place": handler.New(func(_ context.Context, req oldRequest) map[string]any {
		placed <- req.Service
		return map[string]any{"place": 1, "runner": r.id}
	})}
	const older = 4
	for i := range older {
		f.startOlderRouter(fmt.Sprint("older", i), methods)
	}
	host := f.waitReady(f.startNode("n1"))
	eventually(t, "the host knows the older ones", func() bool { return host.RouterCount() == older+1 })
	for i := range 10 {
		if got := call(t, host, "/once/", nil, "x"); got.status != http.StatusOK {
			t.Errorf("request %d: %+v", i, got)
		}
	}
	if len(placed) == 0 {
		t.Error("no request was placed by an older router")
	}
}

// A router of the build before asks for a placement in its own words.
func TestNewerRouterPlacesForAnOlderOne(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("whole"))
	n := f.waitReady(f.startNode("n1"))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", n.peerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":7,"method":"place","params":{"service":"svc","parts":null,"tokens":10,"millis":1000,"place":"p"}}`+"\n")
	line, err := bufio.NewReader(conn).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var reply struct {
		Result struct {
			LeaseID  uint64 `json:"place"`
			RunnerID string `json:"runner"`
		} `json:"result"`
		Error *jrpc2.Error `json:"error"`
	}
	if err := json.Unmarshal(line, &reply); err != nil || reply.Error != nil {
		t.Fatalf("reply %s: %v", line, err)
	}
	if diff := cmp.Diff(r.id, reply.Result.RunnerID); diff != "" {
		t.Errorf("runner (-want +got)\n%s", diff)
	}
}

// Older routers place what is left of a stream, and know nothing of software versions.
func TestOlderRouterPlacesAStreamAtAnotherSoftwareVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	first, other := f.addVersion("v1", breakVersion("v1")), f.addVersion("v2", serveVersion("v2"))
	f.addVersion("v1", serveVersion("v1"))
	type oldRequest struct {
		Tried []string `json:"tried"`
	}
	var placed atomic.Int64
	methods := handler.Map{"place": handler.New(func(_ context.Context, req oldRequest) map[string]any {
		if len(req.Tried) == 0 {
			return map[string]any{"place": placed.Add(1), "runner": first.id}
		}
		return map[string]any{"place": placed.Add(1), "runner": other.id}
	})}
	const older = 4
	for i := range older {
		f.startOlderRouter(fmt.Sprint("older", i), methods)
	}
	host := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.Runtime.RetryBudget.Slack = 1000 }))
	eventually(t, "the host knows the older ones", func() bool { return host.RouterCount() == older+1 })
	for i := range 5 {
		got := call(t, host, "/resume/", map[string]string{"X-Tokens": "10,10", "X-Parts": fmt.Sprintf("shared%d,own", i)}, "")
		if diff := cmp.Diff([]string{"v1"}, versionsOf(got.body)); diff != "" || got.err != nil {
			t.Errorf("stream %d (-want +got), error %v:\n%s", i, got.err, diff)
		}
	}
	if placed.Load() == 0 {
		t.Error("no request was placed by an older router")
	}
}

// The streams of routers of the build before are in no row, and nothing tells which versions there were:
// another one may just have left.
func TestTakeUpOfAStreamOfAnOlderRouterGoesOnByGuess(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addVersion("v1", serveVersion("v1"))
	n := f.waitReady(f.startNode("n1"))
	eventually(t, "the store tells the versions", func() bool { return f.store.get(versionsRef).Version > 0 })
	stream := brokenStream{id: "of an older router"}
	if got := stream.takeUp(t, n); got.status != http.StatusServiceUnavailable {
		t.Errorf("goes on at version %q, status %d", versionsOf(got.body), got.status)
	}
}
