package cicadaedge

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// A request waits for room at brittle runners for at most roomWaitShare of its remaining time, and
	// roomWaitInterval passes between two tries.
	roomWaitShare    = 0.25
	roomWaitInterval = 25 * time.Millisecond
	// defaultRejections is used if the number of rejections that a runner tolerates cannot be parsed.
	defaultRejections = 1
)

// recordBrittle records whether the runner stated in its response that it is brittle.
func (x *exchange) recordBrittle(a *attempt) {
	if !a.isFromRunner(x.info.ID) {
		return
	}
	entry := x.rt.cfg.Log.WithField("runner", a.placement.Runner().ID()).WithField("service", x.service.Name).WithField("requestId", x.info.ID)
	if a.info.BrittleErr != nil {
		x.rt.cfg.Metrics.Errors.Add("brittleUnreadable", 1)
		entry.WithError(a.info.BrittleErr).Warn("failed to parse how many rejections a runner tolerates")
		a.info.BrittleRejections = defaultRejections
	}
	if !a.placement.RecordBrittle(a.info.Brittle, a.info.BrittleRejections, time.Now()) {
		return
	}
	if a.info.Brittle {
		entry.WithField("rejections", a.info.BrittleRejections).Info("runners of a service are brittle")
		return
	}
	entry.Info("runners of a service are no longer brittle")
}

// chooseWithRoom chooses a runner. While the runners are brittle and may have no room, it waits for
// some of them to become free.
func (x *exchange) chooseWithRoom(ctx context.Context, req *cicadaplace.Request) (*placement, error) {
	end := time.Now().Add(time.Duration(roomWaitShare * float64(time.Until(x.deadline))))
	for {
		p, err := x.rt.placementClient.choose(ctx, req, x.deadline)
		var noRoom *cicadaplace.NoRoomError
		if !errors.As(err, &noRoom) || !time.Now().Before(end) || ctx.Err() != nil {
			return p, err
		}
		x.rt.cfg.Metrics.RoomWaits.Add(1)
		sleep(ctx, roomWaitInterval)
	}
}
