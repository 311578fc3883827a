// Package cicadahome runs the homes of budget partitions in this process. It does
// the I/O for package cicadaledger: it takes over partitions, commits their
// batches, and responds to exchanges after the commit.
//
// One goroutine, the committer, owns all partitions. It dequeues all waiting
// exchanges, raises allotments as needed, stages the exchanges, and writes one
// record for all of them to this process's log: one transaction and one log row,
// however many requests there are. The transaction also writes the rows of
// at-most-once keys. It requires the fence row of each partition involved to be
// unchanged, so that a superseded home commits nothing.
package cicadahome

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

const (
	// queueCapacity limits the exchanges that wait for the committer.
	queueCapacity = 1024
	// exchangeTimeout limits the time for which an exchange waits for its
	// commit. It is shorter than the time after which the sending router
	// considers the connection dead.
	exchangeTimeout = 1200 * time.Millisecond
	// shutdownTimeout limits the wait for the committer during Shutdown.
	shutdownTimeout = 3 * time.Second
	// maintenanceInterval is the interval between checks for due checkpoints
	// and recoveries.
	maintenanceInterval = time.Second
)

type (
	// Fleet provides access to the other router processes.
	Fleet interface {
		// HasEnded reports whether a process is known to have ended.
		HasEnded(id cicadaledger.RouterID) bool
		// Responds reports whether the given process responds at a peer address.
		Responds(ctx context.Context, addr string, id cicadaledger.RouterID) bool
		// Recall asks a holder to return its free units of some budgets.
		Recall(holder cicadaledger.RouterID, budgets []string)
	}

	// Counter counts events by name.
	Counter interface {
		Add(name string, delta int64)
	}

	// Config configures a Home.
	Config struct {
		Platform       cicadastore.Platform
		Fleet          Fleet
		RecoverySource RecoverySource // nil: units held by ended processes stay in doubt
		Self           cicadaledger.RouterID
		Region         string
		PeerAddr       string
		// CommitInterval is the minimum time between two commit cycles.
		CommitInterval func() time.Duration
		// KeyWindow and MaxRunTime are passed to the ledgers. MaxRunTime also
		// limits how long the claim of an idempotent request is kept.
		KeyWindow  func() time.Duration
		MaxRunTime func() time.Duration
		Log        log.Interface
		Counts     Counter
	}

	// Home serves the partitions of which this process is the home according
	// to their fence rows.
	Home struct {
		cfg          Config
		logName      string // name of this process's log
		submit       chan *submission
		takeoverDone chan *ownedPartition
		// recoveryDone passes holdings that can be recovered to the committer.
		recoveryDone chan []recoverableHolding
		stop         chan struct{}
		done         chan struct{}
		ctx          context.Context
		cancel       context.CancelFunc

		// The committer owns the fields below.
		nextRow     uint64
		takeovers   map[cicadaledger.PartitionID][]*submission
		lastCycleAt time.Time
		released    bool
		// recovering is set while data on ended processes is collected.
		recovering bool

		// mu guards the fields below and everything reachable from partitions,
		// except fullyAllottedUntil, which only the committer uses. Only the
		// committer changes partitions and ledgers, except that Claim changes
		// claims and counts reruns. The committer never holds mu during a call
		// to the platform.
		mu         sync.Mutex
		partitions map[cicadaledger.PartitionID]*ownedPartition
		// firstWritableRow is the first row of this process's log that may still
		// be written. Takeovers in progress read it.
		firstWritableRow uint64
	}

	// PartitionState is the state of a partition as shown to operators.
	PartitionState struct {
		Partition   cicadaledger.PartitionID `json:"partition"`
		Incarnation uint64                   `json:"incarnation"`
		Seq         uint64                   `json:"seq"`
		Budgets     []cicadaledger.Balance   `json:"budgets"`
		Holders     []HolderState            `json:"holders"`
	}

	// HolderState contains the units of a partition's budgets that one router
	// process holds.
	HolderState struct {
		Holder cicadaledger.RouterID `json:"holder"`
		Ended  bool                  `json:"ended"`
		Held   []cicadaledger.Amount `json:"held,omitempty"`
	}

	submission struct {
		ctx   context.Context
		item  *cicadapeer.ExchangeItem
		reply chan cicadapeer.ItemReply
	}

	// ownedPartition is a partition of which this process is the home.
	ownedPartition struct {
		id                     cicadaledger.PartitionID
		ledger                 *cicadaledger.Partition
		fence                  cicadaledger.FenceRow
		fenceVersion           uint64 // of the fence row
		batchesSinceCheckpoint int
		checkpointedAt         time.Time
		takeoverErr            error // why the takeover failed
		homeAddr               string
		claims                 map[string]memoryClaim // by key, of running idempotent requests
		fullyAllottedUntil     map[string]time.Time   // by budget, end of fullyAllottedTTL
	}
)

// New returns a home that has not started.
func New(cfg Config) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		cfg:              cfg,
		logName:          fmt.Sprintf("%s.%d", cfg.Self.Host, cfg.Self.Incarnation),
		submit:           make(chan *submission, queueCapacity),
		takeoverDone:     make(chan *ownedPartition, queueCapacity),
		recoveryDone:     make(chan []recoverableHolding, 1),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		ctx:              ctx,
		cancel:           cancel,
		nextRow:          1,
		partitions:       make(map[cicadaledger.PartitionID]*ownedPartition),
		takeovers:        make(map[cicadaledger.PartitionID][]*submission),
		firstWritableRow: 1,
	}
}

// Start starts to serve exchanges.
func (h *Home) Start() { go h.run() }

// Close stops the home immediately. It does not release the fence rows, so that
// successors have to take over the partitions.
func (h *Home) Close() {
	h.cancel()
	<-h.done
}

// Shutdown releases all partitions and stops the home, for a planned stop. If a
// commit's outcome is still unknown after a timeout, Shutdown gives up; a successor
// determines the outcome from the log.
func (h *Home) Shutdown() {
	close(h.stop)
	select {
	case <-h.done:
	case <-time.After(shutdownTimeout):
	}
	h.cancel()
	<-h.done
}

// Done returns a channel that is closed when the home has stopped.
func (h *Home) Done() <-chan struct{} { return h.done }

// Exchange serves exchanges between routers and the homes in this process.
func (h *Home) Exchange(ctx context.Context, req *cicadapeer.ExchangeRequest) *cicadapeer.ExchangeReply {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	subs := make([]*submission, len(req.Items))
	for i := range req.Items {
		subs[i] = &submission{ctx: ctx, item: &req.Items[i], reply: make(chan cicadapeer.ItemReply, 1)}
		select {
		case h.submit <- subs[i]:
		case <-ctx.Done():
			subs[i].fail(cicadapeer.FaultUnavailable, "")
		case <-h.done:
			subs[i].fail(cicadapeer.FaultNotHome, "")
		}
	}
	out := &cicadapeer.ExchangeReply{Items: make([]cicadapeer.ItemReply, len(subs))}
	for i, s := range subs {
		select {
		case out.Items[i] = <-s.reply:
		case <-ctx.Done():
			out.Items[i] = cicadapeer.ItemReply{Fault: cicadapeer.FaultUnavailable}
		case <-h.done:
			out.Items[i] = cicadapeer.ItemReply{Fault: cicadapeer.FaultNotHome}
		}
	}
	return out
}

func (s *submission) fail(f cicadapeer.Fault, homeAddr string) {
	s.send(cicadapeer.ItemReply{Fault: f, HomeAddr: homeAddr})
}

func (s *submission) send(r cicadapeer.ItemReply) {
	select {
	case s.reply <- r:
	default:
	}
}

func (h *Home) run() {
	defer close(h.done)
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.stop:
			h.releaseAll()
			return
		case o := <-h.takeoverDone:
			h.finishTakeover(o)
		case s := <-h.submit:
			h.serveQueued(s)
		case list := <-h.recoveryDone:
			h.finishRecovery(list)
		case <-tick.C:
			h.writeDueCheckpoint()
			h.startRecovery()
		}
	}
}

// serveQueued serves first and all other queued exchanges.
func (h *Home) serveQueued(first *submission) {
	h.waitCommitInterval()
	subs := h.drainQueue(first)
	ready := subs[:0]
	for _, s := range subs {
		if s.ctx.Err() != nil {
			continue
		}
		if h.partition(s.item.Partition) == nil {
			h.startTakeover(s)
			continue
		}
		ready = append(ready, s)
	}
	if len(ready) > 0 {
		h.serve(ready)
	}
}

// partition returns a partition of this home, or nil if this process does not own it.
func (h *Home) partition(id cicadaledger.PartitionID) *ownedPartition {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitions[id]
}

// waitCommitInterval waits until the commit interval has passed since the previous
// cycle, which limits the rate of writes to the platform.
func (h *Home) waitCommitInterval() {
	wait := h.cfg.CommitInterval() - time.Since(h.lastCycleAt)
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-h.ctx.Done():
		}
	}
	h.lastCycleAt = time.Now()
}

func (h *Home) drainQueue(first *submission) []*submission {
	subs := []*submission{first}
	for len(subs) < queueCapacity {
		select {
		case s := <-h.submit:
			subs = append(subs, s)
		default:
			return subs
		}
	}
	return subs
}

// sleepBackoff waits after attempt n, with exponential backoff and jitter. It
// returns false if the home has to stop.
func (h *Home) sleepBackoff(n int) bool {
	const minDelay, maxDelay = 10 * time.Millisecond, time.Second
	d := min(maxDelay, minDelay<<min(n, 8))
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	select {
	case <-h.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
