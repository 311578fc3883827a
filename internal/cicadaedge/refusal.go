package cicadaedge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// RefusalKind is the reason for which the router itself ends a request.
type RefusalKind string

// Kinds of refusal. A request refused with a kind marked (*) has not run and never will.
const (
	RefuseNoDeployment     RefusalKind = "noDeployment"    // (*) no configuration is known, or it is too old to prove a permanent refusal
	RefuseNoRoute          RefusalKind = "noRoute"         // no route matches the host and path
	RefuseUnknownKey       RefusalKind = "unknownKey"      // the API key is not in the configuration
	RefuseMalformed        RefusalKind = "malformed"       // a header cannot be parsed, or the request id is missing
	RefuseHeaderSize       RefusalKind = "headerTooLarge"  // over the configured limit
	RefuseBodySize         RefusalKind = "bodyTooLarge"    // over the configured limit
	RefuseSlowBody         RefusalKind = "bodyTooSlow"     // (*) the body did not arrive completely in time
	RefuseBudgetExhausted  RefusalKind = "budgetExhausted" // the budget does not cover the largest possible use
	RefuseUnitsUnavailable RefusalKind = "budgetUnsure"    // (*) no units could be obtained in time, but more may become available
	RefuseNoRunner         RefusalKind = "noRunner"        // (*) no runner is left to try
	RefuseRateLimited      RefusalKind = "runnersLimited"  // (*) the rate limits of the runners are used up
	RefuseNotRun           RefusalKind = "runnerRefused"   // (*) the runners stated that they did not run it
	RefuseTooLate          RefusalKind = "tooLate"         // (*) the deadline passed before it was sent
	RefuseQuarantined      RefusalKind = "quarantined"     // (*) requests like it crash runners
	RefuseStreamUnknown    RefusalKind = "streamUnknown"   // (*) it is not known at which software version the stream began
	RefuseStopping         RefusalKind = "stopping"        // (*) this router stopped before the request was sent
	RefuseBusy             RefusalKind = "busy"            // (*) this router has reached its own limits
	FailedUpstream         RefusalKind = "upstreamFailed"  // sent, but no complete response was received
	FailedTimeout          RefusalKind = "upstreamTimeout" // sent, but no complete response arrived in time
)

// refusal holds what the caller receives if its request is refused.
type refusal struct {
	kind       RefusalKind
	detail     string
	retryAfter time.Duration // delay after which to retry; zero for no advice
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
	body, err := json.Marshal(refusalBody{Reason: f.kind, Detail: f.detail, RequestID: id, RetryAfter: f.retryAfter.Seconds()})
	if err != nil {
		rt.cfg.Log.WithError(err).Error("failed to encode a refusal")
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	w.Write(body)
	return status
}
