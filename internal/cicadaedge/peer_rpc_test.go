package cicadaedge_test

import (
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

type (
	// countingListener counts the bytes that its connections send.
	countingListener struct {
		net.Listener
		sent *atomic.Int64
	}

	countingConn struct {
		net.Conn
		sent *atomic.Int64
	}
)

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.sent}, nil
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// viewRunners is a number of runner entries that makes a view large compared with the request for
// it.
const viewRunners = 150

// newTwoCentreFleet returns a fleet with routers in two data centres and many runners, and counts
// the bytes that the routers send in replies to each other.
func newTwoCentreFleet(t *testing.T, routers int) (*fleet, []*node, *atomic.Int64) {
	t.Helper()
	f := newFleet(t)
	for i := range viewRunners {
		f.putUnreachableRunner(i, false)
	}
	var sent atomic.Int64
	nodes := make([]*node, routers)
	for i := range nodes {
		nodes[i] = f.startNode(fmt.Sprint("n", i), func(cfg *cicadaedge.Config) {
			cfg.DataCentre = fmt.Sprint("place", i%2)
			cfg.PeerListener = &countingListener{cfg.PeerListener, &sent}
		})
	}
	t.Cleanup(func() { stopAll(nodes) })
	for _, n := range nodes {
		eventually(t, "the router knows all routers and runners", func() bool { return n.RouterCount() == routers && len(n.Runners()) == viewRunners })
	}
	return f, nodes, &sent
}

// putUnreachableRunner writes the entry of a runner that cannot be reached.
func (f *fleet) putUnreachableRunner(i int, draining bool) {
	id := fmt.Sprint("far", i)
	f.store.put(tableRunners, id, cicadaplace.Entry{
		ID: id, Service: "other", Addr: fmt.Sprintf("192.0.2.%d:80", i), DataCentre: "p", Slots: 8, StartMillis: 1, Seq: time.Now().UnixNano(), Draining: draining,
	})
}

// TestRoutersInACutSendNoViews makes the store unavailable to all routers. No router has a newer
// view than another, so they must send little, however many runners there are.
func TestRoutersInACutSendNoViews(t *testing.T) {
	const (
		routers  = 12
		outage   = 6 * time.Second
		maxBytes = 2000 // bytes per second of one router
	)
	_, nodes, sent := newTwoCentreFleet(t, routers)
	for _, n := range nodes {
		n.store.down.Store(true)
	}
	before := sent.Load()
	time.Sleep(outage)
	if got := float64(sent.Load()-before) / routers / outage.Seconds(); got > maxBytes {
		t.Errorf("each router sends %.0f bytes per second, want at most %d", got, maxBytes)
	}
}

// TestRouterTurnedAwayGetsWhatChanged makes the store unavailable to one router while runners
// rewrite their entries. The router must get no view while the entries stay the same, and must get
// a change within seconds.
func TestRouterTurnedAwayGetsWhatChanged(t *testing.T) {
	f, nodes, sent := newTwoCentreFleet(t, 4)
	nodes[0].store.down.Store(true)
	time.Sleep(3 * time.Second) // until its view is stale and it has polled other routers
	before := sent.Load()
	for range 4 {
		for i := range viewRunners {
			f.putUnreachableRunner(i, false)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if n := sent.Load() - before; n > viewRunners*50 {
		t.Errorf("%d bytes were sent although no entry had changed", n)
	}
	f.putUnreachableRunner(7, true)
	eventually(t, "the router knows that the runner is draining", func() bool {
		return slices.ContainsFunc(nodes[0].Runners(), func(r cicadaplace.RunnerState) bool { return r.ID == "far7" && r.Draining })
	})
}
