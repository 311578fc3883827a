package cicadaedge

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
	"github.com/creachadair/jrpc2/server"
	"github.com/pkg/errors"
)

const (
	// relayAfter is the age of the view from which on other routers are asked:
	// more than that of a healthy follower, which is twice its wait for changes
	// at most, and well below the time within which changes must be in force
	// while the store is unsure.
	relayAfter = 2*deploymentWait + 500*time.Millisecond
	// relayPause lies between two questions, relayTimeout bounds one.
	relayPause   = 400 * time.Millisecond
	relayTimeout = 300 * time.Millisecond
	methodView   = "view"
	// relayConcurrency is how many questions of one router are answered at once:
	// those that wait for a draw shall not delay the others.
	relayConcurrency = 16
)

type (
	// viewRequest asks a router for its view.
	viewRequest struct {
		Version uint64 `json:"version"` // of the asker's configuration
	}

	// viewReply is a router's view. Ages are in milliseconds.
	viewReply struct {
		AgeMillis  int64                  `json:"ageMillis"`
		Deployment *cicadadeploy.Document `json:"deployment,omitempty"` // if newer than the asker's
		// RunnersAgeMillis is the age of Runners, the entries in use.
		RunnersAgeMillis int64               `json:"runnersAgeMillis"`
		Runners          []cicadaplace.Entry `json:"runners"`
	}

	// peers are the other routers.
	peers struct {
		self, selfAddr string

		mu     sync.Mutex // guards the fields below
		seeds  []string
		byName map[string]string
		ranks  map[string][]string // of the present names, by key
	}
)

func newPeers(self, selfAddr string, seeds []string) *peers {
	return &peers{self: self, selfAddr: selfAddr, seeds: seeds, byName: map[string]string{}}
}

func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// take learns a router's row. One without a boot names no router.
func (p *peers) take(name string, row *routerRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	relay, known := p.byName[name]
	if known == (row.Boot != "") && relay == row.Relay {
		return
	}
	p.ranks = nil
	if row.Boot == "" {
		delete(p.byName, name)
		return
	}
	p.byName[name] = row.Relay
}

// names returns the names of all routers, this one included, in no order.
func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allNames()
}

func (p *peers) allNames() []string {
	names := make([]string, 0, len(p.byName)+1)
	names = append(names, p.self)
	for name := range p.byName {
		if name != p.self {
			names = append(names, name)
		}
	}
	return names
}

// count is the number of routers, this one included. Rows of routers that ended
// without saying so count: shares then are too small rather than too large.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.byName)
	if _, ok := p.byName[p.self]; !ok {
		n++
	}
	return n
}

// ranked returns the routers, this one included, in an order for a key that all
// routers share. The list must not be changed.
func (p *peers) ranked(key string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if names, ok := p.ranks[key]; ok {
		return names
	}
	if p.ranks == nil {
		p.ranks = map[string][]string{}
	}
	p.ranks[key] = cicadaplace.Rank(key, p.allNames())
	return p.ranks[key]
}

// addr returns where a router relays; empty if that is not known.
func (p *peers) addr(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// some returns the other routers' addresses in random order.
func (p *peers) some() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{p.selfAddr: true, "": true}
	var out []string
	for _, addr := range p.byName {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	for _, addr := range p.seeds {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// serveRelay answers other routers until the listener is closed.
func (rt *Router) serveRelay(ctx context.Context) {
	methods := handler.Map{
		methodView: handler.New(rt.view), methodPlace: handler.New(rt.desk.handlePlace),
		methodStarted: handler.New(rt.desk.handleStarted), methodEnded: handler.New(rt.desk.handleEnded),
		methodLend: handler.New(rt.lend), methodPermit: handler.New(rt.handlePermit),
	}
	acc := server.NetAccepter(rt.cfg.Relay, channel.Line)
	if err := server.Loop(ctx, acc, server.Static(methods), &server.LoopOptions{
		ServerOptions: &jrpc2.ServerOptions{Concurrency: relayConcurrency},
	}); err != nil && ctx.Err() == nil {
		rt.cfg.Log.WithError(err).Error("relay ended")
	}
}

func (rt *Router) view(_ context.Context, req viewRequest) viewReply {
	now := time.Now()
	reply := viewReply{
		AgeMillis:        rt.deployAge(now).Milliseconds(),
		RunnersAgeMillis: rt.runnersAge(now).Milliseconds(),
	}
	if d := rt.deploy.Load(); d != nil && d.Version() > req.Version {
		reply.Deployment = d.Document()
	}
	reply.Runners = rt.fleet.Entries(now)
	return reply
}

// askPeers keeps the view current from other routers while the store turns this
// one away.
func (rt *Router) askPeers(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		pause(ctx, relayPause)
		age := rt.deployAge(time.Now())
		if age < relayAfter {
			if lost {
				rt.cfg.Log.WithField("ageMillis", age.Milliseconds()).Info("view is current again")
			}
			lost = false
			continue
		}
		if !lost {
			rt.cfg.Log.WithField("ageMillis", age.Milliseconds()).Info("view is stale, other routers are asked")
		}
		lost = true
		for _, addr := range rt.peers.some() {
			if err := rt.askPeer(ctx, addr); err != nil {
				rt.cfg.Log.WithField("peer", addr).WithError(err).Debug("peer does not answer")
				continue
			}
			if rt.deployAge(time.Now()) < relayAfter {
				break
			}
		}
	}
}

func (rt *Router) askPeer(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := cicadanet.NewDialer(relayTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "reach peer")
	}
	return rt.askConn(ctx, conn, addr)
}

func (rt *Router) askConn(ctx context.Context, conn net.Conn, addr string) error {
	client := jrpc2.NewClient(channel.Line(conn, conn), nil)
	defer rt.links.closeClient(client)
	asked := time.Now()
	var req viewRequest
	if d := rt.deploy.Load(); d != nil {
		req.Version = d.Version()
	}
	var reply viewReply
	if err := client.CallResult(ctx, methodView, req, &reply); err != nil {
		return errors.Wrap(err, "ask peer")
	}
	if reply.Deployment != nil {
		rt.enforce(reply.Deployment, "peer "+addr)
	}
	freshAt := asked.Add(-time.Duration(reply.AgeMillis) * time.Millisecond)
	rt.peerViewAt.advance(freshAt)
	runnersAt := asked.Add(-time.Duration(reply.RunnersAgeMillis) * time.Millisecond)
	if now := time.Now(); now.Sub(runnersAt) < rt.runnersAge(now) && len(reply.Runners) > 0 {
		rt.takePeerRunners(reply.Runners, runnersAt)
	}
	return nil
}

// takePeerRunners takes the entries in use at a router whose view is newer.
func (rt *Router) takePeerRunners(entries []cicadaplace.Entry, at time.Time) {
	now := time.Now()
	seen := map[string]bool{}
	for _, e := range entries {
		seen[e.ID] = true
		rt.applyRunner(e, now)
	}
	rt.retainRunners(seen, "another router's view", now)
	rt.peerRunnersAt.set(at)
}
