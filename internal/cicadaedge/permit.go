package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// permitTries bounds the routers that one request asks for a permit, one after another.
	permitTries  = 2
	methodPermit = "permit"
)

// handlePermit gives a permit of a runner's limit up to another router.
func (rt *Router) handlePermit(_ context.Context, u cicadalimit.Permit) bool {
	given := rt.limits.Yield(&u, time.Now())
	if given {
		rt.cfg.Log.WithField("runner", u.Runner).WithField("rate", u.Rate).Info("permit for a limited runner given up")
	}
	return given
}

// askPermits asks the owners of the permits that fell due last for one, where only runners
// are left that are closed to this router. It returns nil if it gets none.
func (ds *desks) askPermits(ctx context.Context, req *cicadaplace.Request) *placement {
	d := cicadalimit.Class{Service: req.Service, Priority: req.Priority}
	tries := 0
	for _, key := range ds.rt.fleet.Closed(req, time.Now()) {
		if tries == permitTries {
			return nil
		}
		u, owner, ok := ds.rt.limits.Foreign(key, d, time.Now())
		if !ok || ds.isDown(owner) {
			continue
		}
		tries++
		given, err := ds.askPermit(ctx, owner, &u)
		switch {
		case err != nil:
			ds.rt.cfg.Metrics.Errors.Add("permit", 1)
			ds.drop(owner, err)
		case given:
			ds.rt.limits.Receive(&u, time.Now())
			if t, err := ds.rt.fleet.ChooseAt(key.ID, req, time.Now()); err == nil {
				return &placement{Ticket: t}
			}
		}
	}
	return nil
}

func (ds *desks) askPermit(ctx context.Context, owner string, u *cicadalimit.Permit) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, deskTimeout)
	defer cancel()
	client, err := ds.client(ctx, owner)
	if err != nil {
		return false, err
	}
	var given bool
	err = client.CallResult(ctx, methodPermit, u, &given)
	return given, errors.Wrap(err, "ask for a permit")
}
