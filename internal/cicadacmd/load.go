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

// Limits of a load run.
const (
	maxLoadRate     = 5000.0 // requests a second
	maxLoadDuration = 10 * time.Minute
)

// loadVerb sends open-loop load to routers.
type loadVerb struct {
	targets            []string
	apiKeys            []string
	model              string
	rate               float64
	duration           time.Duration
	maxTokens          int
	promptWords        int
	stream             bool
	useIdempotencyKeys bool
	json               bool
	seed               uint64
}

func (v *loadVerb) command(env *environment) *ff.Command {
	fs := env.flags("load")
	fs.StringSetVar(&v.targets, 0, "target", "base URL of a router on this machine (repeatable)")
	fs.StringSetVar(&v.apiKeys, 0, "api-key", "API key to send with (repeatable)")
	fs.StringVar(&v.model, 0, "model", "", "model to request")
	fs.Float64Var(&v.rate, 0, "rate", 20, "requests a second, sent independently of the responses")
	fs.DurationVar(&v.duration, 0, "duration", 10*time.Second, "duration of the load")
	fs.IntVar(&v.maxTokens, 0, "max-tokens", 32, "max_tokens of each request")
	fs.IntVar(&v.promptWords, 0, "words", 20, "words of each prompt")
	fs.BoolVarDefault(&v.stream, 0, "stream", true, "request streams")
	fs.BoolVar(&v.useIdempotencyKeys, 0, "keyed", "give each request an idempotency key")
	fs.BoolVar(&v.json, 0, "json", "print JSON")
	fs.Uint64Var(&v.seed, 0, "seed", 1, "seed of the random choices")
	return &ff.Command{
		Name: "load", Usage: "cicadadyke load [FLAGS]", ShortHelp: "send load to routers and check the responses",
		LongHelp: "Responses are compared with those that stand-in engines generate, so the upstreams have to be stand-ins.\n" +
			"Targets have to be loopback addresses. Exits with 1 if a response was incorrect or silently truncated.\n\n" +
			"Example:\n  cicadadyke load --target http://127.0.0.1:8080 --api-key demo-key-menages --model redacteur-7b --rate 50",
		Flags: fs,
		Exec:  func(ctx context.Context, _ []string) error { return v.run(ctx, env) },
	}
}

func (v *loadVerb) validate() error {
	var problems []string
	for _, t := range v.targets {
		if !strings.HasPrefix(t, "http://127.") && !strings.HasPrefix(t, "http://[::1]") {
			problems = append(problems, "--target "+t+" is not on this machine's loopback")
		}
	}
	if len(v.targets) == 0 {
		problems = append(problems, "--target is missing")
	}
	if len(v.apiKeys) == 0 {
		problems = append(problems, "--api-key is missing")
	}
	if v.model == "" {
		problems = append(problems, "--model is missing")
	}
	if v.rate <= 0 || v.rate > maxLoadRate {
		problems = append(problems, fmt.Sprintf("--rate must be above 0 and at most %.0f", maxLoadRate))
	}
	if v.duration <= 0 || v.duration > maxLoadDuration {
		problems = append(problems, fmt.Sprintf("--duration must be above 0 and at most %s", maxLoadDuration))
	}
	if len(problems) > 0 {
		return usageErrorf("%s", strings.Join(problems, "\n  "))
	}
	return nil
}

func (v *loadVerb) run(ctx context.Context, env *environment) error {
	if err := v.validate(); err != nil {
		return err
	}
	cfg := cicadaload.RunConfig{
		Targets: v.targets, Model: v.model, Rate: v.rate, Duration: v.duration, MaxTokens: v.maxTokens, PromptWords: v.promptWords,
		Stream: v.stream, UseIdempotencyKeys: v.useIdempotencyKeys, RandomSeed: v.seed, Timeout: 2 * time.Minute,
	}
	for i, k := range v.apiKeys {
		cfg.Organisations = append(cfg.Organisations, cicadaload.Organisation{Name: fmt.Sprint(i), APIKey: k})
	}
	bar := newProgress(env, "requests sent")
	cfg.OnProgress = bar.set
	caller := cicadaload.NewCaller(256, nil)
	defer caller.Close()
	stats := cicadaload.Run(ctx, cfg, caller)
	bar.finish()
	if err := printStats(env, stats, v.json); err != nil {
		return err
	}
	if n := stats.Verdicts[cicadaload.Incorrect] + stats.Verdicts[cicadaload.SilentlyTruncated]; n > 0 {
		return withExitCode(ExitFailed, errors.Errorf("%d responses were incorrect or silently truncated", n))
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

// progress shows a progress bar on a terminal. On other outputs it prints nothing.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(env *environment, description string) *progress {
	f, ok := env.io.Err.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return &progress{}
	}
	return &progress{bar: progressbar.NewOptions(1, progressbar.OptionSetDescription(description),
		progressbar.OptionSetWriter(f), progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond))}
}

func (p *progress) set(done, total int) {
	if p.bar == nil {
		return
	}
	p.bar.ChangeMax(total)
	_ = p.bar.Set(done)
}

func (p *progress) finish() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
