package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// unitTries bounds the routers that one request asks for a unit, one after another.
	unitTries  = 2
	methodUnit = "unit"
)

// handleUnit gives a unit of a runner's limit up to another router.
func (rt *Router) handleUnit(_ context.Context, u cicadalimit.Unit) bool {
	given := rt.limits.Yield(&u, time.Now())
	if given {
		rt.cfg.Log.WithField("runner", u.Runner).WithField("rate", u.Rate).Info("unit of a limit given up")
	}
	return given
}

// askUnits asks the owners of the units that fell due last for one, where only runners
// are left that are closed to this router. It returns nil if it gets none.
func (ds *desks) askUnits(ctx context.Context, req *cicadaplace.Request) *placement {
	d := cicadalimit.Demand{Service: req.Service, Priority: req.Priority}
	tries := 0
	for _, key := range ds.rt.fleet.Closed(req, time.Now()) {
		if tries == unitTries {
			return nil
		}
		u, owner, ok := ds.rt.limits.Foreign(key, d, time.Now())
		if !ok || ds.isDown(owner) {
			continue
		}
		tries++
		given, err := ds.askUnit(ctx, owner, &u)
		switch {
		case err != nil:
			ds.rt.cfg.Metrics.Errors.Add("unit", 1)
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

func (ds *desks) askUnit(ctx context.Context, owner string, u *cicadalimit.Unit) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, deskTimeout)
	defer cancel()
	client, err := ds.client(ctx, owner)
	if err != nil {
		return false, err
	}
	var given bool
	err = client.CallResult(ctx, methodUnit, u, &given)
	return given, errors.Wrap(err, "ask for a unit")
}
