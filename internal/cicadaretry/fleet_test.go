package cicadaretry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaretry"
)

const (
	fleetStep = 100 * time.Millisecond
	// failuresStart is after several windows, in which the buckets have filled.
	failuresStart, fleetEnd = 30 * time.Second, 60 * time.Second
)

type (
	// fleet is a number of routers that repeat whenever their budgets allow it, with virtual time.
	fleet struct {
		cfg      cicadaretry.Config
		budgets  []*cicadaretry.Budget
		requests []int // of all routers, by step
		repeats  []int
		sent     float64 // requests, of which fractions are carried to the next step
	}

	// fleetScenario is what happens to a fleet. A nil function does nothing.
	fleetScenario struct {
		name string
		// load is the part of the rate of requests at a time.
		load func(at time.Duration) float64
		// change is called at each step.
		change func(f *fleet, step int)
		// paused reports whether a router does not run.
		paused func(router int, at time.Duration) bool
	}
)

func newFleet(routers int, slack float64) *fleet {
	f := &fleet{cfg: cicadaretry.Config{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}}
	for range routers {
		f.add(routers)
	}
	return f
}

func (f *fleet) add(known int) {
	f.budgets = append(f.budgets, nil)
	f.restart(len(f.budgets)-1, known)
}

// restart replaces a router by one that knows a number of routers; 0 if it knows none.
func (f *fleet) restart(router, known int) {
	f.budgets[router] = cicadaretry.NewBudget(f.cfg)
	if known > 0 {
		f.budgets[router].SetRouters(known)
	}
}

func (f *fleet) run(s *fleetScenario, perSecond float64) {
	next := 0
	waiting := make([]int, 2*len(f.budgets)) // requests at a paused router
	for step := range int(fleetEnd / fleetStep) {
		at := time.Duration(step) * fleetStep
		now := start.Add(at)
		if s.change != nil {
			s.change(f, step)
		}
		load := 1.0
		if s.load != nil {
			load = s.load(at)
		}
		f.sent += load * perSecond * fleetStep.Seconds()
		f.requests, f.repeats = append(f.requests, int(f.sent)), append(f.repeats, 0)
		for ; f.sent >= 1; f.sent-- {
			waiting[next%len(f.budgets)]++
			next++
		}
		for i, b := range f.budgets {
			if s.paused != nil && s.paused(i, at) {
				continue
			}
			for ; waiting[i] > 0; waiting[i]-- {
				b.CountRequest("s", now)
			}
			for at >= failuresStart && b.Allow("s", now) {
				f.repeats[step]++
			}
		}
	}
}

// excess returns the greatest excess over the limit in any window, and the repeats and the limit there.
// The requests are those of the window, the one before it or the one half a window before it.
func (f *fleet) excess() (repeats, limit float64) {
	width := int(f.cfg.Window / fleetStep)
	sum := func(list []int, from int) float64 {
		total := 0
		for _, n := range list[max(from, 0):max(from+width, 0)] {
			total += n
		}
		return float64(total)
	}
	limit = 1
	for from := 0; from+width <= len(f.repeats); from++ {
		requests := max(sum(f.requests, from), sum(f.requests, from-width/2), sum(f.requests, from-width))
		if r, l := sum(f.repeats, from), f.cfg.Ratio*requests+f.cfg.Slack; r/l > repeats/limit {
			repeats, limit = r, l
		}
	}
	return repeats, limit
}

func fleetScenarios() []fleetScenario {
	after := func(d time.Duration) int { return int((failuresStart + d) / fleetStep) }
	// inTurn restarts the routers one after another, so that all have been within a window.
	inTurn := func(known func(f *fleet) int) func(*fleet, int) {
		return func(f *fleet, step int) {
			width := int(f.cfg.Window / fleetStep)
			for i := range f.budgets {
				if step >= after(0) && (step-after(0))%width == i*width/len(f.budgets) {
					f.restart(i, known(f))
				}
			}
		}
	}
	all := func(f *fleet) int { return len(f.budgets) }
	return []fleetScenario{
		{name: "calm, then all fail"},
		{name: "no load once all fail", load: func(at time.Duration) float64 {
			if at >= failuresStart+fleetStep {
				return 0
			}
			return 1
		}},
		{name: "burst before", load: func(at time.Duration) float64 {
			if at >= failuresStart-3*time.Second && at < failuresStart {
				return 7.5
			}
			return 0.1
		}},
		{name: "bursts with failures", load: func(at time.Duration) float64 {
			if at%(4*time.Second) < 200*time.Millisecond {
				return 10
			}
			return 0
		}},
		{name: "restarts in turn", change: inTurn(all)},
		{name: "restarts in turn without the store", change: inTurn(func(*fleet) int { return 0 })},
		{name: "all restart twice in a window", change: func(f *fleet, step int) {
			if step == after(2*time.Second) || step == after(6*time.Second) {
				for i := range f.budgets {
					f.restart(i, len(f.budgets))
				}
			}
		}},
		{name: "three quarters added, which half of the others do not know", change: func(f *fleet, step int) {
			if step != after(0) {
				return
			}
			n := len(f.budgets)
			added := 3 * n / 4
			for range added {
				f.add(n + added)
			}
			for _, b := range f.budgets[n/2 : n] {
				b.SetRouters(n + added)
			}
		}},
		{name: "half pause for 8 s", paused: func(router int, at time.Duration) bool {
			return router%2 == 0 && at >= failuresStart-4*time.Second && at < failuresStart+4*time.Second
		}},
	}
}

// TestFleetKeepsTheWindow checks the limit with fleets of the sizes and slacks that are in use, and with a
// service that gets few requests.
func TestFleetKeepsTheWindow(t *testing.T) {
	sizes := []struct {
		routers          int
		slack, perSecond float64
	}{{1, 56, 19}, {2, 56, 19}, {8, 56, 19}, {8, 56, 42}, {73, 186, 150}, {295, 630, 263}, {295, 630, 753}, {410, 860, 365}}
	for _, size := range sizes {
		for _, share := range []float64{1, 0.05} {
			rate := share * size.perSecond
			for _, s := range fleetScenarios() {
				t.Run(fmt.Sprintf("%d routers/%.1f per second/%s", size.routers, rate, s.name), func(t *testing.T) {
					f := newFleet(size.routers, size.slack)
					f.run(&s, rate)
					repeats, limit := f.excess()
					t.Logf("at most %.0f of %.0f repeats", repeats, limit)
					if repeats > limit {
						t.Errorf("%.0f repeats in a window exceed the limit of %.1f", repeats, limit)
					}
				})
			}
		}
	}
}
