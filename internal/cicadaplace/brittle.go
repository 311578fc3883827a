package cicadaplace

import (
	"math"
	"time"
)

// Runners may be brittle for a while: one that has to reject more than a number of requests in a second,
// for want of room, crashes. All routers together must stay below that. So the routers that place the
// requests of a service divide most of its runners' slots among them and send no more than fits. A router
// that reaches none of these has a small share of the slots, or of those that a recent report shows to be
// free; beyond it, it sends rarely enough for all such requests to be rejected.
const (
	// groupFill is the share of a runner's slots that the routers of its service's groups divide.
	groupFill = 0.75
	// ownFill is the share of a runner's slots that all routers divide, and freeFill that of its free ones.
	ownFill  = 0.1
	freeFill = 0.75
	// brittleRisk is the share of the tolerated rejections that routers provoke at most by requests that
	// may not fit. maxRiskInterval bounds the time between two such requests.
	brittleRisk     = 0.5
	maxRiskInterval = time.Minute
	// roomGrowth is how fast the room that a runner is taken to have grows after a rejection: requests in a
	// second, for each rejection in a second that is tolerated.
	roomGrowth = 0.1
	// growthSpread is the number of speeds at which the room grows while other routers place too.
	growthSpread = 1024
	// settlingPeriod is the time until the requests have ended that routers sent before they knew that
	// the runners are brittle. Until then, a rejection says little about the room for those of this router.
	settlingPeriod = time.Second
	// rejectionPause is the time without requests after a rejection.
	rejectionPause = 250 * time.Millisecond
	// brittleReturn is how long runners that are no longer brittle get less than usual: the shares double
	// with each brittleStep.
	brittleReturn = 2 * time.Second
	brittleStep   = 500 * time.Millisecond
)

// NoRoomError is returned by Choose if the runners that are left are brittle and may have no room.
type NoRoomError struct{}

// brittleState is what is known of a service whose runners are brittle.
type brittleState struct {
	rejections float64   // that a runner tolerates in a second, of all routers together
	since      time.Time // when a response first said so
	saidAt     time.Time // when a response last said so
	endedAt    time.Time // when responses no longer said so; zero if they do
}

// Error implements error.
func (*NoRoomError) Error() string {
	return "the runners that are left are brittle and may have no room"
}

// SetRouters sets the number of routers that use the runners.
func (b *Balancer) SetRouters(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = n
}

// RecordBrittle records whether the runner stated in a response that it is brittle, and how many
// rejections in a second it tolerates. It reports whether this changes what is known of its service.
func (a *Assignment) RecordBrittle(stated bool, rejections float64, now time.Time) bool {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.brittle[a.runner.entry.Service]
	switch {
	case stated:
		return b.setBrittle(a.runner.entry.Service, rejections, now)
	case st == nil || !st.endedAt.IsZero() || a.assignedAt.Before(st.saidAt):
		return false
	default:
		st.endedAt = now
		return true
	}
}

// brittleState returns the state of a service with brittle runners, or nil.
func (b *Balancer) brittleState(service string, now time.Time) *brittleState {
	st := b.brittle[service]
	if st != nil && !st.endedAt.IsZero() && now.Sub(st.endedAt) > brittleReturn {
		delete(b.brittle, service)
		return nil
	}
	return st
}

// IsBrittle reports whether the runners of a service are brittle, or were until a moment ago.
func (b *Balancer) IsBrittle(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.brittleState(service, now) != nil
}

// StatedBrittle returns how many rejections in a second each runner of a service tolerates, and whether
// they still state that they are brittle. Other routers are told no longer than that: they would tell it
// back otherwise.
func (b *Balancer) StatedBrittle(service string, now time.Time) (rejections float64, stated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.brittleState(service, now); st != nil && st.endedAt.IsZero() {
		return st.rejections, true
	}
	return 0, false
}

// MergeBrittle records what another router knows of a service with brittle runners.
func (b *Balancer) MergeBrittle(service string, rejections float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setBrittle(service, rejections, now)
}

// setBrittle reports whether this changes what is known of the service.
func (b *Balancer) setBrittle(service string, rejections float64, now time.Time) bool {
	st := b.brittle[service]
	if st == nil || !st.endedAt.IsZero() {
		b.brittle[service] = &brittleState{rejections: rejections, since: now, saidAt: now}
		return true
	}
	changed := st.rejections != rejections
	st.rejections, st.saidAt = rejections, now
	return changed
}

// hasRoom reports whether a brittle runner may get one more request.
func (b *Balancer) hasRoom(r *Runner, req *Request, now time.Time) bool {
	st := b.brittleState(r.entry.Service, now)
	if st == nil {
		return true
	}
	if now.Sub(r.rejectedAt) < rejectionPause {
		return false
	}
	return b.surelyFits(r, req, st, now) || !req.PlacesGroup && !now.Before(r.nextRisk)
}

// room returns the number of requests that a brittle runner has room for: as many as its slots, or fewer
// if it has rejected requests although slots were free, for want of memory. It is taken to grow again
// afterwards.
func (r *Runner) room(st *brittleState, now time.Time) float64 {
	slots := float64(r.entry.Slots)
	if r.roomSeenAt.Before(st.since) {
		return slots
	}
	return min(slots, r.roomSeen+r.growthPart*roomGrowth*st.rejections*now.Sub(r.roomSeenAt).Seconds())
}

// surelyFits reports whether one more request is within the share of this router.
func (b *Balancer) surelyFits(r *Runner, req *Request, st *brittleState, now time.Time) bool {
	reported := now.Sub(r.reportedAt) <= loadReportTTL
	if reported && r.reportedLoad.Waiting > 0 {
		return false
	}
	room := r.room(st, now)
	share := room * ownFill / float64(max(b.routers, 1))
	if req.PlacesGroup {
		share = room * groupFill / float64(b.groups(r))
	}
	if !st.endedAt.IsZero() {
		share *= math.Exp2(math.Floor(float64(now.Sub(st.endedAt)) / float64(brittleStep)))
	}
	if float64(r.inFlight+1) <= share {
		return true
	}
	if req.PlacesGroup || !reported {
		return false
	}
	free := (room - float64(r.reportedLoad.Running)) * freeFill / float64(max(b.routers, 1))
	return float64(r.sinceReport+1) <= free
}

// takeRoom counts a request that may not fit.
func (b *Balancer) takeRoom(r *Runner, req *Request, now time.Time) {
	r.placesGroup = req.PlacesGroup
	st := b.brittleState(r.entry.Service, now)
	if st != nil && !b.surelyFits(r, req, st, now) {
		r.nextRisk = now.Add(b.riskInterval(st))
	}
}

// riskInterval returns the time between two requests of this router to one runner that may be rejected.
func (b *Balancer) riskInterval(st *brittleState) time.Duration {
	seconds := float64(max(b.routers, 1)) / max(brittleRisk*st.rejections, 1/maxRiskInterval.Seconds())
	return max(min(time.Duration(seconds*float64(time.Second)), maxRiskInterval), time.Second)
}

// recordRejection keeps requests from a brittle runner that had no room.
func (b *Balancer) recordRejection(r *Runner, now time.Time) {
	st := b.brittleState(r.entry.Service, now)
	if st == nil {
		return
	}
	r.rejectedAt, r.nextRisk = now, now.Add(b.riskInterval(st))
	if now.Sub(st.since) < settlingPeriod {
		return
	}
	seen, growth := float64(r.inFlight*b.groups(r)), 1.0
	if running := float64(r.reportedLoad.Running); now.Sub(r.reportedAt) < rejectionPause {
		if running > seen {
			growth = b.sharedGrowth(now)
		}
		if running < seen || !r.placesGroup {
			// A router that places counts its own requests only: others may place too, while they do not reach it.
			seen = running
		}
	}
	r.growthPart = growth
	r.roomSeen, r.roomSeenAt = min(seen, r.room(st, now)), now
}

// sharedGrowth returns the part of this router in the growth of a runner's room while others place too.
// All routers may, as far as it knows. Routers that were rejected at the same time get different parts, so
// that they do not try again at the same time.
func (b *Balancer) sharedGrowth(now time.Time) float64 {
	spread := (1 + float64(mix(uint64(now.UnixNano()))%growthSpread)/growthSpread) / 2
	return spread / float64(max(b.routers, 1))
}

// groups returns the number of groups of a runner's service.
func (b *Balancer) groups(r *Runner) int { return groupCount(len(b.services[r.entry.Service])) }
