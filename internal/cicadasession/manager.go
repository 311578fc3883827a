// Package cicadasession is the router's side of the budgets: it holds slices,
// reserves and settles units for requests, and exchanges asks, returns, bills
// and claims with the homes of the partitions.
//
// For each partition one goroutine keeps one exchange open at a time and
// repeats it unchanged, to this home or its successor, until it is answered.
// The manager's lock guards the slices and every partition's queue; it is never
// held during a call.
package cicadasession

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/pkg/errors"
)

// Errors of a session.
var (
	// ErrExhausted means that the region has not enough units left.
	ErrExhausted = errors.New("the budget is exhausted")
	// ErrUnitsHeld means that units are left but could not be had in time.
	ErrUnitsHeld = errors.New("units are held for other requests")
	// ErrHomeUnavailable means that the home of the budget did not answer in time.
	ErrHomeUnavailable = errors.New("the home of the budget does not answer")
	// ErrSessionEnded means that the home knows no session of this process:
	// what it held has been given to others.
	ErrSessionEnded = errors.New("the home has ended the session")
	// ErrClosed means that the router is stopping.
	ErrClosed = errors.New("the router is stopping")
)

const (
	// horizonIntervals is how many commit intervals a slice should last.
	horizonIntervals = 8
	// minHorizon is the least time that a slice should last.
	minHorizon = 2 * time.Second
	// scarceFor is how long the home's word that a budget is short holds.
	scarceFor = 3 * time.Second
	// askAgain is the pause before a waiting request's ask is repeated.
	askAgain = 60 * time.Millisecond
)

type (
	// HomeClient sends exchanges to the home of a partition, wherever it is.
	HomeClient interface {
		// Exchange returns the answer, or an error if no home answered. The
		// exchange may have taken effect all the same.
		Exchange(ctx context.Context, item *cicadapeer.ExchangeItem) (*cicadaledger.ExchangeResult, error)
		// Borrow asks other routers for units, or returns nil.
		Borrow(ctx context.Context, budget string, least, want cicadabudget.Units) (*cicadaledger.Loan, error)
		// Claim asks the home for the key of an idempotent request.
		Claim(ctx context.Context, req *cicadapeer.ClaimRequest) (cicadaledger.ClaimResult, error)
	}

	// Counter counts events by name.
	Counter interface {
		Add(name string, delta int64)
	}

	// Config sets up a Manager.
	Config struct {
		HomeClient    HomeClient
		Self          cicadaledger.RouterID
		Region        string
		FlushInterval func() time.Duration // between exchanges that nothing waits for
		Log           log.Interface
		Counts        Counter
		Now           func() time.Time
		// OnDeclaredEnded is called once if a home says that this process was declared
		// ended and its units given to others. The process has to end.
		OnDeclaredEnded func()
	}

	// Manager holds this router's slices.
	Manager struct {
		cfg  Config
		stop chan struct{}
		wg   sync.WaitGroup

		mu       sync.Mutex // guards the fields below
		slices   *cicadabudget.Allocations
		parts    map[cicadaledger.PartitionID]*part
		waiting  map[string]*waitList
		shortage map[string]shortage
		sealed   map[cicadaledger.RouterID]bool // ended processes
		lastLoan uint64
		closing  bool
		ended    bool
		// abandoned means that no goroutine is started any more.
		abandoned bool
	}

	// waitList is the requests that wait for units of one budget.
	waitList struct {
		units   []cicadabudget.Units
		changed chan struct{} // closed and replaced at each answer
	}

	shortage struct {
		cicadaledger.Shortage
		at time.Time
	}

	// BudgetStatus are what this router last learned of a budget.
	BudgetStatus struct {
		Held          cicadabudget.Units `json:"held"`
		Remaining     cicadabudget.Units `json:"remaining"`
		HeldElsewhere cicadabudget.Units `json:"heldElsewhere"`
		UpdatedAt     time.Time          `json:"learnedAt"`
	}
)

// New returns a manager without slices.
func New(cfg Config) *Manager {
	horizon := max(minHorizon, horizonIntervals*cfg.FlushInterval())
	return &Manager{
		cfg:      cfg,
		stop:     make(chan struct{}),
		slices:   cicadabudget.NewAllocations(horizon),
		parts:    make(map[cicadaledger.PartitionID]*part),
		waiting:  make(map[string]*waitList),
		shortage: make(map[string]shortage),
		sealed:   make(map[cicadaledger.RouterID]bool),
	}
}

// Reserve takes units of a budget, waiting up to wait for the home to grant
// them. It returns ErrExhausted at once when the home says that the region has
// not enough left.
func (m *Manager) Reserve(
	ctx context.Context, budget string, units cicadabudget.Units, wait time.Duration,
) (cicadabudget.Reservation, error) {
	deadline := m.cfg.Now().Add(wait)
	m.mu.Lock()
	defer m.mu.Unlock()
	asked, borrowed := false, false
	for {
		if m.closing {
			return cicadabudget.Reservation{}, ErrClosed
		}
		r, short := m.slices.Reserve(budget, units, m.cfg.Now())
		if short == nil {
			m.refill(budget)
			return r, nil
		}
		if asked && m.isExhausted(budget, units) {
			return cicadabudget.Reservation{}, ErrExhausted
		}
		left := deadline.Sub(m.cfg.Now())
		if left <= 0 || ctx.Err() != nil {
			return cicadabudget.Reservation{}, m.whyShort(budget, units)
		}
		if !asked && !borrowed && left <= wait/2 {
			borrowed = true
			m.borrow(ctx, budget, units)
			continue
		}
		if !borrowed && left > wait/2 {
			left -= wait / 2
		}
		asked = m.await(ctx, budget, units, left) || asked
	}
}

// await waits for the next answer on a budget, with the lock released. It
// reports whether there was one.
func (m *Manager) await(ctx context.Context, budget string, units cicadabudget.Units, left time.Duration) bool {
	w, ok := m.waiting[budget]
	if !ok {
		w = &waitList{changed: make(chan struct{})}
		m.waiting[budget] = w
	}
	w.units = append(w.units, units)
	changed := w.changed
	m.partOf(budget).wakeUp()
	m.mu.Unlock()
	answered := false
	timer := time.NewTimer(left)
	select {
	case <-changed:
		answered = true
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	m.mu.Lock()
	w.remove(units)
	if len(w.units) == 0 && m.waiting[budget] == w {
		delete(m.waiting, budget)
	}
	return answered
}

func (w *waitList) remove(units cicadabudget.Units) {
	for i, u := range w.units {
		if u == units {
			w.units = append(w.units[:i], w.units[i+1:]...)
			return
		}
	}
}

// isExhausted tells whether the home said a moment ago that no router could
// have these units.
func (m *Manager) isExhausted(budget string, units cicadabudget.Units) bool {
	s, ok := m.shortage[budget]
	return ok && s.FullyAllotted && m.cfg.Now().Sub(s.at) < scarceFor && s.Remaining-m.slices.Settled(budget) < units
}

func (m *Manager) whyShort(budget string, units cicadabudget.Units) error {
	s, ok := m.shortage[budget]
	switch {
	case !ok || !s.FullyAllotted || m.cfg.Now().Sub(s.at) >= scarceFor:
		return ErrHomeUnavailable
	case s.Remaining-m.slices.Settled(budget) >= units:
		return ErrUnitsHeld
	default:
		return ErrExhausted
	}
}

// refill wakes the partition if a budget fell below its low-water mark.
func (m *Manager) refill(budget string) {
	if m.slices.IsLow(budget, m.cfg.Now()) {
		m.partOf(budget).wakeUp()
	}
}

// Settle ends a reservation with the request's bill. The channel is closed once
// the home has recorded the bill.
func (m *Manager) Settle(r cicadabudget.Reservation, bill cicadaledger.Bill) (<-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.slices.Settle(r, bill.Units+bill.Withheld); err != nil {
		m.cfg.Counts.Add("impossibleStates", 1)
		return nil, err
	}
	recorded := make(chan struct{})
	if bill.Units == 0 && bill.Withheld == 0 && !bill.AtMostOnce {
		close(recorded)
		return recorded, nil
	}
	p := m.partOf(r.Budget())
	p.bills = append(p.bills, pendingBill{bill: bill, recorded: recorded})
	p.wakeUp()
	return recorded, nil
}

// Recall makes the manager return what it has free of some budgets.
func (m *Manager) Recall(budgets []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range budgets {
		if m.slices.Held(b) == 0 {
			continue
		}
		m.slices.SetScarce(b, true)
		m.shortage[b] = shortage{Shortage: m.shortage[b].Shortage, at: m.cfg.Now()}
		m.partOf(b).wakeUp()
	}
}

// BudgetStatus returns what the manager knows of a budget.
func (m *Manager) BudgetStatus(budget string) BudgetStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shortage[budget]
	return BudgetStatus{
		Held: m.slices.Held(budget), Remaining: s.Remaining, HeldElsewhere: s.HeldElsewhere, UpdatedAt: s.at,
	}
}

// AllocationStates lists the slices.
func (m *Manager) AllocationStates() []cicadabudget.AllocationState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slices.State()
}

// declareEnded stops all spending of a process that was declared ended.
func (m *Manager) declareEnded() {
	m.mu.Lock()
	first := !m.ended
	m.ended, m.closing = true, true
	m.mu.Unlock()
	if first {
		m.cfg.Counts.Add("declaredEnded", 1)
		m.cfg.OnDeclaredEnded()
	}
}

// partOf returns the partition of a budget and starts its goroutine at the
// first use. The caller holds m.mu.
func (m *Manager) partOf(budget string) *part {
	id := cicadaledger.PartitionOf(m.cfg.Region, budget)
	p, ok := m.parts[id]
	if !ok {
		p = newPart(m, id)
		m.parts[id] = p
		if !m.abandoned {
			m.wg.Add(1)
			go p.run()
		}
	}
	return p
}

// Close returns every unit and ends the sessions. Requests have ended before.
// It gives up when ctx ends; the units stay recorded as held by this process.
func (m *Manager) Close(ctx context.Context) error {
	m.mu.Lock()
	m.closing = true
	for _, p := range m.parts {
		p.wakeUp()
	}
	m.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		m.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		left := m.unclosed()
		close(m.stop)
		<-ended
		return errors.Wrapf(ErrHomeUnavailable, "not every unit was returned: %s", strings.Join(left, "; "))
	}
}

// unclosed describes the sessions that have not ended and what keeps each open.
func (m *Manager) unclosed() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id, p := range m.parts {
		if p.closed {
			continue
		}
		why := "no exchange is open"
		if p.lastErr != nil {
			why = p.lastErr.Error()
		}
		out = append(out, fmt.Sprintf("partition %s: %d bills queued, %d units reserved, last exchange: %s",
			id, len(p.bills), m.slices.ReservedIn(p.contains), why))
	}
	return out
}

// Abandon ends the sessions without a word to the homes, as a crash does.
// Requests may still be in progress; what they settle from now on is lost.
func (m *Manager) Abandon() {
	m.mu.Lock()
	m.closing, m.abandoned = true, true
	m.mu.Unlock()
	close(m.stop)
	m.wg.Wait()
}
