package cicadacmd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cicadadyke/cicadadyke/internal/cicadademo"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
)

// demoTimeout ends a demonstration that hangs.
const demoTimeout = 55 * time.Second

// demoVerb runs the demonstration.
type demoVerb struct {
	json     bool
	seed     uint64
	rate     float64
	duration time.Duration
	broken   string
	verbose  bool
}

func (v *demoVerb) command(env *environment) *ff.Command {
	fs := env.flags("demo")
	fs.BoolVar(&v.json, 0, "json", "print JSON")
	fs.Uint64Var(&v.seed, 0, "seed", 1, "seed of the random choices")
	fs.Float64Var(&v.rate, 0, "rate", 120, "requests a second")
	fs.DurationVar(&v.duration, 0, "duration", 16*time.Second, "time of sending, at most 30s")
	fs.BoolVar(&v.verbose, 0, "verbose", "print the routers' log")
	fs.StringVar(&v.broken, 0, "break", "", "break a promise on purpose: doubledBill, overspend or wrongAnswer")
	return &ff.Command{
		Name: "demo", Usage: "cicadadyke demo [FLAGS]", ShortHelp: "run a small fleet through an ordinary bad day and judge it",
		LongHelp: "Eight routers in the four places of the qc-est example, on loopback sockets in one process, with\n" +
			"stand-ins for platform and upstreams. Exits with 1 if a promise was broken, by the stand-ins' own records.",
		Flags: fs,
		Exec:  func(ctx context.Context, _ []string) error { return v.run(ctx, env) },
	}
}

func (v *demoVerb) run(ctx context.Context, env *environment) error {
	if v.rate <= 0 || v.rate > 500 || v.duration < time.Second || v.duration > 30*time.Second {
		return usagef("--rate must be above 0 and at most 500, --duration 1s to 30s")
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	logger := &log.Logger{Handler: logfmt.New(env.io.Err), Level: log.FatalLevel}
	if v.verbose {
		logger.Level = log.InfoLevel
	}
	bar := newProgress(env, "events of the day")
	rep, err := cicadademo.Run(ctx, cicadademo.Config{
		Files: env.examples, RandomSeed: v.seed, Duration: v.duration, RequestsPerSecond: v.rate, InjectedViolation: cicadademo.Violation(v.broken),
		Logger: logger, OnProgress: bar.set,
	})
	bar.end()
	if err != nil {
		return err
	}
	if v.json {
		enc := json.NewEncoder(env.io.Out)
		enc.SetIndent("", "  ")
		err = errors.Wrap(enc.Encode(rep), "write")
	} else {
		err = rep.WriteTable(env.io.Out)
	}
	if err == nil && rep.Findings.HasViolations() {
		err = fail(ExitFailed, errors.New("a promise was broken"))
	}
	return err
}
