// Package cicadafleet connects this host with the others: it keeps the view of
// the members by host list and heartbeats, finds the home of a partition and
// carries exchanges there.
//
// Each host sends heartbeats to a few neighbours in the ring of names, so the
// messages of a host do not grow with the fleet.
package cicadafleet

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadamember"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// listInterval is the time between reads of the host list, and between
	// announcements of this host.
	listInterval = time.Second
	// beatInterval is the time between heartbeats to a neighbour.
	beatInterval = time.Second
	// beatTimeout bounds the wait for a neighbour's answer.
	beatTimeout = 400 * time.Millisecond
	// neighbours is the number of hosts that get this host's heartbeats.
	neighbours = 2
	// storeWritesPerSecond is the share of the platform's writes that the
	// homes of the whole fleet use for commits.
	storeWritesPerSecond = 150
	// minCommitInterval keeps a small fleet from writing each request alone.
	minCommitInterval = 5 * time.Millisecond
)

type (
	// LocalHome serves exchanges for partitions whose home is this host.
	LocalHome interface {
		Exchange(ctx context.Context, req *cicadapeer.ExchangeRequest) *cicadapeer.ExchangeReply
		Claim(req *cicadapeer.ClaimRequest) *cicadapeer.ClaimReply
	}

	// Counter counts events by name.
	Counter interface {
		Add(name string, delta int64)
	}

	// Config sets up a Fleet.
	Config struct {
		Self     cicadastore.Host
		Platform cicadastore.Platform
		Client   *cicadapeer.Client
		Log      log.Interface
		Counts   Counter
		// SeedPeers are peer addresses to ask while the platform is away.
		SeedPeers []string
		// ConfigSeq returns the configuration in force, Notice takes a peer's.
		ConfigSeq       func() uint64
		OnPeerConfigSeq func(seq uint64)
		// DrainingRunners lists runners that refuse new work; HeardLeaving
		// takes a peer's list.
		DrainingRunners   func() []string
		OnDrainingRunners func(addrs []string)
	}

	// Fleet is this host's view of the others. Its goroutines end at Close.
	Fleet struct {
		cfg    Config
		home   LocalHome
		ctx    context.Context
		cancel context.CancelFunc
		wg     sync.WaitGroup

		mu      sync.Mutex // guards the fields below
		self    cicadastore.Host
		table   *cicadamember.Table
		homes   map[cicadaledger.PartitionID]string // last known peer address
		senders map[string]*sender
		recalls map[recallKey]time.Time
	}

	recallKey struct {
		holder cicadaledger.RouterID
		budget string
	}
)

// New returns a fleet that has not started.
func New(cfg Config) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		cfg:     cfg,
		ctx:     ctx,
		cancel:  cancel,
		self:    cfg.Self,
		table:   cicadamember.NewTable(cfg.Self.Name),
		homes:   make(map[cicadaledger.PartitionID]string),
		senders: make(map[string]*sender),
		recalls: make(map[recallKey]time.Time),
	}
	f.table.ApplyHostList([]cicadastore.Host{cfg.Self})
	return f
}

// RouterID returns this process as the ledger names it.
func (f *Fleet) RouterID() cicadaledger.RouterID {
	return cicadaledger.RouterID{Host: f.cfg.Self.Name, Incarnation: f.cfg.Self.Incarnation}
}

// Start begins to announce, read and beat. Home serves local exchanges.
func (f *Fleet) Start(home LocalHome) {
	f.home = home
	f.wg.Add(2)
	go f.every(listInterval, f.refresh)
	go f.every(beatInterval, f.beatAll)
}

// Close ends the goroutines.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
}

func (f *Fleet) every(d time.Duration, do func()) {
	defer f.wg.Done()
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		do()
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// SetDraining announces that this host takes no new work.
func (f *Fleet) SetDraining() {
	f.mu.Lock()
	f.self.State = cicadastore.HostDraining
	f.mu.Unlock()
	f.refresh()
	f.beatAll()
}

// refresh announces this host and reads the host list.
func (f *Fleet) refresh() {
	ctx, cancel := context.WithTimeout(f.ctx, listInterval)
	defer cancel()
	f.mu.Lock()
	self := f.self
	f.mu.Unlock()
	if err := f.cfg.Platform.Announce(ctx, self); err != nil {
		f.cfg.Counts.Add("announcementsFailed", 1)
	}
	list, err := f.cfg.Platform.Hosts(ctx)
	if err != nil {
		f.cfg.Counts.Add("hostListFailed", 1)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.ApplyHostList(withSelf(list, self))
}

// withSelf puts this host into a list that lags.
func withSelf(list []cicadastore.Host, self cicadastore.Host) []cicadastore.Host {
	for i := range list {
		if list[i].Name == self.Name {
			list[i] = self
			return list
		}
	}
	return append(list, self)
}

func (f *Fleet) beatAll() {
	f.mu.Lock()
	targets := f.table.Neighbours(neighbours, time.Now())
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.beat(h)
		}()
	}
	wg.Wait()
}

// Heartbeat returns this host's heartbeat.
func (f *Fleet) Heartbeat() *cicadapeer.Heartbeat {
	f.mu.Lock()
	leaving := f.self.State != cicadastore.HostLive
	f.mu.Unlock()
	return &cicadapeer.Heartbeat{
		RouterID:        f.RouterID(),
		ConfigSeq:       f.cfg.ConfigSeq(),
		Draining:        leaving,
		DrainingRunners: f.cfg.DrainingRunners(),
	}
}

// HandleHeartbeat takes a peer's heartbeat.
func (f *Fleet) HandleHeartbeat(b *cicadapeer.Heartbeat) {
	f.mu.Lock()
	f.table.RecordHeartbeat(b.RouterID, b.Draining, time.Now())
	f.mu.Unlock()
	f.cfg.OnPeerConfigSeq(b.ConfigSeq)
	if len(b.DrainingRunners) > 0 {
		f.cfg.OnDrainingRunners(b.DrainingRunners)
	}
}

func (f *Fleet) beat(h cicadastore.Host) {
	ctx, cancel := context.WithTimeout(f.ctx, beatTimeout)
	defer cancel()
	answer, err := f.cfg.Client.Heartbeat(ctx, h.PeerAddr, f.Heartbeat())
	if err == nil {
		f.HandleHeartbeat(answer)
		return
	}
	if f.ctx.Err() != nil {
		return
	}
	f.cfg.Counts.Add("beatsFailed", 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.RecordFailure(h.Name, time.Now())
}

// HasEnded tells whether a process has ended for certain.
func (f *Fleet) HasEnded(id cicadaledger.RouterID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.HasEnded(id)
}

// Responds tells whether the process at a peer address is the given one.
func (f *Fleet) Responds(ctx context.Context, addr string, id cicadaledger.RouterID) bool {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	b, err := f.cfg.Client.Heartbeat(ctx, addr, f.Heartbeat())
	if err != nil {
		return false
	}
	f.HandleHeartbeat(b)
	return b.RouterID == id
}

// Members lists the hosts as this one sees them.
func (f *Fleet) Members() []cicadamember.HostView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Hosts(time.Now())
}

// Host returns the entry of a host by name.
func (f *Fleet) Host(name string) (cicadastore.Host, bool) {
	for _, h := range f.Members() {
		if h.Name == name {
			return h.Host, true
		}
	}
	return cicadastore.Host{}, false
}

// LiveCount returns the number of hosts that take work, at least one.
func (f *Fleet) LiveCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, len(f.table.Live(time.Now())))
}

// CommitInterval is the least time between two commits of a home: the fleet's
// share of the platform's writes, divided among its hosts.
func (f *Fleet) CommitInterval() time.Duration {
	d := time.Duration(f.LiveCount()) * time.Second / storeWritesPerSecond
	return max(minCommitInterval, d)
}

// PeerAddrs lists where peers may be asked for the configuration: the known
// hosts, or the seeds while there are none.
func (f *Fleet) PeerAddrs() []string {
	var out []string
	for _, h := range f.Members() {
		if h.Name != f.cfg.Self.Name && h.State != cicadastore.HostEnded {
			out = append(out, h.PeerAddr)
		}
	}
	if len(out) == 0 {
		return f.cfg.SeedPeers
	}
	return out
}

// Recall asks a holder to return what it has free of some budgets, once in a
// while for each.
func (f *Fleet) Recall(holder cicadaledger.RouterID, budgets []string) {
	h, ok := f.Host(holder.Host)
	if !ok || h.Incarnation != holder.Incarnation {
		return
	}
	due := f.recallsDue(holder, budgets)
	if len(due) == 0 {
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		ctx, cancel := context.WithTimeout(f.ctx, beatTimeout)
		defer cancel()
		err := f.cfg.Client.Recall(ctx, h.PeerAddr, &cicadapeer.RecallRequest{Budgets: due})
		f.cfg.Counts.Add("recalls", 1)
		if err != nil && !errors.Is(err, context.Canceled) {
			f.cfg.Counts.Add("recallsFailed", 1)
		}
	}()
}

// recallInterval is the least time between two recalls of a budget from a
// holder.
const recallInterval = 200 * time.Millisecond

func (f *Fleet) recallsDue(holder cicadaledger.RouterID, budgets []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var due []string
	for _, b := range budgets {
		key := recallKey{holder: holder, budget: b}
		if now.Sub(f.recalls[key]) >= recallInterval {
			f.recalls[key] = now
			due = append(due, b)
		}
	}
	for key, at := range f.recalls {
		if now.Sub(at) > time.Minute {
			delete(f.recalls, key)
		}
	}
	return due
}
