package cicadaedge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

// TestFirstEventIsPredictedAndMeasured guards against models that learn nothing, or whose error can't be seen.
func TestFirstEventIsPredictedAndMeasured(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			writeEvents(w, 1, 3)
		}
	})
	var logs logRecorder
	metrics := cicadaedge.NewMetrics()
	n := f.waitReady(f.startNode("n1", logs.configure, func(cfg *cicadaedge.Config) { cfg.Metrics = metrics }))
	call(t, n, "/stream/", map[string]string{"X-Tokens": "10,5", "X-Parts": "system,subject,own"}, "")
	call(t, n, "/plain/", nil, "")
	n.stop()
	var got [][]bool
	for _, e := range logs.recorded() {
		if e.Message == "request" {
			got = append(got, []bool{e.Fields["predictedFirstMillis"] != nil, e.Fields["actualFirstMillis"] != nil, e.Fields["waitMillis"] != nil})
		}
	}
	if diff := cmp.Diff([][]bool{{true, true, true}, {false, false, false}}, got); diff != "" {
		t.Errorf("fields of a stream with a prompt and of a plain call (-want +got):\n%s", diff)
	}
	for name, h := range map[string]*cicadaedge.LatencyHistogram{"models": metrics.FirstEventError, "constants": metrics.ConstantsError} {
		if !strings.Contains(h.String(), `"count":1,`) {
			t.Errorf("errors of the %s: %s, want one", name, h)
		}
	}
}

// TestPlacingRouterGetsLoads guards against a router that places the requests of others by reports of its
// own requests only, of which it has one for a runner in 15 s at 90 runners.
func TestPlacingRouterGetsLoads(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(nil)
	n := f.waitReady(f.startNode("n1"))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", n.peerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	send := func(msg string) { fmt.Fprintf(conn, "{\"jsonrpc\":\"2.0\",%s}\n", msg) }
	send(`"id":1,"method":"place","params":{"service":"svc","parts":[{"ID":"own","Tokens":500}],"tokens":500,"millis":60000,"place":"p"}`)
	reply, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.Contains(reply, `"place":1`) {
		t.Fatalf("reply %s, error %v", reply, err)
	}
	send(`"method":"started","params":{"place":1,"tookMillis":120,"load":{"running":7,"waiting":2,"slots":64,"slowness":130,"ageMillis":40}}`)
	eventually(t, "the report of 40 ms before is known", func() bool {
		r := n.Runners()[0]
		return r.Running == 7 && r.Waiting == 2 && r.ReportAgeMS >= 40 && r.PendingPromptTokens == 0
	})
}
