package cicadalimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/google/go-cmp/cmp"
)

const window = 4 * time.Second

var (
	start  = time.Now()
	runner = cicadalimit.Key{ID: "r1", StartMillis: 7}
	call   = cicadalimit.Class{Service: "svc", Priority: 3}
)

type router struct {
	*cicadalimit.Limits
	clock *cicadalimit.Clock
	name  string
}

func newRouter(name string, skew time.Duration) *router {
	clock := &cicadalimit.Clock{}
	clock.Observe(start, start, time.Hour+skew)
	return &router{Limits: cicadalimit.New(clock), clock: clock, name: name}
}

// newRouters returns routers whose clocks differ by a time at most.
func newRouters(count int, skew time.Duration) []*router {
	rnd := rand.New(rand.NewPCG(1, uint64(count)))
	var out []*router
	for i := range count {
		out = append(out, newRouter(fmt.Sprintf("edge-%d", i), time.Duration(rnd.Float64()*float64(skew))))
	}
	know(out, names(out))
	return out
}

func names(routers []*router) []string {
	var out []string
	for _, r := range routers {
		out = append(out, r.name)
	}
	return out
}

func know(routers []*router, names []string) {
	for _, r := range routers {
		r.SetRouters(r.name, names)
	}
}

// arrivals are the times of requests at one runner.
type arrivals []time.Time

// most returns the most arrivals in some window.
func (a arrivals) most() int {
	most, first := 0, 0
	for i := range a {
		for a[i].Sub(a[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// play lets each router send whenever it may.
func play(routers []*router, from, to time.Duration, each func(at time.Duration)) arrivals {
	var out arrivals
	for at := from; at < to; at += 20 * time.Millisecond {
		if each != nil {
			each(at)
		}
		now := start.Add(at)
		for _, r := range routers {
			for r.TryAcquire(runner, call, now) {
				out = append(out, now)
				if len(out) > 1_000_000 {
					return out
				}
			}
		}
	}
	return out
}

func name(routers []*router, rate float64, at time.Duration) {
	for _, r := range routers {
		r.RecordLimit(runner, rate, start.Add(at))
	}
}

func allowed(rate float64) int { return int(1.5*rate*window.Seconds()) + 5 }

func TestAllRoutersTogetherKeepTheRate(t *testing.T) {
	for _, count := range []int{1, 2, 6, 9, 58, 81, 410} {
		for _, rate := range []float64{0, 0.3, 1, 2.5, 10, 40} {
			t.Run(fmt.Sprintf("%d routers, rate %g", count, rate), func(t *testing.T) {
				routers := newRouters(count, 50*time.Millisecond)
				name(routers, rate, 0)
				const span = 30 * time.Second
				got := play(routers, 0, span, nil)
				if most := got.most(); most > allowed(rate) {
					t.Errorf("%d requests in a window, allowed %d", most, allowed(rate))
				}
				if served, want := float64(len(got)), 0.9*rate*span.Seconds(); served < want {
					t.Errorf("%g requests in all, want %g or more", served, want)
				}
			})
		}
	}
}

// TestRoutersThatKnowDifferentSets lets a part of the routers not know those that have
// just been added.
func TestRoutersThatKnowDifferentSets(t *testing.T) {
	for _, tt := range []struct{ old, added int }{{6, 1}, {6, 2}, {9, 2}, {58, 6}, {81, 8}, {410, 40}} {
		for _, rate := range []float64{1, 2.5, 10} {
			routers := newRouters(tt.old+tt.added, 20*time.Millisecond)
			know(routers[:tt.old], names(routers[:tt.old]))
			name(routers, rate, 0)
			got := play(routers, 0, 20*time.Second, nil)
			if most := got.most(); most > allowed(rate) {
				t.Errorf("%d routers and %d that these do not know, rate %g: %d requests in a window, allowed %d",
					tt.old, tt.added, rate, most, allowed(rate))
			}
		}
	}
}

func TestSilenceSavesNothingUp(t *testing.T) {
	routers := newRouters(9, 0)
	name(routers, 2, 0)
	if got := play(routers, time.Minute, time.Minute+10*time.Millisecond, nil); len(got) > 3 {
		t.Errorf("%d requests at once after a minute of silence, want 3 at most", len(got))
	}
}

// TestRatesThatChange checks windows across a rise, a fall and a short end of a limit,
// against the largest of the rates named.
func TestRatesThatChange(t *testing.T) {
	for _, tt := range []struct {
		name  string
		rates []float64
		every time.Duration // between two of them
	}{
		{"rise", []float64{1, 1, 1, 1, 5, 5, 5, 5, 5, 5}, time.Second},
		{"fall", []float64{5, 5, 5, 5, 1, 1, 1, 1, 1, 1}, time.Second},
		{"saw", []float64{1, 1.3, 1, 1.3, 1, 1.3, 1, 1.3, 1, 1.3}, 20 * time.Millisecond},
		{"many values", []float64{1, 3, 2, 4, 1, 5, 2, 3, 1, 4}, time.Second},
		{"jumps", []float64{1, 1.5, 4.5, 4, 3.25, 2, 3, 5}, 240 * time.Millisecond},
	} {
		routers := newRouters(9, 20*time.Millisecond)
		highest := 0.0
		for _, r := range tt.rates {
			highest = max(highest, r)
		}
		got := play(routers, 0, 10*time.Second, func(at time.Duration) {
			if at%tt.every == 0 {
				name(routers, tt.rates[int(at/tt.every)%len(tt.rates)], at)
			}
		})
		if most := got.most(); most > allowed(highest) {
			t.Errorf("%s: %d requests in a window, allowed %d", tt.name, most, allowed(highest))
		}
	}
}

func TestNoPermitsWithoutClockOrRouters(t *testing.T) {
	unsure := cicadalimit.New(&cicadalimit.Clock{})
	unsure.SetRouters("a", []string{"a"})
	alone := newRouter("a", 0)
	for _, l := range []*cicadalimit.Limits{unsure, alone.Limits} {
		if !l.CanSend(runner, call, start) {
			t.Error("a runner that names no limit is closed")
		}
		l.RecordLimit(runner, 100, start)
		if l.CanSend(runner, call, start.Add(time.Second)) {
			t.Error("a limited runner is open to a router that cannot tell its permits")
		}
	}
}

func TestEndOfALimit(t *testing.T) {
	for _, tt := range []struct {
		name string
		said func(r *router)
		want bool // still limited
	}{
		{"sent after the last naming", func(r *router) { r.RecordNoLimit(runner, start.Add(3*time.Second)) }, false},
		{"sent before the last naming, overtaken by it", func(r *router) { r.RecordNoLimit(runner, start.Add(time.Second)) }, true},
		{"named again", func(r *router) {
			r.RecordNoLimit(runner, start.Add(3*time.Second))
			r.RecordLimit(runner, 1, start.Add(4*time.Second))
		}, true},
		{"of another start of the runner", func(r *router) {
			r.RecordNoLimit(cicadalimit.Key{ID: runner.ID, StartMillis: 8}, start.Add(3*time.Second))
		}, true},
	} {
		r := newRouters(1, 0)[0]
		r.RecordLimit(runner, 1, start.Add(2*time.Second))
		tt.said(r)
		_, got := r.Rate(runner)
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: limited (-want +got):\n%s", tt.name, diff)
		}
	}
}

func TestOthersLearnLimitAndEnd(t *testing.T) {
	routers := newRouters(3, 50*time.Millisecond)
	a, b, late := routers[0], routers[1], routers[2]
	a.RecordLimit(runner, 2, start.Add(time.Second))
	b.RecordLimit(runner, 2, start.Add(2*time.Second))
	late.MergeReports(a.Reports(start.Add(3*time.Second)), start.Add(3*time.Second))
	if rate, ok := late.Rate(runner); !ok || rate != 2 {
		t.Errorf("a router that was not told has rate %g, %v, want 2", rate, ok)
	}
	a.RecordNoLimit(runner, start.Add(1500*time.Millisecond))
	b.MergeReports(a.Reports(start.Add(4*time.Second)), start.Add(4*time.Second))
	if _, ok := b.Rate(runner); !ok {
		t.Error("an end that is older than the last naming ended the limit")
	}
	a.RecordLimit(runner, 2, start.Add(1900*time.Millisecond))
	a.RecordNoLimit(runner, start.Add(2050*time.Millisecond))
	b.MergeReports(a.Reports(start.Add(4*time.Second)), start.Add(4*time.Second))
	if _, ok := b.Rate(runner); !ok {
		t.Error("an end that the clocks cannot tell from the last naming ended the limit")
	}
	a.RecordLimit(runner, 2, start.Add(4*time.Second))
	a.RecordNoLimit(runner, start.Add(5*time.Second))
	for _, r := range []*router{b, late} {
		r.MergeReports(a.Reports(start.Add(6*time.Second)), start.Add(6*time.Second))
		if _, ok := r.Rate(runner); ok {
			t.Errorf("%s still has the limit that another router heard the end of", r.name)
		}
	}
}

// TestStatementsFromTheFuture are those of a router whose clock is ahead, or of before
// the store came back from a copy.
func TestStatementsFromTheFuture(t *testing.T) {
	r := newRouters(1, 0)[0]
	r.RecordLimit(runner, 1, start)
	future := (time.Hour + time.Minute).Milliseconds()
	r.MergeReports([]cicadalimit.Report{{Runner: runner.ID, StartMillis: runner.StartMillis, Unlimited: true, AtMillis: future}}, start.Add(time.Second))
	if _, ok := r.Rate(runner); !ok {
		t.Error("an end from the future ended the limit")
	}
	r.MergeReports([]cicadalimit.Report{{Runner: runner.ID, StartMillis: runner.StartMillis, Rate: 3, AtMillis: future}}, start.Add(2*time.Second))
	r.RecordNoLimit(runner, start.Add(3*time.Second))
	if _, ok := r.Rate(runner); ok {
		t.Error("a limit from the future cannot be ended")
	}
	r.MergeReports([]cicadalimit.Report{{Runner: runner.ID, StartMillis: runner.StartMillis, Rate: -1, AtMillis: future}}, start.Add(4*time.Second))
	if _, ok := r.Rate(runner); ok {
		t.Error("a rate below zero is a limit")
	}
}

func TestClockAfterAJump(t *testing.T) {
	c := &cicadalimit.Clock{}
	if _, ok := c.SharedTime(start); ok {
		t.Error("a clock knows the time before any answer")
	}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c.Observe(at(0), at(500), 10*time.Second) // a slow answer
	c.Observe(at(600), at(604), 10*time.Second+100*time.Millisecond)
	check := func(what string, ms int, want time.Duration) {
		t.Helper()
		got, _ := c.SharedTime(at(ms))
		if d := (got - want).Abs(); d > 5*time.Millisecond {
			t.Errorf("%s: shared time is off by %v", what, d)
		}
	}
	check("after a quick answer", 1000, 10*time.Second+498*time.Millisecond)
	c.Observe(at(2000), at(2004), 20*time.Second)
	check("after a freeze", 2000, 20*time.Second)
	c.Observe(at(3000), at(3004), 5*time.Second)
	check("after a step back", 3000, 5*time.Second)
}

// TestPermitsAfterTheClockWasSetBack checks that a router does not wait until the time
// before the step comes round again.
func TestPermitsAfterTheClockWasSetBack(t *testing.T) {
	r := newRouters(1, 0)[0]
	r.RecordLimit(runner, 2, start)
	play([]*router{r}, 0, 5*time.Second, nil)
	at := start.Add(5 * time.Second)
	r.clock.Observe(at, at, time.Minute)
	if got := play([]*router{r}, 5*time.Second, 10*time.Second, nil); len(got) < 8 || got.most() > allowed(2) {
		t.Errorf("%d requests in five seconds, %d in a window, want 8 to 10 and %d at most", len(got), got.most(), allowed(2))
	}
}

// TestUrgentCallersComeBackFirst answers a service whose runners are all limited.
func TestUrgentCallersComeBackFirst(t *testing.T) {
	routers := newRouters(2, 0)
	r := routers[0]
	urgent, other := cicadalimit.Class{Service: "svc", Priority: 0}, cicadalimit.Class{Service: "svc", Priority: 5}
	var got []time.Duration
	for _, d := range []cicadalimit.Class{other, other, urgent, urgent, other} {
		got = append(got, r.RetryAfter(d, 4, start))
	}
	want := []time.Duration{500 * time.Millisecond, time.Second, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times to come back (-want +got):\n%s", diff)
	}
	name(routers, 4, 0)
	for at := time.Duration(0); at < 1900*time.Millisecond; at += 5 * time.Millisecond {
		now := start.Add(at)
		if r.CanSend(runner, other, now) && !r.CanSend(runner, urgent, now) {
			t.Fatal("a permit is open to a less urgent caller only")
		}
	}
	taken := 0
	for at := 2 * time.Second; at < 8*time.Second; at += 5 * time.Millisecond {
		if r.TryAcquire(runner, other, start.Add(at)) {
			taken++
		}
	}
	if taken < 6 {
		t.Errorf("less urgent callers got %d permits in six seconds after the others went, want 6 or more", taken)
	}
}

// TestLessUrgentCallersAreNotStarved lets urgent callers be refused all the time.
func TestLessUrgentCallersAreNotStarved(t *testing.T) {
	r := newRouters(1, 0)[0]
	r.RecordLimit(runner, 2, start)
	taken := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		r.RetryAfter(cicadalimit.Class{Service: "svc"}, 2, start.Add(at))
		if r.TryAcquire(runner, call, start.Add(at)) {
			taken++
		}
	}
	if taken < 10 {
		t.Errorf("%d permits in ten seconds, want 10 or more", taken)
	}
}

// playAsking lets the routers that have requests send whenever they may, and ask for
// permits otherwise.
func playAsking(routers []*router, busy int, span time.Duration) arrivals {
	byName := map[string]*router{}
	for _, r := range routers {
		byName[r.name] = r
	}
	var out arrivals
	for at := time.Duration(0); at < span; at += 20 * time.Millisecond {
		now := start.Add(at)
		for _, r := range routers[:busy] {
			if u, owner, ok := r.PeerPermit(runner, call, now); ok && byName[owner].GrantPermit(&u, now) {
				r.AcceptPermit(&u, now)
			}
			for r.TryAcquire(runner, call, now) {
				out = append(out, now)
			}
		}
	}
	return out
}

func TestPermitsGoWhereTheTrafficIs(t *testing.T) {
	for _, tt := range []struct{ routers, busy int }{{9, 1}, {9, 9}, {58, 2}, {58, 58}, {410, 5}} {
		for _, rate := range []float64{1, 5} {
			routers := newRouters(tt.routers, 20*time.Millisecond)
			name(routers, rate, 0)
			const span = 30 * time.Second
			got := playAsking(routers, tt.busy, span)
			if most := got.most(); most > allowed(rate) {
				t.Errorf("%d of %d routers busy, rate %g: %d requests in a window, allowed %d", tt.busy, tt.routers, rate, most, allowed(rate))
			}
			if want := 0.9 * rate * span.Seconds(); float64(len(got)) < want {
				t.Errorf("%d of %d routers busy, rate %g: %d requests in all, want %g or more", tt.busy, tt.routers, rate, len(got), want)
			}
		}
	}
}

func TestAPermitIsGivenUpOnce(t *testing.T) {
	routers := newRouters(3, 0)
	name(routers, 1, 0)
	given := 0
	for at := 5 * time.Second; given == 0; at += time.Second {
		now := start.Add(at)
		u, owner, ok := routers[0].PeerPermit(runner, call, now)
		if !ok {
			continue
		}
		if _, _, again := routers[0].PeerPermit(runner, call, now); again {
			t.Error("a permit is asked for twice")
		}
		for _, r := range routers {
			for range 2 {
				if r.GrantPermit(&u, now) {
					given++
					if r.name != owner {
						t.Errorf("%s gave up a permit of %s", r.name, owner)
					}
				}
			}
		}
		for _, r := range routers {
			if r.name == owner && r.TryAcquire(runner, call, now) {
				t.Error("a permit was given up and used")
			}
		}
	}
	if diff := cmp.Diff(1, given); diff != "" {
		t.Errorf("times that a permit was given up (-want +got):\n%s", diff)
	}
}

// TestLimitThatComesAndGoes checks that a limit begins without permits of the time before,
// in which the runner took any number of requests.
func TestLimitThatComesAndGoes(t *testing.T) {
	r := newRouters(1, 0)[0]
	for at := time.Second; at < 20*time.Second; at += time.Second {
		now := start.Add(at)
		r.RecordLimit(runner, 4, now)
		if r.TryAcquire(runner, call, now) {
			t.Errorf("a permit was there %v after the start as the limit began", at)
		}
		if !r.CanSend(runner, call, now.Add(700*time.Millisecond)) {
			t.Errorf("no permit %v after the start", at+700*time.Millisecond)
		}
		r.RecordNoLimit(runner, now.Add(710*time.Millisecond))
	}
}

// TestOnlyNewsIsReported checks that a router whose row need not tell a limit does not:
// each row is read by all routers.
func TestOnlyNewsIsReported(t *testing.T) {
	routers := newRouters(3, 0)
	first, second := routers[0], routers[1]
	first.RecordLimit(runner, 2, start)
	second.MergeReports(first.Reports(start.Add(time.Second)), start.Add(time.Second))
	second.RecordLimit(runner, 2, start.Add(2*time.Second))
	if got := second.Reports(start.Add(3 * time.Second)); len(got) > 0 {
		t.Errorf("a limit that was known is told again: %+v", got)
	}
	second.RecordLimit(runner, 4, start.Add(4*time.Second))
	if got := second.Reports(start.Add(5 * time.Second)); len(got) != 1 || got[0].Rate != 4 {
		t.Errorf("a changed limit is told as %+v, want one report of 4 a second", got)
	}
}
