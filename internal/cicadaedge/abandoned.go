package cicadaedge

import (
	"slices"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/pkg/errors"
)

const (
	// abandonedSlack is how much longer than the time that it was given a runner may work on a request.
	abandonedSlack = time.Second
	// maxAbandoned bounds the abandoned requests that are kept for each runner. The oldest are dropped.
	maxAbandoned = 32
)

// abandonedRequest is a request whose response this router does not await any more, and on which its runner may
// still work. If the runner crashes, it is a suspect.
type abandonedRequest struct {
	traits cicadaquarantine.Suspect
	sentAt time.Time
	until  time.Time // the runner has ended its work
}

// abandon records that the response to a request that was sent to a runner is not awaited any more.
func (x *exchange) abandon(p *placement) {
	if x.conn == nil || x.relay != "" {
		return // the end of the runner would not show on other connections
	}
	sentAt, _ := x.conn.usedAt.get() // it is set when a request is assigned
	a := abandonedRequest{traits: x.allTraits(), sentAt: sentAt, until: x.deadline.Add(abandonedSlack)}
	x.rt.transports.connsOf(p.Runner()).abandon(a, x.conn)
}

// abandon keeps a request until its runner has ended its work on it. sentOn is its connection. Another one is opened
// if there is none that would show the end of the runner.
func (c *runnerConns) abandon(a abandonedRequest, sentOn *countedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.abandoned = slices.DeleteFunc(c.abandoned, func(a abandonedRequest) bool { return now.After(a.until) })
	if len(c.abandoned) == maxAbandoned {
		c.abandoned = slices.Delete(c.abandoned, 0, 1)
	}
	c.abandoned = append(c.abandoned, a)
	for conn := range c.open {
		if conn != sentOn && conn.relay == "" {
			return
		}
	}
	c.spare.acquire()
	time.AfterFunc(a.until.Sub(now), func() { c.spare.release(false) })
}

// abandonedAt returns the requests that a runner may have been working on at a time although nobody awaited their
// responses.
func (c *runnerConns) abandonedAt(at time.Time) []abandonedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.abandoned), func(a abandonedRequest) bool { return at.Before(a.sentAt) || at.After(a.until) })
}

// addAbandoned adds the requests to the suspects that the runner may have been working on although nobody awaited
// their responses, but for those that this router has seen answered since.
func (rt *Router) addAbandoned(r *cicadaplace.Runner, b *cicadacrash.Broken) {
	for _, a := range rt.transports.connsOf(r).abandonedAt(b.At) {
		sentAt, ok := rt.crashTime(a.sentAt)
		if traits := rt.quarantine.Unanswered(a.traits, sentAt); ok && len(traits) > 0 {
			b.Suspects.Waiting = append(b.Suspects.Waiting, traits)
		}
	}
}

// checkIdleEnd checks a runner that has ended a connection while it may work on abandoned requests. If none of its
// other requests awaits a response, nothing else shows that it has crashed.
func (rt *Router) checkIdleEnd(r *cicadaplace.Runner, conn *countedConn, at time.Time) {
	rt.crashDetector.Add(r, &cicadacrash.Broken{At: at, AcceptedAt: conn.establishedAt, Leaving: rt.isLeaving(r, at)})
}

// isLeaving reports whether a runner was about to end, whatever it served.
func (rt *Router) isLeaving(r *cicadaplace.Runner, at time.Time) bool {
	return errors.Is(rt.balancer.Unavailability(r, at), cicadaplace.ErrDraining) && !rt.balancer.HasRestarted(r)
}
