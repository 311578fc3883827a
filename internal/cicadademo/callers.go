package cicadademo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
)

const (
	// keyedShare is the share of requests with an idempotency key.
	keyedShare = 0.5
	// impatientShare is the share of keyed requests whose caller hangs up and
	// comes back to another router with the same key.
	impatientShare = 0.15
	patience       = 40 * time.Millisecond
	callTimeout    = 20 * time.Second
	tries          = 4
	longestBackoff = 500 * time.Millisecond
	maxTokens      = 64
	promptWords    = 12
	// oncePath is a call of the example's front office that may run once.
	oncePath = "/transferts" //nolint:misspell // the service's own French word
)

type (
	// attempt is one HTTP request of a caller.
	attempt struct {
		cicadaload.Result
		At time.Time
	}

	// call is one caller's request with its retries.
	call struct {
		spec     cicadaload.RequestSpec
		budget   string
		attempts []attempt
		hungUp   bool
	}

	// transfer is one call that may run at most once, with its retries.
	transfer struct {
		key      string
		statuses []int
		codes    []string
		whole    bool
	}

	// callers generates the demo's load.
	callers struct {
		w      *Environment
		caller *cicadaload.Caller
		http   *http.Client
		stats  *cicadaload.Stats

		mu        sync.Mutex // guards the fields below
		rng       *rand.Rand
		calls     []*call
		transfers []*transfer
	}
)

func newCallers(w *Environment, seed uint64) *callers {
	return &callers{
		w:      w,
		caller: cicadaload.NewCaller(64, nil),
		http:   &http.Client{Timeout: callTimeout},
		stats:  cicadaload.NewStats(),
		rng:    rand.New(rand.NewPCG(seed, seed)),
	}
}

func (c *callers) random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// target is the balancer: a router drawn at random.
func (c *callers) target() string {
	routers := c.w.Routers()
	return "http://" + routers[int(c.random()*float64(len(routers)))].Host().CallerAddr
}

// run sends requests at a rate for a time, and waits for the answers.
func (c *callers) run(ctx context.Context, doc *cicadadoc.Document, rate float64, d time.Duration) {
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / rate)
	begin := time.Now()
	for i := 0; time.Since(begin) < d && ctx.Err() == nil; i++ {
		org := doc.Organisations[int(c.random()*float64(len(doc.Organisations)))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.one(ctx, doc, org.Name, i)
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * interval)))
	}
	wg.Wait()
}

// one is a caller with its retries.
func (c *callers) one(ctx context.Context, doc *cicadadoc.Document, org string, i int) {
	k := &call{
		budget: budgetOf(doc, org),
		spec: cicadaload.RequestSpec{
			APIKey: "demo-key-" + org, Model: doc.Upstreams[0].Models[0], Tag: fmt.Sprintf("call-%d", i),
			PromptWords: promptWords, MaxTokens: maxTokens, Stream: i%5 != 0,
		},
	}
	if c.random() < keyedShare {
		k.spec.IdempotencyKey = k.spec.Tag
	}
	hangUp := k.spec.IdempotencyKey != "" && c.random() < impatientShare
	for n := range tries {
		if done := c.try(ctx, k, hangUp && n == 0); done {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, k)
}

// try makes one attempt. It reports whether the caller is done.
func (c *callers) try(ctx context.Context, k *call, hangUp bool) bool {
	timeout := callTimeout
	if hangUp {
		timeout = patience
		k.hungUp = true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	spec := k.spec
	spec.BaseURL = c.target()
	at := time.Now()
	res := c.caller.Call(ctx, &spec)
	if hangUp && res.Verdict != cicadaload.Complete {
		res.Verdict = cicadaload.ConnectionFailed
	}
	k.attempts = append(k.attempts, attempt{Result: res, At: at})
	c.stats.Add(&res)
	switch res.Verdict {
	case cicadaload.Complete, cicadaload.Incorrect, cicadaload.Interrupted:
		return true
	case cicadaload.Refused:
		return !c.comesBack(k, &res)
	default:
		// Without a key the caller cannot know whether it ran.
		return k.spec.IdempotencyKey == ""
	}
}

// comesBack waits as the refusal says, if it says that coming back may help.
func (c *callers) comesBack(k *call, res *cicadaload.Result) bool {
	if res.RetryAfter == 0 {
		return false
	}
	if res.RunStatus != string(cicadarefusal.NotRun) && k.spec.IdempotencyKey == "" {
		return false
	}
	time.Sleep(min(res.RetryAfter, longestBackoff))
	return true
}

func budgetOf(doc *cicadadoc.Document, org string) string {
	for _, b := range doc.Budgets {
		if b.Organisation == org {
			return cicadadoc.BudgetID(doc.Service, b.Name)
		}
	}
	return ""
}

// runTransfers sends calls that may run at most once, and repeats each with its
// key at another router, as a caller does whose connection broke.
func (c *callers) runTransfers(ctx context.Context, doc *cicadadoc.Document, rate float64, d time.Duration) {
	var wg sync.WaitGroup
	begin := time.Now()
	interval := time.Duration(float64(time.Second) / rate)
	for i := 0; time.Since(begin) < d && ctx.Err() == nil; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.transfer(ctx, doc, i)
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * interval)))
	}
	wg.Wait()
}

func (c *callers) transfer(ctx context.Context, doc *cicadadoc.Document, i int) {
	t := &transfer{key: fmt.Sprintf("transfer-%d", i)}
	org := doc.Organisations[i%2].Name
	for range 2 {
		if ctx.Err() != nil {
			break
		}
		c.sendTransfer(ctx, doc.Service, org, t)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transfers = append(c.transfers, t)
}

func (c *callers) sendTransfer(ctx context.Context, service, org string, t *transfer) {
	url := c.target() + "/services/" + service + oncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{"order":"`+t.key+`"}`)))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer demo-key-"+org)
	req.Header.Set("Idempotency-Key", t.key)
	resp, err := c.http.Do(req)
	if err != nil {
		t.statuses = append(t.statuses, 0)
		return
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	t.statuses = append(t.statuses, resp.StatusCode)
	if resp.StatusCode == http.StatusOK {
		t.whole = true
		return
	}
	var problem struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(data, &problem) == nil {
		t.codes = append(t.codes, problem.Code)
	}
}

// messageTokens is what an engine may add for a message, by the documented rule
// of reservations.
const messageTokens = 8

// worstCase is the most that a request of the demo can use, by the documented
// rule of reservations: its prompt's bytes, what an engine may add, and its
// maximum of tokens.
func worstCase(s *cicadaload.RequestSpec) cicadabudget.Units {
	return cicadabudget.Units(len(cicadaload.Prompt(s.Tag, s.PromptWords)) + messageTokens + s.MaxTokens)
}

// trueUse is what a request of the demo uses when it runs.
func trueUse(s *cicadaload.RequestSpec) cicadabudget.Units {
	prompt := cicadaload.Prompt(s.Tag, s.PromptWords)
	return cicadabudget.Units(cicadastandin.CountPromptTokens(prompt)) + cicadabudget.Units(cicadastandin.ResponseTokens(prompt, s.MaxTokens))
}
