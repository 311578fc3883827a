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
	// billsPerExchange bounds one exchange.
	billsPerExchange = 512
	// idleCheck is how often a partition without work looks for idle units.
	idleCheck = 2 * time.Second
	// retryFirst and retryLongest bound the pause before an exchange without
	// an answer is repeated.
	retryFirst   = 20 * time.Millisecond
	retryLongest = time.Second
)

type (
	// part is the session with the home of one partition.
	part struct {
		m    *Manager
		id   cicadaledger.PartitionID
		wake chan struct{}

		// m.mu guards the fields below.
		seq    uint64
		bills  []pendingBill
		claims []pendingClaim
		moves  []cicadaledger.Loan
		// sentMoves are those of the open exchange.
		sentMoves []cicadaledger.Loan
		closed    bool  // the home has taken the session's end
		lastErr   error // of the open exchange, nil if it has not been tried or was answered
	}

	pendingBill struct {
		bill     cicadaledger.Bill
		recorded chan struct{}
	}

	pendingClaim struct {
		claim   cicadaledger.Claim
		verdict chan cicadaledger.ClaimResult
	}

	// open is an exchange with those who wait for its answer.
	open struct {
		exchange cicadaledger.Exchange
		bills    []pendingBill
		claims   []pendingClaim
		urgent   bool
	}
)

func newPart(m *Manager, id cicadaledger.PartitionID) *part {
	return &part{m: m, id: id, wake: make(chan struct{}, 1)}
}

// wakeUp makes the goroutine look for work. It never blocks.
func (p *part) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *part) run() {
	defer p.m.wg.Done()
	for {
		o := p.next()
		if o != nil {
			if !p.send(o) {
				return
			}
			if o.exchange.Closing {
				return
			}
			if !p.pause(p.waitAfter(o)) {
				return
			}
			continue
		}
		select {
		case <-p.m.stop:
			return
		case <-p.wake:
		case <-time.After(idleCheck):
		}
	}
}

// waitAfter is the pause before the next exchange: short while requests wait
// for units that the home did not have, else the flush interval.
func (p *part) waitAfter(o *open) time.Duration {
	if o.urgent {
		return min(askAgain, p.m.cfg.FlushInterval())
	}
	return p.m.cfg.FlushInterval()
}

func (p *part) pause(d time.Duration) bool {
	select {
	case <-p.m.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// next builds the next exchange, or returns nil if there is nothing to say.
func (p *part) next() *open {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	o := &open{exchange: cicadaledger.Exchange{Holder: p.m.cfg.Self, Seq: p.seq + 1}}
	n := min(len(p.bills), billsPerExchange)
	o.bills = append(o.bills, p.bills[:n]...)
	p.bills = append([]pendingBill(nil), p.bills[n:]...)
	for _, b := range o.bills {
		o.exchange.Bills = append(o.exchange.Bills, b.bill)
	}
	o.claims, p.claims = p.claims, nil
	for _, c := range o.claims {
		o.exchange.Claims = append(o.exchange.Claims, c.claim)
	}
	o.exchange.Loans, p.moves = p.moves, nil
	p.sentMoves = o.exchange.Loans
	p.addAsksAndReturns(o)
	o.urgent = len(o.exchange.UnitRequests) > 0 && o.exchange.UnitRequests[0].Min > 0
	if p.m.closing && len(p.bills) == 0 && p.m.slices.ReservedIn(p.contains) == 0 {
		o.exchange.Closing = true
		o.exchange.UnitRequests = nil
		return p.closingOrNil(o)
	}
	x := &o.exchange
	if len(x.Bills) == 0 && len(x.Claims) == 0 && len(x.UnitRequests) == 0 && len(x.Returns) == 0 && len(x.Loans) == 0 {
		return nil
	}
	return o
}

// closingOrNil avoids a session that would begin with its own end.
func (p *part) closingOrNil(o *open) *open {
	x := &o.exchange
	if p.seq == 0 && len(x.Bills) == 0 && len(x.Returns) == 0 && len(x.Loans) == 0 {
		o.exchange.Seq = 0
	}
	return o
}

func (p *part) contains(budget string) bool {
	return cicadaledger.PartitionOf(p.id.Region, budget) == p.id
}

// addAsksAndReturns adds what waiting requests lack, what running slices want,
// and what idle slices give back. The caller holds m.mu.
func (p *part) addAsksAndReturns(o *open) {
	m, now := p.m, p.m.cfg.Now()
	m.forgetShortages(now)
	waiting := make(map[string]bool)
	for budget, w := range m.waiting {
		if !p.contains(budget) || len(w.units) == 0 {
			continue
		}
		waiting[budget] = true
		if ask, ok := m.askFor(budget, w); ok {
			o.exchange.UnitRequests = append(o.exchange.UnitRequests, ask)
		}
	}
	for _, a := range m.slices.Refills(now) {
		if p.contains(a.Budget) && !waiting[a.Budget] && !m.closing {
			o.exchange.UnitRequests = append(o.exchange.UnitRequests, cicadaledger.UnitRequest{Budget: a.Budget, Want: a.Want})
		}
	}
	returnable := func(budget string) bool { return p.contains(budget) && !waiting[budget] }
	idle := m.slices.TakeIdle(returnable, now)
	if m.closing {
		idle = append(idle, m.slices.TakeAll(p.contains)...)
	}
	for _, a := range idle {
		o.exchange.Returns = append(o.exchange.Returns, cicadaledger.Amount{Budget: a.Budget, Units: a.Want})
	}
}

// askFor sums up what the waiting requests of a budget lack.
func (m *Manager) askFor(budget string, w *waitList) (cicadaledger.UnitRequest, bool) {
	free := m.slices.Free(budget)
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

// forgetShortages lets slices grow again some time after the home was short.
func (m *Manager) forgetShortages(now time.Time) {
	for budget, s := range m.shortage {
		if now.Sub(s.at) >= scarceFor {
			m.slices.SetScarce(budget, false)
			delete(m.shortage, budget)
		}
	}
}

// send repeats an exchange until it is answered. It reports false if the
// manager ends first.
func (p *part) send(o *open) bool {
	if o.exchange.Seq == 0 {
		p.note(o, nil)
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-p.m.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	item := &cicadapeer.ExchangeItem{Partition: p.id, Exchange: o.exchange}
	for wait := retryFirst; ; wait = min(2*wait, retryLongest) {
		answer, err := p.m.cfg.HomeClient.Exchange(ctx, item)
		p.note(o, err)
		if err == nil {
			p.take(o, answer)
			return true
		}
		if errors.Is(err, ErrSessionEnded) {
			if !o.exchange.Closing {
				p.m.declareEnded()
			}
			return false
		}
		p.m.cfg.Counts.Add("exchangesRepeated", 1)
		p.m.cfg.Log.WithError(err).WithField("partition", p.id.String()).Debug("exchange without answer")
		if !p.pause(wait/2 + rand.N(wait)) {
			return false
		}
	}
}

// note keeps the outcome of a try for those who ask why a session stays open.
func (p *part) note(o *open, err error) {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	p.lastErr = err
	p.closed = err == nil && o.exchange.Closing
}

// take applies an answer and tells everybody who waits for it.
func (p *part) take(o *open, a *cicadaledger.ExchangeResult) {
	m := p.m
	m.mu.Lock()
	defer m.mu.Unlock()
	p.seq = o.exchange.Seq
	for _, r := range o.exchange.Returns {
		m.slices.ConfirmReturned(r.Budget, r.Units)
	}
	for _, move := range o.exchange.Loans {
		if move.From == m.cfg.Self {
			m.slices.ConfirmReturned(move.Budget, move.Units)
		} else {
			m.slices.ConfirmLoan(move.Budget, move.Units)
		}
	}
	p.sentMoves = nil
	credits := make(map[string]cicadabudget.Units)
	for _, c := range a.Credits {
		credits[c.Budget] += c.Units
	}
	for _, b := range o.bills {
		m.slices.ConfirmBilled(b.bill.Budget, b.bill.Units+b.bill.Withheld)
		close(b.recorded)
	}
	for budget, units := range credits {
		m.slices.AddGrant(budget, units)
		m.cfg.Counts.Add("billsVoided", 1)
	}
	for _, g := range a.Grants {
		m.slices.AddGrant(g.Budget, g.Units)
	}
	p.takeShortages(o, a)
	p.deliverVerdicts(o, a)
	for budget, w := range m.waiting {
		if p.contains(budget) {
			close(w.changed)
			w.changed = make(chan struct{})
		}
	}
	m.cfg.Counts.Add("exchanges", 1)
}

func (p *part) takeShortages(o *open, a *cicadaledger.ExchangeResult) {
	short := make(map[string]bool)
	for _, s := range a.Shortages {
		short[s.Budget] = true
		p.m.shortage[s.Budget] = shortage{Shortage: s, at: p.m.cfg.Now()}
		p.m.slices.SetScarce(s.Budget, true)
	}
	for _, ask := range o.exchange.UnitRequests {
		if !short[ask.Budget] {
			delete(p.m.shortage, ask.Budget)
			p.m.slices.SetScarce(ask.Budget, false)
		}
	}
}

func (p *part) deliverVerdicts(o *open, a *cicadaledger.ExchangeResult) {
	for i, c := range o.claims {
		if i < len(a.ClaimResults) {
			c.verdict <- a.ClaimResults[i]
		}
	}
}
