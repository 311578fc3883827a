package cicadaedge

import (
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
)

const (
	// maxTriesLogged bounds the tries in a log line.
	maxTriesLogged = 8

	// The values of tryRecord.Framing.
	framingNone       = "none" // there is no body
	framingLength     = "length"
	framingChunks     = "chunks"
	framingConnection = "connection" // the body ends with its connection
)

// tryRecord is one runner's part in a request.
type tryRecord struct {
	Runner string `json:"runner"`
	Relay  string `json:"relay,omitempty"` // router that the connection went through
	Sent   bool   `json:"sent"`            // the request may have reached the runner
	Status int    `json:"status,omitempty"`
	// Framing is how the response tells where it ends: one of the constants below.
	Framing string `json:"framing,omitempty"`
	// EndProof is why a response that ends with its connection counts as complete.
	EndProof string `json:"endProof,omitempty"`
	Events   int64  `json:"events,omitempty"` // that were forwarded
	Millis   int64  `json:"millis"`           // from the choice of the runner to the end of the try
	Cause    string `json:"cause,omitempty"`  // of its failure

	startedAt time.Time
}

// beginTry records that a runner was chosen.
func (q *request) beginTry(runner string) {
	if len(q.tries) == maxTriesLogged {
		q.tries, q.unlogged = slices.Delete(q.tries, maxTriesLogged-1, maxTriesLogged), q.unlogged+1
	}
	q.tries = append(q.tries, tryRecord{Runner: runner, startedAt: time.Now()})
}

// currentTry returns the record of the last runner that was chosen.
func (q *request) currentTry() *tryRecord { return &q.tries[len(q.tries)-1] }

// endTry records how the last try ended. A try that is retried or fails has a cause.
func (q *request) endTry(eventsBefore int64, res *result) {
	t := q.currentTry()
	t.Millis, t.Events = time.Since(t.startedAt).Milliseconds(), q.eventsSent-eventsBefore
	switch {
	case res.callerGone:
		t.Cause = "the caller left"
	case res.abortErr != nil:
		t.Cause = res.abortErr.Error()
	case res.refusal != nil:
		t.Cause = res.refusal.detail
	}
}

// addTries adds the tries of a request that was sent more than once or failed, or whose response ended
// with its connection. Those of all others say nothing more than the rest of the line.
func (q *request) addTries(f log.Fields) {
	if len(q.tries) > 1 || q.cause != nil || len(q.tries) == 1 && q.tries[0].Framing == framingConnection {
		f["tries"] = q.tries
	}
	if q.unlogged > 0 {
		f["triesLeftOut"] = q.unlogged
	}
}

// framing returns how a response tells where it ends.
func framing(resp *http.Response) string {
	switch {
	case resp.Body == http.NoBody:
		return framingNone
	case resp.ContentLength >= 0:
		return framingLength
	case cicadacrash.EndsAtClose(resp):
		return framingConnection
	default:
		return framingChunks
	}
}
