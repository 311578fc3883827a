package cicadaedge

import (
	"sync"
	"time"
)

// routerCountSettling is the time between two reads of the table of routers that have to agree on their
// number, in a fleet that starts for the first time, before the slack of the retry budget is divided by
// it: the rows of all routers are written within that time. Later the rows are there before.
const routerCountSettling = time.Second

// routerShares holds the number of routers that divide what all of them may use together. Its zero
// value is an unknown number.
type routerShares struct {
	mu      sync.Mutex // guards the fields below
	routers int
	since   time.Time // when the number was first known
	settled bool
}

// setFromTable applies the number of routers in the table.
func (s *routerShares) setFromTable(rt *Router, n int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n != s.routers {
		s.since = now
	}
	s.settled = s.settled || !rt.cfg.FirstStart || now.Sub(s.since) >= routerCountSettling
	s.apply(rt, n)
}

// setFromPeer applies the settled number of another router if it is larger than the known one: the table
// may have been read before all routers had their rows, or not yet.
func (s *routerShares) setFromPeer(rt *Router, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > s.routers {
		s.settled = true
		s.apply(rt, n)
	}
}

func (s *routerShares) apply(rt *Router, n int) {
	changed := n != s.routers
	s.routers = n
	if s.settled {
		changed = rt.retries.SetRouters(n) || changed
	}
	if changed {
		rt.cfg.Log.WithField("routers", n).WithField("settled", s.settled).WithField("slackPerWindow", rt.retries.SlackShare()).
			Info("share of the retry budget changed")
	}
	rt.balancer.SetRouters(n)
	rt.transports.setRouters(n)
	rt.streamRows.setRouters(n)
}

// known returns the number of routers, or zero if it is unknown or has not settled.
func (s *routerShares) known() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.settled {
		return 0
	}
	return s.routers
}
