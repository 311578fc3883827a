package cicadaedge_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

// TestRunnerThatAnnouncesDrainingGetsNothing sends requests to two runners, one of which announces in
// its responses that it is draining. It must get no further request, also when its entry is removed
// and written again.
func TestRunnerThatAnnouncesDrainingGetsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	leaving, other := f.addRunner(nil), f.addRunner(nil)
	leaving.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		leaving.runs.Add(1)
		w.Header().Set("X-Leaving", "1")
	})
	other.setHandler(other.respondWith("other"))
	n := f.waitReady(f.startNode("n1"))
	for range 20 {
		call(t, n, "/once/", nil, "")
	}
	f.store.removeRunner(leaving.id)
	eventually(t, "the entry is gone", func() bool { return len(n.Runners()) == 1 })
	f.putEntry(leaving, false)
	eventually(t, "the entry is back", func() bool { return len(n.Runners()) == 2 })
	for range 20 {
		call(t, n, "/once/", nil, "")
	}
	if diff := cmp.Diff([]int64{1, 39}, []int64{leaving.runs.Load(), other.runs.Load()}); diff != "" {
		t.Errorf("requests at the draining runner and the other one (-want +got):\n%s", diff)
	}
}

// TestPausedRunnerGetsNothing has a runner reject a request and state how long it wants no more. It
// must get none before, and one afterwards; callers are served by the other runner meanwhile.
func TestPausedRunnerGetsNothing(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		pause string
		want  time.Duration
	}{
		"valid": {"700ms", 700 * time.Millisecond},
		// A value that cannot be parsed is replaced by a default.
		"invalid": {"soon", time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			paused := f.addRunner(nil)
			var pausedAt, resumedAt atomic.Int64
			paused.setHandler(func(w http.ResponseWriter, req *http.Request) {
				if pausedAt.Load() != 0 {
					resumedAt.CompareAndSwap(0, time.Now().UnixNano())
					return
				}
				pausedAt.Store(time.Now().UnixNano())
				w.Header().Set("X-Pause", tt.pause)
				refuseNotRun(w, req)
			})
			n := f.waitReady(f.startNode("n1"))
			got := call(t, n, "/once/", nil, "")
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("status %d with Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
			}
			startedAt := time.Now()
			if got := call(t, n, "/once/", nil, ""); got.status != http.StatusServiceUnavailable || time.Since(startedAt) > 300*time.Millisecond {
				t.Errorf("status %d after %v while the only runner is paused, want 503 at once", got.status, time.Since(startedAt))
			}
			other := f.addRunner(nil)
			other.setHandler(other.respondWith("other"))
			eventually(t, "the other runner is known", func() bool { return len(n.Runners()) == 2 })
			eventually(t, "the paused runner is used again", func() bool {
				if got := call(t, n, "/once/", nil, ""); got.status != http.StatusOK {
					t.Errorf("status %d with another runner, want 200", got.status)
				}
				return resumedAt.Load() != 0
			})
			if pause := time.Duration(resumedAt.Load() - pausedAt.Load()); pause < tt.want {
				t.Errorf("the runner got a request %v after it asked for a pause of %v", pause, tt.want)
			}
		})
	}
}

// TestOverloadedLinkSendsCallersAway sends bodies that fill a slow link, and checks that the router is
// not ready and closes its callers' connections until the traffic has gone.
func TestOverloadedLinkSendsCallersAway(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.LinkMbps = 2 }))
	if got := call(t, n, "/once/", nil, "small"); got.connectionClose {
		t.Error("an idle router closes the connection of a caller")
	}
	body := strings.Repeat("x", 50_000)
	eventually(t, "the link is overloaded", func() bool { return call(t, n, "/once/", nil, body).connectionClose })
	if n.Ready() {
		t.Error("a router with an overloaded link is ready")
	}
	eventually(t, "the router is ready again", n.Ready)
	if got := call(t, n, "/once/", nil, "small"); got.status != http.StatusOK || got.connectionClose {
		t.Errorf("status %d, connection closed: %v after the overload; want 200, false", got.status, got.connectionClose)
	}
}
