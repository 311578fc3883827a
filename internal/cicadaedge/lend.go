package cicadaedge

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/pkg/errors"
)

const (
	// lendTimeout is how long a lender may take before it is passed over: a few round
	// trips, and its own draw.
	lendTimeout = 100 * time.Millisecond
	// lendLate is how long an answer is still taken after that: the units in it have
	// left the lender's account.
	lendLate = 3 * time.Second
	// lendWait bounds the lender's wait for units, so that it answers in time.
	lendWait = 60 * time.Millisecond
	// lenderUnable is how long a lender that the store turns away, and that has
	// nothing left, is passed over for an organisation.
	lenderUnable = time.Second
	// lenderTries bounds the lenders that are passed over because they have nothing:
	// those after them hold no more.
	lenderTries = 3
	// lendersRanked is how many routers are known for each organisation in the order in
	// which they are asked: more than are down at once, but in a loss of most of them.
	lendersRanked = 16
	// borrowPause is the least time between two questions unless a request waits.
	borrowPause = 200 * time.Millisecond
	methodLend  = "lend"
)

type (
	// borrower gets units from the organisations' lenders. It has one goroutine, and
	// one for each question.
	borrower struct {
		rt    *Router
		waked signal

		mu        sync.Mutex        // guards the fields below
		asked     map[string]uint64 // number of the question that a lender has yet to answer
		asks      uint64            // questions so far
		unableTil map[lending]time.Time
	}

	// lending is a lender's part in one organisation.
	lending struct{ lender, organisation string }

	lendRequest struct {
		From      string                     `json:"from"`
		Needs     []cicadabudget.LoanRequest `json:"needs,omitempty"`
		Surpluses []cicadabudget.Surplus     `json:"surpluses,omitempty"`
	}

	// lendReply answers each need in its order.
	lendReply struct {
		Loans []loan `json:"loans"`
	}

	loan struct {
		Units cicadabudget.Units `json:"units"`
		// Most is what requests can still get if Dry is set.
		Most cicadabudget.Units `json:"most,omitempty"`
		Dry  bool               `json:"dry,omitempty"`
		// Unable means that the lender does not reach the store and has nothing, or does
		// not know the organisation.
		Unable bool `json:"unable,omitempty"`
		// AfterMillis is when units that the lender holds will cover the need, if it
		// does not reach the store.
		AfterMillis int64 `json:"afterMillis,omitempty"`
		// Era is that of the store in which the units were drawn.
		Era uint64 `json:"era,omitempty"`
		// View is the lender's reading of the pool, so that its draws are known to
		// those that hold the units.
		View *cicadabudget.PoolSnapshot `json:"view,omitempty"`
	}
)

var (
	errStopping = errors.New("the router is stopping")
	errLate     = errors.New("the lender has not answered in time")
)

func newBorrower(rt *Router) *borrower {
	return &borrower{
		rt: rt, waked: newSignal(), asked: map[string]uint64{}, unableTil: map[lending]time.Time{},
	}
}

// wake makes the borrower look at the accounts now.
func (b *borrower) wake() { b.waked.send() }

func (b *borrower) run(ctx context.Context) {
	b.waked.loop(ctx, borrowPause, func() { b.borrow(ctx) })
}

// lender returns the router that lends an organisation's units, or an empty name
// if this router draws them itself: the first in an order that all routers share
// of those that answer and reach the store.
func (b *borrower) lender(org string) string {
	if b.rt.peers.count() < cicadabudget.LendingMinRouters && b.rt.bank.reachable() {
		return ""
	}
	unable := 0
	for _, name := range b.rt.peers.ranked("budget/"+org, lendersRanked) {
		switch {
		case name == b.rt.cfg.Name:
			if b.rt.bank.reachable() {
				return ""
			}
		case b.rt.links.isDown(name):
		case !b.isUnable(lending{name, org}):
			return name
		default:
			if unable++; unable == lenderTries {
				return ""
			}
		}
	}
	return ""
}

func (b *borrower) isUnable(l lending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.unableTil[l])
}

// borrow asks each lender that has no question to answer once for all that is needed
// of it, and gives back what is not.
func (b *borrower) borrow(ctx context.Context) {
	b.rt.accounts.SetBorrowing(func(org string) bool { return b.lender(org) != "" })
	now := time.Now()
	open := func(org string) bool { return b.isOpen(b.lender(org)) }
	requests := map[string]*lendRequest{}
	to := func(org string) *lendRequest {
		name := b.lender(org)
		if requests[name] == nil {
			requests[name] = &lendRequest{From: b.rt.cfg.Name}
		}
		return requests[name]
	}
	for _, n := range b.rt.accounts.LoanRequests(now) {
		if open(n.Organisation) {
			r := to(n.Organisation)
			r.Needs = append(r.Needs, n)
		}
	}
	if !b.rt.bank.reachable() {
		b.rt.accounts.NotifySourceUnavailable(func(org string) bool { return b.lender(org) == "" })
	}
	for _, s := range b.rt.accounts.TakeSurpluses(open, now) {
		r := to(s.Organisation)
		r.Surpluses = append(r.Surpluses, s)
	}
	for name, req := range requests {
		call := b.begin(name)
		go b.ask(ctx, name, call, req)
	}
}

// isOpen tells whether a lender may be asked now.
func (b *borrower) isOpen(lender string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, asked := b.asked[lender]
	return lender != "" && !asked
}

// begin notes a question to a lender and returns its number.
func (b *borrower) begin(lender string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks++
	b.asked[lender] = b.asks
	return b.asks
}

// end notes that a lender may be asked again.
func (b *borrower) end(lender string, call uint64) {
	b.mu.Lock()
	if b.asked[lender] == call {
		delete(b.asked, lender)
	}
	b.mu.Unlock()
	b.wake()
}

func (b *borrower) ask(ctx context.Context, name string, call uint64, req *lendRequest) {
	defer b.end(name, call)
	ctx, cancel := context.WithTimeout(ctx, lendLate)
	defer cancel()
	late := time.AfterFunc(lendTimeout, func() {
		b.passOver(name, errLate)
		b.end(name, call)
	})
	defer late.Stop()
	client, err := b.rt.links.client(ctx, name)
	var reply lendReply
	if err == nil {
		err = client.CallResult(ctx, methodLend, req, &reply)
	}
	if err == nil && len(reply.Loans) != len(req.Needs) {
		err = errors.Errorf("%d answers to %d needs", len(reply.Loans), len(req.Needs))
	}
	if err != nil {
		for _, s := range req.Surpluses {
			b.rt.cfg.Log.WithField("organisation", s.Organisation).WithField("units", int64(s.Units)).
				WithField("lender", name).WithError(err).Info("units given back without an answer")
		}
		if late.Stop() {
			b.passOver(name, err)
		}
		return
	}
	for i := range req.Needs {
		b.take(name, &req.Needs[i], &reply.Loans[i])
	}
}

// passOver has other lenders asked for a while.
func (b *borrower) passOver(name string, cause error) {
	b.rt.cfg.Metrics.Errors.Add("lend", 1)
	b.rt.links.drop(name, cause)
	b.rt.bank.wake()
}

// take notes a lender's answer.
func (b *borrower) take(name string, n *cicadabudget.LoanRequest, l *loan) {
	entry := b.rt.cfg.Log.WithField("organisation", n.Organisation).WithField("units", int64(l.Units)).
		WithField("wanted", int64(n.Want)).WithField("lender", name)
	switch {
	case l.Units > 0:
		if v := l.View; v != nil {
			b.rt.accounts.ObservePool(n.Organisation, v.Era, v.Pool, v.Version, time.Now())
		}
		if !b.rt.accounts.AddLoan(n.Organisation, l.Era, l.Units, time.Now()) {
			entry.WithField("era", l.Era).Warn("units of another era not used")
			return
		}
		entry.Info("units borrowed")
	case l.AfterMillis > 0:
		// Meanwhile the next in order may reach the store.
		after := time.Duration(l.AfterMillis) * time.Millisecond
		b.noteUnable(lending{name, n.Organisation}, min(after, lenderUnable))
		b.rt.accounts.SetLenderReleaseTime(n.Organisation, time.Now().Add(after+lendTimeout))
		time.AfterFunc(after, b.wake)
	case l.Dry:
		b.rt.accounts.DenyWaiters(n.Organisation, l.Most, time.Now())
	case l.Unable:
		b.noteUnable(lending{name, n.Organisation}, lenderUnable)
	}
}

// noteUnable passes a lender over for an organisation.
func (b *borrower) noteUnable(l lending, d time.Duration) {
	b.mu.Lock()
	b.unableTil[l] = time.Now().Add(d)
	b.mu.Unlock()
	b.rt.bank.wake()
}

// lend answers another router's needs from this one's accounts.
func (rt *Router) lend(ctx context.Context, req lendRequest) (lendReply, error) {
	reply := lendReply{Loans: make([]loan, len(req.Needs))}
	for _, s := range req.Surpluses {
		rt.accounts.AddSurplus(s, time.Now())
	}
	if rt.stopping.Load() {
		return reply, errStopping
	}
	ctx, cancel := context.WithTimeout(ctx, lendWait)
	defer cancel()
	waits := make([]*cicadabudget.Waiter, len(req.Needs))
	// Taken first: units of an earlier era must not pass for those of a later one.
	now, era, short := time.Now(), rt.accounts.Era(), false
	for i, n := range req.Needs {
		var verdict cicadabudget.Decision
		verdict, reply.Loans[i].Units, waits[i] = rt.accounts.Lend(n, req.From, now)
		switch verdict {
		case cicadabudget.Granted:
		case cicadabudget.Exhausted:
			reply.Loans[i] = loan{Dry: true, Most: rt.accounts.MaxAvailable(n.Organisation)}
		case cicadabudget.Queued:
			if waits[i] == nil {
				reply.Loans[i] = loan{Unable: true}
				break
			}
			after := rt.accounts.ReleaseIn(n.Organisation, waits[i], now)
			if after > lendWait && rt.bank.late.Load() || !rt.bank.reachable() && (after == 0 || after > lendWait) {
				reply.Loans[i], waits[i] = rt.endLoan(n, req.From, waits[i]), nil
			}
			short = short || waits[i] != nil
		}
	}
	if short {
		rt.bank.wake()
	}
	for i, n := range req.Needs {
		if waits[i] != nil {
			select {
			case <-waits[i].Ready():
			case <-ctx.Done():
			}
			reply.Loans[i] = rt.endLoan(n, req.From, waits[i])
		}
		if u := reply.Loans[i].Units; u > 0 {
			reply.Loans[i].Era, reply.Loans[i].View = era, rt.accounts.Snapshot(n.Organisation)
			rt.cfg.Log.WithField("organisation", n.Organisation).WithField("units", int64(u)).
				WithField("borrower", req.From).Info("units lent")
		}
	}
	return reply, nil
}

// endLoan ends a wait for units to lend, with what there is to say of it.
func (rt *Router) endLoan(n cicadabudget.LoanRequest, to string, w *cicadabudget.Waiter) loan {
	now := time.Now()
	switch {
	case rt.accounts.ServeOrCancel(n.Organisation, w, now):
		if rt.bank.reachable() && !rt.bank.late.Load() {
			return loan{} // a draw is under way
		}
		after := rt.accounts.ScheduleLoan(n, to, now)
		return loan{Unable: after == 0 && !rt.bank.reachable(), AfterMillis: after.Milliseconds()}
	case w.Granted():
		return loan{Units: rt.accounts.TakeGrantedLoan(n.Organisation, w)}
	default:
		return loan{Dry: true, Most: rt.accounts.MaxAvailable(n.Organisation)}
	}
}
