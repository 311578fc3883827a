package cicadaedge

import (
	"context"
	"net"
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
	// relayPause lies between two rounds of questions, and grows to mostRelayPause by
	// relayGrowth each time while no router knows more. relayTimeout bounds a question.
	relayPause     = 400 * time.Millisecond
	mostRelayPause = 2 * time.Second
	relayGrowth    = 1.5
	relayTimeout   = 300 * time.Millisecond
	// relayNear is how many routers of the own data centre are asked in a round, and
	// relayFar how many routers of a data centre ask one of another in it, on average.
	relayNear  = 2
	relayFar   = 3
	methodView = "view"
	// relayConcurrency is how many questions of one router are answered at once:
	// those that wait for a draw shall not delay the others.
	relayConcurrency = 16
)

type (
	// viewRequest asks a router for its view.
	viewRequest struct {
		Version uint64 `json:"version"` // of the asker's configuration
		// RunnersAgeMillis is the age of the entries that the asker has, and
		// RunnersDigest what they come to. See Fleet.Digest.
		RunnersAgeMillis int64  `json:"runnersAgeMillis"`
		RunnersDigest    uint64 `json:"runnersDigest"`
	}

	// viewReply is a router's view. Ages are in milliseconds.
	viewReply struct {
		AgeMillis  int64                  `json:"ageMillis"`
		Deployment *cicadadeploy.Document `json:"deployment,omitempty"` // if newer than the asker's
		// RunnersAgeMillis is the age of the entries in use. They are in Runners if they
		// are newer than the asker's and not the same.
		RunnersAgeMillis int64               `json:"runnersAgeMillis"`
		RunnersSame      bool                `json:"runnersSame,omitempty"`
		Runners          []cicadaplace.Entry `json:"runners,omitempty"`
	}
)

// serveRelay answers other routers until the listener is closed.
func (rt *Router) serveRelay(ctx context.Context) {
	methods := handler.Map{
		methodView: handler.New(rt.view), methodPlace: handler.New(rt.desk.handlePlace),
		methodStarted: handler.New(rt.desk.handleStarted), methodEnded: handler.New(rt.desk.handleEnded),
		methodLend: handler.New(rt.lend), methodPermit: handler.New(rt.handlePermit),
	}
	acc := server.NetAccepter(rt.cfg.PeerListener, channel.Line)
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
	if reply.RunnersAgeMillis < req.RunnersAgeMillis {
		reply.RunnersSame = rt.fleet.Digest(now) == req.RunnersDigest
		if !reply.RunnersSame {
			reply.Runners = rt.fleet.Entries(now)
		}
	}
	return reply
}

// askPeers keeps the view current from other routers while the store turns this
// one away.
func (rt *Router) askPeers(ctx context.Context) {
	lost, rest := false, relayPause
	for ctx.Err() == nil {
		pause(ctx, rest)
		age := rt.deployAge(time.Now())
		if age < relayAfter {
			if lost {
				rt.cfg.Log.WithField("ageMillis", age.Milliseconds()).Info("view is current again")
			}
			lost, rest = false, relayPause
			continue
		}
		if !lost {
			rt.cfg.Log.WithField("ageMillis", age.Milliseconds()).Info("view is stale, other routers are asked")
		}
		lost = true
		before := rt.viewAt()
		for _, addr := range rt.peers.toAsk() {
			if err := rt.askPeer(ctx, addr); err != nil {
				rt.cfg.Log.WithField("peer", addr).WithError(err).Debug("peer does not answer")
				continue
			}
			if rt.deployAge(time.Now()) < relayAfter {
				break
			}
		}
		if rt.viewAt().Sub(before) < rest {
			rest = min(time.Duration(relayGrowth*float64(rest)), mostRelayPause)
		} else {
			rest = relayPause
		}
	}
}

// viewAt is when the view was known to be current.
func (rt *Router) viewAt() time.Time {
	now := time.Now()
	return now.Add(-rt.deployAge(now))
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
	req := viewRequest{RunnersAgeMillis: rt.runnersAge(asked).Milliseconds(), RunnersDigest: rt.fleet.Digest(asked)}
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
	if now := time.Now(); now.Sub(runnersAt) < rt.runnersAge(now) {
		switch {
		case reply.RunnersSame && rt.fleet.Digest(now) == req.RunnersDigest:
			rt.peerRunnersAt.set(runnersAt)
		case len(reply.Runners) > 0:
			rt.takePeerRunners(reply.Runners, runnersAt)
		}
	}
	return nil
}

// takePeerRunners takes the entries in use at a router whose view is newer.
func (rt *Router) takePeerRunners(entries []cicadaplace.Entry, at time.Time) {
	now := time.Now()
	seen := map[string]bool{}
	var change viewChange
	for _, e := range entries {
		seen[e.ID] = true
		rt.applyRunner(&change, e, now)
	}
	rt.retainRunners(&change, seen, "not in another router's view", now)
	rt.logRunners(&change, "another router")
	rt.peerRunnersAt.set(at)
}
