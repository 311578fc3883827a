package cicadasoak_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// repeatRule is how many repeats the routers may send in a window.
type repeatRule struct {
	ratio float64
	slack int
}

// TestRepeatIsNotCounted gives the routers no repeats at all. Each arrival beyond the first of a request is
// one that the retry budget does not count.
func TestRepeatIsNotCounted(t *testing.T) {
	s := runWithAllFaults(t, &repeatRule{})
	s.verifier.mu.Lock() // runners may still be at work
	defer s.verifier.mu.Unlock()
	for id, n := range s.verifier.arrivals {
		if n > 1 {
			t.Errorf("request %s arrived %d times, without a repeat in the budget", id, n)
		}
	}
}

// TestRepeatBeyondTheMaximumOfRunners gives the routers more repeats than they can use.
func TestRepeatBeyondTheMaximumOfRunners(t *testing.T) {
	s := runWithAllFaults(t, &repeatRule{ratio: 10, slack: 100_000})
	s.verifier.mu.Lock() // runners may still be at work
	defer s.verifier.mu.Unlock()
	maxRunners := map[kind]int{atMostOnce: 2, idempotent: 3, streaming: 2, resumable: 3} // as in writeConfig
	counts := map[int]int{}
	for id, n := range s.verifier.arrivals {
		counts[n]++
		if k, ok := s.verifier.kinds[id]; ok && n > maxRunners[k] {
			t.Errorf("request %s arrived %d times, at most %d are allowed", id, n, maxRunners[k])
		}
	}
	t.Logf("requests by number of arrivals: %v", counts)
	if counts[3] == 0 {
		t.Error("no request was sent to three runners")
	}
}

// runWithAllFaults runs a fleet with a runner in each mode and some healthy ones, while routers are killed
// and paused.
func runWithAllFaults(t *testing.T, rule *repeatRule) *soak {
	t.Helper()
	const (
		routers, callers = 4, 16
		duration         = 12 * time.Second
	)
	binary, dir := buildRouter(t), t.TempDir()
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1), repeats: rule}
	s.writeConfig()
	for i := range int(runnerStalls) + 2 {
		s.runners = append(s.runners, newRunner(t, fmt.Sprint("i-", i), s.verifier, s.store))
	}
	for range routers {
		s.addRouter(binary, dir)
	}
	s.awaitServing(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	s.awaitRouterCount(routers)
	ctx, stop := context.WithTimeout(t.Context(), duration)
	defer stop()
	var tasks sync.WaitGroup
	for mode := runnerRefuses; mode <= runnerStalls; mode++ {
		r := s.runners[mode]
		if mode != runnerCrashes {
			r.setMode(mode)
			continue
		}
		tasks.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(time.Second) {
				r.fault(mode, 500*time.Millisecond)
			}
		})
	}
	tasks.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			s.restart(s.routers[i%routers], syscall.SIGKILL, 200*time.Millisecond)
			time.Sleep(time.Second)
			s.freeze(s.routers[(i+2)%routers], time.Second)
			time.Sleep(time.Second)
		}
	})
	for n := range callers {
		tasks.Go(func() { s.generateLoad(ctx, 2*n+1) }) // with the key of the budget that lasts
	}
	tasks.Wait()
	return s
}
