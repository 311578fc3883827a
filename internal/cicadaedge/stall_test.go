package cicadaedge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A caller does not read for longer than a runner may be silent, and then reads the rest.
func TestStreamOfASlowCallerIsStartedElsewhere(t *testing.T) {
	t.Parallel()
	const events = 600
	padding := strings.Repeat("x", 32<<10) // more than the sockets buffer
	f := newFleet(t)
	var runs atomic.Int32
	serve := func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, padding)
		}
	}
	f.addRunner(serve)
	f.addRunner(serve)
	n := f.waitReady(f.startNode("n1"))
	req, err := request(t.Context(), n, "/resume/", nil, "")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	time.Sleep(1500 * time.Millisecond)
	body, err := io.ReadAll(resp.Body)
	if diff := cmp.Diff([]int{1, events}, []int{int(runs.Load()), strings.Count(string(body), "data: ")}); diff != "" || err != nil {
		t.Errorf("error %v, runs and events (-want +got)\n%s", err, diff)
	}
}
