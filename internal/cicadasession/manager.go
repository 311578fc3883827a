// Package cicadasession manages a router's units of the budgets. It holds the
// router's allocations, reserves and settles units for requests, and exchanges
// unit requests, returns, bills and claims with the homes of the partitions.
//
// One goroutine for each partition has one exchange in flight at a time. It
// repeats the exchange unchanged, with this home or its successor, until it gets
// the result. The manager's lock guards the allocations and the queues of all
// partitions. It is never held during a call.
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
	// ErrExhausted means that the region has too few units left.
	ErrExhausted = errors.New("the budget is exhausted")
	// ErrUnitsHeld means that the region has enough units left, but that this
	// router did not get them in time.
	ErrUnitsHeld = errors.New("units are held for other requests")
	// ErrHomeUnavailable means that the home of the budget did not respond in time,
	// or did not allot enough units to the region in time.
	ErrHomeUnavailable = errors.New("the home of the budget does not answer")
	// ErrSessionEnded means that the home has no session of this process: the
	// units that it held have been returned and may be held by other routers.
	ErrSessionEnded = errors.New("the home has ended the session")
	// ErrClosed means that the router is stopping.
	ErrClosed = errors.New("the router is stopping")
)

const (
	// horizonIntervals is the number of flush intervals that an allocation
	// should last.
	horizonIntervals = 8
	// minHorizon is the minimum time that an allocation should last.
	minHorizon = 2 * time.Second
	// shortageTTL is the time for which a shortage reported by the home is
	// taken into account.
	shortageTTL = 3 * time.Second
	// urgentInterval is the interval between exchanges while requests wait for
	// units.
	urgentInterval = 60 * time.Millisecond
)

type (
	// HomeClient sends messages to the home of a partition, on whichever host
	// it runs, and to other routers.
	HomeClient interface {
		// Exchange returns the result, or an error if no home responded. Even
		// then, the exchange may have taken effect.
		Exchange(ctx context.Context, item *cicadapeer.ExchangeItem) (*cicadaledger.ExchangeResult, error)
		// Borrow requests units from other routers. It returns nil if none of
		// them lends enough.
		Borrow(ctx context.Context, budget string, least, want cicadabudget.Units) (*cicadaledger.Loan, error)
		// Claim claims or releases the key of an idempotent request at the home.
		Claim(ctx context.Context, req *cicadapeer.ClaimRequest) (cicadaledger.ClaimResult, error)
	}

	// Counter counts events by name.
	Counter interface {
		Add(name string, delta int64)
	}

	// Config configures a Manager.
	Config struct {
		HomeClient    HomeClient
		Self          cicadaledger.RouterID
		Region        string
		FlushInterval func() time.Duration // between exchanges that no request waits for
		Log           log.Interface
		Counts        Counter
		Now           func() time.Time
		// OnDeclaredEnded is called once if a home responds that this process
		// was declared ended and its units were returned. The process must exit.
		OnDeclaredEnded func()
	}

	// Manager manages this router's allocations and sessions.
	Manager struct {
		cfg  Config
		stop chan struct{}
		wg   sync.WaitGroup

		mu           sync.Mutex // guards the fields below
		allocations  *cicadabudget.Allocations
		sessions     map[cicadaledger.PartitionID]*partitionSession
		waitLists    map[string]*waitList
		shortages    map[string]receivedShortage
		endedLenders map[cicadaledger.RouterID]bool // ended processes, from which nothing is borrowed
		lastLoanID   uint64
		closing      bool
		ended        bool
		// abandoned means that no more goroutines are started.
		abandoned bool
	}

	// waitList contains the requests that wait for units of one budget.
	waitList struct {
		units   []cicadabudget.Units
		changed chan struct{} // closed and replaced when a result arrives
	}

	receivedShortage struct {
		cicadaledger.Shortage
		receivedAt time.Time
	}

	// BudgetStatus is the state of a budget as last reported to this router.
	BudgetStatus struct {
		Held          cicadabudget.Units `json:"held"`
		Remaining     cicadabudget.Units `json:"remaining"`
		HeldElsewhere cicadabudget.Units `json:"heldElsewhere"`
		UpdatedAt     time.Time          `json:"learnedAt"`
	}
)

// New returns a manager without allocations.
func New(cfg Config) *Manager {
	horizon := max(minHorizon, horizonIntervals*cfg.FlushInterval())
	return &Manager{
		cfg:          cfg,
		stop:         make(chan struct{}),
		allocations:  cicadabudget.NewAllocations(horizon),
		sessions:     make(map[cicadaledger.PartitionID]*partitionSession),
		waitLists:    make(map[string]*waitList),
		shortages:    make(map[string]receivedShortage),
		endedLenders: make(map[cicadaledger.RouterID]bool),
	}
}

// Reserve reserves units of a budget. It waits up to wait for the home to grant
// them, and halfway tries to borrow them if the home has not responded. It returns
// ErrExhausted as soon as the home reports that the region has too few units left.
func (m *Manager) Reserve(
	ctx context.Context, budget string, units cicadabudget.Units, wait time.Duration,
) (cicadabudget.Reservation, error) {
	deadline := m.cfg.Now().Add(wait)
	m.mu.Lock()
	defer m.mu.Unlock()
	gotResult, triedBorrowing := false, false
	for {
		if m.closing {
			return cicadabudget.Reservation{}, ErrClosed
		}
		r, short := m.allocations.Reserve(budget, units, m.cfg.Now())
		if short == nil {
			m.requestRefill(budget)
			return r, nil
		}
		if gotResult && m.isExhausted(budget, units) {
			return cicadabudget.Reservation{}, ErrExhausted
		}
		timeLeft := deadline.Sub(m.cfg.Now())
		if timeLeft <= 0 || ctx.Err() != nil {
			return cicadabudget.Reservation{}, m.shortageError(budget, units)
		}
		if !gotResult && !triedBorrowing && timeLeft <= wait/2 {
			triedBorrowing = true
			m.borrow(ctx, budget, units)
			continue
		}
		if !triedBorrowing && timeLeft > wait/2 {
			timeLeft -= wait / 2
		}
		gotResult = m.waitForResult(ctx, budget, units, timeLeft) || gotResult
	}
}

// waitForResult waits up to timeLeft for the next result of an exchange with the
// home of the budget's partition. It releases m.mu while waiting, and reports
// whether a result arrived.
func (m *Manager) waitForResult(ctx context.Context, budget string, units cicadabudget.Units, timeLeft time.Duration) bool {
	w, ok := m.waitLists[budget]
	if !ok {
		w = &waitList{changed: make(chan struct{})}
		m.waitLists[budget] = w
	}
	w.units = append(w.units, units)
	changed := w.changed
	m.sessionFor(budget).wakeUp()
	m.mu.Unlock()
	received := false
	timer := time.NewTimer(timeLeft)
	select {
	case <-changed:
		received = true
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	m.mu.Lock()
	w.remove(units)
	if len(w.units) == 0 && m.waitLists[budget] == w {
		delete(m.waitLists, budget)
	}
	return received
}

func (w *waitList) remove(units cicadabudget.Units) {
	for i, u := range w.units {
		if u == units {
			w.units = append(w.units[:i], w.units[i+1:]...)
			return
		}
	}
}

// isExhausted reports whether the home recently responded that the region has too
// few units left for this request.
func (m *Manager) isExhausted(budget string, units cicadabudget.Units) bool {
	s, ok := m.shortages[budget]
	return ok && s.FullyAllotted && m.cfg.Now().Sub(s.receivedAt) < shortageTTL && s.Remaining-m.allocations.Settled(budget) < units
}

func (m *Manager) shortageError(budget string, units cicadabudget.Units) error {
	s, ok := m.shortages[budget]
	switch {
	case !ok || !s.FullyAllotted || m.cfg.Now().Sub(s.receivedAt) >= shortageTTL:
		return ErrHomeUnavailable
	case s.Remaining-m.allocations.Settled(budget) >= units:
		return ErrUnitsHeld
	default:
		return ErrExhausted
	}
}

// requestRefill wakes the partition's session if a budget is below its low-water
// mark.
func (m *Manager) requestRefill(budget string) {
	if m.allocations.IsLow(budget, m.cfg.Now()) {
		m.sessionFor(budget).wakeUp()
	}
}

// Settle ends a reservation with the request's bill. The returned channel is
// closed once the home has recorded the bill, or at once if the bill has no units
// and is not for an at-most-once request: such a bill is not sent.
func (m *Manager) Settle(r cicadabudget.Reservation, bill cicadaledger.Bill) (<-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.allocations.Settle(r, bill.Units+bill.Withheld); err != nil {
		m.cfg.Counts.Add("impossibleStates", 1)
		return nil, err
	}
	recorded := make(chan struct{})
	if bill.Units == 0 && bill.Withheld == 0 && !bill.AtMostOnce {
		close(recorded)
		return recorded, nil
	}
	p := m.sessionFor(r.Budget())
	p.bills = append(p.bills, pendingBill{bill: bill, recorded: recorded})
	p.wakeUp()
	return recorded, nil
}

// Recall makes the manager return its free units of some budgets.
func (m *Manager) Recall(budgets []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range budgets {
		if m.allocations.Held(b) == 0 {
			continue
		}
		m.allocations.SetScarce(b, true)
		m.shortages[b] = receivedShortage{Shortage: m.shortages[b].Shortage, receivedAt: m.cfg.Now()}
		m.sessionFor(b).wakeUp()
	}
}

// BudgetStatus returns the last reported state of a budget.
func (m *Manager) BudgetStatus(budget string) BudgetStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shortages[budget]
	return BudgetStatus{
		Held: m.allocations.Held(budget), Remaining: s.Remaining, HeldElsewhere: s.HeldElsewhere, UpdatedAt: s.receivedAt,
	}
}

// AllocationStates returns the state of all allocations.
func (m *Manager) AllocationStates() []cicadabudget.AllocationState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allocations.State()
}

// stopDeclaredEnded stops all spending after this process was declared ended.
func (m *Manager) stopDeclaredEnded() {
	m.mu.Lock()
	first := !m.ended
	m.ended, m.closing = true, true
	m.mu.Unlock()
	if first {
		m.cfg.Counts.Add("declaredEnded", 1)
		m.cfg.OnDeclaredEnded()
	}
}

// sessionFor returns the session for a budget's partition. It creates the session
// and starts its goroutine at the first use. The caller must hold m.mu.
func (m *Manager) sessionFor(budget string) *partitionSession {
	id := cicadaledger.PartitionOf(m.cfg.Region, budget)
	p, ok := m.sessions[id]
	if !ok {
		p = newPartitionSession(m, id)
		m.sessions[id] = p
		if !m.abandoned {
			m.wg.Add(1)
			go p.run()
		}
	}
	return p
}

// Close returns all units and ends the sessions. All requests must have ended. If
// ctx ends first, Close gives up, and the remaining units stay recorded as held by
// this process.
func (m *Manager) Close(ctx context.Context) error {
	m.mu.Lock()
	m.closing = true
	for _, p := range m.sessions {
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
		openSessions := m.describeOpenSessions()
		close(m.stop)
		<-ended
		return errors.Wrapf(ErrHomeUnavailable, "units not returned to their homes: %s", strings.Join(openSessions, "; "))
	}
}

// describeOpenSessions describes the sessions that have not ended and the reasons.
func (m *Manager) describeOpenSessions() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id, p := range m.sessions {
		if p.closed {
			continue
		}
		reason := "no exchange in flight"
		if p.lastErr != nil {
			reason = p.lastErr.Error()
		}
		out = append(out, fmt.Sprintf("partition %s: %d bills queued, %d units reserved, last exchange: %s",
			id, len(p.bills), m.allocations.ReservedIn(p.contains), reason))
	}
	return out
}

// Abandon ends the sessions without notifying the homes, as a crash does. Requests
// may still be in progress, but what they settle afterwards is lost.
func (m *Manager) Abandon() {
	m.mu.Lock()
	m.closing, m.abandoned = true, true
	m.mu.Unlock()
	close(m.stop)
	m.wg.Wait()
}
