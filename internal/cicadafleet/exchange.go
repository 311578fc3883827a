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
	// maxCallsPerHome limits the concurrent calls to one home.
	maxCallsPerHome = 4
	// maxItemsPerCall limits the exchanges in one call.
	maxItemsPerCall = 64
	// maxHomeCandidates limits the ranked hosts that an exchange is sent to before
	// it fails. The session retries it later.
	maxHomeCandidates = 3
)

type (
	// batchSender batches the exchanges with one home into few calls.
	batchSender struct {
		fleet *Fleet
		addr  string

		mu        sync.Mutex // guards the fields below
		queue     []*pendingExchange
		openCalls int
	}

	pendingExchange struct {
		ctx   context.Context
		item  cicadapeer.ExchangeItem
		reply chan cicadapeer.ItemReply
	}
)

var _ cicadasession.HomeClient = (*Fleet)(nil)

// Exchange sends an exchange to the last known home of its partition, and then to
// the highest-ranked hosts of the partition. A host that gets an exchange for a
// partition without a home takes the partition over.
func (f *Fleet) Exchange(ctx context.Context, item *cicadapeer.ExchangeItem) (*cicadaledger.ExchangeResult, error) {
	tried := make(map[string]bool)
	addrs := f.homeCandidates(item.Partition)
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
			f.removeHome(item.Partition, addr)
			if reply.HomeAddr != "" {
				addrs = append([]string{reply.HomeAddr}, addrs...)
			}
		case cicadapeer.FaultOutOfOrder:
			return nil, cicadasession.ErrSessionEnded
		case cicadapeer.FaultInvalid:
			return nil, errors.Wrap(cicadapeer.ErrRefused, "home rejected the exchange as invalid")
		case cicadapeer.FaultUnavailable:
			// The home, or a host that tried to take the partition over,
			// cannot reach the platform, so another host is not tried. If it
			// is this host, others are tried, because the platform may be
			// unreachable from this host only.
			if addr != f.cfg.Self.PeerAddr {
				return nil, errors.Wrap(cicadapeer.ErrUnreachable, "home cannot commit: platform unavailable")
			}
		case faultUnreachable:
			f.removeHome(item.Partition, addr)
		}
	}
	return nil, errors.Wrapf(cicadapeer.ErrUnreachable, "no home for partition %s", item.Partition)
}

// Claim sends a claim of an idempotency key, or its release, to the home of a
// partition. It fails if the partition has no home. A claim does not make a host
// take the partition over.
func (f *Fleet) Claim(ctx context.Context, req *cicadapeer.ClaimRequest) (cicadaledger.ClaimResult, error) {
	addrs := f.homeCandidates(req.Partition)
	for i := 0; i < len(addrs) && i < maxClaimAttempts; i++ {
		reply, err := f.callClaim(ctx, addrs[i], req)
		switch {
		case err != nil:
			return cicadaledger.ClaimResult{}, err
		case reply.Fault == cicadapeer.FaultNone:
			return reply.Result, nil
		case reply.Fault == cicadapeer.FaultNotHome:
			f.removeHome(req.Partition, addrs[i])
		}
	}
	return cicadaledger.ClaimResult{}, errors.Wrapf(cicadapeer.ErrUnreachable, "no home for partition %s", req.Partition)
}

// maxClaimAttempts limits the hosts that a claim is sent to.
const maxClaimAttempts = 2

func (f *Fleet) callClaim(ctx context.Context, addr string, req *cicadapeer.ClaimRequest) (*cicadapeer.ClaimReply, error) {
	if addr == f.cfg.Self.PeerAddr {
		return f.home.Claim(req), nil
	}
	return f.cfg.Client.Claim(ctx, addr, req)
}

// maxLenders limits the routers that are asked for a loan.
const maxLenders = 4

// Borrow asks other routers of the region for a loan, those of this host's data
// centre first.
func (f *Fleet) Borrow(ctx context.Context, budget string, minUnits, wantUnits cicadabudget.Units) (*cicadaledger.Loan, error) {
	req := &cicadapeer.LendRequest{Borrower: f.RouterID(), Budget: budget, Min: minUnits, Want: wantUnits}
	for _, addr := range f.lenderAddrs() {
		reply, err := f.cfg.Client.Lend(ctx, addr, req)
		if err == nil && reply.Loan != nil {
			return reply.Loan, nil
		}
	}
	return nil, errors.Wrap(cicadapeer.ErrUnreachable, "no router granted a loan")
}

func (f *Fleet) lenderAddrs() []string {
	self := f.cfg.Self
	var sameDataCentre, otherDataCentres []string
	for _, h := range f.LiveHosts() {
		switch {
		case h.Name == self.Name || h.Region != self.Region:
		case h.DataCentre == self.DataCentre:
			sameDataCentre = append(sameDataCentre, h.PeerAddr)
		default:
			otherDataCentres = append(otherDataCentres, h.PeerAddr)
		}
	}
	rand.Shuffle(len(otherDataCentres), func(i, j int) { otherDataCentres[i], otherDataCentres[j] = otherDataCentres[j], otherDataCentres[i] })
	all := slices.Concat(sameDataCentre, otherDataCentres)
	return all[:min(len(all), maxLenders)]
}

// CollectLoans asks every other router of the region that has not ended for the
// loans that it received from an ended process. It fails if any of them does not
// respond.
func (f *Fleet) CollectLoans(ctx context.Context, lender cicadaledger.RouterID) ([]cicadaledger.Loan, error) {
	var out []cicadaledger.Loan
	for _, h := range f.Members() {
		if h.Name == f.cfg.Self.Name || h.State == cicadastore.HostEnded || h.Name == lender.Host || h.Region != f.cfg.Self.Region {
			continue
		}
		reply, err := f.cfg.Client.CollectLoans(ctx, h.PeerAddr, &cicadapeer.CollectLoansRequest{Lender: lender})
		if err != nil {
			return nil, errors.Wrapf(err, "collect loans from router %s", h.Name)
		}
		out = append(out, reply.Loans...)
	}
	return out, nil
}

// faultUnreachable is the local fault for a call without a response.
const faultUnreachable cicadapeer.Fault = "unreachable"

// homeCandidates returns the peer addresses to try: the last known home, then the
// highest-ranked hosts.
func (f *Fleet) homeCandidates(id cicadaledger.PartitionID) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	now := time.Now()
	if addr, ok := f.homeAddrs[id]; ok {
		// A home that the platform reports as ended may still respond without
		// being able to commit, so another host has to take over.
		if f.table.IsHostEnded(addr) {
			delete(f.homeAddrs, id)
		} else {
			out = append(out, addr)
		}
	}
	ranked := cicadamember.Rank(f.table.Live(now), id)
	if len(ranked) == 0 {
		// The whole fleet is stopping. Draining hosts still accept returned units.
		ranked = cicadamember.Rank(f.table.Draining(now), id)
	}
	for i := range min(maxHomeCandidates, len(ranked)) {
		out = append(out, ranked[i].PeerAddr)
	}
	return out
}

func (f *Fleet) setHome(id cicadaledger.PartitionID, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.homeAddrs[id] = addr
}

func (f *Fleet) removeHome(id cicadaledger.PartitionID, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.homeAddrs[id] == addr {
		delete(f.homeAddrs, id)
	}
}

// send sends one exchange to addr, batched with other queued exchanges.
func (f *Fleet) send(ctx context.Context, addr string, item *cicadapeer.ExchangeItem) cicadapeer.ItemReply {
	s := &pendingExchange{ctx: ctx, item: *item, reply: make(chan cicadapeer.ItemReply, 1)}
	f.senderFor(addr).enqueue(s)
	select {
	case r := <-s.reply:
		return r
	case <-ctx.Done():
		return cicadapeer.ItemReply{Fault: faultUnreachable}
	case <-f.ctx.Done():
		return cicadapeer.ItemReply{Fault: faultUnreachable}
	}
}

func (f *Fleet) senderFor(addr string) *batchSender {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.senders[addr]
	if !ok {
		f.removeIdleSenders()
		s = &batchSender{fleet: f, addr: addr}
		f.senders[addr] = s
	}
	return s
}

// removeIdleSenders removes senders without queued exchanges or open calls, so
// that senders of replaced hosts do not accumulate. The caller holds f.mu.
func (f *Fleet) removeIdleSenders() {
	for addr, s := range f.senders {
		s.mu.Lock()
		idle := s.openCalls == 0 && len(s.queue) == 0
		s.mu.Unlock()
		if idle {
			delete(f.senders, addr)
		}
	}
}

func (s *batchSender) enqueue(e *pendingExchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, e)
	if s.openCalls < maxCallsPerHome {
		s.openCalls++
		go s.sendQueued()
	}
}

// sendQueued sends batches until the queue is empty.
func (s *batchSender) sendQueued() {
	for {
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		s.sendBatch(batch)
	}
}

func (s *batchSender) nextBatch() []*pendingExchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxItemsPerCall)
	batch := s.queue[:n:n]
	s.queue = append([]*pendingExchange(nil), s.queue[n:]...)
	if n == 0 {
		s.openCalls--
	}
	return batch
}

func (s *batchSender) sendBatch(batch []*pendingExchange) {
	req := &cicadapeer.ExchangeRequest{Items: make([]cicadapeer.ExchangeItem, len(batch))}
	for i, e := range batch {
		req.Items[i] = e.item
	}
	reply, err := s.fleet.callHome(s.addr, req)
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

// LiveHosts returns the hosts that are live and not suspected.
func (f *Fleet) LiveHosts() []cicadastore.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Live(time.Now())
}
