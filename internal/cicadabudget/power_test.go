package cicadabudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
)

// The load below is that of the busiest organisation of a deployment of nine
// routers: large requests, uneven shares, a second each, and a budget that ends
// some seconds after all machines have lost power.
const (
	powerBudget  = 4_500_000
	powerNeed    = 17_000
	powerLast    = time.Second // of a request
	powerStep    = 20 * time.Millisecond
	powerTick    = 200 * time.Millisecond
	powerRefresh = 300 * time.Millisecond // of the pool's reading
)

// powerShares are the routers' shares of the organisation's requests.
var powerShares = []int{5, 4, 3, 2, 2, 1, 1, 1, 1}

type (
	// poweredFleet is a fleet of routers before one store.
	poweredFleet struct {
		t        *testing.T
		now      time.Time
		version  uint64
		pool     cicadabudget.Pool
		poolAt   uint64
		machines []*machine
		arrivals int
		used     cicadabudget.Units // by requests that ran
		refused  int
	}

	machine struct {
		fleet   *poweredFleet
		accs    *cicadabudget.Accounts
		book    *cicadabudget.TxnManager
		own     cicadabudget.RouterRow
		ownAt   uint64
		ended   []time.Time // when the requests in progress end
		waiting []*cicadabudget.Waiter
	}
)

func newPoweredFleet(t *testing.T) *poweredFleet {
	t.Helper()
	f := &poweredFleet{t: t, now: epoch}
	for range powerShares {
		f.machines = append(f.machines, &machine{fleet: f})
	}
	f.start("first")
	return f
}

// start begins a process on every machine.
func (f *poweredFleet) start(name string) {
	for i, m := range f.machines {
		m.accs = cicadabudget.NewAccounts()
		m.book = cicadabudget.NewTxnManager(fmt.Sprint(name, i), f.now, m.accs)
		m.book.SetRouters(len(f.machines))
		m.accs.SetRouters(len(f.machines))
		m.accs.Configure(org, powerBudget, 1)
		m.ended, m.waiting = nil, nil
	}
}

// play lets requests arrive, some each second, for a time.
func (f *poweredFleet) play(d time.Duration, perSecond int) {
	every := time.Second / time.Duration(perSecond)
	next := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(powerStep) {
		for ; !next.After(f.now); next = next.Add(every) {
			f.arrive()
		}
		for i, m := range f.machines {
			m.step(i)
		}
	}
}

// arrive sends the next request to a router by the routers' shares.
func (f *poweredFleet) arrive() {
	sum := 0
	for _, n := range powerShares {
		sum += n
	}
	at := f.arrivals * 7 % sum
	f.arrivals++
	for i, n := range powerShares {
		if at < n {
			f.machines[i].arrive()
			return
		}
		at -= n
	}
}

func (m *machine) arrive() {
	verdict, w, _ := m.accs.Reserve(org, powerNeed, m.fleet.now)
	switch verdict {
	case cicadabudget.Granted:
		m.run()
	case cicadabudget.Queued:
		m.waiting = append(m.waiting, w)
	case cicadabudget.Exhausted:
		m.fleet.refused++
	}
}

func (m *machine) run() {
	m.fleet.used += powerNeed
	m.ended = append(m.ended, m.fleet.now.Add(powerLast))
}

// step does what is due at a machine. Machines do not act at the same moment.
func (m *machine) step(i int) {
	now := m.fleet.now
	for len(m.ended) > 0 && !m.ended[0].After(now) {
		m.accs.Settle(org, powerNeed, powerNeed, now)
		m.ended = m.ended[1:]
	}
	since := now.Sub(epoch) + time.Duration(i)*powerStep
	if since%powerRefresh < powerStep && m.fleet.poolAt > 0 {
		m.accs.ObservePool(org, 0, m.fleet.pool, m.fleet.poolAt, now)
		m.accs.ConfirmPools(0, now)
	}
	if since%powerTick < powerStep || len(m.waiting) > 0 {
		m.balance()
	}
	m.accs.ServeWaiters(org, now)
	m.takeAnswers()
}

// takeAnswers starts the requests whose wait is over.
func (m *machine) takeAnswers() {
	var left []*cicadabudget.Waiter
	for _, w := range m.waiting {
		select {
		case <-w.Ready():
			if w.Granted() {
				m.run()
			} else {
				m.fleet.refused++
			}
		default:
			left = append(left, w)
		}
	}
	m.waiting = left
}

func (m *machine) balance() {
	f := m.fleet
	clock := 1000 + f.now.Sub(epoch).Milliseconds()
	for range 3 {
		m.book.ObserveStoreTime(clock, f.now)
		txn := m.book.Begin(m.accs.Plan(m.book.InDoubt(), f.now), f.now)
		if txn == nil {
			return
		}
		if txn.RowVersion != m.ownAt || len(txn.Updates) > 0 && txn.Updates[0].Version != f.poolAt {
			if f.poolAt > 0 {
				m.accs.OverridePool(org, 0, f.pool, f.poolAt, f.now)
			}
			m.book.ConditionFailed(txn, m.own, m.ownAt, f.now, f.now)
			continue
		}
		f.version++
		m.own, m.ownAt = m.book.Row(txn), f.version
		if len(txn.Updates) > 0 {
			f.pool, f.poolAt = txn.After[0], f.version
		}
		m.book.Committed(txn, f.version, f.now)
	}
}

// powerLoss is a loss of power of all machines: some time after the start or the
// loss before, and for how long no process runs.
type powerLoss struct{ after, down time.Duration }

// serveThrough plays losses of power, then more requests than the budget covers,
// and checks that callers get the budget up to the three in a hundred within which
// the platform owes them nothing.
func serveThrough(t *testing.T, losses ...powerLoss) {
	t.Helper()
	f := newPoweredFleet(t)
	for i, loss := range losses {
		f.play(loss.after, 6)
		f.now = f.now.Add(loss.down)
		f.start(fmt.Sprint("after loss ", i))
	}
	f.play(40*time.Second, 6)
	if f.used < powerBudget*97/100-powerNeed {
		t.Errorf("callers got %d units of %d, %d requests were refused", f.used, powerBudget, f.refused)
	}
	if f.used > powerBudget {
		t.Errorf("overspent: %d units of %d", f.used, powerBudget)
	}
}

// TestBudgetIsServedAfterPowerLoss guards against an organisation that is refused
// for the rest of a day after all machines lost power near the end of its budget.
func TestBudgetIsServedAfterPowerLoss(t *testing.T) {
	serveThrough(t, powerLoss{34 * time.Second, 700 * time.Millisecond})
}

// TestBudgetIsServedAfterEarlierPowerLosses is the same while routers hold most.
func TestBudgetIsServedAfterEarlierPowerLosses(t *testing.T) {
	for name, losses := range map[string][]powerLoss{
		"midway":    {{24 * time.Second, time.Second}},
		"slowStart": {{30 * time.Second, 1500 * time.Millisecond}},
		"twice":     {{24 * time.Second, time.Second}, {8 * time.Second, time.Second}},
	} {
		t.Run(name, func(t *testing.T) { serveThrough(t, losses...) })
	}
}
