package cicadacmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// maxLoadRate and maxLoadTime bound a run.
const (
	maxLoadRate = 5000.0 // requests a second
	maxLoadTime = 10 * time.Minute
)

// loadVerb sends an open-loop load to routers.
type loadVerb struct {
	targets   []string
	keys      []string
	model     string
	rate      float64
	duration  time.Duration
	maxTokens int
	words     int
	stream    bool
	keyed     bool
	json      bool
	seed      uint64
}

func (v *loadVerb) command(env *environment) *ff.Command {
	fs := env.flags("load")
	fs.StringSetVar(&v.targets, 0, "target", "base URL of a router on this machine (repeatable)")
	fs.StringSetVar(&v.keys, 0, "api-key", "API key to send with (repeatable)")
	fs.StringVar(&v.model, 0, "model", "", "model to ask")
	fs.Float64Var(&v.rate, 0, "rate", 20, "requests a second, sent whatever the answers")
	fs.DurationVar(&v.duration, 0, "duration", 10*time.Second, "time of sending")
	fs.IntVar(&v.maxTokens, 0, "max-tokens", 32, "max_tokens of each request")
	fs.IntVar(&v.words, 0, "words", 20, "words of each prompt")
	fs.BoolVarDefault(&v.stream, 0, "stream", true, "ask for streams")
	fs.BoolVar(&v.keyed, 0, "keyed", "give each request an idempotency key")
	fs.BoolVar(&v.json, 0, "json", "print JSON")
	fs.Uint64Var(&v.seed, 0, "seed", 1, "seed of the random choices")
	return &ff.Command{
		Name: "load", Usage: "cicadadyke load [FLAGS]", ShortHelp: "send a load to routers and judge the answers",
		LongHelp: "Answers are compared with what the stand-in's engines say, so the upstreams have to be stand-ins.\n" +
			"Only addresses of this machine are taken as targets. Exits with 1 if an answer was wrong or silently cut.\n\n" +
			"Example:\n  cicadadyke load --target http://127.0.0.1:8080 --api-key demo-key-menages --model redacteur-7b --rate 50",
		Flags: fs,
		Exec:  func(ctx context.Context, _ []string) error { return v.run(ctx, env) },
	}
}

func (v *loadVerb) check() error {
	var wrong []string
	for _, t := range v.targets {
		if !strings.HasPrefix(t, "http://127.") && !strings.HasPrefix(t, "http://[::1]") {
			wrong = append(wrong, "--target "+t+" is not on this machine's loopback")
		}
	}
	if len(v.targets) == 0 {
		wrong = append(wrong, "--target is missing")
	}
	if len(v.keys) == 0 {
		wrong = append(wrong, "--api-key is missing")
	}
	if v.model == "" {
		wrong = append(wrong, "--model is missing")
	}
	if v.rate <= 0 || v.rate > maxLoadRate {
		wrong = append(wrong, fmt.Sprintf("--rate must be above 0 and at most %.0f", maxLoadRate))
	}
	if v.duration <= 0 || v.duration > maxLoadTime {
		wrong = append(wrong, fmt.Sprintf("--duration must be above 0 and at most %s", maxLoadTime))
	}
	if len(wrong) > 0 {
		return usagef("%s", strings.Join(wrong, "\n  "))
	}
	return nil
}

func (v *loadVerb) run(ctx context.Context, env *environment) error {
	if err := v.check(); err != nil {
		return err
	}
	cfg := cicadaload.RunConfig{
		Targets: v.targets, Model: v.model, Rate: v.rate, Duration: v.duration, MaxTokens: v.maxTokens, PromptWords: v.words,
		Stream: v.stream, UseIdempotencyKeys: v.keyed, RandomSeed: v.seed, Timeout: 2 * time.Minute,
	}
	for i, k := range v.keys {
		cfg.Organisations = append(cfg.Organisations, cicadaload.Organisation{Name: fmt.Sprint(i), APIKey: k})
	}
	bar := newProgress(env, "requests sent")
	cfg.OnProgress = bar.set
	caller := cicadaload.NewCaller(256, nil)
	defer caller.Close()
	stats := cicadaload.Run(ctx, cfg, caller)
	bar.end()
	if err := printStats(env, stats, v.json); err != nil {
		return err
	}
	if n := stats.Verdicts[cicadaload.Incorrect] + stats.Verdicts[cicadaload.SilentlyTruncated]; n > 0 {
		return fail(ExitFailed, errors.Errorf("%d answers were wrong or cut without a word", n))
	}
	return nil
}

func printStats(env *environment, s *cicadaload.Stats, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(env.io.Out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(s), "write")
	}
	fmt.Fprintf(env.io.Out, "sent %d in %.1f s, at most %d at once\n", s.Sent, s.Seconds, s.PeakInFlight)
	for verdict, n := range s.Verdicts {
		fmt.Fprintf(env.io.Out, "  %s: %d\n", verdict, n)
	}
	for code, n := range s.RefusalCodes {
		fmt.Fprintf(env.io.Out, "  refused %s: %d\n", code, n)
	}
	for _, q := range []struct {
		name string
		cicadaload.Quantiles
	}{{"first token", s.FirstToken}, {"token gap", s.TokenGap}, {"total", s.Total}} {
		fmt.Fprintf(env.io.Out, "  %s: p50 %.2f ms, p95 %.2f ms, p99 %.2f ms, max %.2f ms (%d)\n", q.name, q.P50, q.P95, q.P99, q.Max, q.Count)
	}
	return nil
}

// progress is a bar on a terminal and nothing elsewhere.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(env *environment, what string) *progress {
	f, ok := env.io.Err.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return &progress{}
	}
	return &progress{bar: progressbar.NewOptions(1, progressbar.OptionSetDescription(what),
		progressbar.OptionSetWriter(f), progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond))}
}

func (p *progress) set(done, total int) {
	if p.bar == nil {
		return
	}
	p.bar.ChangeMax(total)
	_ = p.bar.Set(done)
}

func (p *progress) end() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
