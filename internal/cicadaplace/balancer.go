// Package cicadaplace balances requests over the runners of a service.
//
// A request goes to the runner with the lowest estimated time to first token. The
// estimate counts the prompt tokens queued at the runner and those that it does not have
// cached, because prompts are long and share parts. All routers send a shared part to the
// same runner without coordination, by rendezvous hashing, until the queue there costs
// more than prefilling the part at another runner.
//
// The package does no I/O and reads no clock; callers pass in the time. A Balancer is
// safe for concurrent use.
package cicadaplace

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadaengine"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/pkg/errors"
)

// removedEntryTTL is how long the last entry of a removed runner is kept. It is much longer than
// the age of a backup that the store may be restored from.
const removedEntryTTL = 2 * time.Minute

type (
	// Entry is the store entry that a runner writes about itself.
	Entry struct {
		ID, Service, Addr string
		DataCentre        string `json:"Place"`
		Slots             int
		// StartMillis is the runner's start time in Unix milliseconds, or 0 if it is not known.
		// The same ID with another StartMillis is a new runner.
		StartMillis int64 `json:"Born"`
		// Seq increases with each write of the entry.
		Seq      int64
		Draining bool `json:"Leaving"`
		// SoftwareVersion is the version of the runner's software, or empty if it is not known. Versions
		// have no order.
		SoftwareVersion string `json:"Software,omitempty"`
		// WarmupRemaining is how much longer the runner is slow after its start.
		WarmupRemaining time.Duration `json:"WarmIn"`
		// HoldRemaining is set in an entry relayed by another router: how much longer that router
		// keeps the runner in use although the store no longer has the entry. It is zero for an
		// entry that is in the store.
		HoldRemaining time.Duration `json:"HeldFor"`
	}

	// Part is one part of a prompt.
	Part struct {
		ID     string
		Tokens int
	}

	// Config configures a Balancer.
	Config struct {
		DataCentre string // of this router
		// HoldPeriod is how long runners whose entries were removed during a store outage stay in
		// use after the store has recovered, as documented by the platform.
		HoldPeriod time.Duration
		// HeartbeatInterval is the time between two writes of an entry, or zero if it is not known.
		HeartbeatInterval time.Duration
		// Limits holds the rate limits that runners advertise; nil for none.
		Limits *cicadalimit.Limits
		// Regions maps data centres to their regions. It is needed for requests with home regions.
		Regions map[string]string
	}

	// Balancer holds the runners that this router knows and assigns requests to them.
	Balancer struct {
		cfg Config

		mu       sync.Mutex // guards the fields below
		byID     map[string]*Runner
		byAddr   map[string]*Runner   // the last one of each address
		services map[string][]*Runner // unordered
		// versionsSeen holds, by service, when the versions of the software were first seen that runners have.
		versionsSeen map[string]map[string]time.Time
		// storeDownSince is the start of the current store outage; zero if there is none.
		storeDownSince time.Time
		// holdUntil is the time until which runners stay in use after their entries are removed,
		// because the entries may have expired during a store outage.
		holdUntil time.Time
		// removed holds the last entries of removed runners, by id.
		removed map[string]removedEntry
		// evacuated holds the data centres whose runners must get no requests.
		evacuated map[string]bool
		warmups   map[string]Warmup        // by service
		brittle   map[string]*brittleState // by service
		routers   int                      // number of routers that use the runners
		models    *cicadaengine.Models
		engines   map[string]*engineState // by service
	}

	// removedEntry is the last entry of a removed runner. It is kept as long as the store may be
	// restored from a backup that contains the entry.
	removedEntry struct {
		entry     Entry
		removedAt time.Time
		draining  bool
	}

	// Runner is a runner and the state that this router keeps about it.
	Runner struct {
		entry     Entry
		hash      uint64
		firstSeen time.Time
		// renewedAt is when the last entry was read that the runner had written again, or the first one if it has
		// not yet. removedAt is when the entry was removed or replaced.
		renewedAt, removedAt time.Time
		// heldUntil is the time until which the runner stays in use although its entry was
		// removed; zero if the entry exists.
		heldUntil time.Time
		removed   bool // removed or replaced; assignments may still refer to it
		draining  bool // as reported by a response
		// pausedUntil is the time until which the runner has asked this router to send nothing.
		pausedUntil time.Time

		inFlight      int
		pendingTokens int // prompt tokens of this router's requests that await their first token
		pendingKnown  int // the same by what this router knows to be cached

		reportedLoad Load
		reportedAt   time.Time
		sinceReport  int // requests of this router since the report

		// While the runner is brittle: rejectedAt is the time of its last rejection. Until nextRisk it
		// gets nothing that may not fit. roomSeen is the number of requests that it had room for when
		// it rejected one at roomSeenAt.
		rejectedAt, nextRisk time.Time
		roomSeen             float64
		growthPart           float64 // part of this router in the growth of that number
		roomSeenAt           time.Time
		placesGroup          bool // the last request was one that this router placed for all

		failures     int // consecutive
		ejectedUntil time.Time
		ejections    int // since the last success

		cachedParts partSet
		model       *cicadaengine.Runner

		// mayBeLimited is valid for limitGeneration only.
		mayBeLimited    bool
		limitGeneration uint64
	}

	// Load is the load that a runner reports with a response.
	Load struct {
		Running, Waiting, Slots int
		// Slowness is how long work takes on the runner's machine at this moment, in percent; 100 is
		// usual, 0 if it is not stated.
		Slowness int
	}
)

// NewBalancer returns a Balancer without runners.
func NewBalancer(cfg Config) *Balancer {
	if cfg.Limits == nil {
		cfg.Limits = cicadalimit.New(&cicadalimit.Clock{})
	}
	return &Balancer{
		cfg: cfg, byID: map[string]*Runner{}, byAddr: map[string]*Runner{}, services: map[string][]*Runner{},
		removed: map[string]removedEntry{}, brittle: map[string]*brittleState{},
		versionsSeen: map[string]map[string]time.Time{}, models: cicadaengine.NewModels(),
	}
}

// ID returns the runner's id.
func (r *Runner) ID() string { return r.entry.ID }

// Key identifies this start of the runner.
func (r *Runner) Key() cicadalimit.Key { return r.entry.key() }

// Addr returns the runner's address, IP:PORT.
func (r *Runner) Addr() string { return r.entry.Addr }

// DataCentre returns the data centre that the runner is in.
func (r *Runner) DataCentre() string { return r.entry.DataCentre }

// Apply adds or updates the runner of an entry. An entry with the same ID but another start time,
// address, service, data centre or software version replaces the runner. An older entry of the same start is ignored.
func (b *Balancer) Apply(e Entry, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.byID[e.ID]
	if b.isStale(&e) {
		return Change{id: e.ID, stale: true}
	}
	if old != nil && old.entry.sameRunner(&e) {
		c := Change{id: e.ID, changed: old.entry.Draining != e.Draining || old.isHeld() != (e.HoldRemaining > 0)}
		if e.Seq > old.entry.Seq {
			c.renewed, old.renewedAt = old, now
		}
		if !old.isHeld() || e.HoldRemaining <= 0 {
			old.heldUntil = e.heldUntil(now)
		}
		// ID, Service, Addr, DataCentre and StartMillis are read without the lock and must not change.
		old.entry.Draining, old.entry.Slots, old.entry.WarmupRemaining, old.entry.Seq = e.Draining, e.Slots, e.WarmupRemaining, e.Seq
		if e.SoftwareVersion != "" && old.entry.SoftwareVersion == "" {
			old.entry.SoftwareVersion = e.SoftwareVersion
			b.recordVersion(old, now)
			b.forgetVersion(e.Service, "")
		}
		b.limitWarmup(old, e.WarmupRemaining, now)
		return c
	}
	ended := b.endedBy(&e)
	if old != nil {
		b.removeLocked(old, now)
	}
	r := &Runner{entry: e, hash: xxhash.Sum64String(e.ID), firstSeen: now, renewedAt: now, heldUntil: e.heldUntil(now), model: b.models.Runner(e.Service)}
	if last, ok := b.removed[e.ID]; ok && last.entry.sameRunner(&e) {
		// The runner has announced that it is draining, and its entry was only removed for a while.
		r.draining = last.draining
	}
	b.limitWarmup(r, e.WarmupRemaining, now)
	b.byID[e.ID], b.byAddr[e.Addr] = r, r
	b.services[e.Service] = append(b.services[e.Service], r)
	b.recordVersion(r, now)
	return Change{id: e.ID, removed: old, ended: ended, changed: true}
}

// endedBy returns the runners whose ends the entry of a new one shows, see Change.Ended.
func (b *Balancer) endedBy(e *Entry) []cicadalimit.Key {
	var out []cicadalimit.Key
	add := func(earlier *Entry) {
		// A successor may have answered for it, which looks like draining. The entry tells.
		if earlier.isEndedBy(e) && !earlier.Draining {
			out = append(out, earlier.key())
		}
	}
	if old := b.byID[e.ID]; old != nil {
		add(&old.entry)
	}
	if r := b.byAddr[e.Addr]; r != nil && r.entry.ID != e.ID {
		add(&r.entry)
	}
	// The entry of a runner that has crashed may have expired before the next one is written.
	for _, d := range b.removed {
		add(&d.entry)
	}
	return out
}

// isEndedBy reports whether the entry of a later runner shows that the one of e has ended.
func (e *Entry) isEndedBy(next *Entry) bool {
	if e.ID == next.ID {
		return e.StartMillis < next.StartMillis
	}
	return e.Addr == next.Addr
}

func (e *Entry) key() cicadalimit.Key { return cicadalimit.Key{ID: e.ID, StartMillis: e.StartMillis} }

// recordVersion records that a runner has its version of the software.
func (b *Balancer) recordVersion(r *Runner, now time.Time) {
	versions := b.versionsSeen[r.entry.Service]
	if versions == nil {
		versions = map[string]time.Time{}
		b.versionsSeen[r.entry.Service] = versions
	}
	if _, ok := versions[r.entry.SoftwareVersion]; !ok {
		versions[r.entry.SoftwareVersion] = now
	}
}

// forgetVersion forgets when a version of a service's software was first seen, if no runner has it any more.
func (b *Balancer) forgetVersion(service, version string) {
	if !slices.ContainsFunc(b.services[service], func(r *Runner) bool { return r.entry.SoftwareVersion == version }) {
		delete(b.versionsSeen[service], version)
	}
}

// isStale reports whether an entry is older than one that is known, as after a restore of the
// store from a backup. If the start time is not known, this cannot be decided: a smaller Seq may
// also be that of the runner's next start.
func (b *Balancer) isStale(e *Entry) bool {
	if e.StartMillis == 0 {
		return false
	}
	if r := b.byID[e.ID]; r != nil {
		return r.entry.sameRunner(e) && e.Seq < r.entry.Seq
	}
	d, ok := b.removed[e.ID]
	return ok && d.entry.sameRunner(e) && e.Seq <= d.entry.Seq
}

// sameRunner reports whether two entries are of the same start of a runner. Routers of earlier builds
// relay entries without a software version.
func (e *Entry) sameRunner(other *Entry) bool {
	sameVersion := e.SoftwareVersion == other.SoftwareVersion || e.SoftwareVersion == "" || other.SoftwareVersion == ""
	return sameVersion && e.StartMillis == other.StartMillis && e.Addr == other.Addr && e.Service == other.Service && e.DataCentre == other.DataCentre
}

// Find returns the runner with an id, or nil.
func (b *Balancer) Find(id string) *Runner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byID[id]
}

// SoftwareVersions returns the versions of the software of a service's runners, draining ones included,
// in ascending order. A runner whose version is not known has an empty one.
func (b *Balancer) SoftwareVersions(service string, now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, r := range b.services[service] {
		if version := r.entry.SoftwareVersion; !slices.Contains(out, version) && !b.isExpired(r, now) {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// Serves reports whether a service has runners with a version of the software that are not about to leave.
func (b *Balancer) Serves(service, version string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[service], func(r *Runner) bool {
		return r.entry.SoftwareVersion == version && !errors.Is(b.unavailability(r, now), ErrDraining)
	})
}

// Reinstate forgets the failures of a runner, because they were not its own.
func (b *Balancer) Reinstate(r *Runner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.failures, r.ejections, r.ejectedUntil = 0, 0, time.Time{}
}

// HasRestarted reports whether another start of a runner took its place under the same id although it was
// not draining.
func (b *Balancer) HasRestarted(r *Runner) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.byID[r.entry.ID]
	return r.removed && !r.entry.Draining && !r.draining && next != nil && next.entry.StartMillis > r.entry.StartMillis
}

// HasEnded reports whether a runner has ended without draining, as the entry of a runner shows that has started
// since, see Change.Ended.
func (b *Balancer) HasEnded(r *Runner) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isSuccessor := func(next *Runner) bool { return next != nil && next != r && r.entry.isEndedBy(&next.entry) }
	return !r.entry.Draining && (isSuccessor(b.byID[r.entry.ID]) || isSuccessor(b.byAddr[r.entry.Addr]))
}

// IsRemoved reports whether the entry of a runner was removed or replaced.
func (b *Balancer) IsRemoved(r *Runner) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return r.removed
}

// FellSilent reports whether a runner that has written its entry again before has not done so for silentHeartbeats
// intervals since a time, by entries that were read at readAt. The entry of one that has left is removed before that.
func (b *Balancer) FellSilent(r *Runner, since, readAt time.Time) bool {
	interval := b.cfg.HeartbeatInterval
	if interval <= 0 || readAt.Sub(since) < silentHeartbeats*interval {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.entry.Draining || r.renewedAt.Equal(r.firstSeen) || r.removed && r.removedAt.Sub(r.renewedAt) < expiryHeartbeats*interval {
		return false
	}
	return readAt.Sub(r.renewedAt) >= silentHeartbeats*interval
}

// Len returns the number of runners in use.
func (b *Balancer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.byID)
}

// RunnerState is the state of a runner, for debug output.
type RunnerState struct {
	ID                  string `json:"id"`
	Service             string `json:"service"`
	Addr                string `json:"addr"`
	DataCentre          string `json:"place"`
	SoftwareVersion     string `json:"software"`
	Draining            bool   `json:"leaving"`
	Held                bool   `json:"held"` // in use although the entry was removed from the store
	Evacuated           bool   `json:"evacuated"`
	PausedMS            int64  `json:"pausedMillis"` // how much longer the runner wants no requests
	InFlight            int    `json:"inFlight"`
	PendingPromptTokens int    `json:"waitingTokens"`
	Running             int    `json:"reportedRunning"`
	Waiting             int    `json:"reportedWaiting"`
	ReportAgeMS         int64  `json:"reportAgeMillis"`
	// Limit is the rate limit of the runner, in requests per second from all routers.
	Limit   *float64 `json:"limit,omitempty"`
	Ejected bool     `json:"ejected"`
}

// State returns the state of all runners.
func (b *Balancer) State(now time.Time) []RunnerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]RunnerState, 0, len(b.byID))
	for _, r := range b.byID {
		var limit *float64
		if rate, ok := b.cfg.Limits.Rate(r.Key(), now); ok {
			limit = &rate
		}
		out = append(out, RunnerState{
			Limit: limit,
			ID:    r.entry.ID, Service: r.entry.Service, Addr: r.entry.Addr, DataCentre: r.entry.DataCentre, SoftwareVersion: r.entry.SoftwareVersion,
			Draining: r.entry.Draining || r.draining, Held: r.isHeld(), Evacuated: b.evacuated[r.entry.DataCentre],
			PausedMS: max(r.pausedUntil.Sub(now).Milliseconds(), 0), InFlight: r.inFlight, PendingPromptTokens: r.pendingTokens,
			Running: r.reportedLoad.Running, Waiting: r.reportedLoad.Waiting,
			ReportAgeMS: now.Sub(r.reportedAt).Milliseconds(), Ejected: now.Before(r.ejectedUntil),
		})
	}
	return out
}

func (b *Balancer) ids() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.byID))
	for id := range b.byID {
		out = append(out, id)
	}
	return out
}

func (b *Balancer) removeLocked(r *Runner, now time.Time) {
	r.removed, r.removedAt = true, now
	b.removed[r.entry.ID] = removedEntry{entry: r.entry, removedAt: now, draining: r.draining}
	if b.byID[r.entry.ID] == r {
		delete(b.byID, r.entry.ID)
	}
	if b.byAddr[r.entry.Addr] == r {
		delete(b.byAddr, r.entry.Addr)
	}
	b.services[r.entry.Service] = slices.DeleteFunc(b.services[r.entry.Service], func(other *Runner) bool { return other == r })
	b.forgetVersion(r.entry.Service, r.entry.SoftwareVersion)
}

// Entries returns the entries of all runners in use, for other routers.
func (b *Balancer) Entries(now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Entry, 0, len(b.byID))
	for _, r := range b.byID {
		if b.isExpired(r, now) {
			continue
		}
		e := r.entry
		e.HoldRemaining = 0
		if r.isHeld() {
			e.HoldRemaining = b.holdRemaining(r, now)
		}
		out = append(out, e)
	}
	return out
}

// Digest returns a hash of the entries in use. It leaves out Seq and the remaining durations, so it
// is equal at two routers that use the same runners, whenever the entries were written. Of a
// warm-up it includes whether the entry tells of one.
func (b *Balancer) Digest(now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum uint64
	for _, r := range b.byID {
		if b.isExpired(r, now) {
			continue
		}
		e := &r.entry
		// Addition makes the digest independent of the order of the entries.
		sum += xxhash.Sum64String(strings.Join([]string{
			e.ID, e.Service, e.Addr, e.DataCentre, strconv.FormatInt(e.StartMillis, 10), strconv.Itoa(e.Slots),
			e.SoftwareVersion, strconv.FormatBool(e.Draining), strconv.FormatBool(r.isHeld()), strconv.FormatBool(e.WarmupRemaining > 0),
		}, "\x00"))
	}
	return sum
}
