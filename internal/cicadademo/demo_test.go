package cicadademo_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cicadadyke/cicadadyke/internal/cicadademo"
	"github.com/google/go-cmp/cmp"
)

func run(t *testing.T, b cicadademo.Break, d time.Duration) *cicadademo.Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	rep, err := cicadademo.Run(ctx, cicadademo.Config{
		Files: os.DirFS("../../examples"), Seed: 1, Duration: d, Rate: 40, Break: b,
		Log: &log.Logger{Handler: discard.New()}, OnProgress: func(int, int) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// TestPromisesHoldOnABadDay runs the demo: planned stop, sudden death, top-up,
// replacement, retries with keys. What the stand-ins recorded is judged.
func TestPromisesHoldOnABadDay(t *testing.T) {
	rep := run(t, cicadademo.BreakNone, 8*time.Second)
	f := rep.Findings
	type promises struct {
		Overspend, UpstreamOverspend                                    int64
		Doubled, Unbilled, Misbilled, Wrong, SilentCuts, Twice, NotRuns int
	}
	got := promises{
		int64(f.Overspend), int64(f.UpstreamOverspend),
		f.DoubledBills, f.Unbilled, f.Misbilled, f.WrongAnswers, f.SilentCuts, f.TransfersTwice, f.FalseNotRun,
	}
	if diff := cmp.Diff(promises{}, got); diff != "" {
		t.Errorf("broken promises (-want +got)\n%s", diff)
	}
	if rep.Whole < rep.Requests/2 || len(rep.Timeline) != 4 {
		t.Errorf("only %d of %d requests were answered whole, %d events", rep.Whole, rep.Requests, len(rep.Timeline))
	}
}

// TestJudgeFindsABrokenPromise breaks promises on purpose.
func TestJudgeFindsABrokenPromise(t *testing.T) {
	for _, b := range []cicadademo.Break{cicadademo.BreakDoubledBill, cicadademo.BreakOverspend, cicadademo.BreakWrongAnswer} {
		t.Run(string(b), func(t *testing.T) {
			rep := run(t, b, 2*time.Second)
			f := rep.Findings
			found := map[cicadademo.Break]bool{
				cicadademo.BreakDoubledBill: f.DoubledBills > 0,
				cicadademo.BreakOverspend:   f.Overspend > 0,
				cicadademo.BreakWrongAnswer: f.WrongAnswers > 0,
			}
			if !found[b] || !f.Broken() {
				t.Errorf("not found: %+v", f)
			}
		})
	}
}
