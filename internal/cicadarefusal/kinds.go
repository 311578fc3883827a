package cicadarefusal

import (
	"net/http"
	"time"
)

// Values of Retry-After: retrySoon if the cause is a running request or a lost
// message, retryLater if somebody has to act.
const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

// kinds contains all kinds of refusals, by code.
var kinds = map[Code]Kind{
	MissingKey: {
		Status: http.StatusUnauthorized,
		Title:  "API key is missing",
		Remedy: "send Authorization: Bearer with the organisation's API key",
	},
	UnknownKey: {
		Status: http.StatusUnauthorized,
		Title:  "API key is not known",
		Remedy: "check the key; its SHA-256 has to stand in the service document",
	},
	UnknownModel: {
		Status: http.StatusNotFound,
		Title:  "model is not served",
		Remedy: "ask GET /v1/models for the models that are",
	},
	UnknownService: {
		Status: http.StatusNotFound,
		Title:  "service is not known",
		Remedy: "check the service's name in the path",
	},
	Malformed: {
		Status: http.StatusBadRequest,
		Title:  "request cannot be read",
		Remedy: "correct the request as the detail says",
	},
	BodyTooLarge: {
		Status: http.StatusRequestEntityTooLarge,
		Title:  "body is too large",
		Remedy: "send a shorter request",
	},
	TooManyTokens: {
		Status: http.StatusBadRequest,
		Title:  "more tokens asked than the service allows",
		Remedy: "lower max_tokens",
	},
	NoBudget: {
		Status: http.StatusForbidden,
		Title:  "organisation has no budget in this service",
		Remedy: "declare a budget for it in the service document",
	},
	BudgetExhausted: {
		Status: http.StatusPaymentRequired,
		Title:  "prepaid budget does not cover the request",
		Remedy: "top the budget up by an apply of the service document, or ask for fewer tokens",
	},
	UnitsHeldElsewhere: {
		Status:     http.StatusServiceUnavailable,
		Title:      "units left are reserved by other requests",
		Remedy:     "come back when running requests have ended",
		RetryAfter: retrySoon,
	},
	HomeUnavailable: {
		Status:     http.StatusServiceUnavailable,
		Title:      "budget cannot be drawn on now",
		Remedy:     "come back; operators look at the platform's tables and the partition's home",
		RetryAfter: retrySoon,
	},
	OrganisationLimit: {
		Status:     http.StatusTooManyRequests,
		Title:      "organisation is at its limit",
		Remedy:     "send fewer requests, or raise the limits in the service document",
		RetryAfter: retrySoon,
	},
	NoRunner: {
		Status:     http.StatusServiceUnavailable,
		Title:      "no runner takes work",
		Remedy:     "come back; operators look at the upstream's runners",
		RetryAfter: retryLater,
	},
	RunnersBusy: {
		Status:     http.StatusServiceUnavailable,
		Title:      "runners are full",
		Remedy:     "come back; operators add runners or limit batch work",
		RetryAfter: retrySoon,
	},
	Stopping: {
		Status:     http.StatusServiceUnavailable,
		Title:      "router is stopping",
		Remedy:     "send the request again; the balancer chooses another router",
		RetryAfter: retrySoon,
	},
	NotReady: {
		Status:     http.StatusServiceUnavailable,
		Title:      "router has no configuration yet",
		Remedy:     "send the request again; the balancer chooses another router",
		RetryAfter: retrySoon,
	},
	KeyRequired: {
		Status: http.StatusBadRequest,
		Title:  "idempotency key is missing",
		Remedy: "send Idempotency-Key with a new value for each transfer; the call may run at most once",
	},
	KeyInvalid: {
		Status: http.StatusBadRequest,
		Title:  "idempotency key is not valid",
		Remedy: "use 1 to 255 printable characters",
	},
	KeyInUse: {
		Status:     http.StatusConflict,
		Title:      "request with this key is running",
		Remedy:     "come back for its answer with the same key",
		RetryAfter: retrySoon,
	},
	KeyMismatch: {
		Status: http.StatusUnprocessableEntity,
		Title:  "key was used for another request",
		Remedy: "use a new key for a new request",
	},
	AlreadyRan: {
		Status: http.StatusConflict,
		Title:  "request with this key has run",
		Remedy: "it was billed once and does not run again; ask the service for its result",
	},
	OutcomeUnknown: {
		Status: http.StatusConflict,
		Title:  "it is not known whether the request ran",
		Remedy: "it does not run again; ask the service for its result before sending it with a new key",
	},
	ClaimNotRecorded: {
		Status:     http.StatusServiceUnavailable,
		Title:      "at-most-once claim could not be recorded",
		Remedy:     "come back with the same key",
		RetryAfter: retrySoon,
	},
	Quarantined: {
		Status: http.StatusServiceUnavailable,
		Title:  "requests like this one crash runners",
		Remedy: "operators look at the quarantine in the router's state and at the runners' crashes",
	},
	UpstreamFailed: {
		Status:     http.StatusBadGateway,
		Title:      "upstream failed",
		Remedy:     "send the request again if it is idempotent",
		RetryAfter: retrySoon,
	},
	UpstreamRejected: {
		Status: http.StatusBadRequest,
		Title:  "upstream rejected the request",
		Remedy: "correct the request as the detail says",
	},
	DeadlineExceeded: {
		Status:     http.StatusGatewayTimeout,
		Title:      "request ran out of time",
		Remedy:     "ask for less, or raise the deadlines in the service document",
		RetryAfter: retrySoon,
	},
	Internal: {
		Status: http.StatusInternalServerError,
		Title:  "router failed",
		Remedy: "report the request id to the operators",
	},
}
