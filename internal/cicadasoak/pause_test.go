package cicadasoak_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	longStreamEvents   = 40
	longStreamInterval = 50 * time.Millisecond
)

// The router is paused for longer than a runner may be silent, while its runners go on.
func TestPausedRouterStartsStreamsElsewhere(t *testing.T) {
	const streams = 24
	binary := buildRouter(t)
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	s.putStreamConfig()
	var runs atomic.Int32
	for i := range 3 {
		s.startStreamRunner(fmt.Sprint("i-", i), &runs)
	}
	s.addRouter(binary, t.TempDir())
	r := s.routers[0]
	s.awaitStream(r)
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
			if body, err := io.ReadAll(resp.Body); err == nil && string(body) == longStreamBody() {
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

// The router is paused for longer than a response may be, while it reads its configuration over a slow link.
func TestPausedRouterGivesUpTheStore(t *testing.T) {
	binary := buildRouter(t)
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	s.putStreamConfig()
	var runs, reads atomic.Int32
	s.startStreamRunner("i-0", &runs)
	began, handler := make(chan struct{}), s.store.Config.Handler
	s.store.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("Table") == "op" && strings.HasSuffix(req.URL.Path, "rows-get") {
			if reads.Add(1) == 1 {
				close(began)
			}
			for range 15 {
				_, _ = fmt.Fprint(w, " ")
				w.(http.Flusher).Flush()
				time.Sleep(200 * time.Millisecond)
			}
		}
		handler.ServeHTTP(w, req)
	})
	s.addRouter(binary, t.TempDir())
	<-began
	for range 2 {
		time.Sleep(300 * time.Millisecond)
		s.freeze(s.routers[0], 900*time.Millisecond)
	}
	s.awaitStream(s.routers[0])
	if diff := cmp.Diff(int32(1), reads.Load()); diff != "" {
		t.Errorf("reads of the configuration (-want +got)\n%s", diff)
	}
}

func (s *soak) putStreamConfig() {
	s.store.putRow("op", "config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "resume", "Host": host, "Prefix": "/stream/", "Kind": "streaming", "DeadlineMs": 20_000, "CanResume": true,
			"LatencyTargetMs": 500, "GapTargetMs": 200, "Service": "svc", "MaxAttempts": 3,
		}},
		"Services": []any{map[string]any{"Name": "svc", "MaxConns": 200}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	})
}

// startStreamRunner starts a runner whose streams may be resumed, and counts what it runs.
func (s *soak) startStreamRunner(id string, runs *atomic.Int32) {
	r := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		runs.Add(1)
		w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		after, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		if err != nil {
			after = 0 // a new stream
		}
		for n := after; n < longStreamEvents; n++ {
			fmt.Fprintf(w, "%s", streamEvent("x", n+1))
			w.(http.Flusher).Flush()
			time.Sleep(longStreamInterval)
		}
	}))
	s.t.Cleanup(r.CloseClientConnections)
	s.store.putRow("servers", id, map[string]any{
		"Service": "svc", "Address": r.Listener.Addr().String(), "Zone": "z", "Version": "1", "Slots": 16, "State": "ready", "Seq": 1,
	})
}

// awaitStream waits until a router has served a stream.
func (s *soak) awaitStream(r *router) {
	s.t.Helper()
	answers := func() bool {
		resp, err := s.stream(r, "ready")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	}
	for end := time.Now().Add(10 * time.Second); !answers(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("router %s does not serve streams within 10 s", r.name)
		}
	}
}

// stream sends a request for a stream.
func (s *soak) stream(r *router, id string) (*http.Response, error) {
	return s.streamUntil(s.t.Context(), r, id)
}

// streamUntil sends a request for a stream that ends with ctx.
func (s *soak) streamUntil(ctx context.Context, r *router, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddr+streaming.path(), http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "15000")
	return http.DefaultTransport.RoundTrip(req)
}

func longStreamBody() string {
	var body string
	for n := range longStreamEvents {
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
