package cicadalimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// schedule plays routers that send whenever they may while limits, views and clocks
// change at any time.
type schedule struct {
	t       *rapid.T
	routers []*router
	known   int // routers that all know; the others are known to some
	now     time.Duration
	named   []named
	got     arrivals
}

type named struct {
	at   time.Duration
	rate float64
}

func (s *schedule) at() time.Time { return start.Add(s.now) }

func (s *schedule) router(name string) *router {
	return s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(s.t, name)]
}

// highest is the largest rate that counted in the last window, or was still believed
// somewhere then.
func (s *schedule) highest() float64 {
	var highest float64
	for i, n := range s.named {
		if i == len(s.named)-1 || s.named[i+1].at > s.now-2*window {
			highest = max(highest, n.rate)
		}
	}
	return highest
}

func (s *schedule) step() {
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0:
		rate := rapid.Float64Range(0, 8).Draw(s.t, "rate")
		s.named = append(s.named, named{s.now, rate})
		for _, r := range s.routers {
			r.RecordLimit(runner, rate, s.at())
		}
	case 1:
		// A router that knows some of those that were added.
		n := rapid.IntRange(s.known, len(s.routers)).Draw(s.t, "known")
		r := s.router("whose view")
		r.SetRouters(r.name, names(s.routers[:n]))
	case 2:
		r := s.router("asker")
		u, owner, ok := r.PeerPermit(runner, call, s.at())
		if !ok {
			return
		}
		for _, o := range s.routers {
			if o.name == owner && o.GrantPermit(&u, s.at()) && !rapid.Bool().Draw(s.t, "lost") {
				r.AcceptPermit(&u, s.at())
			}
		}
	case 3:
		r := s.router("learner")
		r.MergeReports(s.router("teller").Reports(s.at()), s.at())
	case 4:
		// An end that was overtaken by a later naming.
		s.router("hears an old end").RecordNoLimit(runner, start.Add(s.named[len(s.named)-1].at-time.Millisecond))
	default:
		s.now += time.Duration(rapid.IntRange(1, 700).Draw(s.t, "ms")) * time.Millisecond
	}
	for _, r := range s.routers {
		for r.TryAcquire(runner, call, s.at()) {
			s.got = append(s.got, s.at())
		}
	}
	recent := 0
	for _, at := range s.got {
		if s.at().Sub(at) <= window {
			recent++
		}
	}
	if most := allowed(s.highest()); recent > most {
		s.t.Fatalf("%d requests in a window at %v, allowed %d", recent, s.now, most)
	}
}

func TestLimitHoldsInRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(4, 20).Draw(t, "routers")
		added := rapid.IntRange(0, known/8).Draw(t, "added")
		s := &schedule{t: t, routers: newRouters(known+added, 50*time.Millisecond), known: known}
		know(s.routers, names(s.routers[:known]))
		for _, r := range s.routers[known:] {
			r.SetRouters(r.name, names(s.routers))
		}
		rate := rapid.Float64Range(0, 8).Draw(t, "first rate")
		s.named = append(s.named, named{0, rate})
		name(s.routers, rate, 0)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			s.step()
		}
	})
}
