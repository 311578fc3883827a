package cicadaplace_test

import (
	"errors"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

const (
	warmupRate    = 8.1
	warmupExcess  = 1.5
	warmupSlack   = 5
	warmupPeriod  = 3 * time.Second
	warmupRouters = 40
)

// newWarmupFleet returns the balancers of routers that share the limits of warming runners. Their
// clocks differ by up to 50 ms.
func newWarmupFleet() []*cicadaplace.Balancer {
	names := make([]string, warmupRouters)
	for i := range names {
		names[i] = fmt.Sprintf("router%d", i)
	}
	fleet := make([]*cicadaplace.Balancer, warmupRouters)
	for i := range fleet {
		clock := &cicadalimit.Clock{}
		skew := time.Duration(i%6) * 10 * time.Millisecond
		clock.Observe(start, start, time.Hour+skew)
		limits := cicadalimit.New(clock)
		limits.SetRouters(names[i], names)
		fleet[i] = cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p", Limits: limits})
		rate := min(warmupRate, cicadalimit.RateForBurst(warmupRate*warmupExcess+warmupSlack))
		fleet[i].SetWarmups(map[string]cicadaplace.Warmup{"s": {Rate: rate, Period: warmupPeriod}}, start)
	}
	return fleet
}

// maxInSecond returns the largest number of arrivals in any second.
func maxInSecond(arrivals []time.Time) int {
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestWarmingRunnersGetFewRequests plays a data centre whose runners come back cold beside a warm one,
// under a load that would overrun them: all routers together must stay within the bound in any second,
// and all requests must be placed.
func TestWarmingRunnersGetFewRequests(t *testing.T) {
	fleet := newWarmupFleet()
	const coldAt = 2 * time.Second
	entries := func(at time.Duration) []cicadaplace.Entry {
		list := []cicadaplace.Entry{entry(0), entry(1), entry(2), entry(3)}
		for i := range 2 {
			list[i].StartMillis = coldAt.Milliseconds()
			list[i].WarmupRemaining = max(warmupPeriod-(at-coldAt), 0)
		}
		return list
	}
	arrivals := map[string][]time.Time{}
	const step = 2 * time.Millisecond
	for at := coldAt; at < coldAt+warmupPeriod; at += step {
		now := start.Add(at)
		for i, lb := range fleet {
			if at%(400*time.Millisecond) == 0 {
				for _, e := range entries(at) {
					lb.Apply(e, now)
				}
			}
			if at%(40*time.Millisecond) != time.Duration(i%20)*step {
				continue
			}
			a, err := lb.Choose(prompt(fmt.Sprint("part", at%7, i%5), 4000, 500), now)
			if err != nil {
				t.Fatalf("request at %v was not placed: %v", at, err)
			}
			arrivals[a.Runner().ID()] = append(arrivals[a.Runner().ID()], now)
		}
	}
	for i := range 2 {
		id := entry(i).ID
		if most := float64(maxInSecond(arrivals[id])); most > warmupRate*warmupExcess+warmupSlack || most == 0 {
			t.Errorf("cold runner %s got up to %g requests in one second, want some and at most %g", id, most, warmupRate*warmupExcess+warmupSlack)
		}
	}
}

// TestRunnersAreWarmingAfterAnEvacuation checks that runners of a data centre are limited when its
// evacuation ends, although their last entries do not say that they are cold.
func TestRunnersAreWarmingAfterAnEvacuation(t *testing.T) {
	fleet := newWarmupFleet()
	var arrivals []time.Time
	for _, lb := range fleet {
		lb.Apply(entry(0), start)
		lb.SetEvacuated(map[string]bool{"p": true}, start.Add(time.Second))
	}
	if _, err := fleet[0].Choose(prompt("part", 100, 10), start.Add(1500*time.Millisecond)); err == nil {
		t.Error("a request was placed in an evacuated data centre")
	}
	for at := 2 * time.Second; at < 2*time.Second+warmupPeriod; at += 10 * time.Millisecond {
		for _, lb := range fleet {
			if at == 2*time.Second {
				lb.SetEvacuated(nil, start.Add(at))
			}
			if _, err := lb.Choose(prompt("part", 100, 10), start.Add(at)); err == nil {
				arrivals = append(arrivals, start.Add(at))
			}
		}
	}
	if most := float64(maxInSecond(arrivals)); most > warmupRate*warmupExcess+warmupSlack || most == 0 {
		t.Errorf("the runner got up to %g requests in one second after the evacuation, want some and at most %g", most, warmupRate*warmupExcess+warmupSlack)
	}
}

func TestRequestStaysAtItsSoftwareVersion(t *testing.T) {
	lb := newBalancer(0)
	for i, version := range []string{"v1", "v2", ""} {
		e := entry(i)
		e.SoftwareVersion = version
		lb.Apply(e, start)
	}
	req := prompt("shared", 1000, 10)
	req.SoftwareVersion = "v2"
	for range 5 {
		if diff := cmp.Diff(entry(1).ID, choose(t, lb, req, start).Runner().ID()); diff != "" {
			t.Errorf("runner (-want +got)\n%s", diff)
		}
	}
	if _, err := lb.AssignTo(entry(0).ID, req, start); !errors.Is(err, cicadaplace.ErrNoRunner) {
		t.Errorf("a runner of another version that another router chose: %v", err)
	}
	req.SoftwareVersion = "v3"
	if lb.HasAlternative(req, start) {
		t.Error("a request has an alternative at another version")
	}
	if _, err := lb.Choose(req, start); !errors.Is(err, cicadaplace.ErrNoRunner) {
		t.Errorf("a request whose version has left: %v", err)
	}
}

func TestRunnerThatReturnsWithAnotherSoftwareVersion(t *testing.T) {
	lb := newBalancer(0)
	e := entry(0)
	e.SoftwareVersion = "v1"
	lb.Apply(e, start)
	before := choose(t, lb, prompt("shared", 1000, 10), start)
	relayed := entry(0) // by a router of an earlier build
	if c := lb.Apply(relayed, start); c.Changed() {
		t.Error("an entry without a version replaces the runner")
	}
	if diff := cmp.Diff("v1", before.SoftwareVersion()); diff != "" {
		t.Errorf("version after an entry without one (-want +got)\n%s", diff)
	}
	e.SoftwareVersion = "v2"
	lb.Apply(e, start)
	if diff := cmp.Diff("", before.SoftwareVersion()); diff != "" {
		t.Errorf("version of a run from before the change (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff("v2", choose(t, lb, prompt("shared", 1000, 10), start).SoftwareVersion()); diff != "" {
		t.Errorf("version of a new run (-want +got)\n%s", diff)
	}
}

func TestResumableStreamBeginsAtAVersionThatOtherRoutersDoNotKnow(t *testing.T) {
	const soon = cicadaplace.VersionSettlingPeriod - time.Millisecond
	type runner struct {
		version  string
		seen     time.Duration
		draining bool
	}
	later := []runner{{version: "v1"}, {version: "v2", seen: time.Hour}}
	drained := []runner{{version: "v1", draining: true}, {version: "v2", seen: time.Hour}}
	for _, tt := range []struct {
		name    string
		runners []runner
		tried   []string
		plain   bool // the request is no resumable stream
		at      time.Duration
		want    string // version of the chosen runner
	}{
		{name: "a version that is new", runners: later, at: time.Hour + soon, want: "v1"},
		{name: "a version that has settled", runners: drained, at: 2 * time.Hour, want: "v2"},
		{name: "a request that is not resumed", runners: later, tried: []string{"r00"}, plain: true, at: time.Hour, want: "v2"},
		{name: "the older version drains", runners: drained, at: time.Hour, want: "v2"},
		{name: "the older version was tried", runners: later, tried: []string{"r00"}, at: time.Hour, want: "v2"},
		{name: "this router has just started", runners: []runner{{version: "v1", draining: true}, {version: "v2"}}, at: time.Millisecond, want: "v2"},
		{name: "two new versions", runners: append([]runner{{version: "v3", seen: time.Hour + time.Second}}, later...), at: time.Hour + time.Second, want: "v1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			lb := cicadaplace.NewBalancer(cicadaplace.Config{DataCentre: "p"})
			for i, r := range tt.runners {
				e := entry(i)
				e.SoftwareVersion, e.Draining = r.version, r.draining
				lb.Apply(e, start.Add(r.seen))
			}
			for i := range 20 {
				req := prompt(fmt.Sprint("shared", i), 1000, 10)
				req.Resumable, req.Tried = !tt.plain, tt.tried
				if diff := cmp.Diff(tt.want, choose(t, lb, req, start.Add(tt.at)).SoftwareVersion()); diff != "" {
					t.Fatalf("version (-want +got)\n%s", diff)
				}
			}
		})
	}
}
