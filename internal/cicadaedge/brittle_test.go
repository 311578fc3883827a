package cicadaedge_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	brittleSlots      = 4
	brittleTolerates  = 3 // rejections in a second
	brittleWork       = 60 * time.Millisecond
	brittleContact    = time.Second
	brittleTestPeriod = 5 * time.Second
)

// brittleRunner rejects requests for which it has no slot, and says how many rejections it tolerates.
type brittleRunner struct {
	header  string
	begin   time.Time
	stopped *atomic.Bool // it is no longer brittle

	mu         sync.Mutex // guards the fields below
	running    int
	rejectedAt []time.Time
	falls      int // later than brittleContact after begin
	served     int
}

// ServeHTTP runs or rejects a request.
func (b *brittleRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !b.stopped.Load() {
		w.Header().Set("X-Brittle", b.header)
	}
	if !b.take() {
		refuseNotRun(w, req)
		return
	}
	time.Sleep(brittleWork)
	b.mu.Lock()
	b.running--
	b.served++
	b.mu.Unlock()
	fmt.Fprintf(w, "whole")
}

// take takes a slot if there is one.
func (b *brittleRunner) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < brittleSlots {
		b.running++
		return true
	}
	now := time.Now()
	for len(b.rejectedAt) > 0 && now.Sub(b.rejectedAt[0]) > time.Second {
		b.rejectedAt = b.rejectedAt[1:]
	}
	if b.rejectedAt = append(b.rejectedAt, now); len(b.rejectedAt) > brittleTolerates && !b.stopped.Load() {
		b.rejectedAt = nil
		if now.Sub(b.begin) > brittleContact {
			b.falls++
		}
	}
	return false
}

func TestOverloadBringsBrittleRunnersDown(t *testing.T) {
	t.Parallel()
	for name, header := range map[string]string{"a number": fmt.Sprint(brittleTolerates), "an unreadable number": "many"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			var (
				runners [3]brittleRunner
				stopped atomic.Bool
			)
			for i := range runners {
				runners[i] = brittleRunner{header: header, begin: time.Now(), stopped: &stopped}
				r := f.addRunner(runners[i].ServeHTTP)
				f.putEntryWithSlots(r, brittleSlots)
			}
			nodes := f.startNodes(4)
			for i := range runners {
				runners[i].begin = time.Now()
			}
			sendLoad(t, nodes, "/once/", 3*time.Millisecond, brittleTestPeriod, map[string]string{"X-Patience": "1000"})
			falls, served := 0, 0
			for i := range runners {
				falls, served = falls+runners[i].falls, served+runners[i].served
			}
			if allowed := 2 + len(runners)/10; falls > allowed {
				t.Errorf("runners fell over %d times, %d are allowed", falls, allowed)
			}
			capacity := float64(len(runners)*brittleSlots) / brittleWork.Seconds() * brittleTestPeriod.Seconds()
			if float64(served) < 0.5*capacity {
				t.Errorf("%d requests served of %.0f that the runners can serve", served, capacity)
			}
			stopped.Store(true)
			eventually(t, "the runners get all that they can serve again", func() bool {
				before := runners[0].servedCount()
				sendLoad(t, nodes, "/once/", 3*time.Millisecond, time.Second, nil)
				return float64(runners[0].servedCount()-before) > 0.85*brittleSlots/brittleWork.Seconds()
			})
		})
	}
}

func (b *brittleRunner) servedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served
}
