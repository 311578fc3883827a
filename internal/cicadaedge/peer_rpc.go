package cicadaedge

import (
	"context"
	"net"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
	"github.com/creachadair/jrpc2/server"
	"github.com/pkg/errors"
)

const (
	// staleViewAge is the age of the deployment view from which on other routers are polled. A
	// healthy watcher's view is at most twice its maximum wait old. The value is well below the
	// time within which changes must be applied while the store is unreachable.
	staleViewAge = 2*deploymentMaxWait + 500*time.Millisecond
	// staleRunnersAge is the same for the view of the runners, which a healthy watcher keeps within two waits
	// and an interval, 1.45 s. It leaves time to ask other routers before a runner that drains must get no
	// more requests, 3 s after the store has acknowledged that.
	staleRunnersAge = runnerInterval + 2*tableMaxWait + 550*time.Millisecond
	// peerPollInterval is the time between two polls of other routers. It grows by the factor
	// peerPollBackoff up to maxPeerPollInterval while no router has a newer view. peerTimeout
	// bounds a single call.
	peerPollInterval    = 400 * time.Millisecond
	maxPeerPollInterval = 2 * time.Second
	peerPollBackoff     = 1.5
	peerTimeout         = 300 * time.Millisecond
	// In each poll, a router polls localPeersPerPoll routers of its own data centre. On average,
	// remotePollersPerCentre routers of a data centre also poll one router of another data centre.
	localPeersPerPoll      = 2
	remotePollersPerCentre = 3
	methodView             = "view"
	// peerConcurrency bounds the concurrent calls served for one router. Calls that wait for a
	// draw must not delay the others.
	peerConcurrency = 16
)

type (
	// viewRequest requests the view of another router.
	viewRequest struct {
		Version uint64 `json:"version"` // configuration version of the requesting router
		// RunnersAgeMillis is the age of the runner entries of the requesting router.
		// RunnersDigest is their digest; see Balancer.Digest.
		RunnersAgeMillis int64  `json:"runnersAgeMillis"`
		RunnersDigest    uint64 `json:"runnersDigest"`
		CrashesDigest    uint64 `json:"crashesDigest"` // of the known crashes of runners
	}

	// viewReply is the view of a router.
	viewReply struct {
		AgeMillis  int64                  `json:"ageMillis"`            // age of the deployment view
		Deployment *cicadadeploy.Document `json:"deployment,omitempty"` // if newer than that of the requesting router
		Evacuated  []string               `json:"evacuated,omitempty"`  // data centres
		// RunnersAgeMillis is the age of the runner entries in use. If they are newer than those of
		// the requesting router, RunnersSame is set if they have the same digest, and Runners holds
		// them if not.
		RunnersAgeMillis int64               `json:"runnersAgeMillis"`
		RunnersSame      bool                `json:"runnersSame,omitempty"`
		Runners          []cicadaplace.Entry `json:"runners,omitempty"`
		// Crashes is set if the crashes that the router knows differ from those of the requesting router.
		// CrashesPending is set if the router itself has yet to learn them, as it has just started.
		Crashes        *cicadaquarantine.Report `json:"crashes,omitempty"`
		CrashesPending bool                     `json:"crashesPending,omitempty"`
		Routers        int                      `json:"routers,omitempty"`      // number of routers; zero if unknown
		SharedMillis   int64                    `json:"sharedMillis,omitempty"` // shared time; zero if unknown
	}
)

// servePeers serves calls of other routers until ctx ends.
func (rt *Router) servePeers(ctx context.Context) {
	methods := handler.Map{
		methodView: handler.New(rt.handleView), methodPlace: handler.New(rt.placementServer.handlePlace),
		methodStarted: handler.New(rt.placementServer.handleStarted), methodEnded: handler.New(rt.placementServer.handleEnded),
		methodLend: handler.New(rt.handleLend), methodPermit: handler.New(rt.handlePermit),
	}
	ln := newPeerListener(rt.peerGuard.Listen(rt.cfg.PeerListener))
	stop := context.AfterFunc(ctx, func() {
		if err := ln.Close(); err != nil {
			rt.cfg.Log.WithError(err).Warn("failed to close the peer listener")
		}
	})
	defer stop()
	rt.runTask(func() { rt.relayServer.serve(ln.relay) })
	rt.runTask(func() {
		if err := ln.run(); err != nil {
			rt.cfg.Log.WithError(err).Error("peer listener failed")
		}
	})
	accepter := server.NetAccepter(ln.rpc, channel.Line)
	if err := server.Loop(context.WithoutCancel(ctx), accepter, server.Static(methods), &server.LoopOptions{
		ServerOptions: &jrpc2.ServerOptions{Concurrency: peerConcurrency},
	}); err != nil && ctx.Err() == nil {
		rt.cfg.Log.WithError(err).Error("peer RPC server failed")
	}
}

func (rt *Router) handleView(_ context.Context, req viewRequest) viewReply {
	now := time.Now()
	reply := viewReply{
		AgeMillis:        rt.deploymentAge(now).Milliseconds(),
		RunnersAgeMillis: rt.runnersAge(now).Milliseconds(),
		Evacuated:        rt.evacuations.list(),
		Routers:          rt.shares.known(),
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
	if crashes, digest := rt.knownCrashes(); digest != req.CrashesDigest {
		reply.Crashes = &crashes
	}
	reply.CrashesPending = !rt.quarantineLoaded.Load()
	if shared, ok := rt.clock.SharedTime(time.Now()); ok {
		reply.SharedMillis = shared.Milliseconds()
	}
	return reply
}

// pollPeers keeps the views current from other routers while this router cannot read them from the store.
func (rt *Router) pollPeers(ctx context.Context) {
	stale, interval := false, peerPollInterval
	for ctx.Err() == nil {
		sleep(ctx, interval)
		age, isStale := rt.viewAge(time.Now())
		if !isStale {
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
		previous := time.Now().Add(-age)
		for _, addr := range rt.peers.viewPeers() {
			if err := rt.pollPeer(ctx, addr); err != nil {
				rt.cfg.Log.WithField("peer", addr).WithError(err).Debug("call to peer failed")
				continue
			}
			if _, isStale := rt.viewAge(time.Now()); !isStale {
				break
			}
		}
		now := time.Now()
		if age, _ := rt.viewAge(now); now.Add(-age).Sub(previous) < interval {
			interval = min(time.Duration(peerPollBackoff*float64(interval)), maxPeerPollInterval)
		} else {
			interval = peerPollInterval
		}
	}
}

// viewAge returns the age of the older one of the views of the deployment and the runners, and whether one of
// them is stale. Each has its own calls to the store.
func (rt *Router) viewAge(now time.Time) (time.Duration, bool) {
	deployment, runners := rt.deploymentAge(now), rt.runnersAge(now)
	return max(deployment, runners), deployment >= staleViewAge || runners >= staleRunnersAge
}

// viewTime returns the time at which the deployment view was last known to be current.
func (rt *Router) viewTime() time.Time {
	now := time.Now()
	return now.Add(-rt.deploymentAge(now))
}

func (rt *Router) pollPeer(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := cicadanet.NewDialer(peerTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "connect to peer")
	}
	return rt.fetchView(ctx, conn, addr)
}

func (rt *Router) fetchView(ctx context.Context, conn net.Conn, addr string) error {
	client := jrpc2.NewClient(channel.Line(conn, conn), nil)
	defer rt.peerClients.closeClient(client)
	sentAt := time.Now()
	req := viewRequest{RunnersAgeMillis: rt.runnersAge(sentAt).Milliseconds(), RunnersDigest: rt.balancer.Digest(sentAt)}
	_, req.CrashesDigest = rt.knownCrashes()
	if d := rt.deployment.Load(); d != nil {
		req.Version = d.Version()
	}
	var reply viewReply
	if err := client.CallResult(ctx, methodView, req, &reply); err != nil {
		return errors.Wrap(err, "call peer")
	}
	if reply.SharedMillis > 0 {
		rt.peerClock.Observe(sentAt, time.Now(), time.Duration(reply.SharedMillis)*time.Millisecond)
	}
	rt.shares.setFromPeer(rt, reply.Routers)
	rt.applyPeerCrashes(&reply)
	if reply.Deployment != nil {
		rt.activate(reply.Deployment, "peer "+addr)
	}
	freshAt := sentAt.Add(-time.Duration(reply.AgeMillis) * time.Millisecond)
	if len(reply.Evacuated) > 0 && freshAt.After(rt.viewTime()) {
		rt.applyPeerEvacuations(reply.Evacuated, addr)
	}
	rt.peerDeploymentAt.advance(freshAt)
	runnersAt := sentAt.Add(-time.Duration(reply.RunnersAgeMillis) * time.Millisecond)
	if now := time.Now(); now.Sub(runnersAt) < rt.runnersAge(now) {
		switch {
		case reply.RunnersSame && rt.balancer.Digest(now) == req.RunnersDigest:
			rt.recordPeerRunners(runnersAt)
		case len(reply.Runners) > 0:
			rt.applyPeerRunners(reply.Runners, runnersAt)
		}
	}
	return nil
}

// applyPeerRunners applies the runner entries of a router whose view is newer.
func (rt *Router) applyPeerRunners(entries []cicadaplace.Entry, at time.Time) {
	now := time.Now()
	seen := map[string]bool{}
	var changes runnerChanges
	for _, e := range entries {
		seen[e.ID] = true
		rt.applyRunner(&changes, e, now)
	}
	rt.removeMissingRunners(&changes, seen, "missing from another router's view", now)
	rt.logRunnerChanges(&changes, "another router")
	rt.versions.observe(now)
	rt.recordPeerRunners(at)
}

// recordPeerRunners records that the runner entries are those that another router has read from the store.
func (rt *Router) recordPeerRunners(at time.Time) {
	rt.peerRunnersAt.set(at)
	rt.balancer.StoreServed(at)
}
