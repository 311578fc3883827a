package cicadaedge

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/pkg/errors"
)

const (
	// lenderTimeout is how long a lender may take to answer before it is skipped. It allows a few
	// round trips and a draw by the lender.
	lenderTimeout = 100 * time.Millisecond
	// lateReplyPeriod is how long after a call its reply is still accepted, since the units in it
	// have already left the lender's account.
	lateReplyPeriod = 3 * time.Second
	// maxLenderWait bounds how long a lender waits for units, so that it answers within
	// lenderTimeout.
	maxLenderWait = 60 * time.Millisecond
	// unableLenderPeriod is how long a lender is skipped for an organisation if it cannot reach
	// the store and has no units left.
	unableLenderPeriod = time.Second
	// maxUnableLenders bounds the lenders that are skipped because they have no units. Those
	// ranked after them hold no more.
	maxUnableLenders = 3
	// lenderCandidates bounds the ranked routers kept for each organisation. More are down at once
	// only if most routers are lost.
	lenderCandidates = 16
	// borrowInterval is how often the accounts are checked for loan requests without a wake-up.
	borrowInterval = 200 * time.Millisecond
	methodLend     = "lend"
)

type (
	// borrower borrows units from the lenders of the organisations. It runs in one goroutine, and
	// one more for each call in progress.
	borrower struct {
		rt         *Router
		wakeSignal signal

		mu          sync.Mutex        // guards the fields below
		pending     map[string]uint64 // number of the call in progress to each lender
		lastCall    uint64            // number of the last call
		unableUntil map[lenderKey]time.Time
	}

	// lenderKey identifies a lender of one organisation.
	lenderKey struct{ lender, organisation string }

	lendRequest struct {
		From         string                     `json:"from"`
		LoanRequests []cicadabudget.LoanRequest `json:"needs,omitempty"`
		Surpluses    []cicadabudget.Surplus     `json:"surpluses,omitempty"`
	}

	// lendReply holds one loan for each loan request, in the same order.
	lendReply struct {
		Loans []loan `json:"loans"`
	}

	loan struct {
		Units cicadabudget.Units `json:"units"`
		// Available is the largest amount that a request can still get. It is set if Exhausted is.
		Available cicadabudget.Units `json:"most,omitempty"`
		Exhausted bool               `json:"dry,omitempty"`
		// Unable means that the lender cannot reach the store and has no units, or does not know
		// the organisation.
		Unable bool `json:"unable,omitempty"`
		// AfterMillis is the time after which units held by the lender will cover the request, if
		// the lender cannot reach the store or the store is late to respond.
		AfterMillis int64 `json:"afterMillis,omitempty"`
		// Era is the store era in which the units were drawn.
		Era uint64 `json:"era,omitempty"`
		// Snapshot is the lender's snapshot of the pool, so that the holders of borrowed units
		// know of the draw.
		Snapshot *cicadabudget.PoolSnapshot `json:"view,omitempty"`
	}
)

var (
	errStopping      = errors.New("the router is stopping")
	errLenderTimeout = errors.New("the lender did not answer within the lender timeout")
)

func newBorrower(rt *Router) *borrower {
	return &borrower{
		rt: rt, wakeSignal: newSignal(), pending: map[string]uint64{}, unableUntil: map[lenderKey]time.Time{},
	}
}

// wake makes the borrower check the accounts now.
func (b *borrower) wake() { b.wakeSignal.send() }

func (b *borrower) run(ctx context.Context) {
	b.wakeSignal.loop(ctx, borrowInterval, func() { b.borrow(ctx) })
}

// lender returns the name of the router that lends units of an organisation: the first in a
// ranking shared by all routers that answers and can reach the store. The name is empty if this
// router draws the units itself.
func (b *borrower) lender(org string) string {
	if b.rt.peers.count() < cicadabudget.LendingMinRouters && b.rt.poolSyncer.reachable() {
		return ""
	}
	unable := 0
	for _, name := range b.rt.peers.ranked("budget/"+org, lenderCandidates) {
		switch {
		case name == b.rt.cfg.Name:
			if b.rt.poolSyncer.reachable() {
				return ""
			}
		case b.rt.peerClients.isDown(name):
		case !b.isUnable(lenderKey{name, org}):
			return name
		default:
			if unable++; unable == maxUnableLenders {
				return ""
			}
		}
	}
	return ""
}

func (b *borrower) isUnable(l lenderKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.unableUntil[l])
}

// borrow sends each lender without a call in progress one call with all loan requests and
// surpluses for it.
func (b *borrower) borrow(ctx context.Context) {
	b.rt.accounts.SetBorrowing(func(org string) bool { return b.lender(org) != "" })
	now := time.Now()
	available := func(org string) bool { return b.canAsk(b.lender(org)) }
	requests := map[string]*lendRequest{}
	requestFor := func(org string) *lendRequest {
		name := b.lender(org)
		if requests[name] == nil {
			requests[name] = &lendRequest{From: b.rt.cfg.Name}
		}
		return requests[name]
	}
	for _, loanReq := range b.rt.accounts.LoanRequests(now) {
		if available(loanReq.Organisation) {
			r := requestFor(loanReq.Organisation)
			r.LoanRequests = append(r.LoanRequests, loanReq)
		}
	}
	if !b.rt.poolSyncer.reachable() {
		b.rt.accounts.NotifySourceUnavailable(func(org string) bool { return b.lender(org) == "" })
	}
	for _, s := range b.rt.accounts.TakeSurpluses(available, now) {
		r := requestFor(s.Organisation)
		r.Surpluses = append(r.Surpluses, s)
	}
	for name, req := range requests {
		call := b.startCall(name)
		go b.requestLoans(ctx, name, call, req)
	}
}

// canAsk reports whether a lender may be called now.
func (b *borrower) canAsk(lender string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, pending := b.pending[lender]
	return lender != "" && !pending
}

// startCall records a call to a lender and returns its number.
func (b *borrower) startCall(lender string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastCall++
	b.pending[lender] = b.lastCall
	return b.lastCall
}

// endCall records that a lender may be called again.
func (b *borrower) endCall(lender string, call uint64) {
	b.mu.Lock()
	if b.pending[lender] == call {
		delete(b.pending, lender)
	}
	b.mu.Unlock()
	b.wake()
}

func (b *borrower) requestLoans(ctx context.Context, name string, call uint64, req *lendRequest) {
	defer b.endCall(name, call)
	ctx, cancel := context.WithTimeout(ctx, lateReplyPeriod)
	defer cancel()
	late := time.AfterFunc(lenderTimeout, func() {
		b.markDown(name, errLenderTimeout)
		b.endCall(name, call)
	})
	defer late.Stop()
	client, err := b.rt.peerClients.client(ctx, name)
	var reply lendReply
	if err == nil {
		err = client.CallResult(ctx, methodLend, req, &reply)
	}
	if err == nil && len(reply.Loans) != len(req.LoanRequests) {
		err = errors.Errorf("lender sent %d loans for %d loan requests", len(reply.Loans), len(req.LoanRequests))
	}
	if err != nil {
		for _, s := range req.Surpluses {
			b.rt.cfg.Log.WithField("organisation", s.Organisation).WithField("units", int64(s.Units)).
				WithField("lender", name).WithError(err).Info("no reply to returned units")
		}
		if late.Stop() {
			b.markDown(name, err)
		}
		return
	}
	for i := range req.LoanRequests {
		b.applyLoan(name, &req.LoanRequests[i], &reply.Loans[i])
	}
}

// markDown skips a lender for a while.
func (b *borrower) markDown(name string, cause error) {
	b.rt.cfg.Metrics.Errors.Add("lend", 1)
	b.rt.peerClients.markDown(name, cause)
	b.rt.poolSyncer.wake()
}

// applyLoan applies a lender's reply.
func (b *borrower) applyLoan(name string, req *cicadabudget.LoanRequest, l *loan) {
	entry := b.rt.cfg.Log.WithField("organisation", req.Organisation).WithField("units", int64(l.Units)).
		WithField("wanted", int64(req.Want)).WithField("lender", name)
	switch {
	case l.Units > 0:
		if snapshot := l.Snapshot; snapshot != nil {
			b.rt.accounts.ObservePool(req.Organisation, snapshot.Era, snapshot.Pool, snapshot.Version, time.Now())
		}
		if !b.rt.accounts.AddLoan(req.Organisation, l.Era, l.Units, time.Now()) {
			entry.WithField("era", l.Era).Warn("borrowed units ignored: they were drawn in another era")
			return
		}
		entry.Info("units borrowed")
	case l.AfterMillis > 0:
		// Another lender may reach the store meanwhile.
		after := time.Duration(l.AfterMillis) * time.Millisecond
		b.markUnable(lenderKey{name, req.Organisation}, min(after, unableLenderPeriod))
		b.rt.accounts.SetLenderReleaseTime(req.Organisation, time.Now().Add(after+lenderTimeout))
		time.AfterFunc(after, b.wake)
	case l.Exhausted:
		b.rt.accounts.DenyWaiters(req.Organisation, l.Available, time.Now())
	case l.Unable:
		b.markUnable(lenderKey{name, req.Organisation}, unableLenderPeriod)
	}
}

// markUnable skips a lender for an organisation.
func (b *borrower) markUnable(l lenderKey, d time.Duration) {
	b.mu.Lock()
	b.unableUntil[l] = time.Now().Add(d)
	b.mu.Unlock()
	b.rt.poolSyncer.wake()
}

// handleLend answers loan requests of another router from this router's accounts.
func (rt *Router) handleLend(ctx context.Context, req lendRequest) (lendReply, error) {
	reply := lendReply{Loans: make([]loan, len(req.LoanRequests))}
	for _, s := range req.Surpluses {
		rt.accounts.AddSurplus(s, time.Now())
	}
	if rt.stopping.Load() {
		return reply, errStopping
	}
	ctx, cancel := context.WithTimeout(ctx, maxLenderWait)
	defer cancel()
	waiters := make([]*cicadabudget.Waiter, len(req.LoanRequests))
	// The era is read first: units of an earlier era must not pass for units of a later one.
	now, era, queued := time.Now(), rt.accounts.Era(), false
	for i, loanReq := range req.LoanRequests {
		var decision cicadabudget.Decision
		decision, reply.Loans[i].Units, waiters[i] = rt.accounts.Lend(loanReq, req.From, now)
		switch decision {
		case cicadabudget.Granted:
		case cicadabudget.Exhausted:
			reply.Loans[i] = loan{Exhausted: true, Available: rt.accounts.MaxAvailable(loanReq.Organisation)}
		case cicadabudget.Queued:
			if waiters[i] == nil {
				reply.Loans[i] = loan{Unable: true}
				break
			}
			after := rt.accounts.ReleaseIn(loanReq.Organisation, waiters[i], now)
			if after > maxLenderWait && rt.poolSyncer.callLate.Load() || !rt.poolSyncer.reachable() && (after == 0 || after > maxLenderWait) {
				reply.Loans[i], waiters[i] = rt.finishLoan(loanReq, req.From, waiters[i]), nil
			}
			queued = queued || waiters[i] != nil
		}
	}
	if queued {
		rt.poolSyncer.wake()
	}
	for i, loanReq := range req.LoanRequests {
		if waiters[i] != nil {
			select {
			case <-waiters[i].Ready():
			case <-ctx.Done():
			}
			reply.Loans[i] = rt.finishLoan(loanReq, req.From, waiters[i])
		}
		if units := reply.Loans[i].Units; units > 0 {
			reply.Loans[i].Era, reply.Loans[i].Snapshot = era, rt.accounts.Snapshot(loanReq.Organisation)
			rt.cfg.Log.WithField("organisation", loanReq.Organisation).WithField("units", int64(units)).
				WithField("borrower", req.From).Info("units lent")
		}
	}
	return reply, nil
}

// finishLoan ends a wait for units to lend and returns the outcome.
func (rt *Router) finishLoan(loanReq cicadabudget.LoanRequest, borrower string, waiter *cicadabudget.Waiter) loan {
	now := time.Now()
	switch {
	case rt.accounts.ServeOrCancel(loanReq.Organisation, waiter, now):
		if rt.poolSyncer.reachable() && !rt.poolSyncer.callLate.Load() {
			return loan{} // a draw is in progress
		}
		after := rt.accounts.ScheduleLoan(loanReq, borrower, now)
		return loan{Unable: after == 0 && !rt.poolSyncer.reachable(), AfterMillis: after.Milliseconds()}
	case waiter.Granted():
		return loan{Units: rt.accounts.TakeGrantedLoan(loanReq.Organisation, waiter)}
	default:
		return loan{Exhausted: true, Available: rt.accounts.MaxAvailable(loanReq.Organisation)}
	}
}
