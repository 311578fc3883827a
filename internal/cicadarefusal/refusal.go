// Package cicadarefusal defines the refusals that the router returns. Each has a code
// that is stable between versions, states whether the request ran, and suggests a
// remedy to the caller or the operator.
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
	// RunStatus states whether a refused request ran.
	RunStatus string

	// Code identifies a kind of refusal.
	Code string

	// Kind contains the properties that all refusals with the same code share.
	Kind struct {
		Code   Code
		Status int
		Title  string
		Remedy string
		// RetryAfter is the time to wait before a retry; zero if a retry does not
		// help.
		RetryAfter time.Duration
	}

	// Refusal is the refusal of one request.
	Refusal struct {
		kind       Kind
		runStatus  RunStatus
		detail     string
		retryAfter time.Duration
	}

	// problem is the problem document of a refusal, as defined by RFC 9457.
	problem struct {
		Type      string    `json:"type"`
		Title     string    `json:"title"`
		Status    int       `json:"status"`
		Detail    string    `json:"detail"`
		Code      Code      `json:"code"`
		RequestID string    `json:"requestId"`
		RunStatus RunStatus `json:"ran"`
		Remedy    string    `json:"remedy"`
		// RetryAfterSeconds has the value of the Retry-After header.
		RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
	}
)

// Run status of a refused request. NotRun is used only if no byte of the request can
// have reached an upstream, or the upstream states that it did not run the request.
const (
	NotRun     RunStatus = "notRun"
	DidRun     RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// Codes of refusals.
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
	Quarantined        Code = "quarantined"
	UpstreamFailed     Code = "upstreamFailed"
	UpstreamRejected   Code = "upstreamRejected"
	DeadlineExceeded   Code = "deadlineExceeded"
	Internal           Code = "internal"
)

// Kinds returns all kinds, sorted by code.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kinds))
	for code, k := range kinds {
		k.Code = code
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Code < out[j].Code })
	return out
}

// New returns a refusal. The format and its arguments give the detail, which
// describes the cause in this request. An unknown code gets the kind of Internal.
func New(code Code, runStatus RunStatus, format string, args ...any) *Refusal {
	k, ok := kinds[code]
	if !ok {
		k = kinds[Internal]
	}
	k.Code = code
	return &Refusal{kind: k, runStatus: runStatus, detail: fmt.Sprintf(format, args...), retryAfter: k.RetryAfter}
}

// Code returns the refusal's code.
func (r *Refusal) Code() Code { return r.kind.Code }

// RunStatus states whether the request ran.
func (r *Refusal) RunStatus() RunStatus { return r.runStatus }

// Detail describes the cause of the refusal.
func (r *Refusal) Detail() string { return r.detail }

// Remedy describes what the caller or the operator can do.
func (r *Refusal) Remedy() string { return r.kind.Remedy }

// Status returns the HTTP status.
func (r *Refusal) Status() int { return r.kind.Status }

// Body returns the refusal as a JSON problem document.
func (r *Refusal) Body(requestID string) []byte {
	data, err := json.Marshal(problem{
		Type:              "urn:cicadadyke:refusal:" + string(r.kind.Code),
		Title:             r.kind.Title,
		Status:            r.kind.Status,
		Detail:            r.detail,
		Code:              r.kind.Code,
		RequestID:         requestID,
		RunStatus:         r.runStatus,
		Remedy:            r.kind.Remedy,
		RetryAfterSeconds: int(r.retryAfter.Seconds()),
	})
	if err != nil {
		return []byte(`{}`)
	}
	return data
}

// Write sends the refusal as the complete HTTP response.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/problem+json")
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(r.retryAfter.Seconds())))
	}
	w.WriteHeader(r.kind.Status)
	_, _ = w.Write(append(r.Body(requestID), '\n'))
}
