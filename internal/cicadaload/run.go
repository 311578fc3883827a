package cicadaload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax and histogramDigits size the histograms.
	histogramMax    = int64(10 * time.Minute)
	histogramDigits = 3
	// MaxInFlight bounds the requests in flight of one run.
	MaxInFlight = 4096
)

type (
	// Organisation is a caller's organisation with its API key.
	Organisation struct {
		Name   string
		APIKey string
	}

	// RunConfig describes a run. It ends after Duration, when its requests
	// have been answered.
	RunConfig struct {
		Targets            []string // base URLs of routers, drawn at random
		Organisations      []Organisation
		Model              string
		Rate               float64 // requests a second, all together
		Duration           time.Duration
		MaxTokens          int
		PromptWords        int
		Stream             bool
		UseIdempotencyKeys bool // give each request an idempotency key
		DirectToEngine     bool
		RandomSeed         uint64
		Timeout            time.Duration // of one request
		OnProgress         func(sent, total int)
	}

	// Stats sums up a run.
	Stats struct {
		Sent         int             `json:"sent"`
		Verdicts     map[Verdict]int `json:"verdicts"`
		RefusalCodes map[string]int  `json:"refusals"`
		// NotSent counts requests that were due while MaxOpen were open.
		NotSent int `json:"notSent"`
		// PeakInFlight is the largest number of requests in flight.
		PeakInFlight int64     `json:"mostOpen"`
		Seconds      float64   `json:"seconds"`
		FirstToken   Quantiles `json:"firstToken"`
		TokenGap     Quantiles `json:"tokenGap"`
		Total        Quantiles `json:"total"`
		first        *hdrhistogram.Histogram
		gap          *hdrhistogram.Histogram
		total        *hdrhistogram.Histogram
		mu           sync.Mutex
	}

	// Quantiles are of a histogram, in milliseconds.
	Quantiles struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50Millis"`
		P95   float64 `json:"p95Millis"`
		P99   float64 `json:"p99Millis"`
		Max   float64 `json:"maxMillis"`
	}
)

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{
		Verdicts:     make(map[Verdict]int),
		RefusalCodes: make(map[string]int),
		first:        newHistogram(),
		gap:          newHistogram(),
		total:        newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// Add takes a result.
func (s *Stats) Add(r *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Verdicts[r.Verdict]++
	if r.Verdict == Refused {
		s.RefusalCodes[r.RefusalCode]++
	}
	if r.Verdict != Complete {
		return
	}
	record(s.total, r.Total)
	if r.Streamed && !r.Replayed {
		record(s.first, r.FirstToken)
	}
	for _, g := range r.TokenGaps {
		record(s.gap, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMax, max(1, int64(d))))
}

// Finish works the quantiles out.
func (s *Stats) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.FirstToken, s.TokenGap, s.Total = quantiles(s.first), quantiles(s.gap), quantiles(s.total)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond) }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// Run sends requests at the given rate and waits for their answers.
func Run(ctx context.Context, cfg RunConfig, caller *Caller) *Stats {
	stats := NewStats()
	rng := rand.New(rand.NewPCG(cfg.RandomSeed, cfg.RandomSeed+1))
	total := int(cfg.Rate * cfg.Duration.Seconds())
	interval := time.Duration(float64(time.Second) / cfg.Rate)
	var wg sync.WaitGroup
	var open, most atomic.Int64
	begin := time.Now()
	for i := range total {
		if !sleepUntil(ctx, begin.Add(time.Duration(i)*interval)) {
			break
		}
		if open.Load() >= MaxInFlight {
			stats.NotSent++
			continue
		}
		spec := cfg.spec(rng, i)
		stats.Sent++
		most.Store(max(most.Load(), open.Add(1)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer open.Add(-1)
			callCtx, cancel := context.WithTimeout(ctx, cfg.Timeout)
			defer cancel()
			res := caller.Call(callCtx, &spec)
			stats.Add(&res)
		}()
		if cfg.OnProgress != nil {
			cfg.OnProgress(i+1, total)
		}
	}
	wg.Wait()
	stats.PeakInFlight = most.Load()
	stats.Seconds = time.Since(begin).Seconds()
	stats.Finish()
	return stats
}

func (cfg *RunConfig) spec(rng *rand.Rand, i int) RequestSpec {
	org := cfg.Organisations[rng.IntN(len(cfg.Organisations))]
	s := RequestSpec{
		BaseURL: cfg.Targets[rng.IntN(len(cfg.Targets))], APIKey: org.APIKey, Model: cfg.Model,
		Tag:         fmt.Sprintf("load-%x-%d", cfg.RandomSeed, i),
		PromptWords: cfg.PromptWords, MaxTokens: cfg.MaxTokens, Stream: cfg.Stream, DirectToEngine: cfg.DirectToEngine,
	}
	if cfg.UseIdempotencyKeys {
		s.IdempotencyKey = s.Tag
	}
	return s
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
