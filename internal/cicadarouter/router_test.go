package cicadarouter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/google/go-cmp/cmp"
)

func TestRefusals(t *testing.T) {
	w := newEnvironment(t, map[string]cicadabudget.Units{budget: 100})
	base := baseURL(w.Routers()[0])
	chat := base + "/v1/chat/completions"
	auth := map[string]string{"Authorization": "Bearer " + apiKey}
	ok := `{"model":"redacteur-7b","messages":[{"role":"user","content":"x"}],"max_tokens":10}`
	for _, tc := range []struct {
		name, url, body string
		header          map[string]string
		status          int
		code            string
		retry           bool
	}{
		{"no key", chat, ok, nil, 401, "missingKey", false},
		{"wrong key", chat, ok, map[string]string{"Authorization": "Bearer nobody"}, 401, "unknownKey", false},
		{"other service's model", chat, strings.Replace(ok, model, "other", 1), auth, 404, "unknownModel", false},
		{"no JSON", chat, `{"model":`, auth, 400, "malformedRequest", false},
		{"null", chat, `null`, auth, 400, "malformedRequest", false},
		{"wrong type", chat, `{"model":7}`, auth, 400, "malformedRequest", false},
		{"no messages", chat, `{"model":"redacteur-7b"}`, auth, 400, "malformedRequest", false},
		{"negative maximum", chat, strings.Replace(ok, `:10}`, `:-1}`, 1), auth, 400, "malformedRequest", false},
		{"too many tokens", chat, strings.Replace(ok, `:10}`, `:5000}`, 1), auth, 400, "tooManyTokens", false},
		{"too large", chat, `{"model":"` + strings.Repeat("x", cicadarouter.MaxBodyBytes) + `"}`, auth, 413, "bodyTooLarge", false},
		{"above the budget", chat, strings.Replace(ok, `:10}`, `:100}`, 1), auth, 402, "budgetExhausted", false},
		{"unknown service", base + "/services/none/x", "", auth, 404, "unknownService", false},
		{"service without plain upstream", base + "/services/redacteur/x", "", auth, 404, "unknownService", false},
		{"at-most-once call without key", base + transferPath, "", auth, 400, "keyRequired", false},
		{"key with control characters", chat, ok, map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": "a\tb"}, 400, "keyInvalid", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := do(t, http.MethodPost, tc.url, tc.body, tc.header)
			type seen struct {
				Status    int
				Code, Ran string
				Retry     bool
				Type      string
			}
			want := seen{tc.status, tc.code, "notRun", tc.retry, "application/problem+json"}
			got := seen{r.status, r.problem.Code, r.problem.Ran, r.header.Get("Retry-After") != "", r.header.Get("Content-Type")}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("refusal (-want +got)\n%s%s", diff, r.body)
			}
			if r.problem.Remedy == "" || r.problem.RequestID != r.header.Get("X-Request-Id") {
				t.Errorf("remedy is missing or request ID differs from the header: %s", r.body)
			}
		})
	}
	for _, e := range w.Engines() {
		if n := len(e.Records()); n != 0 {
			t.Errorf("engine ran %d refused requests, want 0", n)
		}
	}
}

func TestCompleteResponseIsBilledOnce(t *testing.T) {
	w := newEnvironment(t, nil)
	for _, stream := range []bool{true, false} {
		s := newSpec(w.Routers()[0], "tag")
		s.Stream = stream
		res := call(t, s)
		if res.Verdict != cicadaload.Complete {
			t.Fatalf("stream %v: %+v", stream, res)
		}
		want := cicadaledger.Bill{
			RequestID: res.RequestID, Budget: budget, Outcome: cicadaledger.OutcomeComplete,
			Units: cicadabudget.Units(6 + cicadastandin.ResponseTokens(cicadaload.Prompt("tag", 5), 40)),
		}
		if diff := cmp.Diff(want, billOf(t, w, res.RequestID)); diff != "" {
			t.Errorf("bill (-want +got)\n%s", diff)
		}
	}
}

// TestRetryAtAnotherRouterReplaysTheResponse retries a request with the same key
// while it is running and after its end. Each gets the complete response, and only
// one bill is charged.
func TestRetryAtAnotherRouterReplaysTheResponse(t *testing.T) {
	w := newEnvironment(t, nil)
	first := newSpec(w.Routers()[0], "tag")
	first.IdempotencyKey = "k"
	var wg sync.WaitGroup
	results := make([]cicadaload.Result, 4)
	for i, r := range w.Routers() {
		s := *first
		s.BaseURL = baseURL(r)
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = call(t, &s)
		}()
		if i == 0 {
			time.Sleep(15 * time.Millisecond)
		}
	}
	wg.Wait()
	again := call(t, first)
	for i, res := range append(results, again) {
		if res.Verdict != cicadaload.Complete {
			t.Errorf("attempt %d: %+v", i, res)
		}
	}
	if !again.Replayed {
		t.Error("the retry after the end did not get the stored response")
	}
	bills, err := w.Bills()
	if err != nil {
		t.Fatal(err)
	}
	charged := 0
	for _, b := range bills {
		if !b.Voided && b.Units > 0 {
			charged++
		}
	}
	if diff := cmp.Diff(1, charged); diff != "" {
		t.Errorf("charged bills (-want +got)\n%s", diff)
	}
}

func TestReusedKeyWithDifferentBodyIsRefused(t *testing.T) {
	w := newEnvironment(t, nil)
	s := newSpec(w.Routers()[0], "tag")
	s.IdempotencyKey = "k"
	call(t, s)
	s.Tag = "other"
	res := call(t, s)
	if diff := cmp.Diff([]string{"keyMismatch", "notRun"}, []string{res.RefusalCode, res.RunStatus}); diff != "" {
		t.Errorf("code and ran (-want +got)\n%s", diff)
	}
}

// TestDisconnectedCallerStopsTheEngine disconnects a caller without a key: the
// request is cancelled at the engine, and the tokens that it used are billed.
func TestDisconnectedCallerStopsTheEngine(t *testing.T) {
	w := newEnvironment(t, nil)
	c := cicadaload.NewCaller(1, nil)
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Call(ctx, newSpec(w.Routers()[0], "tag"))
	eventually(t, "the engine's third token", func() bool {
		for _, e := range w.Engines() {
			for _, rec := range e.Records() {
				if rec.CompletionTokens >= 3 {
					return true
				}
			}
		}
		return false
	})
	cancel()
	var bills []cicadaledger.Bill
	eventually(t, "the bill", func() bool {
		var err error
		bills, err = w.Bills()
		return err == nil && len(bills) > 0
	})
	if diff := cmp.Diff(cicadaledger.OutcomeCancelled, bills[0].Outcome); diff != "" {
		t.Errorf("outcome (-want +got)\n%s", diff)
	}
	for _, e := range w.Engines() {
		for _, rec := range e.Records() {
			if rec.State == cicadastandin.StateRunning || cicadabudget.Units(rec.PromptTokens+rec.CompletionTokens) != bills[0].Units {
				t.Errorf("engine record %+v does not match bill %+v", rec, bills[0])
			}
		}
	}
}

// TestUnknownOutcomeNeverRunsAgain runs a transfer whose service never responds.
// Every retry, at any router, is refused because the outcome is unknown.
func TestUnknownOutcomeNeverRunsAgain(t *testing.T) {
	w := newEnvironment(t, nil)
	for _, p := range w.PlainServices() {
		p.SetFaults(cicadastandin.PlainServiceFaults{Hang: true})
	}
	header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": "transfer-1"}
	var got []string
	for _, r := range w.Routers() {
		var res reply
		eventually(t, "a refusal that does not tell the caller to come back", func() bool {
			res = do(t, http.MethodPost, baseURL(r)+transferPath, "{}", header)
			return res.problem.Ran != string(cicadarefusal.NotRun)
		})
		got = append(got, res.problem.Code+" "+res.problem.Ran)
	}
	want := []string{"outcomeUnknown unknown", "outcomeUnknown unknown", "outcomeUnknown unknown", "outcomeUnknown unknown"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusals (-want +got)\n%s", diff)
	}
	runs := 0
	for _, p := range w.PlainServices() {
		runs += len(p.Calls())
	}
	if diff := cmp.Diff(1, runs); diff != "" {
		t.Errorf("runs (-want +got)\n%s", diff)
	}
}

// TestPlannedStopCutsNothing stops a router with open streams. The streams complete,
// new requests are refused as not run, and all units are returned.
func TestPlannedStopCutsNothing(t *testing.T) {
	w := newEnvironment(t, nil)
	stopping := w.Routers()[1]
	var wg sync.WaitGroup
	results := make([]cicadaload.Result, 20)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = call(t, newSpec(stopping, "tag"))
		}()
	}
	eventually(t, "open streams", func() bool { return len(stopping.State().Allocations) > 0 })
	time.Sleep(5 * time.Millisecond)
	if err := stopping.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	for i, res := range results {
		complete := res.Verdict == cicadaload.Complete
		refused := res.Verdict == cicadaload.Refused && res.RefusalCode == "stopping" && res.RunStatus == "notRun"
		notReached := res.Verdict == cicadaload.ConnectionFailed && res.Status == 0
		if !complete && !refused && !notReached {
			t.Errorf("request %d: %+v", i, res)
		}
	}
	for _, r := range w.Routers() {
		for _, p := range r.State().Homes {
			for _, h := range p.Holders {
				if h.Holder.Host == stopping.Host().Name && len(h.Held) > 0 {
					t.Errorf("the stopped router still holds units: %+v", h.Held)
				}
			}
		}
	}
}

// TestLeavingRunnerIsHeardOf drains a runner: a router whose request it refuses
// retries at another runner, and peers report the draining runner to the other routers.
func TestLeavingRunnerIsHeardOf(t *testing.T) {
	w := newEnvironment(t, nil)
	drained := w.Engines()[0]
	drained.SetFaults(cicadastandin.EngineFaults{Draining: true})
	for range 30 {
		if res := call(t, newSpec(w.Routers()[0], "tag")); res.Verdict != cicadaload.Complete {
			t.Fatalf("%+v", res)
		}
	}
	if n := len(drained.Records()); n != 0 {
		t.Errorf("the draining runner ran %d requests, want 0", n)
	}
	for _, r := range w.Routers() {
		eventually(t, r.Host().Name+" excludes the draining runner", func() bool {
			for _, c := range r.State().Runners["redacteur/moteur"] {
				if c.Name == "moteur-1" {
					return c.ExclusionReason == "leaving"
				}
			}
			return false
		})
	}
}

// TestInterruptedStreamIsNotCharged lets every engine fail in the middle of a
// stream: the caller sees an interrupted response, and the units are withheld and
// not charged.
func TestInterruptedStreamIsNotCharged(t *testing.T) {
	w := newEnvironment(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{StallAfterChunks: 5, ForgetOnStall: true})
	}
	res := call(t, newSpec(w.Routers()[0], "tag"))
	if res.Verdict != cicadaload.Interrupted {
		t.Fatalf("%+v", res)
	}
	bill := billOf(t, w, res.RequestID)
	if bill.Units != 0 || bill.Withheld == 0 || bill.Outcome != cicadaledger.OutcomeInterrupted {
		t.Errorf("bill %+v", bill)
	}
}

// TestPlatformOutage checks that during an outage idempotent requests are served
// from held units, at-most-once requests are refused as their claim cannot be
// recorded, and bills are recorded after the outage.
func TestPlatformOutage(t *testing.T) {
	w := newEnvironment(t, nil)
	r := w.Routers()[0]
	if res := call(t, newSpec(r, "before")); res.Verdict != cicadaload.Complete {
		t.Fatalf("%+v", res)
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	during := call(t, newSpec(r, "during"))
	if during.Verdict != cicadaload.Complete {
		t.Fatalf("request during the outage: %+v", during)
	}
	header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": "transfer-1"}
	refused := do(t, http.MethodPost, baseURL(r)+transferPath, "{}", header)
	want := []any{"claimNotRecorded", "notRun", 1}
	if diff := cmp.Diff(want, []any{refused.problem.Code, refused.problem.Ran, refused.problem.RetryAfter}); diff != "" {
		t.Errorf("transfer during the outage (-want +got)\n%s", diff)
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{})
	if bill := billOf(t, w, during.RequestID); bill.Outcome != cicadaledger.OutcomeComplete {
		t.Errorf("bill %+v", bill)
	}
}

func TestExplainAndState(t *testing.T) {
	w := newEnvironment(t, nil)
	r := w.Routers()[0]
	res := call(t, newSpec(r, "tag"))
	operators := "http://" + r.Host().OperatorAddr
	if got := do(t, http.MethodGet, operators+"/debug/state", "", nil).status; got != http.StatusUnauthorized {
		t.Errorf("state without a token: status %d, want 401", got)
	}
	auth := map[string]string{"Authorization": "Bearer " + w.OperatorToken()}
	var state cicadarouter.State
	if err := json.Unmarshal(do(t, http.MethodGet, operators+"/debug/state", "", auth).body, &state); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]uint64{"redacteur": 1, "guichet": 1}, state.Versions); diff != "" {
		t.Errorf("versions (-want +got)\n%s", diff)
	}
	if !json.Valid(do(t, http.MethodGet, operators+"/debug/vars", "", auth).body) {
		t.Error("the counters are not valid JSON")
	}
	var view struct {
		Entries []struct {
			Kind string `json:"kind"`
		} `json:"entries"`
		Advice string `json:"advice"`
	}
	var kinds []string
	eventually(t, "the complete audit trail", func() bool {
		data := do(t, http.MethodGet, operators+"/debug/requests/"+res.RequestID, "", auth).body
		if err := json.Unmarshal(data, &view); err != nil {
			t.Fatal(err)
		}
		kinds = kinds[:0]
		for _, e := range view.Entries {
			kinds = append(kinds, e.Kind)
		}
		return len(kinds) >= 6
	})
	if diff := cmp.Diff([]string{"received", "reserved", "routed", "attempt", "billed", "delivered"}, kinds); diff != "" {
		t.Errorf("audit trail (-want +got)\n%s", diff)
	}
	if got := do(t, http.MethodGet, operators+"/debug/requests/none", "", auth).status; got != http.StatusNotFound {
		t.Errorf("audit trail of an unknown request: status %d, want 404", got)
	}
}

func TestModelsOfTheCaller(t *testing.T) {
	w := newEnvironment(t, nil)
	r := do(t, http.MethodGet, baseURL(w.Routers()[0])+"/v1/models", "", map[string]string{"Authorization": "Bearer " + apiKey})
	if !strings.Contains(string(r.body), `"id":"redacteur-7b"`) {
		t.Errorf("models lack redacteur-7b: %s", r.body)
	}
}

// The kernel ends the connections of a process that is gone in order, as a service ends a complete answer
// that has neither length nor chunks.
func TestEndOfAPlainServiceLooksLikeTheEndOfItsAnswer(t *testing.T) {
	w := newEnvironment(t, nil)
	services := w.PlainServices()
	for _, p := range services {
		p.SetFaults(cicadastandin.PlainServiceFaults{EndMidway: true})
	}
	for i, r := range w.Routers()[:len(services)] {
		header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": baseURL(r)}
		// Requests that are alike are put in quarantine after three ends.
		got := do(t, http.MethodPost, baseURL(r)+transferPath, `{"n":`+strconv.Itoa(i)+`}`, header)
		if got.status == http.StatusOK || got.problem.Ran != string(cicadarefusal.RunUnknown) {
			t.Errorf("transfer %d: status %d, %q, ran %q", i, got.status, got.body, got.problem.Ran)
		}
	}
}

// Whoever accepts connections at the address need not be the process that has answered.
func TestReplacedPlainServiceLooksLikeTheEndOfItsAnswer(t *testing.T) {
	w := newEnvironment(t, nil)
	services := w.PlainServices()
	for _, p := range services {
		p.SetFaults(cicadastandin.PlainServiceFaults{EndMidway: true, StartAgain: true})
	}
	for i, r := range w.Routers() {
		header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": baseURL(r)}
		// Requests that are alike are put in quarantine after three ends.
		got := do(t, http.MethodPost, baseURL(r)+transferPath, `{"n":`+strconv.Itoa(i)+`}`, header)
		if got.status == http.StatusOK || got.problem.Ran != string(cicadarefusal.RunUnknown) {
			t.Errorf("transfer %d: status %d, %q, ran %q", i, got.status, got.body, got.problem.Ran)
		}
	}
}

func TestSoundAnswerWithoutALengthIsRefused(t *testing.T) {
	w := newEnvironment(t, nil)
	for _, p := range w.PlainServices() {
		p.SetFaults(cicadastandin.PlainServiceFaults{Unframed: true})
	}
	for i := range 3 {
		for _, r := range w.Routers() {
			header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": baseURL(r) + strconv.Itoa(i)}
			got := do(t, http.MethodPost, baseURL(r)+transferPath, "{}", header)
			if got.status != http.StatusOK || !bytes.HasSuffix(got.body, []byte(`"}`)) {
				t.Errorf("transfer %d: status %d, %q", i, got.status, got.body)
			}
		}
	}
}

// The service sends a length with some answers only.
func TestSoundAnswerWithoutALengthAfterOneWithALengthIsRefused(t *testing.T) {
	w := newEnvironment(t, nil)
	for i := range 4 {
		for _, p := range w.PlainServices() {
			p.SetFaults(cicadastandin.PlainServiceFaults{Unframed: i%2 == 1})
		}
		for _, r := range w.Routers() {
			header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": baseURL(r) + strconv.Itoa(i)}
			got := do(t, http.MethodPost, baseURL(r)+transferPath, "{}", header)
			if got.status != http.StatusOK || !bytes.HasSuffix(bytes.TrimSpace(got.body), []byte(`"}`)) {
				t.Errorf("transfer %d: status %d, %q", i, got.status, got.body)
			}
		}
	}
}
