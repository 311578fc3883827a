// Package cicadaplace chooses the runner of each request.
//
// It answers the load of long prompts that share parts: a request goes where
// the time to its first token is estimated to be shortest, counting the prompt
// tokens that wait there and those that the runner does not have cached. All
// routers send a shared part to the same runner without talking to each other,
// by rendezvous hashing, until what waits there outweighs reading it again.
//
// The package does no input or output and reads no clock; callers pass the time
// in. A Fleet is safe for concurrent use.
package cicadaplace

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
)

// droppedTime is how long the entry of a runner that left is remembered: far more
// than the age of a copy from which the store may come back.
const droppedTime = 2 * time.Minute

type (
	// Entry is what a runner says of itself.
	Entry struct {
		ID, Service, Addr, DataCentre string
		Slots                         int
		// StartMillis is the Unix millisecond of the runner's start. The same ID with
		// another Born is a new runner.
		StartMillis int64
		// Seq rises with each writing of the entry.
		Seq      int64
		Draining bool
		// WarmupRemaining is how much longer the runner stays slow after its start.
		WarmupRemaining time.Duration
		// HoldRemaining is how much longer a router that relays the entry uses the runner
		// although the store has it no more; zero for an entry that the store has.
		HoldRemaining time.Duration
	}

	// Part is a part of a prompt.
	Part struct {
		ID     string
		Tokens int
	}

	// Config sets up a Fleet.
	Config struct {
		DataCentre string // of this router
		// HoldPeriod is how long entries removed while the store was away stay
		// in use after its return, as the platform documents it.
		HoldPeriod time.Duration
		// HeartbeatInterval is the time between two writings of an entry. Zero if it is not
		// known.
		HeartbeatInterval time.Duration
		// Limits are those that runners name; nil if nothing tells of them.
		Limits *cicadalimit.Limits
	}

	// Balancer is the set of runners that this router knows.
	Balancer struct {
		cfg Config

		mu       sync.Mutex // guards the fields below
		byID     map[string]*Runner
		services map[string][]*Runner // in no order
		// awayAt is since when the store has not answered; zero while it does.
		awayAt time.Time
		// holdUntil is until when entries that are removed stay in use: they may have
		// lapsed in an outage of the store.
		holdUntil time.Time
		// dropped are the last entries of runners that left, by id.
		dropped map[string]droppedEntry
	}

	// droppedEntry is kept as long as the store may still come back from a copy
	// that has it.
	droppedEntry struct {
		entry Entry
		at    time.Time
	}

	// Runner is one runner with what this router has seen of it.
	Runner struct {
		entry     Entry
		hash      uint64
		firstSeen time.Time
		// heldUntil is until when the runner is used although its entry was removed;
		// zero while there is an entry.
		heldUntil time.Time
		gone      bool // removed for good or replaced; tickets may still hold it
		leaving   bool // said so itself, on an answer

		inFlight int
		debt     int // prompt tokens of own requests that have no token yet

		reported   Load
		reportedAt time.Time

		failures     int // in a row
		ejectedUntil time.Time
		ejections    int // since the last success

		cached partSet

		// mayBeLimited holds for a generation of the limits.
		mayBeLimited    bool
		limitGeneration uint64
	}

	// Load is a runner's report on an answer.
	Load struct{ Running, Waiting, Slots int }
)

// NewBalancer returns an empty fleet.
func NewBalancer(cfg Config) *Balancer {
	if cfg.Limits == nil {
		cfg.Limits = cicadalimit.New(&cicadalimit.Clock{})
	}
	return &Balancer{cfg: cfg, byID: map[string]*Runner{}, services: map[string][]*Runner{}, dropped: map[string]droppedEntry{}}
}

// ID returns the runner's id.
func (r *Runner) ID() string { return r.entry.ID }

// Key names this start of the runner.
func (r *Runner) Key() cicadalimit.Key {
	return cicadalimit.Key{ID: r.entry.ID, StartMillis: r.entry.StartMillis}
}

// Addr returns the runner's address, IP:PORT.
func (r *Runner) Addr() string { return r.entry.Addr }

// DataCentre returns the runner's data centre.
func (r *Runner) DataCentre() string { return r.entry.DataCentre }

// Apply takes a runner's entry. It may replace a runner of the same id.
func (f *Balancer) Apply(e Entry, now time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.byID[e.ID]
	if f.isOld(&e) {
		return Change{id: e.ID, stale: true}
	}
	if old != nil && old.entry.sameRunner(&e) {
		changed := old.entry.Draining != e.Draining || old.isHeld() != (e.HoldRemaining > 0)
		if !old.isHeld() || e.HoldRemaining <= 0 {
			old.heldUntil = e.heldUntil(now)
		}
		// The other fields stay as they are, and are read without the lock.
		old.entry.Draining, old.entry.Slots, old.entry.WarmupRemaining, old.entry.Seq = e.Draining, e.Slots, e.WarmupRemaining, e.Seq
		return Change{id: e.ID, changed: changed}
	}
	if old != nil {
		f.drop(old, now)
	}
	r := &Runner{entry: e, hash: xxhash.Sum64String(e.ID), firstSeen: now, heldUntil: e.heldUntil(now)}
	f.byID[e.ID] = r
	f.services[e.Service] = append(f.services[e.Service], r)
	return Change{id: e.ID, gone: old, changed: true}
}

// isOld tells whether an entry was written before one that is known: the store may
// have come back from an older copy. Where a runner's start is not told, a smaller
// Seq may also be that of its next start.
func (f *Balancer) isOld(e *Entry) bool {
	if e.StartMillis == 0 {
		return false
	}
	if r := f.byID[e.ID]; r != nil {
		return r.entry.sameRunner(e) && e.Seq < r.entry.Seq
	}
	d, ok := f.dropped[e.ID]
	return ok && d.entry.sameRunner(e) && e.Seq <= d.entry.Seq
}

func (e *Entry) sameRunner(o *Entry) bool {
	return e.StartMillis == o.StartMillis && e.Addr == o.Addr && e.Service == o.Service && e.DataCentre == o.DataCentre
}

// Len returns the number of runners that are in use.
func (f *Balancer) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
}

// RunnerState describes a runner in a state dump.
type RunnerState struct {
	ID                  string `json:"id"`
	Service             string `json:"service"`
	Addr                string `json:"addr"`
	DataCentre          string `json:"place"`
	Draining            bool   `json:"leaving"`
	Held                bool   `json:"held"` // in use although the store has no entry
	InFlight            int    `json:"inFlight"`
	PendingPromptTokens int    `json:"waitingTokens"`
	Running             int    `json:"reportedRunning"`
	Waiting             int    `json:"reportedWaiting"`
	ReportAgeMS         int64  `json:"reportAgeMillis"`
	// Limit is the rate that the runner names, in requests a second of all routers.
	Limit   *float64 `json:"limit,omitempty"`
	Ejected bool     `json:"ejected"`
}

// State lists the runners.
func (f *Balancer) State(now time.Time) []RunnerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]RunnerState, 0, len(f.byID))
	for _, r := range f.byID {
		var limit *float64
		if rate, ok := f.cfg.Limits.Rate(r.Key()); ok {
			limit = &rate
		}
		out = append(out, RunnerState{
			Limit: limit,
			ID:    r.entry.ID, Service: r.entry.Service, Addr: r.entry.Addr, DataCentre: r.entry.DataCentre,
			Draining: r.entry.Draining || r.leaving, Held: r.isHeld(), InFlight: r.inFlight, PendingPromptTokens: r.debt,
			Running: r.reported.Running, Waiting: r.reported.Waiting,
			ReportAgeMS: now.Sub(r.reportedAt).Milliseconds(), Ejected: now.Before(r.ejectedUntil),
		})
	}
	return out
}

func (f *Balancer) ids() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.byID))
	for id := range f.byID {
		out = append(out, id)
	}
	return out
}

func (f *Balancer) drop(r *Runner, now time.Time) {
	r.gone = true
	f.dropped[r.entry.ID] = droppedEntry{entry: r.entry, at: now}
	if f.byID[r.entry.ID] == r {
		delete(f.byID, r.entry.ID)
	}
	list := f.services[r.entry.Service]
	for i, other := range list {
		if other == r {
			f.services[r.entry.Service] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// Entries returns the entries of all runners in use.
func (f *Balancer) Entries(now time.Time) []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Entry, 0, len(f.byID))
	for _, r := range f.byID {
		if f.isExpired(r, now) {
			continue
		}
		e := r.entry
		e.HoldRemaining = 0
		if r.isHeld() {
			e.HoldRemaining = f.holdLeft(r, now)
		}
		out = append(out, e)
	}
	return out
}

// Digest sums up what routers act on in the entries in use: it is the same at two
// routers that use the same runners, whenever their entries were written.
func (f *Balancer) Digest(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum uint64
	for _, r := range f.byID {
		if f.isExpired(r, now) {
			continue
		}
		e := &r.entry
		// In any order: the sums of the entries are added up.
		sum += xxhash.Sum64String(strings.Join([]string{
			e.ID, e.Service, e.Addr, e.DataCentre, strconv.FormatInt(e.StartMillis, 10), strconv.Itoa(e.Slots),
			strconv.FormatBool(e.Draining), strconv.FormatBool(r.isHeld()),
		}, "\x00"))
	}
	return sum
}
