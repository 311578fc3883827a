package cicadalimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation simulates routers that send as many requests as they may, while limits and the sets of
// known routers change at random times.
type simulation struct {
	t          *rapid.T
	routers    []*router
	known      int // number of routers that all routers know; the others are known to some
	now        time.Duration
	advertised []advertisedRate
	sent       arrivals
}

// advertisedRate is a rate that the runner advertises from a time on.
type advertisedRate struct {
	at   time.Duration
	rate float64
}

func (s *simulation) at() time.Time { return start.Add(s.now) }

func (s *simulation) router(name string) *router {
	return s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(s.t, name)]
}

// highestRate returns the largest rate that some router may have applied during the last window.
func (s *simulation) highestRate() float64 {
	var highest float64
	for i, n := range s.advertised {
		if i == len(s.advertised)-1 || s.advertised[i+1].at > s.now-2*window {
			highest = max(highest, n.rate)
		}
	}
	return highest
}

func (s *simulation) step() {
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0:
		rate := rapid.Float64Range(0, 8).Draw(s.t, "rate")
		s.advertised = append(s.advertised, advertisedRate{s.now, rate})
		for _, r := range s.routers {
			r.RecordLimit(runner, rate, s.at())
		}
	case 1:
		// A router learns of some of the added routers.
		n := rapid.IntRange(s.known, len(s.routers)).Draw(s.t, "known")
		r := s.router("router with a new set")
		r.SetRouters(r.name, names(s.routers[:n]))
	case 2:
		r := s.router("asker")
		permit, owner, ok := r.PeerPermit(runner, class, s.at())
		if !ok {
			return
		}
		for _, o := range s.routers {
			if o.name == owner && o.GrantPermit(&permit, s.at()) && !rapid.Bool().Draw(s.t, "lost") {
				r.AcceptPermit(&permit, s.at())
			}
		}
	case 3:
		r := s.router("learner")
		r.MergeReports(s.router("teller").Reports(s.at()), s.at())
	case 4:
		// A response without a limit that arrives after a later response with one.
		s.router("router with a late response").RecordNoLimit(runner, start.Add(s.advertised[len(s.advertised)-1].at-time.Millisecond))
	default:
		s.now += time.Duration(rapid.IntRange(1, 700).Draw(s.t, "ms")) * time.Millisecond
	}
	for _, r := range s.routers {
		for r.TryAcquire(runner, class, s.at()) {
			s.sent = append(s.sent, s.at())
		}
	}
	recent := 0
	for _, at := range s.sent {
		if s.at().Sub(at) <= window {
			recent++
		}
	}
	if limit := maxAllowed(s.highestRate()); recent > limit {
		s.t.Fatalf("%d requests in a window at %v, want at most %d", recent, s.now, limit)
	}
}

// TestLimitHoldsInRandomSchedules checks that all routers together keep the limit while routers, limits
// and reports change at random times.
func TestLimitHoldsInRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(4, 20).Draw(t, "routers")
		added := rapid.IntRange(0, known/8).Draw(t, "added")
		s := &simulation{t: t, routers: newRouters(known+added, 50*time.Millisecond), known: known}
		setRouters(s.routers, names(s.routers[:known]))
		for _, r := range s.routers[known:] {
			r.SetRouters(r.name, names(s.routers))
		}
		rate := rapid.Float64Range(0, 8).Draw(t, "first rate")
		s.advertised = append(s.advertised, advertisedRate{0, rate})
		recordLimit(s.routers, rate, 0)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			s.step()
		}
	})
}
