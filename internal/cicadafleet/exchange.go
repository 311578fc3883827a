package cicadafleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadamember"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadasession"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// callsPerHome is the number of calls open at once to one home.
	callsPerHome = 4
	// itemsPerCall bounds the exchanges in one call.
	itemsPerCall = 64
	// candidates is how many hosts in the order of the partition are asked
	// before an exchange is repeated later.
	candidates = 3
)

type (
	// sender puts the exchanges of many partitions with one home into few
	// calls.
	sender struct {
		f    *Fleet
		addr string

		mu    sync.Mutex // guards the fields below
		queue []*sending
		calls int
	}

	sending struct {
		ctx   context.Context
		item  cicadapeer.ExchangeItem
		reply chan cicadapeer.ItemReply
	}
)

var _ cicadasession.HomeClient = (*Fleet)(nil)

// Exchange sends an exchange to the home of its partition: the one known last,
// else the first hosts in the partition's order, which take it over if it has
// no home.
func (f *Fleet) Exchange(ctx context.Context, item *cicadapeer.ExchangeItem) (*cicadaledger.ExchangeResult, error) {
	tried := make(map[string]bool)
	addrs := f.candidates(item.Partition)
	for len(addrs) > 0 {
		addr := addrs[0]
		addrs = addrs[1:]
		if tried[addr] {
			continue
		}
		tried[addr] = true
		reply := f.send(ctx, addr, item)
		switch reply.Fault {
		case cicadapeer.FaultNone:
			f.setHome(item.Partition, addr)
			return reply.Result, nil
		case cicadapeer.FaultNotHome:
			f.forgetHome(item.Partition, addr)
			if reply.HomeAddr != "" {
				addrs = append([]string{reply.HomeAddr}, addrs...)
			}
		case cicadapeer.FaultOutOfOrder:
			return nil, cicadasession.ErrSessionEnded
		case cicadapeer.FaultInvalid:
			return nil, errors.Wrap(cicadapeer.ErrRefused, "the home refused the exchange")
		case cicadapeer.FaultUnavailable:
			// The home, or a host that tried to become it, lacks the
			// platform: another one would fare no better. But if it is this
			// host, the platform may be away for this host alone.
			if addr != f.cfg.Self.PeerAddr {
				return nil, errors.Wrap(cicadapeer.ErrUnreachable, "the home cannot commit now")
			}
		case faultUnreachable:
			f.forgetHome(item.Partition, addr)
		}
	}
	return nil, errors.Wrapf(cicadapeer.ErrUnreachable, "no home for partition %s", item.Partition)
}

// Claim asks the home of a partition for the key of an idempotent request, or
// gives it back. It makes no home: without one there is no verdict.
func (f *Fleet) Claim(ctx context.Context, req *cicadapeer.ClaimRequest) (cicadaledger.ClaimResult, error) {
	addrs := f.candidates(req.Partition)
	for i := 0; i < len(addrs) && i < claimHops; i++ {
		reply, err := f.callClaim(ctx, addrs[i], req)
		switch {
		case err != nil:
			return cicadaledger.ClaimResult{}, err
		case reply.Fault == cicadapeer.FaultNone:
			return reply.Result, nil
		case reply.Fault == cicadapeer.FaultNotHome:
			f.forgetHome(req.Partition, addrs[i])
		}
	}
	return cicadaledger.ClaimResult{}, errors.Wrapf(cicadapeer.ErrUnreachable, "no home for partition %s", req.Partition)
}

// claimHops bounds the hosts that a claim is sent to.
const claimHops = 2

func (f *Fleet) callClaim(ctx context.Context, addr string, req *cicadapeer.ClaimRequest) (*cicadapeer.ClaimReply, error) {
	if addr == f.cfg.Self.PeerAddr {
		return f.home.Claim(req), nil
	}
	return f.cfg.Client.Claim(ctx, addr, req)
}

// lendersAsked bounds the routers that are asked for a loan.
const lendersAsked = 4

// Borrow asks other routers of the region for units, those of the own place
// first.
func (f *Fleet) Borrow(ctx context.Context, budget string, least, want cicadabudget.Units) (*cicadaledger.Loan, error) {
	req := &cicadapeer.LendRequest{Borrower: f.RouterID(), Budget: budget, Min: least, Want: want}
	for _, addr := range f.lenders() {
		reply, err := f.cfg.Client.Lend(ctx, addr, req)
		if err == nil && reply.Loan != nil {
			return reply.Loan, nil
		}
	}
	return nil, errors.Wrap(cicadapeer.ErrUnreachable, "nobody lends")
}

func (f *Fleet) lenders() []string {
	self := f.cfg.Self
	var near, far []string
	for _, h := range f.LiveHosts() {
		switch {
		case h.Name == self.Name || h.Region != self.Region:
		case h.DataCentre == self.DataCentre:
			near = append(near, h.PeerAddr)
		default:
			far = append(far, h.PeerAddr)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := slices.Concat(near, far)
	return all[:min(len(all), lendersAsked)]
}

// CollectLoans asks every other live router what it borrowed of an ended process. It
// fails if one of them does not answer.
func (f *Fleet) CollectLoans(ctx context.Context, from cicadaledger.RouterID) ([]cicadaledger.Loan, error) {
	var out []cicadaledger.Loan
	for _, h := range f.Members() {
		if h.Name == f.cfg.Self.Name || h.State == cicadastore.HostEnded || h.Name == from.Host || h.Region != f.cfg.Self.Region {
			continue
		}
		reply, err := f.cfg.Client.CollectLoans(ctx, h.PeerAddr, &cicadapeer.CollectLoansRequest{Lender: from})
		if err != nil {
			return nil, errors.Wrapf(err, "loans at %s", h.Name)
		}
		out = append(out, reply.Loans...)
	}
	return out, nil
}

// faultUnreachable stands for a call without an answer.
const faultUnreachable cicadapeer.Fault = "unreachable"

// candidates lists the addresses to try, most likely first.
func (f *Fleet) candidates(id cicadaledger.PartitionID) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	now := time.Now()
	if addr, ok := f.homes[id]; ok {
		// A home that the platform calls gone may still answer, and be unable
		// to commit: another host takes over.
		if f.table.IsHostEnded(addr) {
			delete(f.homes, id)
		} else {
			out = append(out, addr)
		}
	}
	ranked := cicadamember.Rank(f.table.Live(now), id)
	if len(ranked) == 0 {
		// The whole fleet is stopping: a leaving host still takes returns.
		ranked = cicadamember.Rank(f.table.Draining(now), id)
	}
	for i := range min(candidates, len(ranked)) {
		out = append(out, ranked[i].PeerAddr)
	}
	return out
}

func (f *Fleet) setHome(id cicadaledger.PartitionID, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.homes[id] = addr
}

func (f *Fleet) forgetHome(id cicadaledger.PartitionID, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.homes[id] == addr {
		delete(f.homes, id)
	}
}

// send carries one exchange to addr, together with others that wait.
func (f *Fleet) send(ctx context.Context, addr string, item *cicadapeer.ExchangeItem) cicadapeer.ItemReply {
	s := &sending{ctx: ctx, item: *item, reply: make(chan cicadapeer.ItemReply, 1)}
	f.senderTo(addr).add(s)
	select {
	case r := <-s.reply:
		return r
	case <-ctx.Done():
		return cicadapeer.ItemReply{Fault: faultUnreachable}
	case <-f.ctx.Done():
		return cicadapeer.ItemReply{Fault: faultUnreachable}
	}
}

func (f *Fleet) senderTo(addr string) *sender {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.senders[addr]
	if !ok {
		f.dropIdleSenders()
		s = &sender{f: f, addr: addr}
		f.senders[addr] = s
	}
	return s
}

// dropIdleSenders forgets addresses without work, so that replaced hosts leave
// nothing behind. The caller holds f.mu.
func (f *Fleet) dropIdleSenders() {
	for addr, s := range f.senders {
		s.mu.Lock()
		idle := s.calls == 0 && len(s.queue) == 0
		s.mu.Unlock()
		if idle {
			delete(f.senders, addr)
		}
	}
}

func (s *sender) add(e *sending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, e)
	if s.calls < callsPerHome {
		s.calls++
		go s.drain()
	}
}

// drain calls until nothing waits.
func (s *sender) drain() {
	for {
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		s.call(batch)
	}
}

func (s *sender) take() []*sending {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), itemsPerCall)
	batch := s.queue[:n:n]
	s.queue = append([]*sending(nil), s.queue[n:]...)
	if n == 0 {
		s.calls--
	}
	return batch
}

func (s *sender) call(batch []*sending) {
	req := &cicadapeer.ExchangeRequest{Items: make([]cicadapeer.ExchangeItem, len(batch))}
	for i, e := range batch {
		req.Items[i] = e.item
	}
	reply, err := s.f.callHome(s.addr, req)
	for i, e := range batch {
		r := cicadapeer.ItemReply{Fault: faultUnreachable}
		if err == nil && len(reply.Items) == len(batch) {
			r = reply.Items[i]
			if r.Fault == cicadapeer.FaultNone && r.Result == nil {
				r.Fault = cicadapeer.FaultInvalid
			}
		}
		e.reply <- r
	}
}

func (f *Fleet) callHome(addr string, req *cicadapeer.ExchangeRequest) (*cicadapeer.ExchangeReply, error) {
	if addr == f.cfg.Self.PeerAddr {
		return f.home.Exchange(f.ctx, req), nil
	}
	return f.cfg.Client.Exchange(f.ctx, addr, req)
}

// LiveHosts lists the hosts that take work.
func (f *Fleet) LiveHosts() []cicadastore.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Live(time.Now())
}
