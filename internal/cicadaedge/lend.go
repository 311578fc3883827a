package cicadaedge

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/pkg/errors"
)

const (
	// lendTimeout bounds a question to a lender: a few round trips, and the
	// lender's own draw.
	lendTimeout = 100 * time.Millisecond
	// lendWait bounds the lender's wait for units, so that it answers in time.
	lendWait = 60 * time.Millisecond
	// lenderUnable is how long a lender that the store turns away, and that has
	// nothing left, is passed over for an organisation.
	lenderUnable = time.Second
	// borrowPause is the least time between two questions unless a request waits.
	borrowPause = 200 * time.Millisecond
	methodLend  = "lend"
)

type (
	// borrower gets units from the organisations' lenders. It has one goroutine.
	borrower struct {
		rt    *Router
		waked signal

		mu        sync.Mutex // guards unableTil
		unableTil map[lending]time.Time
	}

	// lending is a lender's part in one organisation.
	lending struct{ lender, organisation string }

	lendRequest struct {
		From      string                 `json:"from"`
		Needs     []cicadabudget.Need    `json:"needs,omitempty"`
		Surpluses []cicadabudget.Surplus `json:"surpluses,omitempty"`
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
		// Unable means that the lender does not reach the store, or does not know
		// the organisation.
		Unable bool `json:"unable,omitempty"`
		// View is the lender's reading of the pool, so that its draws are known to
		// those that hold the units.
		View *cicadabudget.View `json:"view,omitempty"`
	}
)

var errStopping = errors.New("the router is stopping")

func newBorrower(rt *Router) *borrower {
	return &borrower{rt: rt, waked: newSignal(), unableTil: map[lending]time.Time{}}
}

// wake makes the borrower look at the accounts now.
func (b *borrower) wake() { b.waked.send() }

func (b *borrower) run(ctx context.Context) {
	b.waked.loop(ctx, borrowPause, func() {
		b.borrow(ctx)
		if !b.rt.accounts.Waiting(true) {
			pause(ctx, urgentPause)
		}
	})
}

// lender returns the router that lends an organisation's units, or an empty name
// if this router draws them itself: the first in an order that all routers share
// of those that answer and reach the store.
func (b *borrower) lender(org string) string {
	if b.rt.peers.count() < cicadabudget.LendFrom && b.rt.bank.reachable() {
		return ""
	}
	for _, name := range b.rt.peers.ranked("budget/" + org) {
		if name == b.rt.cfg.Name {
			if b.rt.bank.reachable() {
				return ""
			}
			continue
		}
		if !b.rt.links.isDown(name) && !b.isUnable(lending{name, org}) {
			return name
		}
	}
	return ""
}

func (b *borrower) isUnable(l lending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.unableTil[l])
}

// borrow asks each lender once for all that is needed of it, and gives back what
// is not.
func (b *borrower) borrow(ctx context.Context) {
	lenders := map[string]string{}
	b.rt.accounts.SetLent(func(org string) bool {
		lenders[org] = b.lender(org)
		return lenders[org] != ""
	})
	requests := map[string]*lendRequest{}
	to := func(org string) *lendRequest {
		r := requests[lenders[org]]
		if r == nil {
			r = &lendRequest{From: b.rt.cfg.Name}
			requests[lenders[org]] = r
		}
		return r
	}
	now := time.Now()
	for _, n := range b.rt.accounts.Needs(now) {
		r := to(n.Organisation)
		r.Needs = append(r.Needs, n)
	}
	// In an outage surpluses stay: a message that is lost loses them.
	if b.rt.bank.reachable() {
		for _, s := range b.rt.accounts.Surpluses(now) {
			r := to(s.Organisation)
			r.Surpluses = append(r.Surpluses, s)
		}
	}
	var calls sync.WaitGroup
	for name, req := range requests {
		calls.Add(1)
		go func() {
			defer calls.Done()
			b.ask(ctx, name, req)
		}()
	}
	calls.Wait()
}

func (b *borrower) ask(ctx context.Context, name string, req *lendRequest) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	client, err := b.rt.links.client(ctx, name)
	var reply lendReply
	if err == nil {
		err = client.CallResult(ctx, methodLend, req, &reply)
	}
	if err == nil && len(reply.Loans) != len(req.Needs) {
		err = errors.Errorf("%d answers to %d needs", len(reply.Loans), len(req.Needs))
	}
	if err != nil {
		b.rt.cfg.Metrics.Errors.Add("lend", 1)
		b.rt.links.drop(name, err)
		b.rt.bank.wake()
		return
	}
	for i := range req.Needs {
		b.take(name, &req.Needs[i], &reply.Loans[i])
	}
}

// take notes a lender's answer.
func (b *borrower) take(name string, n *cicadabudget.Need, l *loan) {
	switch {
	case l.Units > 0:
		if v := l.View; v != nil {
			b.rt.accounts.Learn(n.Organisation, v.Era, v.Pool, v.Version, time.Now())
		}
		b.rt.accounts.Receive(n.Organisation, l.Units, time.Now())
		b.rt.cfg.Log.WithField("organisation", n.Organisation).WithField("units", int64(l.Units)).
			WithField("wanted", int64(n.Want)).WithField("lender", name).Info("units borrowed")
	case l.Dry:
		b.rt.accounts.Deny(n.Organisation, l.Most, time.Now())
	case l.Unable:
		b.mu.Lock()
		b.unableTil[lending{name, n.Organisation}] = time.Now().Add(lenderUnable)
		b.mu.Unlock()
		b.rt.bank.wake()
	}
}

// lend answers another router's needs from this one's accounts.
func (rt *Router) lend(ctx context.Context, req lendRequest) (lendReply, error) {
	reply := lendReply{Loans: make([]loan, len(req.Needs))}
	for _, s := range req.Surpluses {
		rt.accounts.TakeBack(s, time.Now())
	}
	if rt.stopping.Load() {
		return reply, errStopping
	}
	ctx, cancel := context.WithTimeout(ctx, lendWait)
	defer cancel()
	waits := make([]*cicadabudget.Wait, len(req.Needs))
	now, short := time.Now(), false
	for i, n := range req.Needs {
		var verdict cicadabudget.Verdict
		verdict, reply.Loans[i].Units, waits[i] = rt.accounts.Lend(n, now)
		switch verdict {
		case cicadabudget.Granted:
		case cicadabudget.Dry:
			reply.Loans[i] = loan{Dry: true, Most: rt.accounts.Within(n.Organisation)}
		case cicadabudget.Awaiting:
			if waits[i] != nil && !rt.bank.reachable() && rt.accounts.Cancel(n.Organisation, waits[i]) {
				// Nothing can be drawn: another router may have what this one lacks.
				waits[i] = nil
			}
			short = short || waits[i] != nil
			reply.Loans[i].Unable = waits[i] == nil
		}
	}
	if short {
		rt.bank.wake()
	}
	for i, n := range req.Needs {
		if waits[i] != nil {
			reply.Loans[i] = rt.awaitLoan(ctx, n.Organisation, waits[i])
		}
		if u := reply.Loans[i].Units; u > 0 {
			reply.Loans[i].View = rt.accounts.View(n.Organisation)
			rt.cfg.Log.WithField("organisation", n.Organisation).WithField("units", int64(u)).
				WithField("borrower", req.From).Info("units lent")
		}
	}
	return reply, nil
}

func (rt *Router) awaitLoan(ctx context.Context, org string, w *cicadabudget.Wait) loan {
	select {
	case <-w.Ready():
	case <-ctx.Done():
		if rt.accounts.Cancel(org, w) {
			return loan{Unable: !rt.bank.reachable()}
		}
	}
	if w.Granted() {
		return loan{Units: rt.accounts.HandOver(org, w)}
	}
	return loan{Dry: true, Most: rt.accounts.Within(org)}
}
