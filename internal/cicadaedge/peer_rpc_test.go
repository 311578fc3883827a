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

// viewRunners are as many entries as make a view large beside a question.
const viewRunners = 150

// newTwoCentreFleet has routers in two data centres, many runners, and a count of what the
// routers answer each other.
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
		eventually(t, "the routers know all", func() bool { return n.RouterCount() == routers && len(n.Runners()) == viewRunners })
	}
	return f, nodes, &sent
}

// putUnreachableRunner writes the entry of a runner that no request reaches.
func (f *fleet) putUnreachableRunner(i int, draining bool) {
	id := fmt.Sprint("far", i)
	f.store.put(tableRunners, id, cicadaplace.Entry{
		ID: id, Service: "other", Addr: fmt.Sprintf("192.0.2.%d:80", i), Place: "p", Slots: 8, Born: 1, Seq: time.Now().UnixNano(), Leaving: draining,
	})
}

// TestRoutersInACutSendNoViews cuts all routers off the store: none has a newer view
// than another, so that they send little, however many runners there are.
func TestRoutersInACutSendNoViews(t *testing.T) {
	const (
		routers  = 12
		outage   = 6 * time.Second
		maxBytes = 2000 // bytes a second of a router
	)
	_, nodes, sent := newTwoCentreFleet(t, routers)
	for _, n := range nodes {
		n.store.down.Store(true)
	}
	before := sent.Load()
	time.Sleep(outage)
	if got := float64(sent.Load()-before) / routers / outage.Seconds(); got > maxBytes {
		t.Errorf("each router sends %.0f bytes a second, at most %d are allowed", got, maxBytes)
	}
}

// TestRouterTurnedAwayGetsWhatChanged keeps the store from one router while runners
// write their entries again: it gets no view as long as nothing has changed in them,
// and a change within seconds.
func TestRouterTurnedAwayGetsWhatChanged(t *testing.T) {
	f, nodes, sent := newTwoCentreFleet(t, 4)
	nodes[0].store.down.Store(true)
	time.Sleep(3 * time.Second) // its view is stale, and it has asked
	before := sent.Load()
	for range 4 {
		for i := range viewRunners {
			f.putUnreachableRunner(i, false)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if n := sent.Load() - before; n > viewRunners*50 {
		t.Errorf("%d bytes were sent though nothing had changed", n)
	}
	f.putUnreachableRunner(7, true)
	eventually(t, "the router knows that a runner leaves", func() bool {
		return slices.ContainsFunc(nodes[0].Runners(), func(r cicadaplace.RunnerState) bool { return r.ID == "far7" && r.Leaving })
	})
}
