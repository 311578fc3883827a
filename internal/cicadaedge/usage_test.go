package cicadaedge_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	usagePromptTokens = 100
	usageTokens       = "100,50"
)

// A caller leaves while its request is at a runner, at several moments of the run.
func TestRequestOfACallerThatLeftIsFree(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		run  func(w http.ResponseWriter)
		want int64
	}{
		"before the header": {func(http.ResponseWriter) {}, usagePromptTokens},
		"after the header":  {func(w http.ResponseWriter) { w.(http.Flusher).Flush() }, usagePromptTokens},
		"in the body":       {func(w http.ResponseWriter) { writeEvents(w, 1, 3) }, usagePromptTokens + 2},
	} {
		for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
			t.Run(name+strings.TrimSuffix(path, "/"), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				ctx, leave := context.WithCancel(t.Context())
				r := f.addRunner(nil)
				r.setHandler(func(w http.ResponseWriter, req *http.Request) {
					tt.run(w)
					leave()
					<-req.Context().Done()
				})
				n := f.waitReady(f.startNode("n1"))
				req, err := request(ctx, n, path, map[string]string{"X-Tokens": usageTokens}, "x")
				if err != nil {
					t.Fatal(err)
				}
				if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
					_ = resp.Body.Close() // the caller has left
				}
				<-r.cancelled
				eventually(t, "the request is settled", func() bool { return n.Accounts()[0].Reserved == 0 })
				spent := int64(n.Accounts()[0].Spent)
				if spent < usagePromptTokens || spent > tt.want {
					t.Errorf("%d units are spent, want %d to %d", spent, usagePromptTokens, tt.want)
				}
			})
		}
	}
}

// The runner states that it did not run the requests.
func TestRefusedRequestIsCharged(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuseNotRun)
	n := f.waitReady(f.startNode("n1"))
	for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
		call(t, n, path, map[string]string{"X-Tokens": usageTokens}, "x")
	}
	eventually(t, "the requests are settled", func() bool { return n.Accounts()[0].Reserved == 0 })
	if diff := cmp.Diff(int64(0), int64(n.Accounts()[0].Spent)); diff != "" {
		t.Errorf("spent units (-want +got)\n%s", diff)
	}
}
