package cicadacrash_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/google/go-cmp/cmp"
)

func TestRunnerIsCheckedForEachBrokenAttempt(t *testing.T) {
	t.Parallel()
	checked := make(chan *cicadacrash.Broken, 2)
	d := cicadacrash.NewDetector(cicadacrash.Config[string]{
		Go:    func(f func()) { go f() },
		Check: func(_ string, b *cicadacrash.Broken) { checked <- b },
	})
	at := time.Now()
	begun := []cicadaquarantine.Suspect{{"part:a"}}
	waiting := []cicadaquarantine.Suspect{{"part:b"}}
	d.Add("r1", &cicadacrash.Broken{At: at.Add(time.Millisecond), RequestIDs: []string{"1"}, Suspects: cicadaquarantine.Suspects{Begun: begun}})
	d.Add("r1", &cicadacrash.Broken{At: at, RequestIDs: []string{"2"}, Suspects: cicadaquarantine.Suspects{Waiting: waiting}})
	want := &cicadacrash.Broken{At: at, RequestIDs: []string{"1", "2"}, Suspects: cicadaquarantine.Suspects{Begun: begun, Waiting: waiting}}
	if diff := cmp.Diff(want, <-checked); diff != "" {
		t.Errorf("attempts of one check (-want +got)\n%s", diff)
	}
	d.Add("r1", &cicadacrash.Broken{At: at, RequestIDs: []string{"3"}})
	if diff := cmp.Diff([]string{"3"}, (<-checked).RequestIDs); diff != "" {
		t.Errorf("attempts of the next check (-want +got)\n%s", diff)
	}
}
