package cicadarouter

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/pkg/errors"
)

const (
	// messageTraitPrefix begins the trait of requests that share a message of their prompts, and
	// requestTraitPrefix that of equal requests. A digest of traitDigestBytes follows.
	messageTraitPrefix = "message:"
	requestTraitPrefix = "request:"
	traitDigestBytes   = 16
	// soundAnswerPeriod is how long after its begin an answer shows that its request crashes no runner.
	soundAnswerPeriod = time.Second
	// crashDialTimeout limits the dials by which a router finds out whether a runner has crashed.
	crashDialTimeout = 400 * time.Millisecond
	// maxControlRunners is the number of other runners that are dialled to find out whether a refused
	// connection is due to the runner or to the network.
	maxControlRunners = 2
	// minUptime is less than a runner needs to start, and to crash once more.
	minUptime        = time.Second
	crashIDSeparator = "@"
)

// attemptProgress is what is known of the answer to the current attempt.
type attemptProgress struct {
	answerBegan time.Time // zero until its header has arrived
	checked     bool      // the runner is being checked, as the answer broke off
	recorded    bool      // as an answer that did not crash its runner
}

// traits returns the traits by which the request may be put in quarantine: itself, and the messages of
// its prompt that other requests may share.
func (ar *activeRequest) traits() []cicadaquarantine.Trait {
	if ar.traitList != nil {
		return ar.traitList
	}
	target := ar.httpReq.Method + " " + ar.httpReq.URL.RequestURI()
	ar.traitList = []cicadaquarantine.Trait{
		requestTraitPrefix + cicadaquarantine.Trait(digest(traitDigestBytes, ar.svc.Name(), ar.org.Name, target, string(ar.body))),
	}
	for _, m := range ar.sharedMessages {
		ar.traitList = append(ar.traitList, messageTraitPrefix+cicadaquarantine.Trait(digest(traitDigestBytes, string(m))))
	}
	return ar.traitList
}

// setMessages records the messages of a prompt. The last one belongs to the request itself.
func (ar *activeRequest) setMessages(messages []json.RawMessage) {
	ar.sharedMessages = messages[:len(messages)-1]
}

// quarantineRefusal returns a refusal if the request is in quarantine.
func (ar *activeRequest) quarantineRefusal(ran cicadarefusal.RunStatus) *cicadarefusal.Refusal {
	if !ar.r.quarantine.HasBlocks() {
		return nil
	}
	b, ok := ar.r.quarantine.Match(ar.traits(), sharedTime(time.Now()))
	if !ok {
		return nil
	}
	return cicadarefusal.New(cicadarefusal.Quarantined, ran, "%s crashed %d runners, the last at %s",
		b.String(), len(b.Runners), time.UnixMilli(b.LastMillis).UTC().Format(time.RFC3339))
}

// answerBegins records that the header of a response arrived.
func (ar *activeRequest) answerBegins() { ar.progress.answerBegan = time.Now() }

// recordAnswer records that the request was answered without crashing its runner.
func (ar *activeRequest) recordAnswer() {
	if ar.progress.recorded || ar.progress.answerBegan.IsZero() {
		return
	}
	ar.progress.recorded = true
	ar.r.quarantine.RecordAnswer(ar.traits(), sharedTime(ar.progress.answerBegan))
}

// recordGoingAnswer records the answer once it has gone on for long enough.
func (ar *activeRequest) recordGoingAnswer() {
	if time.Since(ar.progress.answerBegan) >= soundAnswerPeriod {
		ar.recordAnswer()
	}
}

// checkRunner finds out whether a runner has crashed whose response to the request has just ended.
func (ar *activeRequest) checkRunner(addr string) {
	if ar.progress.checked {
		return
	}
	ar.progress.checked = true
	brokeAt := time.Now()
	suspect := []cicadaquarantine.Suspect{ar.traits()}
	var suspects cicadaquarantine.Suspects
	switch began := ar.progress.answerBegan; {
	case began.IsZero():
		suspects.Waiting = suspect
	case brokeAt.Sub(began) < soundAnswerPeriod:
		suspects.Begun = suspect
	}
	ar.r.crashDetector.Add(addr, &cicadacrash.Broken{At: brokeAt, Suspects: suspects, RequestIDs: []string{ar.id}})
}

// sharedTime returns a time as it is recorded with crashes and answers: by this host's clock.
func sharedTime(t time.Time) time.Duration { return time.Duration(t.UnixMilli()) * time.Millisecond }

func (r *Router) runTask(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// checkBroken records the crash of a runner that refuses connections while other runners accept them.
func (r *Router) checkBroken(addr string, b *cicadacrash.Broken) {
	entry := r.cfg.Log.WithField("runner", addr).WithField("requestIds", b.RequestIDs)
	err := r.dialRunner(addr)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused || !r.reachesOtherRunners(addr) {
		entry.WithError(err).Info("responses of a runner ended, and it has not crashed")
		return
	}
	entry.WithField("suspects", b.Suspects).Info("runner crashed while it served requests")
	r.metrics.Router.Add("runnersCrashed", 1)
	r.quarantine.RecordCrash(crashID(addr, b.At), sharedTime(b.At), b.Suspects)
	r.logBlocks()
	r.fleet.SendHeartbeats()
}

// crashID names one start of a runner by the second in which it ended.
func crashID(addr string, at time.Time) string {
	return fmt.Sprintf("%s%s%d", addr, crashIDSeparator, at.Unix())
}

func crashedAddr(id string) string {
	addr, _, _ := strings.Cut(id, crashIDSeparator)
	return addr
}

func (r *Router) dialRunner(addr string) error {
	ctx, cancel := context.WithTimeout(r.ctx, crashDialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "dial runner")
	}
	return errors.Wrap(conn.Close(), "close connection to runner")
}

// reachesOtherRunners reports whether another runner accepts connections, or there is none.
func (r *Router) reachesOtherRunners(addr string) bool {
	r.tableMu.Lock()
	others := r.table.OtherRunners(addr, maxControlRunners)
	r.tableMu.Unlock()
	return len(others) == 0 || slices.ContainsFunc(others, func(other string) bool { return r.dialRunner(other) == nil })
}

// knownCrashes returns what all routers know of crashes. Routers that know the same have the same digest,
// though not the same clock.
func (r *Router) knownCrashes() cicadapeer.Crashes {
	if !r.quarantine.HasEvidence() {
		return cicadapeer.Crashes{}
	}
	evidence := r.quarantine.Evidence()
	data, err := json.Marshal(timeless(&evidence))
	if err != nil {
		r.cfg.Log.WithError(err).Error("failed to encode the known crashes")
		return cicadapeer.Crashes{}
	}
	return cicadapeer.Crashes{Digest: xxhash.Sum64(data), Evidence: &evidence}
}

// timeless returns evidence without times. Each clearance has the number of crashes before it instead.
func timeless(evidence *cicadaquarantine.Report) *cicadaquarantine.Report {
	out := &cicadaquarantine.Report{Cleared: map[cicadaquarantine.Trait]int64{}}
	for _, c := range evidence.Crashes {
		out.Crashes = append(out.Crashes, cicadaquarantine.Crash{Runner: crashedAddr(c.Runner), Suspects: c.Suspects})
		for t, millis := range evidence.Cleared {
			if c.AtMillis < millis {
				out.Cleared[t]++
			}
		}
	}
	return out
}

// mergeCrashes adds what a peer knows of crashes.
func (r *Router) mergeCrashes(evidence *cicadaquarantine.Report, clockAhead time.Duration) {
	local := r.localCrashes(evidence, clockAhead)
	r.quarantine.Merge([]cicadaquarantine.Report{*local}, sharedTime(time.Now()))
	r.logBlocks()
}

// localCrashes returns a peer's evidence by this host's clock. A crash that is known here keeps its name,
// as it would count as a further one otherwise.
func (r *Router) localCrashes(evidence *cicadaquarantine.Report, clockAhead time.Duration) *cicadaquarantine.Report {
	known := r.quarantine.Evidence().Crashes
	local := &cicadaquarantine.Report{Cleared: map[cicadaquarantine.Trait]int64{}}
	for t, millis := range evidence.Cleared {
		local.Cleared[t] = millis + clockAhead.Milliseconds()
	}
	for _, c := range evidence.Crashes {
		c.AtMillis += clockAhead.Milliseconds()
		addr := crashedAddr(c.Runner)
		i := slices.IndexFunc(known, func(k cicadaquarantine.Crash) bool {
			apart := time.Duration(k.AtMillis-c.AtMillis) * time.Millisecond
			return crashedAddr(k.Runner) == addr && apart.Abs() < minUptime
		})
		if c.Runner = crashID(addr, time.UnixMilli(c.AtMillis)); i >= 0 {
			c.Runner = known[i].Runner
		}
		local.Crashes = append(local.Crashes, c)
	}
	return local
}

// logBlocks logs the blocks that have begun or ended since the last call.
func (r *Router) logBlocks() {
	r.blocksMu.Lock()
	defer r.blocksMu.Unlock()
	before := r.loggedBlocks
	r.loggedBlocks = map[string]bool{}
	for _, b := range r.quarantine.Blocks(sharedTime(time.Now())) {
		name := b.String()
		r.loggedBlocks[name] = true
		if !before[name] {
			r.cfg.Log.WithField("traits", b.Traits).WithField("runners", b.Runners).WithField("untilMillis", b.UntilMillis).
				Warn("requests put in quarantine: they crash runners")
		}
		delete(before, name)
	}
	for name := range before {
		r.cfg.Log.WithField("traits", name).Info("quarantine ended")
	}
}

// serveLift ends the quarantine of a trait, once runners no longer crash over it.
func (r *Router) serveLift(w http.ResponseWriter, req *http.Request) {
	now := sharedTime(time.Now())
	trait := cicadaquarantine.Trait(req.PathValue("trait"))
	block, ok := r.quarantine.BlockOf(trait, now)
	if !ok {
		http.Error(w, fmt.Sprintf("trait %q is not in quarantine", trait), http.StatusNotFound)
		return
	}
	var lifted cicadaquarantine.Report
	lifted.Clear(r.quarantine.SuspectsOf(&block), now)
	r.mergeCrashes(&lifted, 0)
	r.cfg.Log.WithField("traits", block.Traits).Warn("an operator lifted the quarantine")
	r.fleet.SendHeartbeats()
	w.WriteHeader(http.StatusNoContent)
}
