package cicadaedge_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

// endedRunner is a runner whose process ends in the middle of a response that ends with its connection.
type endedRunner struct {
	*killableListener
	wrote, ended chan struct{}
}

func (f *fleet) addEndedRunner() *endedRunner {
	f.t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	r := &endedRunner{killableListener: &killableListener{Listener: ln}, wrote: make(chan struct{}, 10), ended: make(chan struct{})}
	f.addRawRunnerOn(r, func(c *rawConn, req *http.Request) bool {
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents[:len(unframedEvents)/2])
		r.wrote <- struct{}{}
		<-r.ended
		return false
	})
	return r
}

// end ends the connections and then the listener, as the kernel does for a killed process.
func (r *endedRunner) end(t *testing.T) {
	t.Helper()
	r.kill(t)
	if err := r.Close(); err != nil {
		t.Error(err)
	}
	close(r.ended)
}

// The kernel ends the connections of a process that is gone in order.
func TestEndOfARunnerLooksLikeTheEndOfItsResponse(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
		for name, relayed := range map[string]bool{"direct": false, "through another router": true} {
			t.Run(strings.Trim(path, "/")+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				r := f.addEndedRunner()
				f.addRunner(refuseNotRun)
				var cut runnerCut
				host := f.waitReady(f.startNode("n1", cut.configure))
				if relayed {
					f.waitReady(f.startNode("n2"))
					eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
					cut.begin(cutReset)
				}
				got := make(chan response, 1)
				go func() { got <- callUntilRun(t, host, path, r) }()
				<-r.wrote
				time.Sleep(50 * time.Millisecond) // the relay passes it on
				r.end(t)
				if res := <-got; res.status == http.StatusOK && res.err == nil {
					t.Errorf("part of a response looks complete: %q", res.body)
				}
			})
		}
	}
}

// A draining runner ends as planned, with a response that it has not finished.
func TestEndOfADrainingRunnerLooksLikeTheEndOfItsResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addEndedRunner()
	metrics := cicadaedge.NewMetrics()
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.Metrics = metrics }))
	got := make(chan response, 1)
	go func() { got <- callUntilRun(t, n, "/stream/", r) }()
	<-r.wrote
	state := n.Runners()[0]
	f.store.put(tableRunners, state.ID, cicadaplace.Entry{
		ID: state.ID, Service: "svc", Addr: state.Addr, DataCentre: "p", Slots: 8, SoftwareVersion: "v1", Draining: true,
	})
	eventually(t, "the runner is known to drain", func() bool { return n.Runners()[0].Draining })
	r.end(t)
	if res := <-got; res.status == http.StatusOK && res.err == nil {
		t.Errorf("part of a response looks complete: %q", res.body)
	}
	if diff := cmp.Diff(int64(0), metrics.Crashes.Value()); diff != "" {
		t.Errorf("crashes (-want +got)\n%s", diff)
	}
}

// callUntilRun calls until a runner that refuses nothing has the request.
func callUntilRun(t *testing.T, n *node, path string, r *endedRunner) response {
	t.Helper()
	for {
		got := call(t, n, path, nil, "x")
		if got.status != http.StatusServiceUnavailable {
			return got
		}
		select {
		case <-r.ended:
			return got
		default:
		}
	}
}

// A stream whose runner has ended goes on at another one if it may be resumed.
func TestStreamOfAnEndedRunnerIsNotResumed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addEndedRunner()
	next := f.addRunner(nil)
	next.setHandler(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if req.Header.Get("X-After") == "" {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeEvents(w, 2, 3)
	})
	n := f.waitReady(f.startNode("n1"))
	got := make(chan response, 1)
	go func() { got <- callUntilRun(t, n, "/resume/", r) }()
	<-r.wrote
	r.end(t)
	res := <-got
	if diff := cmp.Diff("id: 1\ndata: a\n\nid: 2\ndata: e2\n\n", res.body); diff != "" || res.err != nil {
		t.Errorf("stream (-want +got), error %v:\n%s", res.err, diff)
	}
}
