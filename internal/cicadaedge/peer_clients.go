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

// peerDownPeriod is how long a router that failed to answer is skipped. It limits callers to one
// time-out per period.
const peerDownPeriod = 2 * time.Second

// peerClients holds one connection to each of the other routers that this router calls.
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
		return nil, errors.Wrap(err, "connect to router")
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

// markDown skips a router for peerDownPeriod. Its connection stays open until responses to calls
// in progress can no longer be used.
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

// closeClient closes a connection to a router. Close returns the earlier error of the connection,
// if any.
func (p *peerClients) closeClient(c *jrpc2.Client) {
	if err := c.Close(); err != nil {
		p.rt.cfg.Log.WithError(err).Debug("connection to a router ended")
	}
}

// notify sends a notification that the receiving router can do without.
func (p *peerClients) notify(c *jrpc2.Client, method string, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	if err := c.Notify(ctx, method, params); err != nil {
		p.rt.cfg.Metrics.Errors.Add("note", 1)
	}
}
