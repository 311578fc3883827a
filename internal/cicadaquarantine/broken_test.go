package cicadaquarantine_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/google/go-cmp/cmp"
)

// Evidence of crashes is lost if connections break when nobody can tell why, and the cause is found out later.
func TestCrashThatIsFoundOutLaterIsForgotten(t *testing.T) {
	t.Parallel()
	const second = time.Second
	bad := begun([]traits{{"bad"}})
	reported := func(runner string, at time.Duration) []cicadaquarantine.Report {
		return []cicadaquarantine.Report{{Crashes: []cicadaquarantine.Crash{{Runner: runner, AtMillis: at.Milliseconds()}}}}
	}
	for name, tt := range map[string]struct {
		play func(q *cicadaquarantine.Quarantine)
		want [][]cicadaquarantine.Trait
	}{
		"the entry of the successor follows": {
			play: func(q *cicadaquarantine.Quarantine) {
				q.RecordBreak("r1", 1*second, bad)
				q.RecordBreak("r2", 2*second, bad)
				q.ConfirmBreak("r1", 20*second)
				q.ConfirmBreak("r2", 20*second)
			},
			want: [][]cicadaquarantine.Trait{{"bad"}},
		},
		"it follows too late": {
			play: func(q *cicadaquarantine.Quarantine) {
				q.RecordBreak("r1", 1*second, bad)
				q.RecordBreak("r2", 2*second, bad)
				q.ConfirmBreak("r1", 200*second)
				q.ConfirmBreak("r2", 200*second)
			},
		},
		"the runner is known to live on": {
			play: func(q *cicadaquarantine.Quarantine) {
				for _, r := range []string{"r1", "r2"} {
					q.RecordBreak(r, 1*second, bad)
					q.RecordRenewal(r, 5*second)
					q.RecordRenewal(r, 6*second)
				}
				q.ConfirmBreak("r1", 20*second)
				q.ConfirmBreak("r2", 21*second)
			},
		},
		"its last entry is read after its end": {
			play: func(q *cicadaquarantine.Quarantine) {
				for i, r := range []string{"r1", "r2"} {
					q.RecordBreak(r, time.Duration(i+1)*second, bad)
					q.RecordRenewal(r, 3*second)
					q.RecordRenewal(r, 6*second)
					q.RecordRenewal(r, 6*second) // an earlier one of the same read
				}
				q.ConfirmBreak("r1", 20*second)
				q.ConfirmBreak("r2", 20*second)
			},
			want: [][]cicadaquarantine.Trait{{"bad"}},
		},
		"connections of sound requests end a little later": {
			play: func(q *cicadaquarantine.Quarantine) {
				for i, r := range []string{"r1", "r2"} {
					at := time.Duration(i+1) * second
					q.RecordBreak(r, at, bad)
					q.RecordBreak(r, at+50*time.Millisecond, begun([]traits{{"sound", cicadaquarantine.Trait(r)}}))
					q.ConfirmBreak(r, at+3*second)
				}
				q.RecordAnswer(traits{"sound"}, 10*second)
			},
			want: [][]cicadaquarantine.Trait{{"bad"}},
		},
		"connections broke for another reason long before": {
			play: func(q *cicadaquarantine.Quarantine) {
				for i, r := range []string{"r1", "r2"} {
					q.RecordBreak(r, 1*second, begun([]traits{{"sound"}}))
					q.RecordAnswer(traits{"sound"}, 2*second)
					q.RecordBreak(r, time.Duration(100+i)*second, bad)
					q.ConfirmBreak(r, 200*second)
				}
			},
			want: [][]cicadaquarantine.Trait{{"bad"}},
		},
		"connections broke before the crash": {
			play: func(q *cicadaquarantine.Quarantine) {
				for i, r := range []string{"r1", "r2"} {
					q.RecordBreak(r, 1*second, begun([]traits{{"sound"}}))
					q.RecordCrash(r, time.Duration(100+i)*second, bad)
					q.ConfirmBreak(r, time.Duration(101+i)*second)
				}
			},
			want: [][]cicadaquarantine.Trait{{"bad"}},
		},
		"another router reports the crash afterwards": {
			play: func(q *cicadaquarantine.Quarantine) {
				q.RecordBreak("r1", 1*second, bad)
				q.RecordBreak("r2", 2*second, bad)
				q.Merge(reported("r1", 1*second), 3*second)
				q.Merge(reported("r2", 2*second), 3*second)
			},
			want: [][]cicadaquarantine.Trait{{"bad"}},
		},
		"another router reports the crash before": {
			play: func(q *cicadaquarantine.Quarantine) {
				q.Merge(reported("r1", 1*second), 3*second)
				q.Merge(reported("r2", 2*second), 3*second)
				q.RecordBreak("r1", 1*second, bad)
				q.RecordBreak("r2", 2*second, bad)
			},
			want: [][]cicadaquarantine.Trait{{"bad"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := cicadaquarantine.New(cicadaquarantine.Config{})
			tt.play(q)
			var got [][]cicadaquarantine.Trait
			for _, b := range q.Blocks(0) {
				got = append(got, b.Traits)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("blocks (-want +got)\n%s", diff)
			}
		})
	}
}

// A flood of connections that break for no known reason must not push out the last ones.
func TestFloodOfBreaksIsBounded(t *testing.T) {
	t.Parallel()
	q := cicadaquarantine.New(cicadaquarantine.Config{})
	runner := func(i int) string { return string(rune('A' + i)) }
	const count = 1000
	for i := range count {
		q.RecordBreak(runner(i), time.Duration(i)*time.Millisecond, begun([]traits{{"bad"}}))
	}
	got := []bool{q.IsBroken(runner(0), time.Second), q.IsBroken(runner(count-1), time.Second)}
	if diff := cmp.Diff([]bool{false, true}, got); diff != "" {
		t.Errorf("the first and the last are kept (-want +got)\n%s", diff)
	}
}
