package cicadastandin

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
)

const (
	// resumeGracePeriod is the time after which the engine cancels a request that
	// has no reader.
	resumeGracePeriod = 2 * time.Second
	// maxCachedPrefixes is the maximum number of entries in the prefix cache.
	maxCachedPrefixes = 64
	// prefixBytes is the length of the prompt prefix that is cached.
	prefixBytes = 64
	// A response has at least minResponseTokens and less than
	// minResponseTokens+responseTokensRange tokens.
	minResponseTokens   = 8
	responseTokensRange = 40
)

// States of a request at an engine.
const (
	StateRunning   = "running"
	StateComplete  = "whole"
	StateCancelled = "cancelled"
)

type (
	// EngineConfig configures an Engine.
	EngineConfig struct {
		Name            string
		Capacity        int           // maximum number of requests processed concurrently
		TokenInterval   time.Duration // interval between two tokens
		PrefillPerToken time.Duration // time for each prompt token that is not cached
		LoadReportDelay time.Duration // minimum age of a load report before it is renewed
		// Crash ends the engine's server when CrashOn applies. It is called without locks held.
		Crash func()
	}

	// EngineFaults are the faults that the engine simulates.
	EngineFaults struct {
		Hang             bool `json:"hang"`         // accepts requests and never responds
		Draining         bool `json:"draining"`     // refuses new requests
		Fail             bool `json:"fail"`         // responds to each request with status 500
		DuplicateChunks  bool `json:"repeatChunks"` // sends each chunk twice
		StallAfterChunks int  `json:"stallAfter"`   // stalls each stream once, after this number of chunks
		// ForgetOnStall cancels and forgets a request when its stream stalls, as
		// if the engine had crashed and restarted.
		ForgetOnStall bool `json:"forgetOnStall"`
		// CrashOn crashes the engine when it begins to answer a prompt that contains this text.
		CrashOn string `json:"crashOn,omitempty"`
	}

	// Engine is the stand-in for a model engine. It processes up to Capacity
	// requests concurrently, queues the rest by priority, and keeps a record of
	// each request.
	Engine struct {
		cfg EngineConfig

		mu             sync.Mutex // guards the fields below
		faults         EngineFaults
		running        int
		queue          []*waiter
		requests       map[string]*generation
		requestIDs     []string
		prefixCache    []string
		fenced         map[string]bool // router processes whose requests are refused
		cacheHits      int64
		received       int
		reportedLoad   cicadaupstream.Load
		loadReportedAt time.Time
	}

	waiter struct {
		live    bool
		granted chan struct{}
	}

	// generation is the processing of one request. Its tokens are derived from
	// the prompt, so that a reader can detect the response to another request.
	generation struct {
		record      EngineRecord
		tag         string
		totalTokens int
		generated   int
		stalled     bool
		forgotten   bool
		readers     int
		updated     chan struct{} // closed and replaced when generated or the state changes
		cancel      context.CancelFunc
	}

	// EngineRecord is the engine's record of a request.
	EngineRecord struct {
		cicadaupstream.Record
		Key          string    `json:"key"`
		Router       string    `json:"router"`
		Organisation string    `json:"organisation"`
		StartedAt    time.Time `json:"startedAt"`
		EndedAt      time.Time `json:"endedAt"`
	}

	engineRequest struct {
		id           string
		attempt      int
		key          string
		router       string
		organisation string
		live         bool
		prompt       string
		maxTokens    int
	}
)

// NewEngine returns an engine without requests.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, requests: make(map[string]*generation), fenced: make(map[string]bool)}
}

// SetFaults replaces the simulated faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// crash forgets all requests and ends the server.
func (e *Engine) crash() {
	e.mu.Lock()
	for _, g := range e.requests {
		g.forgotten = true
		g.cancel()
	}
	e.mu.Unlock()
	e.cfg.Crash()
}

// Records returns the records of all requests that the engine started, in order. A
// request that was started again with another attempt number is listed once for each
// start, each time with the record of its last attempt.
func (e *Engine) Records() []EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]EngineRecord, 0, len(e.requestIDs))
	for _, id := range e.requestIDs {
		out = append(out, e.requests[id].record)
	}
	return out
}

// ReceivedRequests returns the number of requests that reached the engine, including
// those that it refused.
func (e *Engine) ReceivedRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

// CacheHits returns the number of prompts with a cached prefix.
func (e *Engine) CacheHits() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheHits
}

// loadReport returns the last reported load, which it renews if it is older than
// LoadReportDelay. The caller must hold e.mu.
func (e *Engine) loadReport() cicadaupstream.Load {
	if now := time.Now(); now.Sub(e.loadReportedAt) >= e.cfg.LoadReportDelay {
		e.reportedLoad = cicadaupstream.Load{Running: e.running, Waiting: len(e.queue)}
		e.loadReportedAt = now
	}
	l := e.reportedLoad
	l.Draining = e.faults.Draining
	return l
}

// CountPromptTokens returns the number of tokens of a prompt, which is the number of
// its words.
func CountPromptTokens(prompt string) int64 { return int64(len(strings.Fields(prompt))) }

// Token returns token i of the response to a prompt with the given tag.
func Token(tag string, i int) string { return fmt.Sprintf("%s.%d ", tag, i) }

// Tag returns the first word of a prompt, which each token of the response repeats.
func Tag(prompt string) string {
	fields := strings.Fields(prompt)
	if len(fields) == 0 {
		return "empty"
	}
	return fields[0]
}

// ResponseTokens returns the number of tokens of the response to a prompt.
func ResponseTokens(prompt string, maxTokens int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	return min(maxTokens, minResponseTokens+int(h.Sum32()%responseTokensRange))
}

// startGeneration starts the generation for a request. For a known id and attempt it
// returns the existing one.
func (e *Engine) startGeneration(r *engineRequest) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.requests[r.id]; ok && g.record.Attempt == r.attempt {
		return g
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{
		record: EngineRecord{
			Record: cicadaupstream.Record{
				RequestID: r.id, Attempt: r.attempt, State: StateRunning, PromptTokens: CountPromptTokens(r.prompt),
			},
			Key: r.key, Router: r.router, Organisation: r.organisation, StartedAt: time.Now(),
		},
		tag:         Tag(r.prompt),
		totalTokens: ResponseTokens(r.prompt, r.maxTokens),
		updated:     make(chan struct{}),
		cancel:      cancel,
	}
	e.requests[r.id] = g
	e.requestIDs = append(e.requestIDs, r.id)
	go e.generate(ctx, g, r)
	return g
}

func (e *Engine) generate(ctx context.Context, g *generation, r *engineRequest) {
	defer g.cancel()
	if !e.acquireSlot(ctx, r.live) {
		e.finish(g, StateCancelled)
		return
	}
	defer e.releaseSlot()
	uncached := e.uncachedTokens(r.prompt)
	sleep(ctx, time.Duration(uncached)*e.cfg.PrefillPerToken)
	for g.generated < g.totalTokens {
		sleep(ctx, e.cfg.TokenInterval)
		if ctx.Err() != nil {
			e.finish(g, StateCancelled)
			return
		}
		e.mu.Lock()
		g.generated++
		g.record.CompletionTokens++
		g.notifyReaders()
		e.mu.Unlock()
	}
	e.finish(g, StateComplete)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// notifyReaders wakes the readers. The caller must hold e.mu.
func (g *generation) notifyReaders() {
	close(g.updated)
	g.updated = make(chan struct{})
}

func (e *Engine) finish(g *generation, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.record.State == StateRunning {
		g.record.State = state
		g.record.EndedAt = time.Now()
		g.notifyReaders()
	}
}

// acquireSlot waits for one of the engine's slots, which live requests get before batch
// requests, and reports whether it acquired one before ctx was done.
func (e *Engine) acquireSlot(ctx context.Context, live bool) bool {
	e.mu.Lock()
	if e.running < e.cfg.Capacity {
		e.running++
		e.mu.Unlock()
		return true
	}
	w := &waiter{live: live, granted: make(chan struct{})}
	e.queue = append(e.queue, w)
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].live && !e.queue[j].live })
	e.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		return e.leaveQueue(w)
	}
}

// leaveQueue removes w from the queue. It reports true if w is not queued any more
// because it has got a slot.
func (e *Engine) leaveQueue(w *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, q := range e.queue {
		if q == w {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return false
		}
	}
	return true
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		e.running--
		return
	}
	w := e.queue[0]
	e.queue = e.queue[1:]
	close(w.granted)
}

// uncachedTokens returns the number of prompt tokens to prefill and caches the prefix.
func (e *Engine) uncachedTokens(prompt string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefix := prompt[:min(len(prompt), prefixBytes)]
	for i, p := range e.prefixCache {
		if p == prefix {
			e.prefixCache = append(append(e.prefixCache[:i], e.prefixCache[i+1:]...), prefix)
			e.cacheHits++
			return CountPromptTokens(prompt[len(prefix):])
		}
	}
	e.prefixCache = append(e.prefixCache, prefix)
	if len(e.prefixCache) > maxCachedPrefixes {
		e.prefixCache = e.prefixCache[1:]
	}
	return CountPromptTokens(prompt)
}

// detachReader removes a reader. If none is left, the request continues for
// resumeGracePeriod, so that its stream can be resumed, and is then cancelled.
func (e *Engine) detachReader(g *generation) {
	e.mu.Lock()
	g.readers--
	unread := g.readers == 0 && g.record.State == StateRunning
	e.mu.Unlock()
	if !unread {
		return
	}
	time.AfterFunc(resumeGracePeriod, func() {
		e.mu.Lock()
		abandoned := g.readers == 0
		e.mu.Unlock()
		if abandoned {
			g.cancel()
		}
	})
}
