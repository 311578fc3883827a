package cicadaedge

import (
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
)

// requestRecord collects what the log line of a request states beside its outcome.
type requestRecord struct {
	bodyWait       time.Duration // until the body had arrived
	unitsWait      time.Duration // for units of the budget
	sentAt         time.Time     // when the request was first sent to a runner
	runnerID       string        // last runner
	relay          string        // router that the last attempt went through; empty for none
	estimateMillis float64
	cachedTokens   int
	firstEvent     firstEventRecord // of the last runner
	runnerRate     float64          // rate limit known of the runner, if any
	runnerLimited  bool
	headerAt       time.Time // when the last runner began to answer; zero if it did not
	firstByteAt    time.Time
	lastEventAt    time.Time // time of the last event
	// longestGap is the longest time between two events of a stream.
	longestGap time.Duration
	pausedFor  time.Duration           // longest time for which this process did not run while it waited for a runner
	cause      error                   // of the last failed attempt
	tries      []tryRecord             // in the order in which runners were chosen, at most maxTriesLogged
	unlogged   int                     // tries beyond these
	status     int                     // that was forwarded to the caller; zero if none was
	block      *cicadaquarantine.Block // that ended the request; nil for none
	streamRuns []streamRun             // in the order of their events
	// originSource is set if the caller takes up a stream.
	originSource originSource
}

// streamRun is a run of a stream from which the caller got events.
type streamRun struct {
	Runner          string `json:"runner"`
	SoftwareVersion string `json:"software"`
	LastEventID     string `json:"after"` // id of the last event before those of this run; empty for the first
}

const (
	// maxPartsLogged bounds the prompt parts in a log line.
	maxPartsLogged = 16
	// maxIDLogged bounds an id that the caller set in a log line, in bytes.
	maxIDLogged = 64
)

// sharedParts returns the parts that other requests may share, which are all but the last one.
func sharedParts(parts []cicadaplace.Part) []cicadaplace.Part { return parts[:max(len(parts)-1, 0)] }

// sharedPartIDs returns the ids of the first maxPartsLogged shared parts.
func sharedPartIDs(parts []cicadaplace.Part) []string {
	ids := []string{}
	for _, part := range sharedParts(parts) {
		if len(ids) < maxPartsLogged {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// logRequest writes the log line of a request and counts its outcome.
func (rt *Router) logRequest(q *request, res *result, status int) {
	now := time.Now()
	outcome := "answered"
	switch {
	case res.refusal != nil:
		outcome = string(res.refusal.kind)
	case res.callerGone:
		outcome = "callerLeft"
	case res.abortErr != nil:
		outcome = "cut"
	}
	rt.cfg.Metrics.Requests.Add(outcome, 1)
	rt.cfg.Metrics.Total.Record(now.Sub(q.arrivedAt))
	if q.attempts > 1 {
		rt.cfg.Metrics.Retried.Add(int64(q.attempts - 1))
	}
	f := log.Fields{
		"requestId": q.info.ID, "outcome": outcome, "status": status, "millis": now.Sub(q.arrivedAt).Milliseconds(),
		"attempts": q.attempts, "runner": q.runnerID, "units": int64(q.reserved), "usedUnits": int64(q.used), "events": q.eventsSent,
		"estimateMillis": int64(q.estimateMillis), "cachedTokens": q.cachedTokens, "promptTokens": q.info.PromptTokens,
		"bodyMillis": q.bodyWait.Milliseconds(),
	}
	if q.deployment != nil {
		f["version"] = q.deployment.Version()
		f["deployAgeMillis"] = rt.deploymentAge(now).Milliseconds()
	}
	if q.route != nil {
		f["route"] = q.route.Name
	}
	if q.relay != "" {
		f["relay"] = q.relay
	}
	if q.runnerLimited {
		f["runnerRate"] = q.runnerRate
	}
	if q.org != nil {
		f["organisation"] = q.org.Name
	}
	if q.unitsWait > 0 {
		f["unitsMillis"] = q.unitsWait.Milliseconds()
	}
	if !q.sentAt.IsZero() {
		f["sentMillis"] = q.sentAt.Sub(q.arrivedAt).Milliseconds()
	}
	if !q.firstByteAt.IsZero() {
		rt.cfg.Metrics.FirstByte.Record(q.firstByteAt.Sub(q.arrivedAt))
		f["firstMillis"] = q.firstByteAt.Sub(q.arrivedAt).Milliseconds()
		f["longestPauseMillis"] = q.longestGap.Milliseconds()
	}
	if q.pausedFor > 0 {
		f["pausedMillis"] = q.pausedFor.Milliseconds()
	}
	if res.refusal != nil {
		f["detail"] = res.refusal.detail
	}
	if res.abortErr != nil {
		f["cut"] = res.abortErr.Error()
	}
	q.addStream(f)
	q.addFailure(f, now)
	rt.cfg.Log.WithFields(f).Info("request")
}

// addStream adds when the first event of a stream came, which runs its events came from, and which stream the
// caller has taken up.
func (q *request) addStream(f log.Fields) {
	q.firstEvent.addTo(f)
	if version := q.requiredVersion(); version != "" {
		f["software"] = version
	}
	if q.originSource != "" {
		f["originSource"] = q.originSource
	}
	if len(q.streamRuns) > 1 {
		f["runs"] = q.streamRuns
	}
	if q.info.LastEventID != "" || q.info.FirstRequestID != "" {
		f["after"], f["firstRequest"] = truncate(q.info.LastEventID, maxIDLogged), truncate(q.info.FirstRequestID, maxIDLogged)
	}
}

func truncate(text string, limit int) string { return text[:min(len(text), limit)] }

// addFailure adds the tries, why the last attempt failed, and why the request is in quarantine.
func (q *request) addFailure(f log.Fields, now time.Time) {
	q.addTries(f)
	if q.cause != nil {
		f["cause"] = q.cause.Error()
		f["parts"] = sharedPartIDs(q.info.PromptParts)
		if !q.headerAt.IsZero() {
			f["answerMillis"] = now.Sub(q.headerAt).Milliseconds()
		}
	}
	if q.block != nil {
		f["quarantine"], f["crashes"] = q.block.Traits, len(q.block.Runners)
	}
}
