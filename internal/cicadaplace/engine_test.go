package cicadaplace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

const (
	simTokensPerMilli = 50
	simMemory         = 432_000
	simStreamFor      = 1500 * time.Millisecond
	simNetwork        = 15 * time.Millisecond // and the tokens of the first event
)

type (
	// load is a simulated load of one service, placed by one router.
	load struct {
		speeds   []float64 // time that work takes, one for each runner
		rate     float64   // requests per second
		prefixes int       // that requests share, of 13,300 tokens
		hot      float64   // share of the requests with the first prefix
		routers  int       // that choose by themselves; 0 if one chooses for all
		slowness func(runner int, now time.Time) int
	}

	// simEngine prefills prompts in turn and evicts the least recently used parts.
	simEngine struct {
		busyUntil time.Time
		cached    []cicadaplace.Part // the least recently used one first
		running   int
	}

	simEvent struct {
		at     time.Time
		handle func()
	}
)

// use caches parts and returns the tokens that were not cached.
func (e *simEngine) use(parts []cicadaplace.Part) int {
	uncached, sum := 0, 0
	for _, p := range parts {
		i := slices.IndexFunc(e.cached, func(c cicadaplace.Part) bool { return c.ID == p.ID })
		if i < 0 {
			uncached += p.Tokens
		} else {
			e.cached = slices.Delete(e.cached, i, i+1)
		}
		e.cached = append(e.cached, p)
	}
	for i := len(e.cached) - 1; i >= 0; i-- {
		if sum += e.cached[i].Tokens; sum > simMemory {
			e.cached = slices.Delete(e.cached, 0, i+1)
			break
		}
	}
	return uncached
}

// run simulates a load for 30 s, of which it counts the last 20. It returns the mean time to the first
// event.
func (l *load) run(t *testing.T, seed uint64, learn bool) time.Duration {
	t.Helper()
	routers := make([]*cicadaplace.Balancer, max(l.routers, 1))
	for i := range routers {
		routers[i] = newBalancer(len(l.speeds))
		routers[i].SetEngines(map[string]cicadaplace.Engine{"s": {KVTokens: simMemory}})
	}
	engines := make([]simEngine, len(l.speeds))
	rng := rand.New(rand.NewPCG(seed, 2))
	var events []simEvent
	schedule := func(at time.Time, handle func()) {
		i, _ := slices.BinarySearchFunc(events, at, func(e simEvent, at time.Time) int { return e.at.Compare(at) })
		events = slices.Insert(events, i, simEvent{at, handle})
	}
	total, counted := time.Duration(0), 0
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))) {
		for len(events) > 0 && !events[0].at.After(now) {
			next := events[0]
			events = events[1:]
			next.handle()
		}
		prefix := 0
		if rng.Float64() >= l.hot {
			prefix = rng.IntN(l.prefixes)
		}
		own := cicadaplace.Part{ID: fmt.Sprint("own", now.UnixNano()), Tokens: 2000 + rng.IntN(3440)}
		req := &cicadaplace.Request{
			Service: "s", Tokens: 13_300 + own.Tokens, PlacesGroup: l.routers == 0,
			Parts: []cicadaplace.Part{{ID: fmt.Sprint("prefix", prefix), Tokens: 13_300}, own},
		}
		a := choose(t, routers[rng.IntN(len(routers))], req, now)
		n, err := strconv.Atoi(strings.TrimPrefix(a.Runner().ID(), "r"))
		if err != nil {
			t.Fatal(err)
		}
		e := &engines[n]
		uncached, slowness := e.use(req.Parts), 100
		if l.slowness != nil {
			slowness = l.slowness(n, now)
		}
		e.running++
		work := float64(uncached) / simTokensPerMilli * l.speeds[n] * float64(slowness) / 100
		begin := now
		if e.busyUntil.After(now) {
			begin = e.busyUntil
		}
		e.busyUntil = begin.Add(time.Duration(work * float64(time.Millisecond)))
		first := e.busyUntil.Add(simNetwork)
		took := first.Sub(now)
		schedule(first, func() {
			a.ResponseStarted()
			reported := cicadaplace.Load{Running: e.running, Slots: 64}
			if learn {
				a.ObserveFirstEvent(took, first)
				if l.slowness != nil {
					reported.Slowness = l.slowness(n, first)
				}
			}
			a.ReportLoad(reported, first)
		})
		schedule(first.Add(simStreamFor), func() { e.running--; a.Finish(cicadaplace.Answered, first.Add(simStreamFor)) })
		if now.Sub(start) > 10*time.Second {
			total, counted = total+took, counted+1
		}
	}
	return total / time.Duration(counted)
}

func repeat(speeds ...float64) []float64 { return slices.Repeat(speeds, 4) }

// TestModelsAndMemory compares the placing with observations to that by the constants alone, under the
// loads that the models and the memory of engines are for, and under loads where they must cost nothing.
func TestModelsAndMemory(t *testing.T) {
	const seeds = 24 // the runs with one seed differ by several percent
	equal := repeat(1, 1, 1)
	for name, c := range map[string]struct {
		load load
		gain float64 // least gain in the mean time to the first event, as a share
	}{
		"slow runners among fast ones":                    {load{speeds: repeat(0.6, 1, 1.6), rate: 130, prefixes: 24}, 0.03},
		"slow runners, routers that place themselves":     {load{speeds: repeat(0.6, 1, 1.6), rate: 130, prefixes: 24, routers: 6}, 0.1},
		"a hot prefix at 3 times what its runner bears":   {load{speeds: equal, rate: 90, prefixes: 24, hot: 0.4}, -0.02},
		"a hot prefix, routers that place for themselves": {load{speeds: equal, rate: 90, prefixes: 24, hot: 0.4, routers: 40}, 0.2},
		"prefixes that fill the memory":                   {load{speeds: repeat(1), rate: 25, prefixes: 60}, -0.02},
		"a small fleet with fast engines":                 {load{speeds: []float64{0.5, 0.5, 0.5}, rate: 60, prefixes: 8}, -0.04},
		"a small fleet with slow engines":                 {load{speeds: []float64{2, 2, 2}, rate: 15, prefixes: 8}, -0.04},
		"a quiet fleet":                                   {load{speeds: repeat(1), rate: 4, prefixes: 8}, -0.01},
		"machines that slow down": {load{speeds: repeat(1, 1), rate: 75, prefixes: 16, slowness: func(n int, now time.Time) int {
			return 60 + 160*int((now.UnixMilli()/250*7919+int64(n)*31)%3/2)
		}}, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mean [2]time.Duration
			for seed := range uint64(seeds) {
				for i, learn := range []bool{false, true} {
					mean[i] += c.load.run(t, seed, learn) / seeds
				}
			}
			if gain := 1 - float64(mean[1])/float64(mean[0]); gain < c.gain {
				t.Errorf("the mean time to the first event is %v by the constants and %v with observations, a gain of %.3f, want %.3f", mean[0], mean[1], gain, c.gain)
			}
			t.Logf("by the constants %v, with observations %v", mean[0], mean[1])
		})
	}
}

// TestRoutersAgreeOnSecondRunner guards against a hot prefix that each router has prefilled at another
// runner when its first one is overloaded, although others have a little less to do.
func TestRoutersAgreeOnSecondRunner(t *testing.T) {
	second := map[string]bool{}
	for n := range 6 {
		lb := newBalancer(12)
		observeAll(t, lb, 12)
		now := start.Add(time.Second)
		first := choose(t, lb, prompt("hot", 13_300, 3_000), now).Runner().ID()
		assign := func(id string, tokens int) {
			if _, err := lb.AssignTo(id, &cicadaplace.Request{Service: "s", Tokens: tokens, Parts: []cicadaplace.Part{{ID: "own", Tokens: tokens}}}, now); err != nil {
				t.Fatal(err)
			}
		}
		assign(first, 60_000)
		for i := range 12 {
			assign(entry(i).ID, 500*((i+n)%6)) // what the router knows of differs
		}
		second[choose(t, lb, prompt("hot", 13_300, 3_000), now).Runner().ID()] = true
		if second[first] {
			t.Fatalf("the prefix waits at %s for 60,000 tokens", first)
		}
	}
	if len(second) != 1 {
		t.Errorf("the routers have the prefix prefilled at %v, want one runner", second)
	}
}

// TestOddReportsKeepRunnerInUse guards against a report that takes a runner out of use for longer than the
// report is used, or that attracts requests to it.
func TestOddReportsKeepRunnerInUse(t *testing.T) {
	for name, odd := range map[string]cicadaplace.Load{
		"negative":  {Running: -500, Waiting: -500, Slots: -1, Slowness: -100},
		"slow":      {Slots: 64, Slowness: 1_000_000},
		"very busy": {Running: 1 << 40, Waiting: 1 << 40, Slots: 64},
	} {
		t.Run(name, func(t *testing.T) {
			lb := newBalancer(2)
			observeAll(t, lb, 2)
			used := map[string]int{}
			for i := range 40 {
				now := start.Add(time.Second + time.Duration(i)*25*time.Millisecond)
				a := choose(t, lb, prompt(fmt.Sprint("part", i), 0, 2000), now)
				used[a.Runner().ID()]++
				if i == 0 {
					a.ReportLoad(odd, now)
				}
			}
			for _, id := range []string{entry(0).ID, entry(1).ID} {
				if used[id] < 8 {
					t.Errorf("40 requests in a second go to %v", used)
				}
			}
		})
	}
}
