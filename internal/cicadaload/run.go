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
	// histogramMaxNanos is the largest recorded duration; longer ones are clamped to it.
	histogramMaxNanos          = int64(10 * time.Minute)
	histogramSignificantDigits = 3
	// MaxInFlight limits the requests in flight of one run.
	MaxInFlight = 4096
)

type (
	// Organisation is an organisation that sends requests, with its API key.
	Organisation struct {
		Name   string
		APIKey string
	}

	// RunConfig configures a run. The run sends requests for Duration and then
	// waits for the responses.
	RunConfig struct {
		Targets            []string // base URLs of routers, selected at random
		Organisations      []Organisation
		Model              string
		Rate               float64 // requests per second over all targets
		Duration           time.Duration
		MaxTokens          int
		PromptWords        int
		Stream             bool
		UseIdempotencyKeys bool // send each request with its own idempotency key
		DirectToEngine     bool
		RandomSeed         uint64
		Timeout            time.Duration // per request
		OnProgress         func(sent, total int)
	}

	// Stats are the statistics of a run.
	Stats struct {
		Sent         int             `json:"sent"`
		Verdicts     map[Verdict]int `json:"verdicts"`
		RefusalCodes map[string]int  `json:"refusals"`
		// NotSent counts requests that were skipped because MaxInFlight
		// requests were in flight.
		NotSent int `json:"notSent"`
		// PeakInFlight is the maximum number of requests in flight.
		PeakInFlight   int64     `json:"mostOpen"`
		Seconds        float64   `json:"seconds"`
		FirstToken     Quantiles `json:"firstToken"`
		TokenGap       Quantiles `json:"tokenGap"`
		Total          Quantiles `json:"total"`
		firstTokenHist *hdrhistogram.Histogram
		tokenGapHist   *hdrhistogram.Histogram
		totalHist      *hdrhistogram.Histogram
		mu             sync.Mutex
	}

	// Quantiles are quantiles of durations in milliseconds.
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
		Verdicts:       make(map[Verdict]int),
		RefusalCodes:   make(map[string]int),
		firstTokenHist: newHistogram(),
		tokenGapHist:   newHistogram(),
		totalHist:      newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxNanos, histogramSignificantDigits)
}

// Add records a result. Only complete responses count in the histograms.
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
	record(s.totalHist, r.Total)
	if r.Streamed && !r.Replayed {
		record(s.firstTokenHist, r.FirstToken)
	}
	for _, g := range r.TokenGaps {
		record(s.tokenGapHist, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMaxNanos, max(1, int64(d))))
}

// Finish computes the quantiles.
func (s *Stats) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.FirstToken, s.TokenGap, s.Total = quantiles(s.firstTokenHist), quantiles(s.tokenGapHist), quantiles(s.totalHist)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond) }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// Run sends requests at the rate of cfg and waits for their responses.
func Run(ctx context.Context, cfg RunConfig, caller *Caller) *Stats {
	stats := NewStats()
	rng := rand.New(rand.NewPCG(cfg.RandomSeed, cfg.RandomSeed+1))
	total := int(cfg.Rate * cfg.Duration.Seconds())
	interval := time.Duration(float64(time.Second) / cfg.Rate)
	var wg sync.WaitGroup
	var inFlight, peakInFlight atomic.Int64
	start := time.Now()
	for i := range total {
		if !sleepUntil(ctx, start.Add(time.Duration(i)*interval)) {
			break
		}
		if inFlight.Load() >= MaxInFlight {
			stats.NotSent++
			continue
		}
		spec := cfg.spec(rng, i)
		stats.Sent++
		peakInFlight.Store(max(peakInFlight.Load(), inFlight.Add(1)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer inFlight.Add(-1)
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
	stats.PeakInFlight = peakInFlight.Load()
	stats.Seconds = time.Since(start).Seconds()
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
