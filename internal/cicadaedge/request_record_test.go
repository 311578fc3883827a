package cicadaedge_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

// logRecorder keeps the log entries of a router, which may still write some after it has stopped.
type logRecorder struct {
	mu      sync.Mutex // guards entries
	entries []*log.Entry
}

// HandleLog implements log.Handler.
func (l *logRecorder) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return nil
}

func (l *logRecorder) recorded() []*log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

func (l *logRecorder) configure(cfg *cicadaedge.Config) {
	cfg.Log = &log.Logger{Handler: l, Level: log.InfoLevel}
}

func TestLostRequestIsLoggedWithItsSharedParts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		abortConnection()
	})
	var logs logRecorder
	n := f.waitReady(f.startNode("n1", logs.configure))
	call(t, n, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": "system,subject,own"}, "")
	n.stop()
	for _, e := range logs.recorded() {
		if e.Message != "request" {
			continue
		}
		if diff := cmp.Diff([]any{[]string{"system", "subject"}, true}, []any{e.Fields["parts"], e.Fields["answerMillis"] != nil}); diff != "" {
			t.Errorf("shared parts, and whether the answer had begun (-want +got):\n%s", diff)
		}
		return
	}
	t.Error("the request has no log line")
}

func TestPlannedStopIsLoggedAsAFailure(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(nil)
	var logs logRecorder
	f.waitReady(f.startNode("n1", logs.configure)).stop()
	time.Sleep(300 * time.Millisecond) // the listeners end meanwhile
	var failures []string
	for _, e := range logs.recorded() {
		if e.Level >= log.ErrorLevel {
			failures = append(failures, e.Message)
		}
	}
	if diff := cmp.Diff([]string(nil), failures); diff != "" {
		t.Errorf("failures logged (-want +got):\n%s", diff)
	}
}
