package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// permitInterval is the minimum time between two permit requests of a router, which take about
	// 250 bytes each.
	permitInterval = 25 * time.Millisecond
	methodPermit   = "permit"
)

// handlePermit grants a permit of this router to another router.
func (rt *Router) handlePermit(_ context.Context, p cicadalimit.Permit) bool {
	granted := rt.limits.GrantPermit(&p, time.Now())
	if granted {
		rt.cfg.Log.WithField("runner", p.Runner).WithField("rate", p.Rate).Info("permit for a limited runner given up")
	}
	return granted
}

// chooseWithPermit is used if only rate-limited runners are left for which this router has no
// permit. It requests the most recent due permit of one of them from the router that owns it, and
// returns nil if the permit is not granted.
func (c *placementClient) chooseWithPermit(ctx context.Context, req *cicadaplace.Request) *placement {
	p, owner, ok := c.peerPermit(req, time.Now())
	if !ok {
		return nil
	}
	granted, err := c.requestPermit(ctx, owner, &p)
	if err != nil {
		c.rt.cfg.Metrics.Errors.Add("permit", 1)
		c.markDown(owner, err)
		return nil
	}
	if !granted {
		return nil
	}
	c.rt.limits.AcceptPermit(&p, time.Now())
	assignment, err := c.rt.balancer.AssignTo(p.Runner, req, time.Now())
	if err != nil {
		c.rt.cfg.Log.WithField("runner", p.Runner).WithError(err).Info("permit of another router not used")
		return nil
	}
	return &placement{Assignment: assignment}
}

// peerPermit returns a permit to request and its owner, unless the last permit request is too
// recent.
func (c *placementClient) peerPermit(req *cicadaplace.Request, now time.Time) (cicadalimit.Permit, string, bool) {
	c.permitMu.Lock()
	defer c.permitMu.Unlock()
	if now.Before(c.nextPermit) {
		return cicadalimit.Permit{}, "", false
	}
	class := cicadalimit.Class{Service: req.Service, Priority: req.Priority}
	for _, key := range c.rt.balancer.RateLimitedRunners(req, now) {
		p, owner, ok := c.rt.limits.PeerPermit(key, class, now)
		if ok && !c.isDown(owner) {
			c.nextPermit = now.Add(permitInterval)
			return p, owner, true
		}
	}
	return cicadalimit.Permit{}, "", false
}

func (c *placementClient) requestPermit(ctx context.Context, owner string, p *cicadalimit.Permit) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	client, err := c.client(ctx, owner)
	if err != nil {
		return false, err
	}
	var granted bool
	err = client.CallResult(ctx, methodPermit, p, &granted)
	return granted, errors.Wrap(err, "request permit")
}
