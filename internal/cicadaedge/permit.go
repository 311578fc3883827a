package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// permitGap is the least time between two questions of a router: some 250 bytes each.
	permitGap    = 25 * time.Millisecond
	methodPermit = "permit"
)

// handlePermit gives a permit of a runner's limit up to another router.
func (rt *Router) handlePermit(_ context.Context, p cicadalimit.Permit) bool {
	given := rt.limits.GrantPermit(&p, time.Now())
	if given {
		rt.cfg.Log.WithField("runner", p.Runner).WithField("rate", p.Rate).Info("permit for a limited runner given up")
	}
	return given
}

// withPermit asks the owner of the permit that fell due last for it, where only runners
// are left that are closed to this router. It returns nil if it gets none.
func (ds *desks) withPermit(ctx context.Context, req *cicadaplace.Request) *placement {
	p, owner, ok := ds.foreignPermit(req, time.Now())
	if !ok {
		return nil
	}
	given, err := ds.askPermit(ctx, owner, &p)
	if err != nil {
		ds.rt.cfg.Metrics.Errors.Add("permit", 1)
		ds.drop(owner, err)
		return nil
	}
	if !given {
		return nil
	}
	ds.rt.limits.AcceptPermit(&p, time.Now())
	t, err := ds.rt.fleet.AssignTo(p.Runner, req, time.Now())
	if err != nil {
		ds.rt.cfg.Log.WithField("runner", p.Runner).WithError(err).Info("permit of another router not used")
		return nil
	}
	return &placement{Assignment: t}
}

// foreignPermit returns a permit to ask for and its owner, if a question is due.
func (ds *desks) foreignPermit(req *cicadaplace.Request, now time.Time) (cicadalimit.Permit, string, bool) {
	ds.permitMu.Lock()
	defer ds.permitMu.Unlock()
	if now.Before(ds.nextPermit) {
		return cicadalimit.Permit{}, "", false
	}
	class := cicadalimit.Class{Service: req.Service, Priority: req.Priority}
	for _, key := range ds.rt.fleet.RateLimitedRunners(req, now) {
		p, owner, ok := ds.rt.limits.PeerPermit(key, class, now)
		if ok && !ds.isDown(owner) {
			ds.nextPermit = now.Add(permitGap)
			return p, owner, true
		}
	}
	return cicadalimit.Permit{}, "", false
}

func (ds *desks) askPermit(ctx context.Context, owner string, p *cicadalimit.Permit) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, deskTimeout)
	defer cancel()
	client, err := ds.client(ctx, owner)
	if err != nil {
		return false, err
	}
	var given bool
	err = client.CallResult(ctx, methodPermit, p, &given)
	return given, errors.Wrap(err, "ask for a permit")
}
