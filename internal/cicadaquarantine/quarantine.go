// Package cicadaquarantine recognises requests that crash runners, and keeps them away from
// runners.
//
// A request has traits that it shares with other requests, such as a part of its prompt. If
// runners crash, the requests that they were serving are suspects: one of them may be the cause. A
// trait is cleared by a request that has it and is answered after the crash. A trait is
// quarantined once Threshold incidents, none of which it is cleared of, can be explained by it and
// by nothing else: for probationPeriod, and with more incidents for blockTTL. Invariants:
//
//   - An incident is what happens within incidentWindow. If most of the runners that crash in it
//     were not serving a trait, the trait does not explain it. So runners that crash together for a
//     common reason, as at a loss of power, put no trait in quarantine.
//   - All requests at a runner are suspects. Those that wait beside others whose answers had just begun
//     need one incident more: they may crash runners before they are answered, or be there by chance.
//   - A trait that explains a crash takes it from all others. A sound trait that often occurs
//     together with a harmful one is not quarantined for its crashes.
//   - Traits that only ever occur together cannot be told apart. Requests that have all of them are
//     refused; those that have some are served, and thereby tell the traits apart.
//   - The quarantine is a function of the evidence. Routers that have the same evidence refuse the
//     same requests, in whatever order it arrived.
//
// Each router reports its evidence to all others (Report, Merge). Times are those of a clock that
// all routers share. The package does no I/O and reads no clock. A Quarantine is safe for
// concurrent use.
package cicadaquarantine

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultThreshold is the number of incidents from which on a trait is quarantined. With that many
	// it is so for probationPeriod only: two crashes may be chance. A request that crashes a runner
	// afterwards adds a third incident.
	defaultThreshold = 2
	probationPeriod  = time.Minute
	// incidentWindow is the length of an incident. Routers notice the end of a runner's connections
	// within it, and their clocks differ by less.
	incidentWindow = 250 * time.Millisecond
	// crashTTL is how long a crash is kept that does not support a quarantine, and blockTTL one that
	// does.
	crashTTL = 10 * time.Minute
	blockTTL = 24 * time.Hour
	// answerTTL is how long answers are remembered. The report of a crash by another router arrives
	// within that time if the store can be reached.
	answerTTL = 15 * time.Second
	// maxCrashes bounds the crashes that are kept, maxSuspects the suspects of one crash, and
	// maxTraits the traits of a suspect. Further ones are dropped, the oldest crashes first.
	maxCrashes  = 256
	maxSuspects = 32
	maxTraits   = 64
	// maxTraitBytes bounds the length of a trait. Longer ones are ignored.
	maxTraitBytes = 80
	// maxSuspectBytes bounds the traits of one crash, of each kind of suspects.
	maxSuspectBytes = 8 << 10
	// maxReportBytes bounds the traits in a report, so that it fits into a row of the store, which
	// takes 64 KB. Of the crashes and clearances beyond it, the newest are reported.
	maxReportBytes = 32 << 10
	// crashBytes is the size of a crash without its suspects.
	crashBytes = 64
	// maxClearances bounds the clearances that are kept. The oldest are dropped.
	maxClearances = 2048
	// maxAnswers bounds the traits whose last answer is remembered.
	maxAnswers = 8192
)

type (
	// Trait is a property of a request that other requests may share.
	Trait string

	// Suspect holds the traits of a request that a runner was serving when it crashed.
	Suspect []Trait

	// Suspects are the suspects of one crash. A runner is more likely to crash over a request that it
	// has just begun to answer than over one that is waiting or whose prompt it is still reading.
	// Therefore the latter need more incidents if there are some of the former.
	Suspects struct {
		Begun   []Suspect `json:"begun,omitempty"`   // the answer had just begun
		Waiting []Suspect `json:"waiting,omitempty"` // the answer had not begun
	}

	// Crash is the crash of a runner as seen by one or more routers.
	Crash struct {
		Runner   string `json:"runner"`   // identifies one start of the runner, see Process
		AtMillis int64  `json:"atMillis"` // shared time in milliseconds
		Suspects
	}

	// Report is the evidence of one router.
	Report struct {
		Crashes []Crash `json:"crashes,omitempty"`
		// Cleared holds, for each trait that another router suspects, the shared time in milliseconds
		// at which an answer to a request with the trait began.
		Cleared map[Trait]int64 `json:"cleared,omitempty"`
	}

	// Block is a set of traits in quarantine. Requests that have all of them are refused.
	Block struct {
		Traits []Trait `json:"traits"`
		// Runners are the runners whose crashes support the block, the first crash first.
		Runners []string `json:"runners"`
		// FirstMillis and LastMillis are the shared times of the first and the last of these crashes.
		FirstMillis int64 `json:"firstMillis"`
		LastMillis  int64 `json:"lastMillis"`
		// UntilMillis is the shared time at which the block ends.
		UntilMillis int64 `json:"untilMillis"`
	}

	// Config configures a Quarantine. The zero value is a valid configuration.
	Config struct {
		// Threshold is the number of incidents from which on a trait is quarantined; zero for 2.
		Threshold int
	}

	// Quarantine holds the evidence and what follows from it.
	Quarantine struct {
		cfg Config
		// blocks is replaced whenever the evidence changes.
		blocks atomic.Pointer[[]Block]

		mu      sync.Mutex              // guards the fields below
		crashes map[string]*crash       // by process
		cleared map[Trait]clearance     // of crashes before a time
		answers map[Trait]time.Duration // start of the last answer seen by this router
		broken  map[string]brokenRunner // by process; those that are not known to have crashed
	}

	// crash is a crash with the evidence of all routers.
	crash struct {
		at    time.Duration
		own   Suspects // reported by this router
		isOwn bool     // this router reports the crash, even if it has no suspects
		// ownReported is set once a report of this router had the crash.
		ownReported bool
		suspects    Suspects // of all routers
	}

	// clearance states that answers to requests with a trait began at a time.
	clearance struct {
		at     time.Duration // latest known
		others time.Duration // latest in the reports of other routers
		// reported is set once a report of this router had it. All later ones have it too, as other
		// routers rely on it.
		reported bool
	}
)

// New returns a Quarantine without evidence.
func New(cfg Config) *Quarantine {
	if cfg.Threshold == 0 {
		cfg.Threshold = defaultThreshold
	}
	q := &Quarantine{cfg: cfg, crashes: map[string]*crash{}, cleared: map[Trait]clearance{}, answers: map[Trait]time.Duration{}, broken: map[string]brokenRunner{}}
	q.blocks.Store(&[]Block{})
	return q
}

// HasEvidence reports whether any crash is known.
func (q *Quarantine) HasEvidence() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.crashes) > 0
}

// HasBlocks reports whether anything has been put in quarantine.
func (q *Quarantine) HasBlocks() bool { return len(*q.blocks.Load()) > 0 }

// Match returns the block that applies to a request with the given traits at a shared time, if
// there is one.
func (q *Quarantine) Match(traits []Trait, now time.Duration) (Block, bool) {
	for _, b := range *q.blocks.Load() {
		if b.appliesAt(now) && b.matches(traits) {
			return b, true
		}
	}
	return Block{}, false
}

// Blocks returns the blocks that apply at a shared time, in the order of their first crashes.
func (q *Quarantine) Blocks(now time.Duration) []Block {
	return slices.DeleteFunc(slices.Clone(*q.blocks.Load()), func(b Block) bool { return !b.appliesAt(now) })
}

// BlockOf returns the block that has a trait at a shared time, if there is one.
func (q *Quarantine) BlockOf(t Trait, now time.Duration) (Block, bool) {
	for _, b := range q.Blocks(now) {
		if slices.Contains(b.Traits, t) {
			return b, true
		}
	}
	return Block{}, false
}

func (b *Block) appliesAt(now time.Duration) bool { return now.Milliseconds() < b.UntilMillis }

func (b *Block) matches(traits []Trait) bool {
	return !slices.ContainsFunc(b.Traits, func(t Trait) bool { return !slices.Contains(traits, t) })
}

// String returns the traits of the block.
func (b *Block) String() string {
	names := make([]string, len(b.Traits))
	for i, t := range b.Traits {
		names[i] = string(t)
	}
	return strings.Join(names, "+")
}

// RecordCrash records that a process of a runner crashed at a shared time while it served the suspects.
func (q *Quarantine) RecordCrash(process string, at time.Duration, suspects Suspects) {
	q.mu.Lock()
	defer q.mu.Unlock()
	suspects = Suspects{Begun: q.likeliestFirst(suspects.Begun), Waiting: q.likeliestFirst(suspects.Waiting)}
	if b, ok := q.broken[process]; ok && at-b.at > incidentWindow {
		delete(q.broken, process) // the process has lived on after that
	}
	c := q.crashOf(process, at)
	c.isOwn = true
	c.own.add(&suspects)
	c.suspects.add(&suspects)
	q.applyAnswers(c.suspects.all())
	q.update(at)
}

// likeliestFirst moves the traits that were answered lately to the end of each suspect, of which the
// first maxTraits are kept.
func (q *Quarantine) likeliestFirst(list []Suspect) []Suspect {
	out := make([]Suspect, len(list))
	for i, s := range list {
		out[i] = slices.Clone(s)
		slices.SortStableFunc(out[i], func(a, b Trait) int { return cmp.Compare(q.answers[a], q.answers[b]) })
	}
	return out
}

// RecordAnswer records that the answer to a request with the given traits began at a shared time
// and is complete, or has been going on since. It reports whether this router's report has changed.
func (q *Quarantine) RecordAnswer(traits []Trait, began time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range traits {
		if len(q.answers) >= maxAnswers {
			q.forgetAnswers(began)
		}
		q.answers[t] = max(q.answers[t], began)
	}
	if len(q.crashes) == 0 {
		return false
	}
	cleared, mustReport := q.applyAnswers([]Suspect{traits})
	if cleared {
		q.update(began)
	}
	return mustReport
}

// forgetAnswers removes answers older than answerTTL, and all if there are too many younger ones.
func (q *Quarantine) forgetAnswers(now time.Duration) {
	for t, began := range q.answers {
		if now-began > answerTTL {
			delete(q.answers, t)
		}
	}
	if len(q.answers) >= maxAnswers {
		clear(q.answers)
	}
}

// applyAnswers clears the traits of suspects that were answered after they had been suspected. It
// reports whether there are any, and whether other routers have to be told.
func (q *Quarantine) applyAnswers(suspects []Suspect) (cleared, mustReport bool) {
	for _, s := range suspects {
		for _, t := range s {
			began, ok := q.answers[t]
			if !ok || !q.isSuspected(t, q.cleared[t].at, began) {
				continue
			}
			c := q.cleared[t]
			c.at = began
			q.cleared[t] = c
			cleared, mustReport = true, mustReport || q.isReported(t)
		}
	}
	return cleared, mustReport
}

// isSuspected reports whether t is a suspect in a crash within [from, to).
func (q *Quarantine) isSuspected(t Trait, from, to time.Duration) bool {
	for _, c := range q.crashes {
		if c.at >= from && c.at < to && c.suspects.has(t) {
			return true
		}
	}
	return false
}

// isReported reports whether a router has reported t as a suspect.
func (q *Quarantine) isReported(t Trait) bool {
	for _, c := range q.crashes {
		if c.suspects.has(t) && (c.ownReported || !c.own.has(t)) {
			return true
		}
	}
	return false
}

// crashOf returns the crash of a process, and adds it if it is not known.
func (q *Quarantine) crashOf(process string, at time.Duration) *crash {
	c := q.crashes[process]
	if c == nil {
		c = &crash{at: at}
		q.crashes[process] = c
	}
	c.at = min(c.at, at)
	return c
}
