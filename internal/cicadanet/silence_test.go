package cicadanet_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/google/go-cmp/cmp"
)

// silences counts the calls of a timer, of which the first ones do not end the wait. It waits for the
// wanted number and for any further call.
func silences(use func(*cicadanet.SilenceTimer), first, want int32) int32 {
	var calls atomic.Int32
	t := cicadanet.NewSilenceTimer(60*time.Millisecond, func() bool { return calls.Add(1) > first })
	use(t)
	for end := time.Now().Add(5 * time.Second); calls.Load() < want && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	t.Stop()
	return calls.Load()
}

func TestSilenceTimer(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		use   func(*cicadanet.SilenceTimer)
		first int32
		want  int32
	}{
		{"fires once", func(*cicadanet.SilenceTimer) {}, 0, 1},
		{"starts again unless the wait ends", func(*cicadanet.SilenceTimer) {}, 1, 2},
		{"stopped", func(st *cicadanet.SilenceTimer) { st.Stop(); st.Reset(time.Millisecond) }, 0, 0},
		{"suspended", func(st *cicadanet.SilenceTimer) { st.Suspend() }, 0, 0},
		{"reset after it was suspended", func(st *cicadanet.SilenceTimer) { st.Suspend(); st.Reset(20 * time.Millisecond) }, 0, 1},
		{"reset in time", func(st *cicadanet.SilenceTimer) { st.Reset(10 * time.Second) }, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if diff := cmp.Diff(tt.want, silences(tt.use, tt.first, tt.want)); diff != "" {
				t.Errorf("calls (-want +got)\n%s", diff)
			}
		})
	}
}

func TestZeroSilenceTimer(t *testing.T) {
	t.Parallel()
	var st cicadanet.SilenceTimer
	st.Reset(time.Millisecond)
	st.Suspend()
	st.Stop()
	if diff := cmp.Diff(time.Duration(0), st.Late()); diff != "" {
		t.Errorf("late (-want +got)\n%s", diff)
	}
}
