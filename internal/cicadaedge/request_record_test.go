package cicadaedge_test

import (
	"net/http"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

func TestLostRequestIsLoggedWithItsSharedParts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		abortConnection()
	})
	logs := memory.New()
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.Log = &log.Logger{Handler: logs, Level: log.InfoLevel} }))
	call(t, n, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": "system,subject,own"}, "")
	n.stop()
	for _, e := range logs.Entries {
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
