package cicadaedge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// RefusalKind names why a router itself ends a request.
type RefusalKind string

// The kinds. A request that got one of those marked with (*) has not run and
// never will.
const (
	RefuseNoDeployment     RefusalKind = "noDeployment"    // (*) no configuration is known yet
	RefuseNoRoute          RefusalKind = "noRoute"         // no route matches host and path
	RefuseUnknownKey       RefusalKind = "unknownKey"      // the key is not in the configuration
	RefuseMalformed        RefusalKind = "malformed"       // a header cannot be read
	RefuseHeaderSize       RefusalKind = "headerTooLarge"  // over the configured bound
	RefuseBodySize         RefusalKind = "bodyTooLarge"    // over the configured bound
	RefuseSlowBody         RefusalKind = "bodyTooSlow"     // (*) not read whole in time
	RefuseBudgetExhausted  RefusalKind = "budgetExhausted" // the budget does not cover the worst case
	RefuseUnitsUnavailable RefusalKind = "budgetUnsure"    // (*) the store cannot be asked for more
	RefuseNoRunner         RefusalKind = "noRunner"        // (*) no runner is left to try
	RefuseRateLimited      RefusalKind = "runnersLimited"  // (*) the runners' limits are used up
	RefuseNotRun           RefusalKind = "runnerRefused"   // (*) the runners say that they did not run it
	RefuseTooLate          RefusalKind = "tooLate"         // (*) the time ran out before it was sent
	RefuseBusy             RefusalKind = "busy"            // (*) this router is at its own limits
	FailedUpstream         RefusalKind = "upstreamFailed"  // sent, and no whole answer came
	FailedTimeout          RefusalKind = "upstreamTimeout" // sent, and no answer came in time
)

// refusal is a refusal with what the caller is told.
type refusal struct {
	kind   RefusalKind
	detail string
	after  time.Duration // when to come back; zero for no advice
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason     RefusalKind `json:"reason"`
	Detail     string      `json:"detail"`
	RequestID  string      `json:"requestId,omitempty"`
	RetryAfter float64     `json:"retryAfterSeconds,omitempty"`
}

func (rt *Router) writeRefusal(w http.ResponseWriter, id string, f *refusal) int {
	status := rt.cfg.Dialect.RefusalStatus(f.kind)
	body, err := json.Marshal(refusalBody{Reason: f.kind, Detail: f.detail, RequestID: id, RetryAfter: f.after.Seconds()})
	if err != nil {
		rt.cfg.Log.WithError(err).Error("refusal not encoded")
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	w.Write(body)
	return status
}
