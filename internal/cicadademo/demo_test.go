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

func run(t *testing.T, b cicadademo.Violation, d time.Duration) *cicadademo.Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	rep, err := cicadademo.Run(ctx, cicadademo.Config{
		Files: os.DirFS("../../examples"), RandomSeed: 1, Duration: d, RequestsPerSecond: 40, InjectedViolation: b,
		Logger: &log.Logger{Handler: discard.New()}, OnProgress: func(int, int) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// TestPromisesHoldOnABadDay runs the demo: planned stop, sudden death, top-up,
// replacement, retries with keys. What the stand-ins recorded is judged.
func TestPromisesHoldOnABadDay(t *testing.T) {
	rep := run(t, cicadademo.NoViolation, 8*time.Second)
	f := rep.Findings
	type promises struct {
		Overspend, UpstreamOverspend                                    int64
		Doubled, Unbilled, Misbilled, Wrong, SilentCuts, Twice, NotRuns int
	}
	got := promises{
		int64(f.Overspend), int64(f.UpstreamOverspend),
		f.DuplicateBills, f.UnbilledResponses, f.MisbilledResponses, f.IncorrectResponses, f.SilentlyTruncated, f.TransfersRunTwice, f.FalseNotRunClaims,
	}
	if diff := cmp.Diff(promises{}, got); diff != "" {
		t.Errorf("broken promises (-want +got)\n%s", diff)
	}
	if rep.CompleteResponses < rep.Requests/2 || len(rep.Timeline) != 4 {
		t.Errorf("only %d of %d requests were answered whole, %d events", rep.CompleteResponses, rep.Requests, len(rep.Timeline))
	}
}

// TestJudgeFindsABrokenPromise breaks promises on purpose.
func TestJudgeFindsABrokenPromise(t *testing.T) {
	for _, b := range []cicadademo.Violation{cicadademo.ViolationDuplicateBill, cicadademo.ViolationOverspend, cicadademo.ViolationIncorrectResponse} {
		t.Run(string(b), func(t *testing.T) {
			rep := run(t, b, 2*time.Second)
			f := rep.Findings
			found := map[cicadademo.Violation]bool{
				cicadademo.ViolationDuplicateBill:     f.DuplicateBills > 0,
				cicadademo.ViolationOverspend:         f.Overspend > 0,
				cicadademo.ViolationIncorrectResponse: f.IncorrectResponses > 0,
			}
			if !found[b] || !f.HasViolations() {
				t.Errorf("not found: %+v", f)
			}
		})
	}
}
