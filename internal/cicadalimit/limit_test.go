package cicadalimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/google/go-cmp/cmp"
)

// window is the period over which limits are checked.
const window = 4 * time.Second

var (
	start  = time.Now()
	runner = cicadalimit.Key{ID: "r1", StartMillis: 7}
	class  = cicadalimit.Class{Service: "svc", Priority: 3}
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

// newRouters returns routers that know each other and whose clocks differ by at most skew.
func newRouters(count int, skew time.Duration) []*router {
	rnd := rand.New(rand.NewPCG(1, uint64(count)))
	var out []*router
	for i := range count {
		out = append(out, newRouter(fmt.Sprintf("edge-%d", i), time.Duration(rnd.Float64()*float64(skew))))
	}
	setRouters(out, names(out))
	return out
}

func names(routers []*router) []string {
	var out []string
	for _, r := range routers {
		out = append(out, r.name)
	}
	return out
}

func setRouters(routers []*router, names []string) {
	for _, r := range routers {
		r.SetRouters(r.name, names)
	}
}

// arrivals holds the times of the requests at one runner, ascending.
type arrivals []time.Time

// maxInWindow returns the largest number of arrivals in any window.
func (a arrivals) maxInWindow() int {
	most, first := 0, 0
	for i := range a {
		for a[i].Sub(a[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// simulate has each router send as many requests as it may.
func simulate(routers []*router, from, to time.Duration, beforeStep func(at time.Duration)) arrivals {
	var out arrivals
	for at := from; at < to; at += 20 * time.Millisecond {
		if beforeStep != nil {
			beforeStep(at)
		}
		now := start.Add(at)
		for _, r := range routers {
			for r.TryAcquire(runner, class, now) {
				out = append(out, now)
				if len(out) > 1_000_000 {
					return out
				}
			}
		}
	}
	return out
}

func recordLimit(routers []*router, rate float64, at time.Duration) {
	for _, r := range routers {
		r.RecordLimit(runner, rate, start.Add(at))
	}
}

// maxAllowed returns the largest accepted number of requests in a window.
func maxAllowed(rate float64) int { return int(1.5*rate*window.Seconds()) + 5 }

// TestAllRoutersTogetherKeepTheRate checks that the routers together keep the rate limit and use at
// least 90 % of it.
func TestAllRoutersTogetherKeepTheRate(t *testing.T) {
	for _, count := range []int{1, 2, 6, 9, 58, 81, 410} {
		for _, rate := range []float64{0, 0.3, 1, 2.5, 10, 40} {
			t.Run(fmt.Sprintf("%d routers, rate %g", count, rate), func(t *testing.T) {
				routers := newRouters(count, 50*time.Millisecond)
				recordLimit(routers, rate, 0)
				const span = 30 * time.Second
				got := simulate(routers, 0, span, nil)
				if most := got.maxInWindow(); most > maxAllowed(rate) {
					t.Errorf("%d requests in a window, want at most %d", most, maxAllowed(rate))
				}
				if served, want := float64(len(got)), 0.9*rate*span.Seconds(); served < want {
					t.Errorf("%g requests in total, want at least %g", served, want)
				}
			})
		}
	}
}

// TestRoutersThatKnowDifferentSets checks that the limit holds while the old routers do not know newly
// added ones.
func TestRoutersThatKnowDifferentSets(t *testing.T) {
	for _, tt := range []struct{ old, added int }{{6, 1}, {6, 2}, {9, 2}, {58, 6}, {81, 8}, {410, 40}} {
		for _, rate := range []float64{1, 2.5, 10} {
			routers := newRouters(tt.old+tt.added, 20*time.Millisecond)
			setRouters(routers[:tt.old], names(routers[:tt.old]))
			recordLimit(routers, rate, 0)
			got := simulate(routers, 0, 20*time.Second, nil)
			if most := got.maxInWindow(); most > maxAllowed(rate) {
				t.Errorf("%d routers and %d added ones that they do not know, rate %g: %d requests in a window, want at most %d",
					tt.old, tt.added, rate, most, maxAllowed(rate))
			}
		}
	}
}

// TestUnusedPermitsExpire checks that permits do not accumulate while there are no requests.
func TestUnusedPermitsExpire(t *testing.T) {
	routers := newRouters(9, 0)
	recordLimit(routers, 2, 0)
	if got := simulate(routers, time.Minute, time.Minute+10*time.Millisecond, nil); len(got) > 3 {
		t.Errorf("%d requests at once after a minute without requests, want at most 3", len(got))
	}
}

// TestChangingRates checks that the number of requests in a window stays within the highest
// advertised rate while the rate changes.
func TestChangingRates(t *testing.T) {
	for _, tt := range []struct {
		name  string
		rates []float64
		every time.Duration // interval between two rates
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
		got := simulate(routers, 0, 10*time.Second, func(at time.Duration) {
			if at%tt.every == 0 {
				recordLimit(routers, tt.rates[int(at/tt.every)%len(tt.rates)], at)
			}
		})
		if most := got.maxInWindow(); most > maxAllowed(highest) {
			t.Errorf("%s: %d requests in a window, want at most %d", tt.name, most, maxAllowed(highest))
		}
	}
}

// TestNoPermitsWithoutClockOrRouters checks that a router that does not know the shared clock or the
// other routers sends nothing to a rate-limited runner.
func TestNoPermitsWithoutClockOrRouters(t *testing.T) {
	noClock := cicadalimit.New(&cicadalimit.Clock{})
	noClock.SetRouters("a", []string{"a"})
	noRouters := newRouter("a", 0)
	for _, l := range []*cicadalimit.Limits{noClock, noRouters.Limits} {
		if !l.CanSend(runner, class, start) {
			t.Error("CanSend is false for a runner without a limit")
		}
		l.RecordLimit(runner, 100, start)
		if l.CanSend(runner, class, start.Add(time.Second)) {
			t.Error("CanSend is true although the router cannot determine its permits")
		}
	}
}

// TestRecordNoLimit checks that a response without a limit ends the limit only if its request was sent
// after the last response with the limit, and to the same start of the runner.
func TestRecordNoLimit(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record func(r *router)
		want   bool // still limited
	}{
		{"sent after the last response with the limit", func(r *router) { r.RecordNoLimit(runner, start.Add(3*time.Second)) }, false},
		{"sent before the last response with the limit", func(r *router) { r.RecordNoLimit(runner, start.Add(time.Second)) }, true},
		{"advertised again", func(r *router) {
			r.RecordNoLimit(runner, start.Add(3*time.Second))
			r.RecordLimit(runner, 1, start.Add(4*time.Second))
		}, true},
		{"from another start of the runner", func(r *router) {
			r.RecordNoLimit(cicadalimit.Key{ID: runner.ID, StartMillis: 8}, start.Add(3*time.Second))
		}, true},
	} {
		r := newRouters(1, 0)[0]
		r.RecordLimit(runner, 1, start.Add(2*time.Second))
		tt.record(r)
		_, got := r.Rate(runner, start.Add(6*time.Second))
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: limited (-want +got):\n%s", tt.name, diff)
		}
	}
}

// TestMergeReports checks that routers learn limits and their ends from each other, and ignore the end of
// a limit unless it is later than the last advertisement by more than the clock skew.
func TestMergeReports(t *testing.T) {
	routers := newRouters(3, 50*time.Millisecond)
	a, b, late := routers[0], routers[1], routers[2]
	a.RecordLimit(runner, 2, start.Add(time.Second))
	b.RecordLimit(runner, 2, start.Add(2*time.Second))
	late.MergeReports(a.Reports(start.Add(3*time.Second)), start.Add(3*time.Second))
	if rate, ok := late.Rate(runner, start.Add(6*time.Second)); !ok || rate != 2 {
		t.Errorf("after merging a report, a router without an own observation has rate %g, limited %v; want 2, true", rate, ok)
	}
	a.RecordNoLimit(runner, start.Add(1500*time.Millisecond))
	b.MergeReports(a.Reports(start.Add(4*time.Second)), start.Add(4*time.Second))
	if _, ok := b.Rate(runner, start.Add(6*time.Second)); !ok {
		t.Error("a report without a limit that is older than the last advertisement ended the limit")
	}
	a.RecordLimit(runner, 2, start.Add(1900*time.Millisecond))
	a.RecordNoLimit(runner, start.Add(2050*time.Millisecond))
	b.MergeReports(a.Reports(start.Add(4*time.Second)), start.Add(4*time.Second))
	if _, ok := b.Rate(runner, start.Add(6*time.Second)); !ok {
		t.Error("a report without a limit within the clock skew of the last advertisement ended the limit")
	}
	a.RecordLimit(runner, 2, start.Add(4*time.Second))
	a.RecordNoLimit(runner, start.Add(5*time.Second))
	for _, r := range []*router{b, late} {
		r.MergeReports(a.Reports(start.Add(6*time.Second)), start.Add(6*time.Second))
		if _, ok := r.Rate(runner, start.Add(6*time.Second)); ok {
			t.Errorf("%s still has a limit after another router reported its end", r.name)
		}
	}
}

// TestReportsFromTheFuture checks that a report with a future time cannot end a limit, and that a limit
// reported with a future time still ends. Such reports come from a router whose clock is ahead, or from
// before a restore of the store from a backup.
func TestReportsFromTheFuture(t *testing.T) {
	r := newRouters(1, 0)[0]
	r.RecordLimit(runner, 1, start)
	future := (time.Hour + time.Minute).Milliseconds()
	r.MergeReports([]cicadalimit.Report{{Runner: runner.ID, StartMillis: runner.StartMillis, Unlimited: true, AtMillis: future}}, start.Add(time.Second))
	if _, ok := r.Rate(runner, start.Add(6*time.Second)); !ok {
		t.Error("a report without a limit from the future ended the limit")
	}
	r.MergeReports([]cicadalimit.Report{{Runner: runner.ID, StartMillis: runner.StartMillis, Rate: 3, AtMillis: future}}, start.Add(2*time.Second))
	r.RecordNoLimit(runner, start.Add(3*time.Second))
	if _, ok := r.Rate(runner, start.Add(6*time.Second)); ok {
		t.Error("a limit from the future did not end after a later response without a limit")
	}
	r.MergeReports([]cicadalimit.Report{{Runner: runner.ID, StartMillis: runner.StartMillis, Rate: -1, AtMillis: future}}, start.Add(4*time.Second))
	if _, ok := r.Rate(runner, start.Add(6*time.Second)); ok {
		t.Error("a negative rate was accepted as a limit")
	}
}

// TestClockAfterAJump checks the estimate of the shared time after jumps of either clock.
func TestClockAfterAJump(t *testing.T) {
	c := &cicadalimit.Clock{}
	if _, ok := c.SharedTime(start); ok {
		t.Error("SharedTime returned a time before the first observation")
	}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c.Observe(at(0), at(500), 10*time.Second) // a slow response
	c.Observe(at(600), at(604), 10*time.Second+100*time.Millisecond)
	check := func(what string, ms int, want time.Duration) {
		t.Helper()
		got, _ := c.SharedTime(at(ms))
		if d := (got - want).Abs(); d > 5*time.Millisecond {
			t.Errorf("%s: shared time is off by %v", what, d)
		}
	}
	check("after a quick response", 1000, 10*time.Second+498*time.Millisecond)
	c.Observe(at(2000), at(2004), 20*time.Second)
	check("after a freeze", 2000, 20*time.Second)
	c.Observe(at(3000), at(3004), 5*time.Second)
	check("after a step back", 3000, 5*time.Second)
}

// TestPermitsAfterTheClockWasSetBack checks that permits continue after the shared clock was set back,
// and not only when it reaches its earlier time again.
func TestPermitsAfterTheClockWasSetBack(t *testing.T) {
	r := newRouters(1, 0)[0]
	r.RecordLimit(runner, 2, start)
	simulate([]*router{r}, 0, 5*time.Second, nil)
	at := start.Add(5 * time.Second)
	r.clock.Observe(at, at, time.Minute)
	if got := simulate([]*router{r}, 5*time.Second, 10*time.Second, nil); len(got) < 8 || got.maxInWindow() > maxAllowed(2) {
		t.Errorf("%d requests in five seconds, %d in a window; want at least 8, and at most %d in a window", len(got), got.maxInWindow(), maxAllowed(2))
	}
}

// TestUrgentCallersRetryFirst checks that refused callers with a higher priority retry first and that
// permits are reserved for them, if all runners of a service are rate-limited.
func TestUrgentCallersRetryFirst(t *testing.T) {
	routers := newRouters(2, 0)
	r := routers[0]
	urgent, other := cicadalimit.Class{Service: "svc", Priority: 0}, cicadalimit.Class{Service: "svc", Priority: 5}
	var got []time.Duration
	for _, c := range []cicadalimit.Class{other, other, urgent, urgent, other} {
		got = append(got, r.RetryAfter(c, 4, start))
	}
	want := []time.Duration{500 * time.Millisecond, time.Second, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("retry delays (-want +got):\n%s", diff)
	}
	recordLimit(routers, 4, 0)
	for at := time.Duration(0); at < 1900*time.Millisecond; at += 5 * time.Millisecond {
		now := start.Add(at)
		if r.CanSend(runner, other, now) && !r.CanSend(runner, urgent, now) {
			t.Fatal("CanSend is true for a less urgent caller only")
		}
	}
	taken := 0
	for at := 2 * time.Second; at < 8*time.Second; at += 5 * time.Millisecond {
		if r.TryAcquire(runner, other, start.Add(at)) {
			taken++
		}
	}
	if taken < 6 {
		t.Errorf("less urgent callers got %d permits in six seconds without urgent callers, want at least 6", taken)
	}
}

// TestLessUrgentCallersAreNotStarved checks that less urgent callers get permits although urgent callers
// are refused all the time.
func TestLessUrgentCallersAreNotStarved(t *testing.T) {
	r := newRouters(1, 0)[0]
	r.RecordLimit(runner, 2, start)
	taken := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		r.RetryAfter(cicadalimit.Class{Service: "svc"}, 2, start.Add(at))
		if r.TryAcquire(runner, class, start.Add(at)) {
			taken++
		}
	}
	if taken < 10 {
		t.Errorf("less urgent callers got %d permits in ten seconds, want at least 10", taken)
	}
}

// simulateWithGrants has the first busy routers send as many requests as they may and request permits
// from other routers.
func simulateWithGrants(routers []*router, busy int, span time.Duration) arrivals {
	byName := map[string]*router{}
	for _, r := range routers {
		byName[r.name] = r
	}
	var out arrivals
	for at := time.Duration(0); at < span; at += 20 * time.Millisecond {
		now := start.Add(at)
		for _, r := range routers[:busy] {
			if permit, owner, ok := r.PeerPermit(runner, class, now); ok && byName[owner].GrantPermit(&permit, now) {
				r.AcceptPermit(&permit, now)
			}
			for r.TryAcquire(runner, class, now) {
				out = append(out, now)
			}
		}
	}
	return out
}

// TestIdleRoutersGrantPermits checks that busy routers can use the full rate limit with the permits of
// idle routers.
func TestIdleRoutersGrantPermits(t *testing.T) {
	for _, tt := range []struct{ routers, busy int }{{9, 1}, {9, 9}, {58, 2}, {58, 58}, {410, 5}} {
		for _, rate := range []float64{1, 5} {
			routers := newRouters(tt.routers, 20*time.Millisecond)
			recordLimit(routers, rate, 0)
			const span = 30 * time.Second
			got := simulateWithGrants(routers, tt.busy, span)
			if most := got.maxInWindow(); most > maxAllowed(rate) {
				t.Errorf("%d of %d routers busy, rate %g: %d requests in a window, want at most %d", tt.busy, tt.routers, rate, most, maxAllowed(rate))
			}
			if want := 0.9 * rate * span.Seconds(); float64(len(got)) < want {
				t.Errorf("%d of %d routers busy, rate %g: %d requests in total, want at least %g", tt.busy, tt.routers, rate, len(got), want)
			}
		}
	}
}

// TestPermitIsGrantedOnce checks that a permit is granted once, only by its owner, and not used by it too.
func TestPermitIsGrantedOnce(t *testing.T) {
	routers := newRouters(3, 0)
	recordLimit(routers, 1, 0)
	granted := 0
	for at := 5 * time.Second; granted == 0; at += time.Second {
		now := start.Add(at)
		permit, owner, ok := routers[0].PeerPermit(runner, class, now)
		if !ok {
			continue
		}
		if _, _, again := routers[0].PeerPermit(runner, class, now); again {
			t.Error("PeerPermit returned the same permit twice")
		}
		for _, r := range routers {
			for range 2 {
				if r.GrantPermit(&permit, now) {
					granted++
					if r.name != owner {
						t.Errorf("%s granted a permit of %s", r.name, owner)
					}
				}
			}
		}
		for _, r := range routers {
			if r.name == owner && r.TryAcquire(runner, class, now) {
				t.Error("the owner used a permit that it had granted")
			}
		}
	}
	if diff := cmp.Diff(1, granted); diff != "" {
		t.Errorf("number of grants of a permit (-want +got):\n%s", diff)
	}
}

// TestRecurringLimitStartsWithoutPermits checks that a new limit starts without permits from the period
// without a limit, in which the runner accepted any number of requests.
func TestRecurringLimitStartsWithoutPermits(t *testing.T) {
	r := newRouters(1, 0)[0]
	for at := time.Second; at < 20*time.Second; at += time.Second {
		now := start.Add(at)
		r.RecordLimit(runner, 4, now)
		if r.TryAcquire(runner, class, now) {
			t.Errorf("a permit was available when the limit began, at %v", at)
		}
		if !r.CanSend(runner, class, now.Add(700*time.Millisecond)) {
			t.Errorf("no permit was available 0.7 s after the limit began, at %v", at+700*time.Millisecond)
		}
		r.RecordNoLimit(runner, now.Add(710*time.Millisecond))
	}
}

// TestOnlyChangesAreReported checks that a router does not report a limit that another router has
// already reported. All routers read each report, so unnecessary ones are costly.
func TestOnlyChangesAreReported(t *testing.T) {
	routers := newRouters(3, 0)
	first, second := routers[0], routers[1]
	first.RecordLimit(runner, 2, start)
	second.MergeReports(first.Reports(start.Add(time.Second)), start.Add(time.Second))
	second.RecordLimit(runner, 2, start.Add(2*time.Second))
	if got := second.Reports(start.Add(3 * time.Second)); len(got) > 0 {
		t.Errorf("a known limit is reported again: %+v", got)
	}
	second.RecordLimit(runner, 4, start.Add(4*time.Second))
	if got := second.Reports(start.Add(5 * time.Second)); len(got) != 1 || got[0].Rate != 4 {
		t.Errorf("reports of a changed limit: %+v, want one with a rate of 4 requests per second", got)
	}
}
