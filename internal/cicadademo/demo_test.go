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

func runDemo(t *testing.T, violation cicadademo.Violation, duration time.Duration) *cicadademo.Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	rep, err := cicadademo.Run(ctx, cicadademo.Config{
		Files: os.DirFS("../../examples"), RandomSeed: 1, Duration: duration, RequestsPerSecond: 40, InjectedViolation: violation,
		Logger: &log.Logger{Handler: discard.New()}, OnProgress: func(int, int) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// TestPromisesHoldOnABadDay runs the demo with a planned stop, a crash, a top-up,
// the start of a replacement and retries with idempotency keys. The guarantees
// are checked against the records of the stand-ins.
func TestPromisesHoldOnABadDay(t *testing.T) {
	rep := runDemo(t, cicadademo.NoViolation, 8*time.Second)
	f := rep.Findings
	type violations struct {
		Overspend, UpstreamOverspend                                                             int64
		DuplicateBills, Unbilled, Misbilled, Incorrect, SilentlyTruncated, RunTwice, FalseNotRun int
	}
	got := violations{
		int64(f.Overspend), int64(f.UpstreamOverspend),
		f.DuplicateBills, f.UnbilledResponses, f.MisbilledResponses, f.IncorrectResponses, f.SilentlyTruncated, f.TransfersRunTwice, f.FalseNotRunClaims,
	}
	if diff := cmp.Diff(violations{}, got); diff != "" {
		t.Errorf("violated guarantees (-want +got)\n%s", diff)
	}
	if rep.CompleteResponses < rep.Requests/2 || len(rep.Timeline) != 4 {
		t.Errorf("%d of %d requests got a complete response, want at least half; %d events, want 4", rep.CompleteResponses, rep.Requests, len(rep.Timeline))
	}
}

// TestJudgeFindsABrokenPromise checks that the verifier finds injected violations.
func TestJudgeFindsABrokenPromise(t *testing.T) {
	for _, violation := range []cicadademo.Violation{cicadademo.ViolationDuplicateBill, cicadademo.ViolationOverspend, cicadademo.ViolationIncorrectResponse} {
		t.Run(string(violation), func(t *testing.T) {
			rep := runDemo(t, violation, 2*time.Second)
			f := rep.Findings
			found := map[cicadademo.Violation]bool{
				cicadademo.ViolationDuplicateBill:     f.DuplicateBills > 0,
				cicadademo.ViolationOverspend:         f.Overspend > 0,
				cicadademo.ViolationIncorrectResponse: f.IncorrectResponses > 0,
			}
			if !found[violation] || !f.HasViolations() {
				t.Errorf("injected violation not found: %+v", f)
			}
		})
	}
}
