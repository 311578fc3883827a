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
	// RunStatus tells whether a refused request ran.
	RunStatus string

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

	// Refusal is one refused request.
	Refusal struct {
		kind   Kind
		ran    RunStatus
		detail string
		after  time.Duration
	}

	// problem is the body of a refusal, as RFC 9457 has it.
	problem struct {
		Type      string    `json:"type"`
		Title     string    `json:"title"`
		Status    int       `json:"status"`
		Detail    string    `json:"detail"`
		Code      Code      `json:"code"`
		RequestID string    `json:"requestId"`
		Ran       RunStatus `json:"ran"`
		Remedy    string    `json:"remedy"`
		// RetryAfterSeconds repeats the Retry-After header.
		RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
	}
)

// Whether a request ran. NotRun is said only if no byte of the request can have
// reached an upstream, or the upstream itself says that it did not run it.
const (
	NotRun     RunStatus = "notRun"
	DidRun     RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
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
	HomeUnavailable    Code = "homeAway"
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
func New(code Code, ran RunStatus, format string, args ...any) *Refusal {
	k, ok := kinds[code]
	if !ok {
		k = kinds[Internal]
	}
	k.Code = code
	return &Refusal{kind: k, ran: ran, detail: fmt.Sprintf(format, args...), after: k.RetryAfter}
}

// Code returns the refusal's code.
func (r *Refusal) Code() Code { return r.kind.Code }

// RunStatus tells whether the request ran.
func (r *Refusal) RunStatus() RunStatus { return r.ran }

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
