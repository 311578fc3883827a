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

// relayRunners are as many entries as make a view large beside a question.
const relayRunners = 150

// relayFleet has routers in two data centres, many runners, and a count of what the
// routers answer each other.
func relayFleet(t *testing.T, routers int) (*fleet, []*node, *atomic.Int64) {
	t.Helper()
	f := newFleet(t)
	for i := range relayRunners {
		f.putRunner(i, false)
	}
	var sent atomic.Int64
	nodes := make([]*node, routers)
	for i := range nodes {
		nodes[i] = f.node(fmt.Sprint("n", i), func(cfg *cicadaedge.Config) {
			cfg.DataCentre = fmt.Sprint("place", i%2)
			cfg.PeerListener = &countingListener{cfg.PeerListener, &sent}
		})
	}
	t.Cleanup(func() { stopAll(nodes) })
	for _, n := range nodes {
		eventually(t, "the routers know all", func() bool { return n.RouterCount() == routers && len(n.Runners()) == relayRunners })
	}
	return f, nodes, &sent
}

// putRunner writes the entry of a runner that no request reaches.
func (f *fleet) putRunner(i int, leaving bool) {
	id := fmt.Sprint("far", i)
	f.store.put(tableRunners, id, cicadaplace.Entry{
		ID: id, Service: "other", Addr: fmt.Sprintf("192.0.2.%d:80", i), DataCentre: "p", Slots: 8, StartMillis: 1, Seq: time.Now().UnixNano(), Draining: leaving,
	})
}

// TestRoutersInACutSendNoViews cuts all routers off the store: none has a newer view
// than another, so that they send little, however many runners there are.
func TestRoutersInACutSendNoViews(t *testing.T) {
	const (
		routers = 12
		cut     = 6 * time.Second
		most    = 2000 // bytes a second of a router
	)
	_, nodes, sent := relayFleet(t, routers)
	for _, n := range nodes {
		n.view.down.Store(true)
	}
	before := sent.Load()
	time.Sleep(cut)
	if got := float64(sent.Load()-before) / routers / cut.Seconds(); got > most {
		t.Errorf("each router sends %.0f bytes a second, at most %d are allowed", got, most)
	}
}

// TestRouterTurnedAwayGetsWhatChanged keeps the store from one router while runners
// write their entries again: it gets no view as long as nothing has changed in them,
// and a change within seconds.
func TestRouterTurnedAwayGetsWhatChanged(t *testing.T) {
	f, nodes, sent := relayFleet(t, 4)
	nodes[0].view.down.Store(true)
	time.Sleep(3 * time.Second) // its view is stale, and it has asked
	before := sent.Load()
	for range 4 {
		for i := range relayRunners {
			f.putRunner(i, false)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if n := sent.Load() - before; n > relayRunners*50 {
		t.Errorf("%d bytes were sent though nothing had changed", n)
	}
	f.putRunner(7, true)
	eventually(t, "the router knows that a runner leaves", func() bool {
		return slices.ContainsFunc(nodes[0].Runners(), func(r cicadaplace.RunnerState) bool { return r.ID == "far7" && r.Draining })
	})
}
