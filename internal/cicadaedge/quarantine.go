package cicadaedge

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// tableCrashes has one row per router: its cicadaquarantine.Report.
	tableCrashes = "crashes"
	// crashMaxWait is how long one call waits for changes of tableCrashes, which are rare.
	// crashInterval is the time between two calls; it merges the reports of one crash.
	crashMaxWait  = 4 * time.Second
	crashInterval = 200 * time.Millisecond
	// crashReportDelay is the time between a crash and its report. In it, most traits are cleared by
	// other answers and need no report.
	crashReportDelay = 300 * time.Millisecond
	// crashReportStagger is the delay from one router's report to the next one's, on average. Routers
	// do not repeat what they learn from others in the meantime.
	crashReportStagger = 4 * time.Millisecond
	// soundAnswerPeriod is how long after its begin an answer shows that its request crashes no
	// runner.
	soundAnswerPeriod = time.Second
	// maxTraitIDBytes bounds the id in a trait. It is the length of a hash.
	maxTraitIDBytes = 2 * sha256.Size
	// partTraitPrefix begins the trait of requests that share a prompt part.
	partTraitPrefix = "part:"
	// requestTraitPrefix begins the trait of equal requests. The first requestHashBytes of their hash
	// follow.
	requestTraitPrefix = "request:"
	requestHashBytes   = 16
)

var errQuarantined = errors.New("requests like this one crash runners")

// traits returns the traits by which the request may be put in quarantine: the parts of its prompt
// that other requests may share and, while crashes are known, the request itself.
func (q *request) traits() []cicadaquarantine.Trait {
	if !q.rt.quarantine.HasEvidence() {
		return q.partTraits()
	}
	return q.allTraits()
}

func (q *request) partTraits() []cicadaquarantine.Trait {
	var out []cicadaquarantine.Trait
	for _, part := range sharedParts(q.info.PromptParts) {
		out = append(out, partTraitPrefix+cicadaquarantine.Trait(boundedID(part.ID)))
	}
	return out
}

func (q *request) allTraits() []cicadaquarantine.Trait {
	if q.requestTrait == "" {
		q.requestTrait = q.hash()
	}
	// The first traits are kept if there are many.
	return append([]cicadaquarantine.Trait{q.requestTrait}, q.partTraits()...)
}

// hash returns the trait of requests that equal this one: with the same organisation, method, host,
// path and body. Hashing takes some microseconds, so it is not computed for each request.
func (q *request) hash() cicadaquarantine.Trait {
	h := sha256.New()
	org := ""
	if q.org != nil {
		org = q.org.Name
	}
	for _, field := range []string{org, q.r.Method, q.r.Host, q.r.RequestURI, string(q.body)} {
		fmt.Fprintf(h, "%d %s", len(field), field)
	}
	return requestTraitPrefix + cicadaquarantine.Trait(hex.EncodeToString(h.Sum(nil)[:requestHashBytes]))
}

// boundedID replaces a long id by its hash.
func boundedID(id string) string {
	if len(id) <= maxTraitIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}

// isSuspected reports whether the request was at a runner whose connections broke for a reason that is not known.
// Then the next runner that it is sent to is watched more closely: the end of a spare connection shows a crash.
func (q *request) isSuspected() bool {
	return q.rt.quarantine.HasBreaks() && q.rt.quarantine.IsBreakSuspect(q.allTraits()[0], q.rt.sharedTime())
}

// quarantineRefusal returns a refusal if the request is in quarantine. It has no time to retry
// after, because the quarantine lasts much longer than callers wait.
func (q *request) quarantineRefusal() *refusal {
	b, ok := q.matchingBlock()
	if !ok {
		return nil
	}
	q.rt.cfg.Metrics.Quarantined.Add(1)
	q.block = &b
	return &refusal{kind: RefuseQuarantined, detail: errQuarantined.Error()}
}

// matchingBlock returns the block that applies to the request, if there is one.
func (q *request) matchingBlock() (cicadaquarantine.Block, bool) {
	if !q.rt.quarantine.HasBlocks() {
		return cicadaquarantine.Block{}, false
	}
	return q.rt.quarantine.Match(q.allTraits(), q.rt.sharedTime())
}

// sharedTime returns the shared time of crashes, or zero if it is not known.
func (rt *Router) sharedTime() time.Duration {
	now, _ := rt.crashTime(time.Now())
	return now
}

// crashTime returns the shared time of crashes and answers at a local time. It returns false if neither the
// store nor another router has told it. A router that does not reach the store has its time from others.
func (rt *Router) crashTime(local time.Time) (time.Duration, bool) {
	if shared, ok := rt.clock.SharedTime(local); ok {
		return shared, true
	}
	return rt.peerClock.SharedTime(local)
}

// checkRunner finds out whether the runner of an attempt whose connection ended has crashed, and records it.
// It calls onResult with the outcome, which is nil if the runner accepts connections. cause is why the
// connection ended, or nil.
func (x *exchange) checkRunner(p *placement, cause error, onResult ...func(err error)) {
	b := &cicadacrash.Broken{
		At: time.Now(), RequestIDs: []string{x.info.ID}, Relayed: x.relay != "", TimedOut: errors.Is(cause, syscall.ETIMEDOUT), OnResult: onResult,
	}
	if x.conn != nil {
		b.AcceptedAt = x.conn.establishedAt
	}
	suspect := []cicadaquarantine.Suspect{x.allTraits()}
	switch {
	case x.rt.isLeaving(p.Runner(), b.At):
		if b.Leaving = true; len(onResult) == 0 {
			return
		}
	case x.headerAt.IsZero():
		b.Suspects.Waiting = suspect
	case b.At.Sub(x.headerAt) < soundAnswerPeriod:
		b.Suspects.Begun = suspect
	}
	x.rt.crashDetector.Add(p.Runner(), b)
}

// confirmEnd returns an error if a response that ends with its connection may not be complete: the
// connections of a runner whose process is gone end in the same way. It records a complete response.
func (x *exchange) confirmEnd(a *attempt) error {
	if !cicadacrash.EndsAtClose(a.resp) {
		if a.resp.StatusCode < http.StatusBadRequest {
			x.recordAnswer()
		}
		return nil
	}
	ctx := a.resp.Request.Context()
	// The end of the other connections may be lost on the way. Then new ones are still refused.
	if err := x.awaitCheck(ctx, a); err != nil {
		return err
	}
	proof := endProofWitness
	if a.conn == nil || !a.conn.conns.outlived(a.conn) {
		if err := x.awaitStatement(ctx, a); err != nil {
			return &uncertainEndError{cause: errors.WithMessage(err, noWitness)}
		}
		proof = endProofStatement
	}
	x.currentTry().EndProof = proof
	return nil
}

// awaitCheck finds out whether the runner has crashed. If it accepts connections, the request has not
// crashed it, whether its response was complete or not.
func (x *exchange) awaitCheck(ctx context.Context, a *attempt) error {
	traits, began := x.traits(), x.headerAt
	result := make(chan error, 1)
	x.checkRunner(a.placement, nil, func(err error) {
		if err == nil && a.resp.StatusCode < http.StatusBadRequest {
			x.rt.recordAnswer(traits, began)
		}
		result <- err
	})
	select {
	case err := <-result:
		if err != nil {
			return &uncertainEndError{cause: err}
		}
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// recordAnswer records that the request was answered without crashing its runner.
func (x *exchange) recordAnswer() {
	if x.answerRecorded {
		return
	}
	x.answerRecorded = true
	x.rt.recordAnswer(x.traits(), x.headerAt)
}

func (rt *Router) recordAnswer(traits []cicadaquarantine.Trait, began time.Time) {
	at, ok := rt.crashTime(began)
	if ok && rt.quarantine.RecordAnswer(traits, at) {
		rt.crashSignal.send()
	}
}

// applyCrashes applies changed reports of crashes, of this router's earlier processes too.
func (rt *Router) applyCrashes(b cicadastore.ChangeBatch, full bool, now time.Time) {
	shared, ok := rt.clock.SharedTime(now)
	var reports []cicadaquarantine.Report
	for i := range b.Changes {
		c := &b.Changes[i]
		if c.Deleted {
			continue
		}
		var report cicadaquarantine.Report
		if err := json.Unmarshal(c.Value, &report); err != nil || !ok {
			rt.cfg.Metrics.Errors.Add("crashesUnreadable", 1)
			rt.cfg.Log.WithField("router", c.Key).WithField("clockKnown", ok).WithError(err).Error("failed to read a router's crashes")
			continue
		}
		if c.Key == rt.cfg.Name {
			rt.quarantine.Restore(&report, shared)
			continue
		}
		reports = append(reports, report)
	}
	if rt.quarantine.Merge(reports, shared) {
		rt.crashSignal.send()
	}
	rt.logBlocks()
	if full {
		// The store may have been restored, or may not have this router's row yet.
		rt.quarantineLoaded.Store(true)
		rt.crashRowRead.Store(true)
		rt.crashSignal.send()
	}
}

// knownCrashes returns the evidence of all routers and its digest.
func (rt *Router) knownCrashes() (cicadaquarantine.Report, uint64) {
	evidence := rt.quarantine.Evidence()
	data, err := json.Marshal(evidence)
	if err != nil {
		rt.cfg.Log.WithError(err).Error("failed to encode the known crashes")
	}
	return evidence, xxhash.Sum64(data)
}

// applyPeerCrashes merges the crashes that another router knows.
func (rt *Router) applyPeerCrashes(reply *viewReply) {
	if crashes := reply.Crashes; crashes != nil {
		latest := time.Duration(crashes.LatestMillis()) * time.Millisecond
		if rt.quarantine.Merge([]cicadaquarantine.Report{*crashes}, max(rt.sharedTime(), latest)) {
			rt.crashSignal.send()
		}
		rt.logBlocks()
	}
	if !reply.CrashesPending {
		rt.quarantineLoaded.Store(true)
	}
}

// logBlocks logs the blocks that have begun or ended since the last call. It is called when the
// evidence changes and when the store has answered, so at least every crashMaxWait.
func (rt *Router) logBlocks() {
	rt.blocksMu.Lock()
	defer rt.blocksMu.Unlock()
	before := rt.loggedBlocks
	rt.loggedBlocks = map[string]bool{}
	for _, b := range rt.quarantine.Blocks(rt.sharedTime()) {
		name := b.String()
		rt.loggedBlocks[name] = true
		if !before[name] {
			rt.cfg.Log.WithField("traits", b.Traits).WithField("runners", b.Runners).WithField("firstMillis", b.FirstMillis).
				WithField("lastMillis", b.LastMillis).WithField("untilMillis", b.UntilMillis).Warn("requests put in quarantine: they crash runners")
		}
		delete(before, name)
	}
	for name := range before {
		rt.cfg.Log.WithField("traits", name).Info("quarantine ended")
	}
	rt.cfg.Metrics.Blocks.Set(int64(len(rt.loggedBlocks)))
}

// reportCrashes writes this router's crashes when they have changed, until ctx ends.
func (rt *Router) reportCrashes(ctx context.Context) {
	ref := cicadastore.Ref{Table: tableCrashes, Key: rt.cfg.Name}
	var written []byte
	var writtenEra uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-rt.crashSignal:
		}
		sleep(ctx, crashReportDelay+rand.N(time.Duration(rt.peers.count())*crashReportStagger))
		if !rt.crashRowRead.Load() {
			// The row may hold crashes that an earlier process saw.
			continue
		}
		report := rt.quarantine.Report()
		value, err := json.Marshal(report)
		if err != nil {
			rt.cfg.Log.WithError(err).Error("failed to encode this router's crashes")
			return
		}
		era := rt.crashEra.Load()
		if written == nil && report.IsEmpty() || bytes.Equal(value, written) && era == writtenEra {
			continue
		}
		if _, err := rt.cfg.Store.Commit(ctx, cicadastore.Txn{Writes: []cicadastore.Write{{Ref: ref, Value: value}}}); err != nil {
			rt.cfg.Log.WithError(err).Info("failed to write this router's crashes; retrying")
			sleep(ctx, announceRetryDelay)
			rt.crashSignal.send()
			continue
		}
		written, writtenEra = value, era
	}
}

// rewriteCrashes writes this router's crashes again, because the store may have lost them, and what
// others reported, because they may have ended since.
func (rt *Router) rewriteCrashes() {
	rt.quarantine.Adopt()
	rt.crashEra.Add(1)
	rt.crashSignal.send()
}
