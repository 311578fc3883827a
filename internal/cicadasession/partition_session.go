package cicadasession

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/pkg/errors"
)

const (
	// maxBillsPerExchange limits the size of one exchange.
	maxBillsPerExchange = 512
	// idleCheckInterval is the interval at which a session that nothing wakes
	// checks for idle units to return.
	idleCheckInterval = 2 * time.Second
	// minRetryDelay and maxRetryDelay limit the mean of the random delay before
	// an exchange without a result is repeated.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

type (
	// partitionSession is the session with the home of one partition.
	partitionSession struct {
		m    *Manager
		id   cicadaledger.PartitionID
		wake chan struct{}

		// m.mu guards the fields below.
		seq         uint64
		bills       []pendingBill
		claims      []pendingClaim
		queuedLoans []cicadaledger.Loan
		// loansInFlight are the loans in the exchange in flight.
		loansInFlight []cicadaledger.Loan
		closed        bool  // the home has recorded the session's end
		lastErr       error // of the exchange in flight, nil before the first attempt and after a result
	}

	pendingBill struct {
		bill     cicadaledger.Bill
		recorded chan struct{}
	}

	pendingClaim struct {
		claim  cicadaledger.Claim
		result chan cicadaledger.ClaimResult
	}

	// pendingExchange is an exchange with the bills and claims that wait for its
	// result.
	pendingExchange struct {
		exchange cicadaledger.Exchange
		bills    []pendingBill
		claims   []pendingClaim
		urgent   bool
	}
)

func newPartitionSession(m *Manager, id cicadaledger.PartitionID) *partitionSession {
	return &partitionSession{m: m, id: id, wake: make(chan struct{}, 1)}
}

// wakeUp makes the goroutine check for work. It never blocks.
func (s *partitionSession) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *partitionSession) run() {
	defer s.m.wg.Done()
	for {
		pending := s.nextExchange()
		if pending != nil {
			if !s.send(pending) {
				return
			}
			if pending.exchange.Closing {
				return
			}
			if !s.sleep(s.delayAfter(pending)) {
				return
			}
			continue
		}
		select {
		case <-s.m.stop:
			return
		case <-s.wake:
		case <-time.After(idleCheckInterval):
		}
	}
}

// delayAfter returns the delay before the next exchange: the flush interval, or at
// most urgentInterval if the last exchange requested units for waiting requests,
// which the home may not have granted.
func (s *partitionSession) delayAfter(pending *pendingExchange) time.Duration {
	if pending.urgent {
		return min(urgentInterval, s.m.cfg.FlushInterval())
	}
	return s.m.cfg.FlushInterval()
}

func (s *partitionSession) sleep(d time.Duration) bool {
	select {
	case <-s.m.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// nextExchange builds the next exchange, or returns nil if there is nothing to
// send.
func (s *partitionSession) nextExchange() *pendingExchange {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	pending := &pendingExchange{exchange: cicadaledger.Exchange{Holder: s.m.cfg.Self, Seq: s.seq + 1}}
	n := min(len(s.bills), maxBillsPerExchange)
	pending.bills = append(pending.bills, s.bills[:n]...)
	s.bills = append([]pendingBill(nil), s.bills[n:]...)
	for _, b := range pending.bills {
		pending.exchange.Bills = append(pending.exchange.Bills, b.bill)
	}
	pending.claims, s.claims = s.claims, nil
	for _, c := range pending.claims {
		pending.exchange.Claims = append(pending.exchange.Claims, c.claim)
	}
	pending.exchange.Loans, s.queuedLoans = s.queuedLoans, nil
	s.loansInFlight = pending.exchange.Loans
	s.addUnitRequestsAndReturns(pending)
	pending.urgent = len(pending.exchange.UnitRequests) > 0 && pending.exchange.UnitRequests[0].Min > 0
	if s.m.closing && len(s.bills) == 0 && s.m.allocations.ReservedIn(s.contains) == 0 {
		pending.exchange.Closing = true
		pending.exchange.UnitRequests = nil
		return s.skipEmptySession(pending)
	}
	x := &pending.exchange
	if len(x.Bills) == 0 && len(x.Claims) == 0 && len(x.UnitRequests) == 0 && len(x.Returns) == 0 && len(x.Loans) == 0 {
		return nil
	}
	return pending
}

// skipEmptySession sets the number of a closing exchange to zero if it would be
// the first of a session without anything to send. Such an exchange is not sent.
func (s *partitionSession) skipEmptySession(pending *pendingExchange) *pendingExchange {
	x := &pending.exchange
	if s.seq == 0 && len(x.Bills) == 0 && len(x.Returns) == 0 && len(x.Loans) == 0 {
		pending.exchange.Seq = 0
	}
	return pending
}

func (s *partitionSession) contains(budget string) bool {
	return cicadaledger.PartitionOf(s.id.Region, budget) == s.id
}

// addUnitRequestsAndReturns adds unit requests for waiting requests and for
// allocations that run low, and the return of idle units. The caller must hold
// m.mu.
func (s *partitionSession) addUnitRequestsAndReturns(pending *pendingExchange) {
	m, now := s.m, s.m.cfg.Now()
	m.expireShortages(now)
	waiting := make(map[string]bool)
	for budget, w := range m.waitLists {
		if !s.contains(budget) || len(w.units) == 0 {
			continue
		}
		waiting[budget] = true
		if req, ok := m.unitRequestFor(budget, w); ok {
			pending.exchange.UnitRequests = append(pending.exchange.UnitRequests, req)
		}
	}
	for _, a := range m.allocations.Refills(now) {
		if s.contains(a.Budget) && !waiting[a.Budget] && !m.closing {
			pending.exchange.UnitRequests = append(pending.exchange.UnitRequests, cicadaledger.UnitRequest{Budget: a.Budget, Want: a.Want})
		}
	}
	returnable := func(budget string) bool { return s.contains(budget) && !waiting[budget] }
	idle := m.allocations.TakeIdle(returnable, now)
	if m.closing {
		idle = append(idle, m.allocations.TakeAll(s.contains)...)
	}
	for _, a := range idle {
		pending.exchange.Returns = append(pending.exchange.Returns, cicadaledger.Amount{Budget: a.Budget, Units: a.Want})
	}
}

// unitRequestFor returns a unit request for the units that the waiting requests of
// a budget lack.
func (m *Manager) unitRequestFor(budget string, w *waitList) (cicadaledger.UnitRequest, bool) {
	free := m.allocations.Free(budget)
	smallest, sum := w.units[0], cicadabudget.Units(0)
	for _, u := range w.units {
		smallest = min(smallest, u)
		sum += u
	}
	if smallest <= free {
		return cicadaledger.UnitRequest{}, false
	}
	return cicadaledger.UnitRequest{Budget: budget, Min: smallest - free, Want: max(sum, 2*smallest) - free}, true
}

// expireShortages lets allocations grow again after the shortages that the home
// reported have expired.
func (m *Manager) expireShortages(now time.Time) {
	for budget, s := range m.shortages {
		if now.Sub(s.receivedAt) >= shortageTTL {
			m.allocations.SetScarce(budget, false)
			delete(m.shortages, budget)
		}
	}
}

// send repeats an exchange until it gets the result. It returns false if the
// manager stops or the home has ended the session.
func (s *partitionSession) send(pending *pendingExchange) bool {
	if pending.exchange.Seq == 0 {
		s.recordAttempt(pending, nil)
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.m.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	item := &cicadapeer.ExchangeItem{Partition: s.id, Exchange: pending.exchange}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		result, err := s.m.cfg.HomeClient.Exchange(ctx, item)
		s.recordAttempt(pending, err)
		if err == nil {
			s.applyResult(pending, result)
			return true
		}
		if errors.Is(err, ErrSessionEnded) {
			if !pending.exchange.Closing {
				s.m.stopDeclaredEnded()
			}
			return false
		}
		s.m.cfg.Counts.Add("exchangesRepeated", 1)
		s.m.cfg.Log.WithError(err).WithField("partition", s.id.String()).Debug("exchange with the partition's home failed; retrying")
		if !s.sleep(delay/2 + rand.N(delay)) {
			return false
		}
	}
}

// recordAttempt records the outcome of an attempt, which explains why a session
// stays open.
func (s *partitionSession) recordAttempt(pending *pendingExchange, err error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.lastErr = err
	s.closed = err == nil && pending.exchange.Closing
}

// applyResult applies the result of an exchange and notifies those that wait for
// it.
func (s *partitionSession) applyResult(pending *pendingExchange, result *cicadaledger.ExchangeResult) {
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	s.seq = pending.exchange.Seq
	for _, r := range pending.exchange.Returns {
		m.allocations.ConfirmReturned(r.Budget, r.Units)
	}
	for _, loan := range pending.exchange.Loans {
		if loan.From == m.cfg.Self {
			m.allocations.ConfirmReturned(loan.Budget, loan.Units)
		} else {
			m.allocations.ConfirmLoan(loan.Budget, loan.Units)
		}
	}
	s.loansInFlight = nil
	credits := make(map[string]cicadabudget.Units)
	for _, c := range result.Credits {
		credits[c.Budget] += c.Units
	}
	for _, b := range pending.bills {
		m.allocations.ConfirmBilled(b.bill.Budget, b.bill.Units+b.bill.Withheld)
		close(b.recorded)
	}
	for budget, units := range credits {
		m.allocations.AddGrant(budget, units)
		m.cfg.Counts.Add("billsVoided", 1)
	}
	for _, g := range result.Grants {
		m.allocations.AddGrant(g.Budget, g.Units)
	}
	s.updateShortages(pending, result)
	s.deliverClaimResults(pending, result)
	for budget, w := range m.waitLists {
		if s.contains(budget) {
			close(w.changed)
			w.changed = make(chan struct{})
		}
	}
	m.cfg.Counts.Add("exchanges", 1)
}

func (s *partitionSession) updateShortages(pending *pendingExchange, result *cicadaledger.ExchangeResult) {
	short := make(map[string]bool)
	for _, shortage := range result.Shortages {
		short[shortage.Budget] = true
		s.m.shortages[shortage.Budget] = receivedShortage{Shortage: shortage, receivedAt: s.m.cfg.Now()}
		s.m.allocations.SetScarce(shortage.Budget, true)
	}
	for _, req := range pending.exchange.UnitRequests {
		if !short[req.Budget] {
			delete(s.m.shortages, req.Budget)
			s.m.allocations.SetScarce(req.Budget, false)
		}
	}
}

func (s *partitionSession) deliverClaimResults(pending *pendingExchange, result *cicadaledger.ExchangeResult) {
	for i, c := range pending.claims {
		if i < len(result.ClaimResults) {
			c.result <- result.ClaimResults[i]
		}
	}
}
