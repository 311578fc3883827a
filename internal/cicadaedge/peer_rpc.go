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
	// staleViewAge is the age of the view from which on other routers are asked:
	// more than that of a healthy follower, which is twice its wait for changes
	// at most, and well below the time within which changes must be in force
	// while the store is unsure.
	staleViewAge = 2*deploymentMaxWait + 500*time.Millisecond
	// peerPollInterval lies between two rounds of questions, and grows to mostRelayPause by
	// relayGrowth each time while no router knows more. relayTimeout bounds a question.
	peerPollInterval    = 400 * time.Millisecond
	maxPeerPollInterval = 2 * time.Second
	peerPollBackoff     = 1.5
	peerTimeout         = 300 * time.Millisecond
	// localPeersPerPoll is how many routers of the own data centre are asked in a round, and
	// relayFar how many routers of a data centre ask one of another in it, on average.
	localPeersPerPoll      = 2
	remotePollersPerCentre = 3
	methodView             = "view"
	// peerConcurrency is how many questions of one router are answered at once:
	// those that wait for a draw shall not delay the others.
	peerConcurrency = 16
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

// servePeers answers other routers until the listener is closed.
func (rt *Router) servePeers(ctx context.Context) {
	methods := handler.Map{
		methodView: handler.New(rt.handleView), methodPlace: handler.New(rt.placementServer.handlePlace),
		methodStarted: handler.New(rt.placementServer.handleStarted), methodEnded: handler.New(rt.placementServer.handleEnded),
		methodLend: handler.New(rt.handleLend), methodPermit: handler.New(rt.handlePermit),
	}
	accepter := server.NetAccepter(rt.cfg.PeerListener, channel.Line)
	if err := server.Loop(ctx, accepter, server.Static(methods), &server.LoopOptions{
		ServerOptions: &jrpc2.ServerOptions{Concurrency: peerConcurrency},
	}); err != nil && ctx.Err() == nil {
		rt.cfg.Log.WithError(err).Error("relay ended")
	}
}

func (rt *Router) handleView(_ context.Context, req viewRequest) viewReply {
	now := time.Now()
	reply := viewReply{
		AgeMillis:        rt.deploymentAge(now).Milliseconds(),
		RunnersAgeMillis: rt.runnersAge(now).Milliseconds(),
	}
	if d := rt.deployment.Load(); d != nil && d.Version() > req.Version {
		reply.Deployment = d.Document()
	}
	if reply.RunnersAgeMillis < req.RunnersAgeMillis {
		reply.RunnersSame = rt.balancer.Digest(now) == req.RunnersDigest
		if !reply.RunnersSame {
			reply.Runners = rt.balancer.Entries(now)
		}
	}
	return reply
}

// pollPeers keeps the view current from other routers while the store turns this
// one away.
func (rt *Router) pollPeers(ctx context.Context) {
	stale, interval := false, peerPollInterval
	for ctx.Err() == nil {
		sleep(ctx, interval)
		age := rt.deploymentAge(time.Now())
		if age < staleViewAge {
			if stale {
				rt.cfg.Log.WithField("ageMillis", age.Milliseconds()).Info("view is current again")
			}
			stale, interval = false, peerPollInterval
			continue
		}
		if !stale {
			rt.cfg.Log.WithField("ageMillis", age.Milliseconds()).Info("view is stale, other routers are asked")
		}
		stale = true
		previous := rt.viewTime()
		for _, addr := range rt.peers.viewPeers() {
			if err := rt.pollPeer(ctx, addr); err != nil {
				rt.cfg.Log.WithField("peer", addr).WithError(err).Debug("peer does not answer")
				continue
			}
			if rt.deploymentAge(time.Now()) < staleViewAge {
				break
			}
		}
		if rt.viewTime().Sub(previous) < interval {
			interval = min(time.Duration(peerPollBackoff*float64(interval)), maxPeerPollInterval)
		} else {
			interval = peerPollInterval
		}
	}
}

// viewTime is when the view was known to be current.
func (rt *Router) viewTime() time.Time {
	now := time.Now()
	return now.Add(-rt.deploymentAge(now))
}

func (rt *Router) pollPeer(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := cicadanet.NewDialer(peerTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "reach peer")
	}
	return rt.fetchView(ctx, conn, addr)
}

func (rt *Router) fetchView(ctx context.Context, conn net.Conn, addr string) error {
	client := jrpc2.NewClient(channel.Line(conn, conn), nil)
	defer rt.peerClients.closeClient(client)
	sentAt := time.Now()
	req := viewRequest{RunnersAgeMillis: rt.runnersAge(sentAt).Milliseconds(), RunnersDigest: rt.balancer.Digest(sentAt)}
	if d := rt.deployment.Load(); d != nil {
		req.Version = d.Version()
	}
	var reply viewReply
	if err := client.CallResult(ctx, methodView, req, &reply); err != nil {
		return errors.Wrap(err, "ask peer")
	}
	if reply.Deployment != nil {
		rt.activate(reply.Deployment, "peer "+addr)
	}
	freshAt := sentAt.Add(-time.Duration(reply.AgeMillis) * time.Millisecond)
	rt.peerDeploymentAt.advance(freshAt)
	runnersAt := sentAt.Add(-time.Duration(reply.RunnersAgeMillis) * time.Millisecond)
	if now := time.Now(); now.Sub(runnersAt) < rt.runnersAge(now) {
		switch {
		case reply.RunnersSame && rt.balancer.Digest(now) == req.RunnersDigest:
			rt.peerRunnersAt.set(runnersAt)
		case len(reply.Runners) > 0:
			rt.applyPeerRunners(reply.Runners, runnersAt)
		}
	}
	return nil
}

// applyPeerRunners takes the entries in use at a router whose view is newer.
func (rt *Router) applyPeerRunners(entries []cicadaplace.Entry, at time.Time) {
	now := time.Now()
	seen := map[string]bool{}
	var changes runnerChanges
	for _, e := range entries {
		seen[e.ID] = true
		rt.applyRunner(&changes, e, now)
	}
	rt.removeMissingRunners(&changes, seen, "not in another router's view", now)
	rt.logRunnerChanges(&changes, "another router")
	rt.peerRunnersAt.set(at)
}
