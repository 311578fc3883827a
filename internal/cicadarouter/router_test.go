package cicadarouter_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/google/go-cmp/cmp"
)

func TestRefusals(t *testing.T) {
	w := newWorld(t, map[string]cicadabudget.Units{budget: 100})
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
		{"once-only call without key", base + once, "", auth, 400, "keyRequired", false},
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
				t.Errorf("(-want +got)\n%s%s", diff, r.body)
			}
			if r.problem.Remedy == "" || r.problem.RequestID != r.header.Get("X-Request-Id") {
				t.Errorf("no remedy, or another request id: %s", r.body)
			}
		})
	}
	for _, e := range w.Engines() {
		if n := len(e.Records()); n != 0 {
			t.Errorf("an engine ran %d of the refused requests", n)
		}
	}
}

func TestWholeAnswerIsBilledOnce(t *testing.T) {
	w := newWorld(t, nil)
	for _, stream := range []bool{true, false} {
		s := spec(w.Routers()[0], "tag")
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

// TestRetryAtAnotherRouterGetsTheSameAnswer retries a request with its key after
// its end, and while it runs.
func TestRetryAtAnotherRouterGetsTheSameAnswer(t *testing.T) {
	w := newWorld(t, nil)
	first := spec(w.Routers()[0], "tag")
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
		t.Error("the retry after the end was not answered from the kept answer")
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

func TestKeyWithOtherContentIsRefused(t *testing.T) {
	w := newWorld(t, nil)
	s := spec(w.Routers()[0], "tag")
	s.IdempotencyKey = "k"
	call(t, s)
	s.Tag = "other"
	res := call(t, s)
	if diff := cmp.Diff([]string{"keyMismatch", "notRun"}, []string{res.RefusalCode, res.RunStatus}); diff != "" {
		t.Errorf("code and ran (-want +got)\n%s", diff)
	}
}

// TestCallerThatLeavesStopsTheEngine hangs up without a key: the engine is told
// to stop, and what it made is billed.
func TestCallerThatLeavesStopsTheEngine(t *testing.T) {
	w := newWorld(t, nil)
	c := cicadaload.NewCaller(1, nil)
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Call(ctx, spec(w.Routers()[0], "tag"))
	await(t, "the engine's third token", func() bool {
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
	await(t, "the bill", func() bool {
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
				t.Errorf("engine's record %+v, bill %+v", rec, bills[0])
			}
		}
	}
}

// TestUnknownOutcomeNeverRunsAgain lets a transfer run without an answer. Every
// retry, anywhere, is told that the outcome is unknown.
func TestUnknownOutcomeNeverRunsAgain(t *testing.T) {
	w := newWorld(t, nil)
	for _, p := range w.PlainServices() {
		p.SetFaults(cicadastandin.PlainServiceFaults{Hang: true})
	}
	header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": "transfer-1"}
	var got []string
	for _, r := range w.Routers() {
		res := do(t, http.MethodPost, baseURL(r)+once, "{}", header)
		got = append(got, res.problem.Code+" "+res.problem.Ran)
	}
	want := []string{"outcomeUnknown unknown", "outcomeUnknown unknown", "outcomeUnknown unknown", "outcomeUnknown unknown"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got)\n%s", diff)
	}
	runs := 0
	for _, p := range w.PlainServices() {
		runs += len(p.Calls())
	}
	if diff := cmp.Diff(1, runs); diff != "" {
		t.Errorf("runs (-want +got)\n%s", diff)
	}
}

// TestPlannedStopCutsNothing stops a router with streams open. They end whole,
// new work is refused as not run, and all units come back.
func TestPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t, nil)
	leaving := w.Routers()[1]
	var wg sync.WaitGroup
	results := make([]cicadaload.Result, 20)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = call(t, spec(leaving, "tag"))
		}()
	}
	await(t, "streams open", func() bool { return len(leaving.State().Allocations) > 0 })
	time.Sleep(5 * time.Millisecond)
	if err := leaving.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	for i, res := range results {
		whole := res.Verdict == cicadaload.Complete
		refused := res.Verdict == cicadaload.Refused && res.RefusalCode == "stopping" && res.RunStatus == "notRun"
		notReached := res.Verdict == cicadaload.ConnectionFailed && res.Status == 0
		if !whole && !refused && !notReached {
			t.Errorf("request %d: %+v", i, res)
		}
	}
	for _, r := range w.Routers() {
		for _, p := range r.State().Homes {
			for _, h := range p.Holders {
				if h.Holder.Host == leaving.Host().Name && len(h.Held) > 0 {
					t.Errorf("the stopped router still holds %+v", h.Held)
				}
			}
		}
	}
}

// TestLeavingRunnerIsHeardOf drains runners: the routers that meet a refusal go
// elsewhere, and the others hear of it from their peers.
func TestLeavingRunnerIsHeardOf(t *testing.T) {
	w := newWorld(t, nil)
	drained := w.Engines()[0]
	drained.SetFaults(cicadastandin.EngineFaults{Draining: true})
	for range 30 {
		if res := call(t, spec(w.Routers()[0], "tag")); res.Verdict != cicadaload.Complete {
			t.Fatalf("%+v", res)
		}
	}
	if n := len(drained.Records()); n != 0 {
		t.Errorf("the leaving runner ran %d requests", n)
	}
	for _, r := range w.Routers() {
		await(t, r.Host().Name+" leaves the runner out", func() bool {
			for _, c := range r.State().Runners["redacteur/moteur"] {
				if c.Name == "moteur-1" {
					return c.ExclusionReason == "leaving"
				}
			}
			return false
		})
	}
}

// TestBrokenAnswerIsSaidToBe ends every engine in the middle of a stream.
func TestBrokenAnswerIsSaidToBe(t *testing.T) {
	w := newWorld(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{StallAfterChunks: 5, ForgetOnStall: true})
	}
	res := call(t, spec(w.Routers()[0], "tag"))
	if res.Verdict != cicadaload.Interrupted {
		t.Fatalf("%+v", res)
	}
	bill := billOf(t, w, res.RequestID)
	if bill.Units != 0 || bill.Withheld == 0 || bill.Outcome != cicadaledger.OutcomeInterrupted {
		t.Errorf("bill %+v", bill)
	}
}

// TestOutageOfThePlatform serves idempotent requests from what is held, refuses
// calls that need a claim, and records the bills afterwards.
func TestOutageOfThePlatform(t *testing.T) {
	w := newWorld(t, nil)
	r := w.Routers()[0]
	if res := call(t, spec(r, "before")); res.Verdict != cicadaload.Complete {
		t.Fatalf("%+v", res)
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{Outage: true})
	during := call(t, spec(r, "during"))
	if during.Verdict != cicadaload.Complete {
		t.Fatalf("in the outage: %+v", during)
	}
	header := map[string]string{"Authorization": "Bearer " + apiKey, "Idempotency-Key": "transfer-1"}
	refused := do(t, http.MethodPost, baseURL(r)+once, "{}", header)
	want := []any{"claimNotRecorded", "notRun", 1}
	if diff := cmp.Diff(want, []any{refused.problem.Code, refused.problem.Ran, refused.problem.RetryAfter}); diff != "" {
		t.Errorf("transfer in the outage (-want +got)\n%s", diff)
	}
	w.Platform().SetFaults(cicadastandin.PlatformFaults{})
	if bill := billOf(t, w, during.RequestID); bill.Outcome != cicadaledger.OutcomeComplete {
		t.Errorf("bill %+v", bill)
	}
}

func TestExplainAndState(t *testing.T) {
	w := newWorld(t, nil)
	r := w.Routers()[0]
	res := call(t, spec(r, "tag"))
	operators := "http://" + r.Host().OperatorAddr
	if got := do(t, http.MethodGet, operators+"/debug/state", "", nil).status; got != http.StatusUnauthorized {
		t.Errorf("state without a token: status %d", got)
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
		t.Error("the counters are no JSON")
	}
	var view struct {
		Entries []struct {
			Kind string `json:"kind"`
		} `json:"entries"`
		Advice string `json:"advice"`
	}
	var kinds []string
	await(t, "the end of the trail", func() bool {
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
		t.Errorf("trail (-want +got)\n%s", diff)
	}
	if got := do(t, http.MethodGet, operators+"/debug/requests/none", "", auth).status; got != http.StatusNotFound {
		t.Errorf("an unknown request: status %d", got)
	}
}

func TestModelsOfTheCaller(t *testing.T) {
	w := newWorld(t, nil)
	r := do(t, http.MethodGet, baseURL(w.Routers()[0])+"/v1/models", "", map[string]string{"Authorization": "Bearer " + apiKey})
	if !strings.Contains(string(r.body), `"id":"redacteur-7b"`) {
		t.Errorf("models: %s", r.body)
	}
}
