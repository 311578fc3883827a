// Package cicadatrail records audit trails, which show why each request was routed,
// refused, billed or interrupted. A Store retains a limited number of the latest
// trails, with separate limits for completed and failed requests.
package cicadatrail

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/cicadadyke/cicadadyke/internal/cicadasession"
)

// maxEvents is the maximum number of events in one trail.
const maxEvents = 32

type (
	// Event is one step of a request. It is one of *Received, *Claimed,
	// *Reserved, *Routed, *Attempt, *Refused, *Billed and *Delivered.
	Event interface{ kind() string }

	// Received is the request and the document version that applied to it.
	Received struct {
		Method            string `json:"method"`
		Path              string `json:"path"`
		DocumentVersion   uint64 `json:"documentVersion,omitempty"`
		Model             string `json:"model,omitempty"`
		HasIdempotencyKey bool   `json:"hasIdempotencyKey"`
	}

	// Claimed is the home's result of the claim of the idempotency key.
	Claimed struct {
		Status       cicadaledger.KeyStatus `json:"verdict,omitempty"`
		FirstRequest string                 `json:"firstRequest,omitempty"`
		Error        string                 `json:"error,omitempty"`
	}

	// Reserved is the reservation of units. On an error it includes what the router
	// knew of the budget.
	Reserved struct {
		Budget       string                     `json:"budget"`
		Units        cicadabudget.Units         `json:"units"`
		PromptBound  cicadabudget.Units         `json:"promptBound"`
		OutputBound  cicadabudget.Units         `json:"outputBound"`
		Waited       string                     `json:"waited"`
		BudgetStatus cicadasession.BudgetStatus `json:"figures"`
		Error        string                     `json:"error,omitempty"`
	}

	// Routed is the choice of a runner and its candidates.
	Routed struct {
		Runner     string                  `json:"runner,omitempty"`
		Rule       string                  `json:"rule"`
		Candidates []cicadaroute.Candidate `json:"candidates"`
		Error      string                  `json:"error,omitempty"`
	}

	// Attempt is the result of an attempt at a runner.
	Attempt struct {
		Number        int    `json:"number"`
		Runner        string `json:"runner"`
		Outcome       string `json:"outcome"`
		Chunks        int64  `json:"chunks,omitempty"`
		DroppedChunks int    `json:"droppedChunks,omitempty"`
		ResumeCount   int    `json:"resumed,omitempty"`
	}

	// Refused is the refusal of the request.
	Refused struct {
		Code   string `json:"code"`
		Ran    string `json:"ran"`
		Detail string `json:"detail"`
		Remedy string `json:"remedy"`
	}

	// Billed is the bill of the request, and whether the home recorded it before the
	// response was completed.
	Billed struct {
		Bill              cicadaledger.Bill `json:"bill"`
		Partition         string            `json:"partition"`
		RecordedBeforeEnd bool              `json:"recordedBeforeTheEnd"`
	}

	// Delivered is what was sent to the caller.
	Delivered struct {
		Status int    `json:"status"`
		Bytes  int64  `json:"bytes"`
		Note   string `json:"note,omitempty"`
	}

	// Trail is the audit trail of one request. It is safe for concurrent use.
	Trail struct {
		requestID string
		startedAt time.Time

		mu             sync.Mutex // guards the fields below
		organisation   string
		service        string
		entries        []Entry
		droppedEntries int
		failed         bool
	}

	// Entry is an event with its kind and time.
	Entry struct {
		AtMicros int64  `json:"atMicros"` // since the request was received
		Kind     string `json:"kind"`
		Event    Event  `json:"event"`
	}

	// View is a snapshot of a trail for output.
	View struct {
		RequestID      string    `json:"requestId"`
		Router         string    `json:"router"`
		Organisation   string    `json:"organisation,omitempty"`
		Service        string    `json:"service,omitempty"`
		StartedAt      time.Time `json:"startedAt"`
		Entries        []Entry   `json:"entries"`
		DroppedEntries int       `json:"droppedEntries,omitempty"`
		Advice         string    `json:"advice"`
	}
)

func (*Received) kind() string  { return "received" }
func (*Claimed) kind() string   { return "claimed" }
func (*Reserved) kind() string  { return "reserved" }
func (*Routed) kind() string    { return "routed" }
func (*Attempt) kind() string   { return "attempt" }
func (*Refused) kind() string   { return "refused" }
func (*Billed) kind() string    { return "billed" }
func (*Delivered) kind() string { return "delivered" }

// New returns an empty trail of a request that was received at now.
func New(requestID string, now time.Time) *Trail {
	return &Trail{requestID: requestID, startedAt: now}
}

// RequestID returns the ID of the request.
func (t *Trail) RequestID() string { return t.requestID }

// SetOwner sets the organisation and service of the request.
func (t *Trail) SetOwner(organisation, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisation, t.service = organisation, service
}

// Add appends an event, or counts it as dropped if the trail has maxEvents. A refusal
// marks the request as failed.
func (t *Trail) Add(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e.(type) {
	case *Refused:
		t.failed = true
	default:
	}
	if len(t.entries) >= maxEvents {
		t.droppedEntries++
		return
	}
	t.entries = append(t.entries, Entry{AtMicros: time.Since(t.startedAt).Microseconds(), Kind: e.kind(), Event: e})
}

// MarkFailed marks the request as failed, so that its trail counts against the limit
// for failed requests.
func (t *Trail) MarkFailed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed = true
}

// View returns a snapshot of the trail for output.
func (t *Trail) View(router string) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return View{
		RequestID:      t.requestID,
		Router:         router,
		Organisation:   t.organisation,
		Service:        t.service,
		StartedAt:      t.startedAt,
		Entries:        append([]Entry(nil), t.entries...),
		DroppedEntries: t.droppedEntries,
		Advice:         advice(t.entries),
	}
}

// advice describes what an operator can do about the request.
func advice(entries []Entry) string {
	for i := len(entries) - 1; i >= 0; i-- {
		switch e := entries[i].Event.(type) {
		case *Refused:
			return e.Remedy
		case *Billed:
			switch e.Bill.Outcome {
			case cicadaledger.OutcomeInterrupted:
				return "the upstream broke off; look at the runner of the last attempt; withheld units stay unavailable"
			case cicadaledger.OutcomeCancelled:
				return "the caller left before the end; what was generated is billed"
			default:
				return "nothing to do: the request was answered whole and billed once"
			}
		default:
		}
	}
	return "the request is still running"
}

// Text returns the view as text for a terminal.
func (v *View) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at router %s\n", v.RequestID, v.Router)
	fmt.Fprintf(&b, "  organisation %s, service %s, started %s\n", v.Organisation, v.Service, v.StartedAt.Format(time.RFC3339Nano))
	for _, e := range v.Entries {
		data, err := json.Marshal(e.Event)
		if err != nil {
			data = []byte(err.Error())
		}
		fmt.Fprintf(&b, "  %10.3f ms  %-9s %s\n", float64(e.AtMicros)/1000, e.Kind, data)
	}
	if v.DroppedEntries > 0 {
		fmt.Fprintf(&b, "  (%d further events were not kept)\n", v.DroppedEntries)
	}
	fmt.Fprintf(&b, "  what to do: %s\n", v.Advice)
	return b.String()
}
