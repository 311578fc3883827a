// Package cicadahome runs the homes of budget partitions on this host. It is
// the input and output round package cicadaledger: it takes partitions over,
// commits their batches, and answers exchanges after the commit.
//
// One goroutine, the committer, owns all partitions. It takes every exchange
// that waits, allots what they lack, stages them, and writes one record to this
// home's log for all of them: one transaction and one row, whatever the number
// of requests. The transaction requires the fence row of each partition in it
// to be unchanged, so that a home that was superseded commits nothing.
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
	// queueLength bounds the exchanges that wait for the committer.
	queueLength = 1024
	// answerWait bounds how long an exchange waits for its commit. It is less
	// than the time after which a caller holds the connection for dead.
	answerWait = 1200 * time.Millisecond
	// releaseWait bounds the wait for the committer at a planned stop.
	releaseWait = 3 * time.Second
	// maintenanceInterval is the time between looks for due checkpoints.
	maintenanceInterval = time.Second
)

type (
	// Fleet is what a home needs to know of the other hosts.
	Fleet interface {
		// HasEnded tells whether a process has ended for certain.
		HasEnded(id cicadaledger.RouterID) bool
		// Responds tells whether the process at a peer address is still the
		// given one and answers.
		Responds(ctx context.Context, addr string, id cicadaledger.RouterID) bool
		// Recall asks a holder to return what it has free of a budget.
		Recall(holder cicadaledger.RouterID, budgets []string)
	}

	// Counter counts events by name.
	Counter interface {
		Add(name string, delta int64)
	}

	// Config sets up a Home.
	Config struct {
		Platform       cicadastore.Platform
		Fleet          Fleet
		RecoverySource RecoverySource // nil: holdings of ended processes stay in doubt
		Self           cicadaledger.RouterID
		Region         string
		PeerAddr       string
		// CommitInterval is the least time between two commits.
		CommitInterval func() time.Duration
		// KeyWindow and RunWindow are those of the ledger.
		KeyWindow  func() time.Duration
		MaxRunTime func() time.Duration
		Log        log.Interface
		Counts     Counter
	}

	// Home serves the partitions whose fence rows name this process.
	Home struct {
		cfg      Config
		log      string // name of this process's log
		submit   chan *submission
		acquired chan *owned
		// recovered carries collected evidence to the committer.
		recovered chan []recovered
		stop      chan struct{}
		done      chan struct{}
		ctx       context.Context
		cancel    context.CancelFunc

		// The committer owns the fields below.
		nextRow   uint64
		acquiring map[cicadaledger.PartitionID][]*submission
		lastRun   time.Time
		released  bool
		// recovering is set while evidence is collected.
		recovering bool

		// mu guards the fields below and all that parts lead to. Only the
		// committer changes parts and ledgers; it holds mu while it does, and
		// never during a call to the platform.
		mu    sync.Mutex
		parts map[cicadaledger.PartitionID]*owned
		// rowFloor is the first log row that may still be written, read by
		// take-overs in progress.
		rowFloor uint64
	}

	// PartitionState is one partition as shown to operators.
	PartitionState struct {
		Partition   cicadaledger.PartitionID `json:"partition"`
		Incarnation uint64                   `json:"incarnation"`
		Seq         uint64                   `json:"seq"`
		Budgets     []cicadaledger.Balance   `json:"budgets"`
		Holders     []HolderState            `json:"holders"`
	}

	// HolderState is what one router process holds of a partition's budgets.
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

	// owned is one partition of which this process is the home.
	owned struct {
		id         cicadaledger.PartitionID
		ledger     *cicadaledger.Partition
		fence      cicadaledger.FenceRow
		version    uint64 // of the fence row
		sinceCheck int    // batches since the checkpoint
		checkedAt  time.Time
		err        error // why the take-over failed
		homeAddr   string
		claims     map[string]volatileClaim // keys of idempotent requests that run
		dry        map[string]time.Time     // budgets found fully allotted, until when
	}
)

// New returns a home that has not started.
func New(cfg Config) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		cfg:       cfg,
		log:       fmt.Sprintf("%s.%d", cfg.Self.Host, cfg.Self.Incarnation),
		submit:    make(chan *submission, queueLength),
		acquired:  make(chan *owned, queueLength),
		recovered: make(chan []recovered, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		ctx:       ctx,
		cancel:    cancel,
		nextRow:   1,
		parts:     make(map[cicadaledger.PartitionID]*owned),
		acquiring: make(map[cicadaledger.PartitionID][]*submission),
		rowFloor:  1,
	}
}

// Start begins to serve.
func (h *Home) Start() { go h.run() }

// Close stops at once and keeps the fence rows: a successor takes over.
func (h *Home) Close() {
	h.cancel()
	<-h.done
}

// Shutdown gives all partitions up and stops, for a planned stop. A commit whose
// outcome is not known is given up after a while: a successor finds out.
func (h *Home) Shutdown() {
	close(h.stop)
	select {
	case <-h.done:
	case <-time.After(releaseWait):
	}
	h.cancel()
	<-h.done
}

// Done is closed when the home has ended.
func (h *Home) Done() <-chan struct{} { return h.done }

// Exchange serves exchanges of routers with the homes on this host.
func (h *Home) Exchange(ctx context.Context, req *cicadapeer.ExchangeRequest) *cicadapeer.ExchangeReply {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
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
		case o := <-h.acquired:
			h.finishAcquire(o)
		case s := <-h.submit:
			h.cycle(s)
		case list := <-h.recovered:
			h.finishRecovery(list)
		case <-tick.C:
			h.maintain()
			h.startRecovery()
		}
	}
}

// cycle serves first and every other exchange that waits by now.
func (h *Home) cycle(first *submission) {
	h.pace()
	subs := h.collect(first)
	ready := subs[:0]
	for _, s := range subs {
		if s.ctx.Err() != nil {
			continue
		}
		if h.part(s.item.Partition) == nil {
			h.acquire(s)
			continue
		}
		ready = append(ready, s)
	}
	if len(ready) > 0 {
		h.serve(ready)
	}
}

// part returns a partition of this home, or nil.
func (h *Home) part(id cicadaledger.PartitionID) *owned {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts[id]
}

// pace keeps the commit interval, which bounds the fleet's writes.
func (h *Home) pace() {
	wait := h.cfg.CommitInterval() - time.Since(h.lastRun)
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-h.ctx.Done():
		}
	}
	h.lastRun = time.Now()
}

func (h *Home) collect(first *submission) []*submission {
	subs := []*submission{first}
	for len(subs) < queueLength {
		select {
		case s := <-h.submit:
			subs = append(subs, s)
		default:
			return subs
		}
	}
	return subs
}

// sleepBackoff waits before attempt number n, with jitter. It reports false if
// the home has to end.
func (h *Home) sleepBackoff(n int) bool {
	const first, longest = 10 * time.Millisecond, time.Second
	d := min(longest, first<<min(n, 8))
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	select {
	case <-h.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
