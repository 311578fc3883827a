package cicadaedge

import "sync"

// routerShares holds the number of routers that divide what all of them may use together. Its zero
// value is an unknown number.
type routerShares struct {
	mu      sync.Mutex // guards routers
	routers int
}

// setFromTable applies the number of routers in the table.
func (s *routerShares) setFromTable(rt *Router, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rt, n)
}

// setFromPeer applies the number that another router knows if it is larger: the table may have been read
// before all routers had their rows, or not yet.
func (s *routerShares) setFromPeer(rt *Router, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > s.routers {
		s.apply(rt, n)
	}
}

func (s *routerShares) apply(rt *Router, n int) {
	s.routers = n
	rt.retries.SetRouters(n)
	rt.balancer.SetRouters(n)
	rt.transports.setRouters(n)
	rt.streamRows.setRouters(n)
}

// known returns the number of routers, or zero if it is unknown.
func (s *routerShares) known() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers
}
