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
	// hangUpShare is the share of keyed requests whose caller disconnects after
	// hangUpTimeout and retries at a random router with the same key.
	hangUpShare   = 0.15
	hangUpTimeout = 40 * time.Millisecond
	callTimeout   = 20 * time.Second
	maxAttempts   = 4
	maxBackoff    = 500 * time.Millisecond
	maxTokens     = 64
	promptWords   = 12
	// atMostOncePath is the path of the example's plain service for requests that
	// must not run a second time.
	atMostOncePath = "/transferts" //nolint:misspell // the service's path is French
)

type (
	// attempt is the result of one HTTP request.
	attempt struct {
		cicadaload.Result
		StartedAt time.Time
	}

	// call is one request with its retries.
	call struct {
		spec     cicadaload.RequestSpec
		budget   string
		attempts []attempt
		hungUp   bool
	}

	// transfer is one at-most-once request with its retries.
	transfer struct {
		key          string
		statuses     []int
		refusalCodes []string
		succeeded    bool
	}

	// loadGenerator sends the demo's requests.
	loadGenerator struct {
		env        *Environment
		caller     *cicadaload.Caller
		httpClient *http.Client
		stats      *cicadaload.Stats

		mu        sync.Mutex // guards the fields below
		rng       *rand.Rand
		calls     []*call
		transfers []*transfer
	}
)

func newLoadGenerator(env *Environment, randomSeed uint64) *loadGenerator {
	return &loadGenerator{
		env:        env,
		caller:     cicadaload.NewCaller(64, nil),
		httpClient: &http.Client{Timeout: callTimeout},
		stats:      cicadaload.NewStats(),
		rng:        rand.New(rand.NewPCG(randomSeed, randomSeed)),
	}
}

func (g *loadGenerator) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// randomRouterURL returns the URL of a random router, as a load balancer selects
// one.
func (g *loadGenerator) randomRouterURL() string {
	routers := g.env.Routers()
	return "http://" + routers[int(g.randomFloat()*float64(len(routers)))].Host().CallerAddr
}

// runCalls sends requests at the given rate for the duration d and waits for
// the responses.
func (g *loadGenerator) runCalls(ctx context.Context, doc *cicadadoc.Document, rate float64, d time.Duration) {
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / rate)
	begin := time.Now()
	for i := 0; time.Since(begin) < d && ctx.Err() == nil; i++ {
		org := doc.Organisations[int(g.randomFloat()*float64(len(doc.Organisations)))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.runCall(ctx, doc, org.Name, i)
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * interval)))
	}
	wg.Wait()
}

// runCall sends one request and its retries.
func (g *loadGenerator) runCall(ctx context.Context, doc *cicadadoc.Document, org string, i int) {
	c := &call{
		budget: budgetOf(doc, org),
		spec: cicadaload.RequestSpec{
			APIKey: "demo-key-" + org, Model: doc.Upstreams[0].Models[0], Tag: fmt.Sprintf("call-%d", i),
			PromptWords: promptWords, MaxTokens: maxTokens, Stream: i%5 != 0,
		},
	}
	if g.randomFloat() < keyedShare {
		c.spec.IdempotencyKey = c.spec.Tag
	}
	hangUp := c.spec.IdempotencyKey != "" && g.randomFloat() < hangUpShare
	for n := range maxAttempts {
		if done := g.runAttempt(ctx, c, hangUp && n == 0); done {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls = append(g.calls, c)
}

// runAttempt makes one attempt and reports whether no retry follows.
func (g *loadGenerator) runAttempt(ctx context.Context, c *call, hangUp bool) bool {
	timeout := callTimeout
	if hangUp {
		timeout = hangUpTimeout
		c.hungUp = true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	spec := c.spec
	spec.BaseURL = g.randomRouterURL()
	at := time.Now()
	res := g.caller.Call(ctx, &spec)
	if hangUp && res.Verdict != cicadaload.Complete {
		res.Verdict = cicadaload.ConnectionFailed
	}
	c.attempts = append(c.attempts, attempt{Result: res, StartedAt: at})
	g.stats.Add(&res)
	switch res.Verdict {
	case cicadaload.Complete, cicadaload.Incorrect, cicadaload.Interrupted:
		return true
	case cicadaload.Refused:
		return !g.waitForRetry(c, &res)
	default:
		// Without an idempotency key a retry could run the request twice.
		return c.spec.IdempotencyKey == ""
	}
}

// waitForRetry waits for the refusal's Retry-After time, at most maxBackoff. It
// returns false if the refusal names none, or if a retry could run the request twice.
func (g *loadGenerator) waitForRetry(c *call, res *cicadaload.Result) bool {
	if res.RetryAfter == 0 {
		return false
	}
	if res.RunStatus != string(cicadarefusal.NotRun) && c.spec.IdempotencyKey == "" {
		return false
	}
	time.Sleep(min(res.RetryAfter, maxBackoff))
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

// runTransfers sends at-most-once requests and repeats each of them with the
// same idempotency key at a random router, as a caller does after a broken
// connection.
func (g *loadGenerator) runTransfers(ctx context.Context, doc *cicadadoc.Document, rate float64, d time.Duration) {
	var wg sync.WaitGroup
	begin := time.Now()
	interval := time.Duration(float64(time.Second) / rate)
	for i := 0; time.Since(begin) < d && ctx.Err() == nil; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.runTransfer(ctx, doc, i)
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * interval)))
	}
	wg.Wait()
}

func (g *loadGenerator) runTransfer(ctx context.Context, doc *cicadadoc.Document, i int) {
	t := &transfer{key: fmt.Sprintf("transfer-%d", i)}
	org := doc.Organisations[i%2].Name
	for range 2 {
		if ctx.Err() != nil {
			break
		}
		g.sendTransfer(ctx, doc.Service, org, t)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transfers = append(g.transfers, t)
}

func (g *loadGenerator) sendTransfer(ctx context.Context, service, org string, t *transfer) {
	url := g.randomRouterURL() + "/services/" + service + atMostOncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{"order":"`+t.key+`"}`)))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer demo-key-"+org)
	req.Header.Set("Idempotency-Key", t.key)
	resp, err := g.httpClient.Do(req)
	if err != nil {
		t.statuses = append(t.statuses, 0)
		return
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	t.statuses = append(t.statuses, resp.StatusCode)
	if resp.StatusCode == http.StatusOK {
		t.succeeded = true
		return
	}
	var problem struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(data, &problem) == nil {
		t.refusalCodes = append(t.refusalCodes, problem.Code)
	}
}

// messageOverheadTokens is the number of tokens that an engine may add for a
// message, by the documented rule of reservations.
const messageOverheadTokens = 8

// worstCaseUnits returns the upper bound of a request's usage, by the documented
// rule of reservations: the bytes of its prompt, the engine's overhead for a
// message, and its maximum of completion tokens.
func worstCaseUnits(s *cicadaload.RequestSpec) cicadabudget.Units {
	return cicadabudget.Units(len(cicadaload.Prompt(s.Tag, s.PromptWords)) + messageOverheadTokens + s.MaxTokens)
}

// actualUnits returns the units that a request uses when it runs.
func actualUnits(s *cicadaload.RequestSpec) cicadabudget.Units {
	prompt := cicadaload.Prompt(s.Tag, s.PromptWords)
	return cicadabudget.Units(cicadastandin.CountPromptTokens(prompt)) + cicadabudget.Units(cicadastandin.ResponseTokens(prompt, s.MaxTokens))
}
