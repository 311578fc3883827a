package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// permitInterval is the least time between two questions of a router: some 250 bytes each.
	permitInterval = 25 * time.Millisecond
	methodPermit   = "permit"
)

// handlePermit gives a permit of a runner's limit up to another router.
func (rt *Router) handlePermit(_ context.Context, p cicadalimit.Permit) bool {
	granted := rt.limits.Yield(&p, time.Now())
	if granted {
		rt.cfg.Log.WithField("runner", p.Runner).WithField("rate", p.Rate).Info("permit for a limited runner given up")
	}
	return granted
}

// chooseWithPermit asks the owner of the permit that fell due last for it, where only runners
// are left that are closed to this router. It returns nil if it gets none.
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
	c.rt.limits.Receive(&p, time.Now())
	assignment, err := c.rt.balancer.ChooseAt(p.Runner, req, time.Now())
	if err != nil {
		c.rt.cfg.Log.WithField("runner", p.Runner).WithError(err).Info("permit of another router not used")
		return nil
	}
	return &placement{Ticket: assignment}
}

// peerPermit returns a permit to ask for and its owner, if a question is due.
func (c *placementClient) peerPermit(req *cicadaplace.Request, now time.Time) (cicadalimit.Permit, string, bool) {
	c.permitMu.Lock()
	defer c.permitMu.Unlock()
	if now.Before(c.nextPermit) {
		return cicadalimit.Permit{}, "", false
	}
	class := cicadalimit.Class{Service: req.Service, Priority: req.Priority}
	for _, key := range c.rt.balancer.Closed(req, now) {
		p, owner, ok := c.rt.limits.Foreign(key, class, now)
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
	return granted, errors.Wrap(err, "ask for a permit")
}
