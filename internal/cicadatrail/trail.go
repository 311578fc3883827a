// Package cicadatrail records why each request was routed, refused, billed or
// cut. A Store keeps the trails of the latest requests within bounds; refused
// and failed ones stay longer than plain ones.
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

// maxEvents bounds one trail.
const maxEvents = 32

type (
	// Event is one step of a request. It is one of *Received, *Claimed,
	// *Reserved, *Routed, *Attempt, *Refused, *Billed and *Delivered.
	Event interface{ event() string }

	// Received tells what came and by which configuration it was judged.
	Received struct {
		Method            string `json:"method"`
		Path              string `json:"path"`
		DocumentVersion   uint64 `json:"documentVersion,omitempty"`
		Model             string `json:"model,omitempty"`
		HasIdempotencyKey bool   `json:"hasIdempotencyKey"`
	}

	// Claimed tells what the home said of the idempotency key.
	Claimed struct {
		Verdict      cicadaledger.KeyStatus `json:"verdict,omitempty"`
		FirstRequest string                 `json:"firstRequest,omitempty"`
		Error        string                 `json:"error,omitempty"`
	}

	// Reserved tells what was reserved and what was known of the budget.
	Reserved struct {
		Budget       string                     `json:"budget"`
		Units        cicadabudget.Units         `json:"units"`
		PromptBound  cicadabudget.Units         `json:"promptBound"`
		OutputBound  cicadabudget.Units         `json:"outputBound"`
		Waited       string                     `json:"waited"`
		BudgetStatus cicadasession.BudgetStatus `json:"figures"`
		Error        string                     `json:"error,omitempty"`
	}

	// Routed tells which runner was chosen, among which.
	Routed struct {
		Runner     string                  `json:"runner,omitempty"`
		Rule       string                  `json:"rule"`
		Candidates []cicadaroute.Candidate `json:"candidates"`
		Error      string                  `json:"error,omitempty"`
	}

	// Attempt tells how an attempt at a runner ended.
	Attempt struct {
		Number        int    `json:"number"`
		Runner        string `json:"runner"`
		Outcome       string `json:"outcome"`
		Chunks        int64  `json:"chunks,omitempty"`
		DroppedChunks int    `json:"droppedChunks,omitempty"`
		ResumeCount   int    `json:"resumed,omitempty"`
	}

	// Refused tells the refusal and its remedy.
	Refused struct {
		Code   string `json:"code"`
		Ran    string `json:"ran"`
		Detail string `json:"detail"`
		Remedy string `json:"remedy"`
	}

	// Billed tells the bill and whether the home has recorded it.
	Billed struct {
		Bill              cicadaledger.Bill `json:"bill"`
		Partition         string            `json:"partition"`
		RecordedBeforeEnd bool              `json:"recordedBeforeTheEnd"`
	}

	// Delivered tells what the caller got.
	Delivered struct {
		Status int    `json:"status"`
		Bytes  int64  `json:"bytes"`
		Note   string `json:"note,omitempty"`
	}

	// Trail is one request's record. It is safe for concurrent use.
	Trail struct {
		requestID string
		startedAt time.Time

		mu           sync.Mutex // guards the fields below
		organisation string
		service      string
		entries      []Entry
		dropped      int
		notable      bool
	}

	// Entry is an event with its time.
	Entry struct {
		AtMicros int64  `json:"atMicros"` // since the request came
		Kind     string `json:"kind"`
		Event    Event  `json:"event"`
	}

	// View is a trail for output.
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

func (*Received) event() string  { return "received" }
func (*Claimed) event() string   { return "claimed" }
func (*Reserved) event() string  { return "reserved" }
func (*Routed) event() string    { return "routed" }
func (*Attempt) event() string   { return "attempt" }
func (*Refused) event() string   { return "refused" }
func (*Billed) event() string    { return "billed" }
func (*Delivered) event() string { return "delivered" }

// New begins a trail.
func New(requestID string, now time.Time) *Trail {
	return &Trail{requestID: requestID, startedAt: now}
}

// RequestID returns the request's id.
func (t *Trail) RequestID() string { return t.requestID }

// SetOwner notes whose request it is.
func (t *Trail) SetOwner(organisation, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisation, t.service = organisation, service
}

// Add records an event.
func (t *Trail) Add(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e.(type) {
	case *Refused:
		t.notable = true
	default:
	}
	if len(t.entries) >= maxEvents {
		t.dropped++
		return
	}
	t.entries = append(t.entries, Entry{AtMicros: time.Since(t.startedAt).Microseconds(), Kind: e.event(), Event: e})
}

// MarkFailed keeps the trail longer.
func (t *Trail) MarkFailed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notable = true
}

// View returns the trail for output.
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
		DroppedEntries: t.dropped,
		Advice:         advice(t.entries),
	}
}

// advice says what an operator can do about the request.
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

// Text renders a view for a terminal.
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
