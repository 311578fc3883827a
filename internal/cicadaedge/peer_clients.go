package cicadaedge

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/pkg/errors"
)

// peerDownPeriod is how long a router that did not answer is passed over: callers see
// one time-out of a call in so many seconds.
const peerDownPeriod = 2 * time.Second

// peerClients are the connections to the other routers, one to each that is asked.
type peerClients struct {
	rt *Router

	mu        sync.Mutex // guards the fields below
	clients   map[string]*jrpc2.Client
	downUntil map[string]time.Time
}

func newPeerClients(rt *Router) *peerClients {
	return &peerClients{rt: rt, clients: map[string]*jrpc2.Client{}, downUntil: map[string]time.Time{}}
}

func (p *peerClients) client(ctx context.Context, name string) (*jrpc2.Client, error) {
	p.mu.Lock()
	c := p.clients[name]
	p.mu.Unlock()
	if c != nil && !c.IsStopped() {
		return c, nil
	}
	conn, err := cicadanet.NewDialer(peerTimeout).DialContext(ctx, "tcp", p.rt.peers.addr(name))
	if err != nil {
		return nil, errors.Wrap(err, "reach router")
	}
	c = jrpc2.NewClient(channel.Line(conn, conn), nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.clients[name]; old != nil && !old.IsStopped() {
		go p.closeClient(c)
		return old, nil
	}
	p.clients[name] = c
	return c, nil
}

func (p *peerClients) isDown(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.downUntil[name])
}

// markDown passes a router over for a while. Its connection stays open until what was
// asked before can no longer be answered in time.
func (p *peerClients) markDown(name string, cause error) {
	p.mu.Lock()
	c := p.clients[name]
	delete(p.clients, name)
	p.downUntil[name] = time.Now().Add(peerDownPeriod)
	p.mu.Unlock()
	if c != nil {
		time.AfterFunc(lateReplyPeriod, func() { p.closeClient(c) })
	}
	p.rt.cfg.Log.WithField("router", name).WithError(cause).Info("router passed over")
}

func (p *peerClients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		p.closeClient(c)
	}
}

// closeClient ends a connection to a router; an error is that of the connection
// before.
func (p *peerClients) closeClient(c *jrpc2.Client) {
	if err := c.Close(); err != nil {
		p.rt.cfg.Log.WithError(err).Debug("connection to a router ended")
	}
}

// notify tells a router something that it can do without.
func (p *peerClients) notify(c *jrpc2.Client, method string, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	if err := c.Notify(ctx, method, params); err != nil {
		p.rt.cfg.Metrics.Errors.Add("note", 1)
	}
}
