package cicadaedge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func fullStream(to int) string {
	var b strings.Builder
	for i := 1; i < to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 6) })
	n := f.waitReady(f.startNode("n1"))
	got := call(t, n, "/stream/", map[string]string{"X-Tokens": "100,10"}, "")
	if diff := cmp.Diff(fullStream(6), got.body); diff != "" || got.err != nil {
		t.Errorf("stream (-want +got), error %v:\n%s", got.err, diff)
	}
	eventually(t, "the reservation is settled", func() bool { return n.Accounts()[0].Reserved == 0 })
}

// TestBrokenStreamDoesNotLookWhole aborts a stream in the middle of an event. The caller must get
// an error, and no part of the incomplete event.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 3)
		fmt.Fprintf(w, "id: 3\nda")
		w.(http.Flusher).Flush()
		abortConnection()
	})
	n := f.waitReady(f.startNode("n1"))
	got := call(t, n, "/stream/", nil, "")
	if got.err == nil {
		t.Error("the response ended without an error")
	}
	if !strings.HasPrefix(fullStream(3), got.body) && got.body != fullStream(3) {
		t.Errorf("part of an event was forwarded: %q", got.body)
	}
}

// TestStreamIsResumed aborts or stalls resumable streams and checks that the caller gets each
// event once, in order, in one response.
func TestStreamIsResumed(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(http.ResponseWriter){
		"cut": func(w http.ResponseWriter) {
			writeEvents(w, 1, 4)
			fmt.Fprintf(w, "id: 4\ndata")
			w.(http.Flusher).Flush()
			abortConnection()
		},
		"silent": func(w http.ResponseWriter) {
			writeEvents(w, 1, 4)
			time.Sleep(3 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			serve := func(w http.ResponseWriter, req *http.Request) {
				switch after := req.Header.Get("X-After"); after {
				case "":
					fault(w)
				case "3":
					// Repeats an event that the caller already has.
					writeEvents(w, 3, 8)
				default:
					t.Errorf("resumed after %q", after)
				}
			}
			f.addRunner(serve)
			f.addRunner(serve)
			n := f.waitReady(f.startNode("n1"))
			got := call(t, n, "/resume/", nil, "")
			if diff := cmp.Diff(fullStream(8), got.body); diff != "" || got.err != nil {
				t.Errorf("stream (-want +got), error %v:\n%s", got.err, diff)
			}
		})
	}
}

// TestStreamThatMayNotRunAgain checks that a stream on a route without resumption is never
// continued by another run.
func TestStreamThatMayNotRunAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for range 2 {
		r := f.addRunner(nil)
		r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			r.runs.Add(1)
			writeEvents(w, 1, 3)
			abortConnection()
		})
	}
	n := f.waitReady(f.startNode("n1"))
	if got := call(t, n, "/stream/", nil, ""); got.err == nil {
		t.Error("the response ended without an error")
	}
	if runs := f.runners[0].runs.Load() + f.runners[1].runs.Load(); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// TestStreamWithoutALengthThatEndsInAnEvent closes the connection without a reset in the middle of
// an event, in a response that ends only when its connection closes. The caller must not take such
// a stream for complete.
func TestStreamWithoutALengthThatEndsInAnEvent(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name, end string
		complete  bool
	}{
		{"in an event", "id: 2\ndata: e", false},
		{"after a line of an event", "id: 2\ndata: e2\n", false},
		{"after an event", "id: 2\ndata: e2\n\n", true},
	} {
		f := newFleet(t)
		f.addRunner(func(w http.ResponseWriter, req *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sealed: yes\r\n\r\nid: 1\ndata: e1\n\n%s", req.Header.Get("X-Id"), tt.end)
		})
		n := f.waitReady(f.startNode("n1"))
		if got := call(t, n, "/stream/x", nil, "x"); (got.err == nil) != tt.complete || got.status != http.StatusOK {
			t.Errorf("%s: status %d, error %v, body %q; want a complete response: %v", tt.name, got.status, got.err, got.body, tt.complete)
		}
	}
}

// TestSlowStreamIsNotCut makes a healthy runner start late, or pause for longer than the route's
// objectives allow, while no other runner can take over. The caller must get the complete stream.
func TestSlowStreamIsNotCut(t *testing.T) {
	t.Parallel()
	slow := func(delay, interval time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(delay)
			for i := 1; i < 5; i++ {
				writeEvents(w, i, i+1)
				time.Sleep(interval)
			}
		}
	}
	for name, handle := range map[string]http.HandlerFunc{
		"pauses": slow(0, 700*time.Millisecond), "begins late": slow(1200*time.Millisecond, 0),
	} {
		for _, path := range []string{"/resume/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.addRunner(handle)
				n := f.waitReady(f.startNode("n1"))
				got := call(t, n, path, nil, "")
				if diff := cmp.Diff(fullStream(5), got.body); diff != "" || got.err != nil {
					t.Errorf("stream (-want +got), error %v:\n%s", got.err, diff)
				}
			})
		}
	}
}

// TestStalledStreamEnds makes a runner send single bytes but no complete event. The stream must
// continue at another runner.
func TestStalledStreamEnds(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	serve := func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("X-After") != "" {
			writeEvents(w, 4, 8)
			return
		}
		writeEvents(w, 1, 4)
		for range 40 {
			fmt.Fprintf(w, ":")
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.addRunner(serve)
	f.addRunner(serve)
	n := f.waitReady(f.startNode("n1"))
	startedAt := time.Now()
	got := call(t, n, "/resume/", nil, "")
	if diff := cmp.Diff(fullStream(8), got.body); diff != "" || got.err != nil {
		t.Errorf("stream (-want +got), error %v:\n%s", got.err, diff)
	}
	if d := time.Since(startedAt); d > 2*time.Second {
		t.Errorf("the stream took %v", d)
	}
}

// A healthy runner sends its header at once and its first event late. Another runner could take over,
// but not continue a stream without an event.
func TestStreamWithALateFirstEventIsCut(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for range 2 {
		f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			time.Sleep(900 * time.Millisecond)
			writeEvents(w, 1, 5)
		})
	}
	n := f.waitReady(f.startNode("n1"))
	got := call(t, n, "/resume/", nil, "")
	if diff := cmp.Diff(fullStream(5), got.body); diff != "" || got.err != nil {
		t.Errorf("stream (-want +got), error %v:\n%s", got.err, diff)
	}
}
