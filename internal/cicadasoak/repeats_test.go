package cicadasoak_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Routers that start while the store is away do not know how many routers there are.
func TestRestartedRoutersRepeatMoreThanTheirShare(t *testing.T) { testRepeatsInAnOutage(t, true) }

// The store goes away while the routers of a new fleet have yet to see each other.
func TestRoutersOfANewFleetRepeatMoreThanTheirShare(t *testing.T) { testRepeatsInAnOutage(t, false) }

// testRepeatsInAnOutage restarts most routers of a fleet while the store is away, and checks the repeats.
func testRepeatsInAnOutage(t *testing.T, routersKnown bool) {
	t.Helper()
	const (
		routers, restarted = 6, 4
		interval           = 200 * time.Millisecond // between the requests at one router
	)
	binary, dir := buildRouter(t), t.TempDir()
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	s.writeConfig()
	for _, id := range []string{"i-0", "i-1", "i-2", "i-3"} {
		s.runners = append(s.runners, newRunner(t, id, s.verifier, s.store))
	}
	for range routers {
		s.addRouter(binary, dir)
	}
	s.awaitServing(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	if routersKnown {
		s.awaitRouterCount(routers)
	}
	s.store.setMode(storeRefuses)
	var restarts sync.WaitGroup
	for _, r := range s.routers[routers-restarted:] {
		restarts.Go(func() { s.restart(r, syscall.SIGKILL, 0) })
	}
	restarts.Wait()
	s.awaitServing(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	for _, r := range s.runners {
		r.setMode(runnerFails)
	}
	var callers sync.WaitGroup
	for _, r := range s.routers {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
		for end := time.Now().Add(retryWindow); time.Now().Before(end); end = end.Add(-interval) {
			callers.Go(func() {
				time.Sleep(time.Until(end))
				s.sendRequest(t.Context(), client, r, apiKey, idempotent)
			})
		}
	}
	callers.Wait()
	s.verifier.mu.Lock() // runners may still be at work
	defer s.verifier.mu.Unlock()
	s.verifier.checkRepeats(t)
}

// awaitRouterCount waits until every router knows all of them.
func (s *soak) awaitRouterCount(n int) {
	s.t.Helper()
	for _, r := range s.routers {
		for end := time.Now().Add(10 * time.Second); s.routerCount(r) != n; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				s.t.Fatalf("router %s does not know %d routers within 10 s", r.name, n)
			}
		}
	}
}

// routerCount returns the number of routers that a router knows, or 0 if it does not answer.
func (s *soak) routerCount(r *router) int {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+r.readyAddr+"/state", http.NoBody)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var state struct {
		Routers int `json:"routers"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return 0
	}
	return state.Routers
}
