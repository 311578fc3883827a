package cicadasoak_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestCallersThatLeaveSpendMoreThanIsPrepaid has callers that leave at any moment, while routers are killed
// and paused and the store turns half of them away now and then.
func TestCallersThatLeaveSpendMoreThanIsPrepaid(t *testing.T) {
	const (
		routers, callers = 8, 32
		duration         = 15 * time.Second
		// maxStay is how long a caller stays at most: until some events have arrived.
		maxStay = 80 * time.Millisecond
	)
	binary, dir := buildRouter(t), t.TempDir()
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	cut := newStoreCut(t, s.store)
	for range routers / 2 {
		s.storeAddrs = append(s.storeAddrs, cut.Listener.Addr().(*net.TCPAddr).String())
	}
	s.writeConfig()
	for _, id := range []string{"i-0", "i-1", "i-2", "i-3"} {
		s.runners = append(s.runners, newRunner(t, id, s.verifier, s.store))
	}
	for range routers {
		s.addRouter(binary, dir)
	}
	s.awaitServing(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	ctx, stop := context.WithTimeout(t.Context(), duration)
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			cut.refuses.Store(i%2 == 1)
			s.restart(s.routers[i%routers], syscall.SIGKILL, 100*time.Millisecond)
			time.Sleep(400 * time.Millisecond)
			s.freeze(s.routers[(i+2)%routers], 300*time.Millisecond)
			time.Sleep(400 * time.Millisecond)
		}
	})
	for n := range callers {
		tasks.Go(func() {
			rnd := rand.New(rand.NewPCG(1, uint64(n)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				stay, leave := context.WithTimeout(ctx, time.Duration(rnd.Int64N(int64(maxStay))))
				s.sendRequest(stay, client, s.routers[rnd.IntN(routers)], apiKey, []kind{streaming, resumable}[rnd.IntN(2)])
				leave()
				time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
			}
		})
	}
	tasks.Wait()
	s.verifier.mu.Lock()
	defer s.verifier.mu.Unlock()
	used := s.verifier.usedTokens()
	t.Logf("tokens of the requests that ran: %d of %d prepaid", used, prepaidTokens)
	if used > prepaidTokens {
		t.Error("BUDGET: more tokens than are prepaid")
	}
	if used < prepaidTokens/2 {
		t.Error("the budget has not ended")
	}
}
