package cicadaedge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
)

// Streams that end with their connections go on elsewhere while their relay stops.
func TestSpareConnectionHoldsUpThePlannedStopOfARelay(t *testing.T) {
	t.Parallel()
	const stopTimeout = 20 * time.Second
	f := newFleet(t)
	f.addRawRunner(func(c *rawConn, req *http.Request) bool {
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents)
		return false
	})
	var cut runnerCut
	host := f.waitReady(f.startNode("n1", cut.configure))
	relay := f.waitReady(f.startNode("n2", func(cfg *cicadaedge.Config) { cfg.StopTimeout = stopTimeout }))
	eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	cut.begin(cutReset)
	done := make(chan struct{})
	called := make(chan struct{})
	go func() {
		defer close(called)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			call(t, host, "/once/", nil, "x")
		}
	}()
	time.Sleep(time.Second)
	f.waitReady(f.startNode("n3"))
	eventually(t, "the host knows all", func() bool { return host.RouterCount() == 3 })
	start := time.Now()
	relay.stop()
	took := time.Since(start)
	close(done)
	<-called
	t.Logf("the planned stop took %v", took)
	if limit := 4 * time.Second; took > limit {
		t.Errorf("the planned stop took %v, want %v at most", took, limit)
	}
}
