package cicadasoak_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPausedRouterStartsStreamsElsewhere pauses a router for longer than a runner may be silent. The
// runners go on meanwhile, so their streams wait in its sockets when it continues.
func TestPausedRouterStartsStreamsElsewhere(t *testing.T) {
	const (
		streams  = 24
		events   = 40
		interval = 50 * time.Millisecond
	)
	binary := buildRouter(t)
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	s.store.putRow("op", "config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "resume", "Host": host, "Prefix": "/stream/", "Kind": "streaming", "DeadlineMs": 20_000, "CanResume": true,
			"LatencyTargetMs": 500, "GapTargetMs": 200, "Service": "svc", "MaxAttempts": 3,
		}},
		"Services": []any{map[string]any{"Name": "svc", "MaxConns": 200}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	})
	var runs atomic.Int32
	for i := range 3 {
		id := fmt.Sprint("i-", i)
		r := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			runs.Add(1)
			w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
			w.Header().Set("Response-Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
			for n := after; n < events; n++ {
				fmt.Fprintf(w, "%s", streamEvent("x", n+1))
				w.(http.Flusher).Flush()
				time.Sleep(interval)
			}
		}))
		t.Cleanup(r.CloseClientConnections)
		s.store.putRow("servers", id, map[string]any{
			"Service": "svc", "Address": r.Listener.Addr().String(), "Zone": "z", "Version": "1", "Slots": 16, "State": "ready", "Seq": 1,
		})
	}
	s.addRouter(binary, t.TempDir())
	r := s.routers[0]
	ready := func() bool {
		resp, err := s.stream(r, "ready")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	}
	for end := time.Now().Add(10 * time.Second); !ready(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the router does not serve requests within 10 s")
		}
	}
	runs.Store(0)
	var callers sync.WaitGroup
	var whole atomic.Int32
	for i := range streams {
		callers.Go(func() {
			resp, err := s.stream(r, fmt.Sprint("x", i))
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if body, err := io.ReadAll(resp.Body); err == nil && string(body) == longStreamBody(events) {
				whole.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		s.freeze(r, 600*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
	}
	callers.Wait()
	if diff := cmp.Diff([]int32{streams, streams}, []int32{whole.Load(), runs.Load()}); diff != "" {
		t.Errorf("whole streams and runs (-want +got)\n%s", diff)
	}
}

// stream sends a request for a stream.
func (s *soak) stream(r *router, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+r.callerAddr+streaming.path(), http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "15000")
	return http.DefaultTransport.RoundTrip(req)
}

func longStreamBody(events int) string {
	var body string
	for n := range events {
		body += streamEvent("x", n+1)
	}
	return body
}

func buildRouter(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "cicadadyke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}
