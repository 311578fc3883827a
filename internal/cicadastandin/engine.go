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
	// resumeGrace is how long a request goes on without a reader before the
	// engine cancels it.
	resumeGrace = 2 * time.Second
	// cachedPrefixes bounds the engine's prefix cache, in entries.
	cachedPrefixes = 64
	// prefixLength is the part of a prompt that a cache entry covers, in bytes.
	prefixLength = 64
	// minAnswer and answerSpread give the length of an answer in tokens.
	minAnswer    = 8
	answerSpread = 40
)

// The states of a request at an engine.
const (
	StateRunning   = "running"
	StateComplete  = "whole"
	StateCancelled = "cancelled"
)

type (
	// EngineConfig sets up an Engine.
	EngineConfig struct {
		Name            string
		Capacity        int           // requests generated at once
		TokenInterval   time.Duration // between two tokens
		PrefillPerToken time.Duration // for each prompt token that is not cached
		LoadReportDelay time.Duration // how late the engine reports its load
	}

	// EngineFaults are the ways in which the engine misbehaves now.
	EngineFaults struct {
		Hang             bool `json:"hang"`         // takes requests and never answers
		Draining         bool `json:"draining"`     // refuses new work
		Fail             bool `json:"fail"`         // answers each request with status 500
		DuplicateChunks  bool `json:"repeatChunks"` // sends each chunk twice
		StallAfterChunks int  `json:"stallAfter"`   // goes silent after so many chunks, once a request
		// ForgetOnStall forgets the request when its stream goes silent, as a
		// crashed and restarted engine does.
		ForgetOnStall bool `json:"forgetOnStall"`
	}

	// Engine is the stand-in for a model engine. It batches up to Capacity
	// requests, queues the rest by priority, and keeps a record of each.
	Engine struct {
		cfg EngineConfig

		mu       sync.Mutex // guards the fields below
		faults   EngineFaults
		running  int
		queue    []*waiter
		requests map[string]*generation
		order    []string
		prefixes []string
		fenced   map[string]bool // router processes that are refused
		hits     int64
		received int
		reported cicadaupstream.Load
		loadAt   time.Time
	}

	waiter struct {
		live  bool
		ready chan struct{}
	}

	// generation is one request. Its tokens are a function of its prompt, so
	// that a reader can tell its own answer from another's.
	generation struct {
		record    EngineRecord
		tag       string
		length    int
		made      int
		stalled   bool
		forgotten bool
		readers   int
		changed   chan struct{} // closed and replaced when made or state changes
		cancel    context.CancelFunc
	}

	// EngineRecord is the engine's own account of a request.
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

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, requests: make(map[string]*generation), fenced: make(map[string]bool)}
}

// SetFaults replaces the present faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Records returns every request that the engine ran, in order.
func (e *Engine) Records() []EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]EngineRecord, 0, len(e.order))
	for _, id := range e.order {
		out = append(out, e.requests[id].record)
	}
	return out
}

// ReceivedRequests returns how many requests reached the engine, run or not.
func (e *Engine) ReceivedRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

// CacheHits returns how many prompts began with a cached prefix.
func (e *Engine) CacheHits() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits
}

// load returns the load as of the last report. The caller holds e.mu.
func (e *Engine) load() cicadaupstream.Load {
	if now := time.Now(); now.Sub(e.loadAt) >= e.cfg.LoadReportDelay {
		e.reported = cicadaupstream.Load{Running: e.running, Waiting: len(e.queue)}
		e.loadAt = now
	}
	l := e.reported
	l.Draining = e.faults.Draining
	return l
}

// CountPromptTokens counts a prompt's tokens: its words.
func CountPromptTokens(prompt string) int64 { return int64(len(strings.Fields(prompt))) }

// Token is the i-th token of the answer to a prompt with the given tag.
func Token(tag string, i int) string { return fmt.Sprintf("%s.%d ", tag, i) }

// Tag is the first word of a prompt, which its answer repeats.
func Tag(prompt string) string {
	fields := strings.Fields(prompt)
	if len(fields) == 0 {
		return "empty"
	}
	return fields[0]
}

// ResponseTokens is the number of tokens of a prompt's answer.
func ResponseTokens(prompt string, maxTokens int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	return min(maxTokens, minAnswer+int(h.Sum32()%answerSpread))
}

// begin starts to generate. An attempt with a known id joins what is there.
func (e *Engine) begin(r *engineRequest) *generation {
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
		tag:     Tag(r.prompt),
		length:  ResponseTokens(r.prompt, r.maxTokens),
		changed: make(chan struct{}),
		cancel:  cancel,
	}
	e.requests[r.id] = g
	e.order = append(e.order, r.id)
	go e.generate(ctx, g, r)
	return g
}

func (e *Engine) generate(ctx context.Context, g *generation, r *engineRequest) {
	defer g.cancel()
	if !e.acquire(ctx, r.live) {
		e.end(g, StateCancelled)
		return
	}
	defer e.release()
	uncached := e.uncachedTokens(r.prompt)
	pause(ctx, time.Duration(uncached)*e.cfg.PrefillPerToken)
	for g.made < g.length {
		pause(ctx, e.cfg.TokenInterval)
		if ctx.Err() != nil {
			e.end(g, StateCancelled)
			return
		}
		e.mu.Lock()
		g.made++
		g.record.CompletionTokens++
		g.notify()
		e.mu.Unlock()
	}
	e.end(g, StateComplete)
}

func pause(ctx context.Context, d time.Duration) {
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

// notify wakes the readers. The caller holds e.mu.
func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (e *Engine) end(g *generation, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.record.State == StateRunning {
		g.record.State = state
		g.record.EndedAt = time.Now()
		g.notify()
	}
}

// acquire waits for one of the engine's slots, live requests first.
func (e *Engine) acquire(ctx context.Context, live bool) bool {
	e.mu.Lock()
	if e.running < e.cfg.Capacity {
		e.running++
		e.mu.Unlock()
		return true
	}
	w := &waiter{live: live, ready: make(chan struct{})}
	e.queue = append(e.queue, w)
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].live && !e.queue[j].live })
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return e.leaveQueue(w)
	}
}

// leaveQueue reports whether w got a slot while it gave up.
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

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		e.running--
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	close(next.ready)
}

// uncachedTokens returns the prompt tokens to prefill, and caches the prefix.
func (e *Engine) uncachedTokens(prompt string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefix := prompt[:min(len(prompt), prefixLength)]
	for i, p := range e.prefixes {
		if p == prefix {
			e.prefixes = append(append(e.prefixes[:i], e.prefixes[i+1:]...), prefix)
			e.hits++
			return CountPromptTokens(prompt[len(prefix):])
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return CountPromptTokens(prompt)
}

// detach notes that a reader left. Without any, the engine goes on for a while
// so that the stream can be taken up again, and then cancels.
func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	g.readers--
	alone := g.readers == 0 && g.record.State == StateRunning
	e.mu.Unlock()
	if !alone {
		return
	}
	time.AfterFunc(resumeGrace, func() {
		e.mu.Lock()
		abandoned := g.readers == 0
		e.mu.Unlock()
		if abandoned {
			g.cancel()
		}
	})
}
