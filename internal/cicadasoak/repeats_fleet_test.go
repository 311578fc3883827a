package cicadasoak_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// storeCut is an address of the store for some routers, at which it can turn them away.
type storeCut struct {
	*httptest.Server
	refuses atomic.Bool
}

func newStoreCut(t *testing.T, s *store) *storeCut {
	c := &storeCut{}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c.refuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.Config.Handler.ServeHTTP(w, req)
	}))
	t.Cleanup(c.Close)
	return c
}

// TestFleetRepeatsMoreThanItsShare checks the repeats of a fleet whose runners fail while something else
// happens to its routers.
func TestFleetRepeatsMoreThanItsShare(t *testing.T) {
	const (
		routers  = 8
		interval = 400 * time.Millisecond // between the requests at one router
		calm     = 3 * time.Second        // in which the buckets fill
		trouble  = 11 * time.Second
	)
	binary := buildRouter(t)
	// inTurn calls a function for each router in turn.
	inTurn := func(s *soak, do func(*router)) {
		for end, i := time.Now().Add(trouble-time.Second), 0; time.Now().Before(end); i++ {
			do(s.routers[i%routers])
			time.Sleep(300 * time.Millisecond)
		}
	}
	kills := func(s *soak) { inTurn(s, func(r *router) { s.restart(r, syscall.SIGKILL, 100*time.Millisecond) }) }
	herd := func(s *soak) {
		var restarts sync.WaitGroup
		for _, r := range s.routers[1:] {
			restarts.Go(func() { s.restart(r, syscall.SIGKILL, 0) })
		}
		restarts.Wait()
	}
	tests := []struct {
		name  string
		mode  runnerMode
		cut   int // the number of routers that the store turns away
		fault func(*soak)
	}{
		{"runners refuse and routers are killed", runnerRefuses, 0, kills},
		{"runners disconnect, the store turns half of the routers away and routers are killed", runnerDisconnects, routers / 2, kills},
		{"runners fail, the store turns all away and most are killed", runnerFails, routers, herd},
		{"runners fail and routers are paused", runnerFails, 0, func(s *soak) {
			inTurn(s, func(r *router) { s.freeze(r, time.Second) })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
			cut := newStoreCut(t, s.store)
			for range test.cut {
				s.storeAddrs = append(s.storeAddrs, cut.Listener.Addr().(*net.TCPAddr).String())
			}
			s.writeConfig()
			for _, id := range []string{"i-0", "i-1", "i-2", "i-3"} {
				s.runners = append(s.runners, newRunner(t, id, s.verifier, s.store))
			}
			dir := t.TempDir()
			for range routers {
				s.addRouter(binary, dir)
			}
			s.awaitServing(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
			s.awaitRouterCount(routers)
			var callers sync.WaitGroup
			begin := time.Now().Add(calm)
			for _, r := range s.routers {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
				for at := time.Now(); at.Before(begin.Add(trouble)); at = at.Add(interval) {
					callers.Go(func() {
						time.Sleep(time.Until(at))
						s.sendRequest(t.Context(), client, r, apiKey, idempotent)
					})
				}
			}
			time.Sleep(time.Until(begin))
			cut.refuses.Store(true)
			for _, r := range s.runners {
				r.setMode(test.mode)
			}
			test.fault(s)
			callers.Wait()
			s.verifier.mu.Lock() // runners may still be at work
			defer s.verifier.mu.Unlock()
			s.verifier.checkRepeats(t)
		})
	}
}
