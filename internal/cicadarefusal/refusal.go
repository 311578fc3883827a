// Package cicadarefusal is the list of everything that the router refuses:
// codes that stay the same between versions, whether the request ran, and what
// the caller or the operator can do.
package cicadarefusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"
)

type (
	// Ran tells whether a refused request ran.
	Ran string

	// Code names a kind of refusal.
	Code string

	// Kind is what all refusals with one code have in common.
	Kind struct {
		Code   Code
		Status int
		Title  string
		Remedy string
		// RetryAfter is when to come back; zero if coming back is no remedy.
		RetryAfter time.Duration
	}

	// Refusal is one refused request. It is an error.
	Refusal struct {
		kind   Kind
		ran    Ran
		detail string
		after  time.Duration
	}

	// problem is the body of a refusal, as RFC 9457 has it.
	problem struct {
		Type      string `json:"type"`
		Title     string `json:"title"`
		Status    int    `json:"status"`
		Detail    string `json:"detail"`
		Code      Code   `json:"code"`
		RequestID string `json:"requestId"`
		Ran       Ran    `json:"ran"`
		Remedy    string `json:"remedy"`
		// RetryAfterSeconds repeats the Retry-After header.
		RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
	}
)

// Whether a request ran. NotRun is said only if no byte of the request can have
// reached an upstream, or the upstream itself says that it did not run it.
const (
	NotRun     Ran = "notRun"
	DidRun     Ran = "ran"
	UnknownRan Ran = "unknown"
)

// The codes.
const (
	MissingKey         Code = "missingKey"
	UnknownKey         Code = "unknownKey"
	UnknownModel       Code = "unknownModel"
	UnknownService     Code = "unknownService"
	Malformed          Code = "malformedRequest"
	BodyTooLarge       Code = "bodyTooLarge"
	TooManyTokens      Code = "tooManyTokens"
	NoBudget           Code = "noBudget"
	BudgetExhausted    Code = "budgetExhausted"
	UnitsHeldElsewhere Code = "unitsHeldElsewhere"
	HomeAway           Code = "homeAway"
	OrganisationLimit  Code = "organisationLimit"
	NoRunner           Code = "noRunner"
	RunnersBusy        Code = "runnersBusy"
	Stopping           Code = "stopping"
	NotReady           Code = "notReady"
	KeyRequired        Code = "keyRequired"
	KeyInvalid         Code = "keyInvalid"
	KeyInUse           Code = "keyInUse"
	KeyMismatch        Code = "keyMismatch"
	AlreadyRan         Code = "alreadyRan"
	OutcomeUnknown     Code = "outcomeUnknown"
	ClaimNotRecorded   Code = "claimNotRecorded"
	UpstreamFailed     Code = "upstreamFailed"
	UpstreamRejected   Code = "upstreamRejected"
	DeadlineExceeded   Code = "deadlineExceeded"
	Internal           Code = "internal"
)

const soon, later = time.Second, 5 * time.Second

var kinds = map[Code]Kind{
	MissingKey:         {Status: http.StatusUnauthorized, Title: "API key is missing", Remedy: "send Authorization: Bearer with the organisation's API key"},
	UnknownKey:         {Status: http.StatusUnauthorized, Title: "API key is not known", Remedy: "check the key; its SHA-256 has to stand in the service document"},
	UnknownModel:       {Status: http.StatusNotFound, Title: "model is not served", Remedy: "ask GET /v1/models for the models that are"},
	UnknownService:     {Status: http.StatusNotFound, Title: "service is not known", Remedy: "check the service's name in the path"},
	Malformed:          {Status: http.StatusBadRequest, Title: "request cannot be read", Remedy: "correct the request as the detail says"},
	BodyTooLarge:       {Status: http.StatusRequestEntityTooLarge, Title: "body is too large", Remedy: "send a shorter request"},
	TooManyTokens:      {Status: http.StatusBadRequest, Title: "more tokens asked than the service allows", Remedy: "lower max_tokens"},
	NoBudget:           {Status: http.StatusForbidden, Title: "organisation has no budget in this service", Remedy: "declare a budget for it in the service document"},
	BudgetExhausted:    {Status: http.StatusPaymentRequired, Title: "prepaid budget does not cover the request", Remedy: "top the budget up by an apply of the service document, or ask for fewer tokens"},
	UnitsHeldElsewhere: {Status: http.StatusServiceUnavailable, Title: "units left are reserved by other requests", Remedy: "come back when running requests have ended", RetryAfter: soon},
	HomeAway:           {Status: http.StatusServiceUnavailable, Title: "budget cannot be drawn on now", Remedy: "come back; operators look at the platform's tables and the partition's home", RetryAfter: soon},
	OrganisationLimit:  {Status: http.StatusTooManyRequests, Title: "organisation is at its limit", Remedy: "send fewer requests, or raise the limits in the service document", RetryAfter: soon},
	NoRunner:           {Status: http.StatusServiceUnavailable, Title: "no runner takes work", Remedy: "come back; operators look at the upstream's runners", RetryAfter: later},
	RunnersBusy:        {Status: http.StatusServiceUnavailable, Title: "runners are full", Remedy: "come back; operators add runners or limit batch work", RetryAfter: soon},
	Stopping:           {Status: http.StatusServiceUnavailable, Title: "router is stopping", Remedy: "send the request again; the balancer chooses another router", RetryAfter: soon},
	NotReady:           {Status: http.StatusServiceUnavailable, Title: "router has no configuration yet", Remedy: "send the request again; the balancer chooses another router", RetryAfter: soon},
	KeyRequired:        {Status: http.StatusBadRequest, Title: "idempotency key is missing", Remedy: "send Idempotency-Key with a new value for each transfer; the call may run at most once"},
	KeyInvalid:         {Status: http.StatusBadRequest, Title: "idempotency key is not valid", Remedy: "use 1 to 255 printable characters"},
	KeyInUse:           {Status: http.StatusConflict, Title: "request with this key is running", Remedy: "come back for its answer with the same key", RetryAfter: soon},
	KeyMismatch:        {Status: http.StatusUnprocessableEntity, Title: "key was used for another request", Remedy: "use a new key for a new request"},
	AlreadyRan:         {Status: http.StatusConflict, Title: "request with this key has run", Remedy: "it was billed once and does not run again; ask the service for its result"},
	OutcomeUnknown:     {Status: http.StatusConflict, Title: "it is not known whether the request ran", Remedy: "it does not run again; ask the service for its result before sending it with a new key"},
	ClaimNotRecorded:   {Status: http.StatusServiceUnavailable, Title: "at-most-once claim could not be recorded", Remedy: "come back with the same key", RetryAfter: soon},
	UpstreamFailed:     {Status: http.StatusBadGateway, Title: "upstream failed", Remedy: "send the request again if it is idempotent", RetryAfter: soon},
	UpstreamRejected:   {Status: http.StatusBadRequest, Title: "upstream rejected the request", Remedy: "correct the request as the detail says"},
	DeadlineExceeded:   {Status: http.StatusGatewayTimeout, Title: "request ran out of time", Remedy: "ask for less, or raise the deadlines in the service document", RetryAfter: soon},
	Internal:           {Status: http.StatusInternalServerError, Title: "router failed", Remedy: "report the request id to the operators"},
}

// Kinds lists every kind, by code.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kinds))
	for code, k := range kinds {
		k.Code = code
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Code < out[j].Code })
	return out
}

// New returns a refusal. The detail says what was wrong this time.
func New(code Code, ran Ran, format string, args ...any) *Refusal {
	k, ok := kinds[code]
	if !ok {
		k = kinds[Internal]
	}
	k.Code = code
	return &Refusal{kind: k, ran: ran, detail: fmt.Sprintf(format, args...), after: k.RetryAfter}
}

// Error returns code and detail.
func (r *Refusal) Error() string { return string(r.kind.Code) + ": " + r.detail }

// Code returns the refusal's code.
func (r *Refusal) Code() Code { return r.kind.Code }

// Ran tells whether the request ran.
func (r *Refusal) Ran() Ran { return r.ran }

// Detail says what was wrong.
func (r *Refusal) Detail() string { return r.detail }

// Remedy says what to do.
func (r *Refusal) Remedy() string { return r.kind.Remedy }

// Status returns the HTTP status.
func (r *Refusal) Status() int { return r.kind.Status }

// Body returns the refusal as a problem document.
func (r *Refusal) Body(requestID string) []byte {
	data, err := json.Marshal(problem{
		Type:              "urn:cicadadyke:refusal:" + string(r.kind.Code),
		Title:             r.kind.Title,
		Status:            r.kind.Status,
		Detail:            r.detail,
		Code:              r.kind.Code,
		RequestID:         requestID,
		Ran:               r.ran,
		Remedy:            r.kind.Remedy,
		RetryAfterSeconds: int(r.after.Seconds()),
	})
	if err != nil {
		return []byte(`{}`)
	}
	return data
}

// Write sends the refusal as the whole answer.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/problem+json")
	if r.after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(r.after.Seconds())))
	}
	w.WriteHeader(r.kind.Status)
	_, _ = w.Write(append(r.Body(requestID), '\n'))
}
