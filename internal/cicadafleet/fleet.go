// Package cicadafleet tracks the membership of the fleet from the platform's host
// list and heartbeats, and sends exchanges to the home of a partition.
//
// Each host sends heartbeats to a fixed number of neighbours in the ring of host
// names, so the message rate of a host does not grow with the fleet.
package cicadafleet

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadamember"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// hostListInterval is the interval at which this host is announced and the
	// host list is read.
	hostListInterval = time.Second
	// heartbeatInterval is the interval between heartbeats to a neighbour.
	heartbeatInterval = time.Second
	// heartbeatTimeout limits the wait for the reply to a heartbeat or recall.
	heartbeatTimeout = 400 * time.Millisecond
	// joinTimeout limits the wait of a host that starts for its neighbours.
	joinTimeout = 2 * time.Second
	// neighbourCount is the number of hosts to which this host sends heartbeats.
	neighbourCount = 2
	// storeWritesPerSecond is the share of the platform's write capacity that
	// all homes of the fleet together use for commits.
	storeWritesPerSecond = 150
	// minCommitInterval makes homes of a small fleet batch requests too,
	// instead of committing each request on its own.
	minCommitInterval = 5 * time.Millisecond
)

type (
	// LocalHome serves exchanges and claims for partitions whose home is this host.
	LocalHome interface {
		Exchange(ctx context.Context, req *cicadapeer.ExchangeRequest) *cicadapeer.ExchangeReply
		Claim(req *cicadapeer.ClaimRequest) *cicadapeer.ClaimReply
	}

	// Counter counts events by name.
	Counter interface {
		Add(name string, delta int64)
	}

	// Config configures a Fleet.
	Config struct {
		Self     cicadastore.Host
		Platform cicadastore.Platform
		Client   *cicadapeer.Client
		Log      log.Interface
		Counts   Counter
		// SeedPeers are peer addresses to ask for the configuration while no other host is known.
		SeedPeers []string
		// ConfigSeq returns the sequence number of the current configuration.
		// OnPeerConfigSeq is called with that of each heartbeat received.
		ConfigSeq       func() uint64
		OnPeerConfigSeq func(seq uint64)
		// DrainingRunners returns the addresses of runners that take no new
		// requests. OnDrainingRunners is called with those of a peer.
		DrainingRunners   func() []string
		OnDrainingRunners func(addrs []string)
		// Crashes returns the crashes of runners that this host knows. OnCrashes is called with those
		// of a peer, and with how much this host's clock is ahead of the peer's.
		Crashes   func() cicadapeer.Crashes
		OnCrashes func(evidence *cicadaquarantine.Report, clockAhead time.Duration)
	}

	// Fleet is this host's view of the other hosts. Close stops its goroutines.
	Fleet struct {
		cfg    Config
		home   LocalHome
		ctx    context.Context
		cancel context.CancelFunc
		wg     sync.WaitGroup

		joined   chan struct{} // closed by join
		joinOnce sync.Once

		mu         sync.Mutex // guards the fields below
		self       cicadastore.Host
		table      *cicadamember.Table
		homeAddrs  map[cicadaledger.PartitionID]string // last known peer address of the home
		senders    map[string]*batchSender
		lastRecall map[recallKey]time.Time
		// crashDigests are the digests of the crashes that peers know, by host name.
		crashDigests map[string]uint64
	}

	recallKey struct {
		holder cicadaledger.RouterID
		budget string
	}
)

// New returns a fleet. Start starts it.
func New(cfg Config) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		cfg:        cfg,
		ctx:        ctx,
		cancel:     cancel,
		self:       cfg.Self,
		table:      cicadamember.NewTable(cfg.Self.Name),
		homeAddrs:  make(map[cicadaledger.PartitionID]string),
		senders:    make(map[string]*batchSender),
		lastRecall: make(map[recallKey]time.Time),

		joined:       make(chan struct{}),
		crashDigests: make(map[string]uint64),
	}
	f.table.ApplyHostList([]cicadastore.Host{cfg.Self})
	return f
}

// RouterID returns the ID of this process in the ledger.
func (f *Fleet) RouterID() cicadaledger.RouterID {
	return cicadaledger.RouterID{Host: f.cfg.Self.Name, Incarnation: f.cfg.Self.Incarnation}
}

// Start starts announcing this host, reading the host list and sending heartbeats.
// The home serves local exchanges and claims.
func (f *Fleet) Start(home LocalHome) {
	f.home = home
	f.wg.Add(2)
	go f.runEvery(hostListInterval, f.refresh)
	go f.sendHeartbeatsRegularly()
	time.AfterFunc(joinTimeout, f.join)
}

// Joined reports whether this host knows what its neighbours tell in their heartbeats, or has waited for
// them for joinTimeout.
func (f *Fleet) Joined() bool {
	select {
	case <-f.joined:
		return true
	default:
		return false
	}
}

func (f *Fleet) join() { f.joinOnce.Do(func() { close(f.joined) }) }

// sendHeartbeatsRegularly sends the first heartbeats as soon as the neighbours are known.
func (f *Fleet) sendHeartbeatsRegularly() {
	f.refresh()
	f.SendHeartbeats()
	f.join()
	f.runEvery(heartbeatInterval, f.SendHeartbeats)
}

// Close stops the goroutines and waits for them.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
}

func (f *Fleet) runEvery(d time.Duration, task func()) {
	defer f.wg.Done()
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		task()
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// SetDraining announces that this host takes no new requests.
func (f *Fleet) SetDraining() {
	f.mu.Lock()
	f.self.State = cicadastore.HostDraining
	f.mu.Unlock()
	f.refresh()
	f.SendHeartbeats()
}

// refresh announces this host and reads the host list.
func (f *Fleet) refresh() {
	ctx, cancel := context.WithTimeout(f.ctx, hostListInterval)
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

// withSelf sets the entry of this host in list, which may lag behind.
func withSelf(list []cicadastore.Host, self cicadastore.Host) []cicadastore.Host {
	for i := range list {
		if list[i].Name == self.Name {
			list[i] = self
			return list
		}
	}
	return append(list, self)
}

// SendHeartbeats sends heartbeats to the neighbours and waits for the replies.
func (f *Fleet) SendHeartbeats() {
	f.mu.Lock()
	targets := f.table.Neighbours(neighbourCount, time.Now())
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.sendHeartbeat(h)
		}()
	}
	wg.Wait()
}

// Heartbeat returns the heartbeat that this host sends to a peer that knows the crashes with a digest.
func (f *Fleet) Heartbeat(crashesDigest uint64) *cicadapeer.Heartbeat {
	f.mu.Lock()
	draining := f.self.State != cicadastore.HostLive
	f.mu.Unlock()
	crashes := f.cfg.Crashes()
	b := &cicadapeer.Heartbeat{
		RouterID:        f.RouterID(),
		ConfigSeq:       f.cfg.ConfigSeq(),
		Draining:        draining,
		DrainingRunners: f.cfg.DrainingRunners(),
		CrashesDigest:   crashes.Digest,
		SentMillis:      time.Now().UnixMilli(),
	}
	if crashes.Digest != crashesDigest {
		b.Crashes = crashes.Evidence
	}
	return b
}

// heartbeatFor returns the heartbeat for a host.
func (f *Fleet) heartbeatFor(host string) *cicadapeer.Heartbeat {
	f.mu.Lock()
	digest := f.crashDigests[host]
	f.mu.Unlock()
	return f.Heartbeat(digest)
}

// HandleHeartbeat records a heartbeat of a peer and calls the callbacks of the configuration.
func (f *Fleet) HandleHeartbeat(b *cicadapeer.Heartbeat) {
	f.mu.Lock()
	f.table.RecordHeartbeat(b.RouterID, b.Draining, time.Now())
	f.crashDigests[b.RouterID.Host] = b.CrashesDigest
	f.mu.Unlock()
	f.cfg.OnPeerConfigSeq(b.ConfigSeq)
	if len(b.DrainingRunners) > 0 {
		f.cfg.OnDrainingRunners(b.DrainingRunners)
	}
	if b.Crashes != nil {
		f.cfg.OnCrashes(b.Crashes, time.Since(time.UnixMilli(b.SentMillis)))
	}
}

func (f *Fleet) sendHeartbeat(h cicadastore.Host) {
	ctx, cancel := context.WithTimeout(f.ctx, heartbeatTimeout)
	defer cancel()
	reply, err := f.cfg.Client.Heartbeat(ctx, h.PeerAddr, f.heartbeatFor(h.Name))
	if err == nil {
		f.HandleHeartbeat(reply)
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

// HasEnded reports whether a process is known to have ended. A suspected process
// may still run.
func (f *Fleet) HasEnded(id cicadaledger.RouterID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.HasEnded(id)
}

// Responds reports whether the process at addr replies to a heartbeat and is id.
func (f *Fleet) Responds(ctx context.Context, addr string, id cicadaledger.RouterID) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	b, err := f.cfg.Client.Heartbeat(ctx, addr, f.heartbeatFor(id.Host))
	if err != nil {
		return false
	}
	f.HandleHeartbeat(b)
	return b.RouterID == id
}

// Members returns all known hosts as seen by this host.
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

// LiveCount returns the number of live hosts, at least one.
func (f *Fleet) LiveCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, len(f.table.Live(time.Now())))
}

// CommitInterval returns the minimum time between two commits of a home, which
// divides storeWritesPerSecond among the live hosts.
func (f *Fleet) CommitInterval() time.Duration {
	d := time.Duration(f.LiveCount()) * time.Second / storeWritesPerSecond
	return max(minCommitInterval, d)
}

// PeerAddrs returns the peer addresses to ask for the configuration: those of the
// known hosts, or of the seed peers if no other host is known.
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

// Recall asks a holder to return its free units of some budgets, at most once per
// recallInterval for each budget. It does not wait for the reply.
func (f *Fleet) Recall(holder cicadaledger.RouterID, budgets []string) {
	h, ok := f.Host(holder.Host)
	if !ok || h.Incarnation != holder.Incarnation {
		return
	}
	due := f.dueRecalls(holder, budgets)
	if len(due) == 0 {
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		ctx, cancel := context.WithTimeout(f.ctx, heartbeatTimeout)
		defer cancel()
		err := f.cfg.Client.Recall(ctx, h.PeerAddr, &cicadapeer.RecallRequest{Budgets: due})
		f.cfg.Counts.Add("recalls", 1)
		if err != nil && !errors.Is(err, context.Canceled) {
			f.cfg.Counts.Add("recallsFailed", 1)
		}
	}()
}

// recallInterval is the minimum time between two recalls of the same budget from
// the same holder.
const recallInterval = 200 * time.Millisecond

func (f *Fleet) dueRecalls(holder cicadaledger.RouterID, budgets []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var due []string
	for _, b := range budgets {
		key := recallKey{holder: holder, budget: b}
		if now.Sub(f.lastRecall[key]) >= recallInterval {
			f.lastRecall[key] = now
			due = append(due, b)
		}
	}
	for key, at := range f.lastRecall {
		if now.Sub(at) > time.Minute {
			delete(f.lastRecall, key)
		}
	}
	return due
}
