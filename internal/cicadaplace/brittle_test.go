package cicadaplace_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

type (
	// brittleFleet simulates routers that send more to brittle runners than these take.
	brittleFleet struct {
		rng      *rand.Rand
		now      time.Time
		events   eventQueue
		routers  []*cicadaplace.Balancer
		runners  map[string]*brittleRunner
		servers  []*cicadaplace.Balancer // place the requests of all routers; none if they are not reached
		duration time.Duration           // of a request at a runner, on average

		served, refused int
	}

	// brittleRunner falls over if it rejects more than a number of requests in a second.
	brittleRunner struct {
		slots, running int
		fits           int // requests that have room, at most slots
		rejectedAt     []time.Time
		falls          int
	}

	// event is something that happens at a time.
	event struct {
		at time.Time
		do func()
	}

	eventQueue []event
)

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	toleratedRejections = 4
	networkDelay        = time.Millisecond
	// brittleContact is the time after which routers have to know that runners are brittle.
	brittleContact = 3 * time.Second
	// roomWait is how long a request waits for room, with a try each roomInterval.
	roomWait     = 200 * time.Millisecond
	roomInterval = 25 * time.Millisecond
)

func newBrittleFleet(routers, servers, runners, slots, fits int, duration time.Duration) *brittleFleet {
	f := &brittleFleet{
		rng: rand.New(rand.NewPCG(1, uint64(routers))), now: time.Unix(1000, 0), runners: map[string]*brittleRunner{}, duration: duration,
	}
	for range routers {
		b := cicadaplace.NewBalancer(cicadaplace.Config{})
		b.SetRouters(routers)
		f.routers = append(f.routers, b)
	}
	for i := range runners {
		id := fmt.Sprint("r", i)
		f.runners[id] = &brittleRunner{slots: slots, fits: fits}
		for _, b := range f.routers {
			b.Apply(cicadaplace.Entry{ID: id, Service: "svc", Addr: id, Slots: slots}, f.now)
		}
	}
	f.servers = f.routers[:servers]
	return f
}

func (f *brittleFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{f.now.Add(d), do})
}

// run sends requests at a rate for some time.
func (f *brittleFleet) run(rate float64, d time.Duration) {
	end := f.now.Add(d)
	var arrive func()
	arrive = func() {
		f.send(f.routers[f.rng.IntN(len(f.routers))], f.now.Add(roomWait))
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	start := f.now
	arrive()
	for len(f.events) > 0 {
		e, _ := heap.Pop(&f.events).(event)
		if f.now = e.at; f.now.After(end) {
			return
		}
		if f.now.Sub(start) < brittleContact {
			f.served, f.refused = 0, 0
			for _, r := range f.runners {
				r.falls = 0
			}
		}
		e.do()
	}
}

func (f *brittleFleet) send(b *cicadaplace.Balancer, until time.Time) {
	req := &cicadaplace.Request{Service: "svc"}
	if len(f.servers) > 0 {
		b = f.servers[f.rng.IntN(len(f.servers))]
		req.PlacesGroup = true
	}
	a, err := b.Choose(req, f.now)
	var noRoom *cicadaplace.NoRoomError
	switch {
	case errors.As(err, &noRoom) && f.now.Before(until):
		f.after(roomInterval, func() { f.send(b, until) })
	case err != nil:
		f.refused++
	default:
		f.after(networkDelay, func() { f.reach(a) })
	}
}

// reach is the arrival of a request at its runner.
func (f *brittleFleet) reach(a *cicadaplace.Assignment) {
	r := f.runners[a.Runner().ID()]
	answer := func(res cicadaplace.Result) {
		a.ReportLoad(cicadaplace.Load{Running: r.running, Slots: r.slots}, f.now)
		a.RecordBrittle(true, toleratedRejections, f.now)
		a.Finish(res, f.now)
	}
	if r.running < r.fits {
		r.running++
		f.after(time.Duration(f.rng.ExpFloat64()*float64(f.duration)), func() {
			r.running--
			f.served++
			answer(cicadaplace.Answered)
		})
		return
	}
	f.refused++
	r.reject(f.now)
	f.after(networkDelay, func() { answer(cicadaplace.Refused) })
}

func (r *brittleRunner) reject(now time.Time) {
	for len(r.rejectedAt) > 0 && now.Sub(r.rejectedAt[0]) > time.Second {
		r.rejectedAt = r.rejectedAt[1:]
	}
	if r.rejectedAt = append(r.rejectedAt, now); len(r.rejectedAt) > toleratedRejections {
		r.falls++
		r.rejectedAt = nil
	}
}

// brittleLoad is a fleet under more load than its runners can serve.
type brittleLoad struct {
	routers, servers, runners, slots int
	fits                             int // requests that a runner has room for, by its slots or its memory
	duration                         time.Duration
	wantServed                       float64 // share of what the runners can serve
}

func TestBrittleRunnersFallOverUnderLoad(t *testing.T) {
	t.Parallel()
	for _, tt := range []brittleLoad{
		{6, 1, 4, 6, 6, 60 * time.Millisecond, 0.6},
		{73, 1, 4, 6, 6, 15 * time.Millisecond, 0.6},
		{9, 1, 18, 64, 64, 500 * time.Millisecond, 0.6},
		{295, 4, 90, 64, 64, 500 * time.Millisecond, 0.5},
		{9, 1, 18, 64, 25, 500 * time.Millisecond, 0.5},
		{295, 4, 90, 64, 25, 500 * time.Millisecond, 0.5},
		{6, 6, 4, 6, 6, 60 * time.Millisecond, 0}, // cut from each other, each places for itself
		{9, 9, 18, 64, 64, 500 * time.Millisecond, 0},
		{9, 9, 18, 64, 25, 500 * time.Millisecond, 0},
		{6, 0, 4, 6, 6, 60 * time.Millisecond, 0},
		{73, 0, 4, 6, 6, 15 * time.Millisecond, 0},
		{9, 0, 18, 64, 64, 500 * time.Millisecond, 0},
		{9, 0, 18, 64, 25, 500 * time.Millisecond, 0},
	} {
		tt.run(t)
	}
}

// No router reaches another one, and each places for itself.
func TestBrittleRunnersFallOverWhenAllRoutersAreApart(t *testing.T) {
	t.Parallel()
	for _, tt := range []brittleLoad{
		{73, 73, 4, 6, 6, 15 * time.Millisecond, 0.5},
		{30, 30, 4, 6, 6, 15 * time.Millisecond, 0.5},
		{20, 20, 20, 32, 10, 200 * time.Millisecond, 0.5},
	} {
		tt.run(t)
	}
}

func (l *brittleLoad) run(t *testing.T) {
	t.Helper()
	name := fmt.Sprintf("%d routers, %d of them place, %d runners with %d slots and room for %d", l.routers, l.servers, l.runners, l.slots, l.fits)
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		f := newBrittleFleet(l.routers, l.servers, l.runners, l.slots, l.fits, l.duration)
		const overload = 1.3 // of what the runners can serve
		capacity := float64(l.runners*l.fits) / l.duration.Seconds()
		const period = 8 * time.Second
		f.run(overload*capacity, period)
		falls := 0
		for _, r := range f.runners {
			falls += r.falls
		}
		if float64(falls) > 2+0.1*float64(l.runners) {
			t.Errorf("runners fell over %d times", falls)
		}
		served := float64(f.served) / (capacity * (period - brittleContact).Seconds())
		if served < l.wantServed {
			t.Errorf("%.2f of what the runners can serve was served", served)
		}
		t.Logf("falls %d, served %.2f, refused %d", falls, served, f.refused)
	})
}

// Two routers place each other's requests. Both learn from their own responses that the runners are no
// longer brittle, one after the other.
func TestRoutersTellEachOtherForeverThatRunnersAreBrittle(t *testing.T) {
	t.Parallel()
	const step = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	var routers [2]*cicadaplace.Balancer
	for i := range routers {
		routers[i] = cicadaplace.NewBalancer(cicadaplace.Config{})
		routers[i].Apply(cicadaplace.Entry{ID: "r", Service: "svc", Addr: "r", Slots: 64}, now)
		routers[i].MergeBrittle("svc", toleratedRejections, now)
	}
	for i := range 100 {
		now = now.Add(step)
		from, to := routers[i%2], routers[(i+1)%2]
		if a, err := from.Choose(&cicadaplace.Request{Service: "svc", PlacesGroup: true}, now); err == nil {
			a.RecordBrittle(false, 0, now)
			a.Finish(cicadaplace.Answered, now)
		}
		if rejections, stated := from.StatedBrittle("svc", now); stated {
			to.MergeBrittle("svc", rejections, now)
		}
	}
	for i, b := range routers {
		if b.IsBrittle("svc", now) {
			t.Errorf("router %d still takes the runners for brittle", i)
		}
	}
}
