package cicadaresume_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaresume"
	"github.com/google/go-cmp/cmp"
)

const period = 10 * time.Second

var start = time.Unix(1_700_000_000, 0)

// at returns a time of the store's clock.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func TestOnlySoftwareVersionOfAService(t *testing.T) {
	type step struct {
		at    float64 // seconds
		inUse []string
	}
	for _, tt := range []struct {
		name  string
		since int64
		steps []step
		want  map[float64]string // by second; empty if there may have been several
	}{
		{name: "one version", steps: []step{{at: 0, inUse: []string{"v1"}}}, want: map[float64]string{0: "v1", 100: "v1"}},
		{
			name:  "a release that replaces all runners",
			steps: []step{{at: 0, inUse: []string{"v1"}}, {at: 5, inUse: []string{"v1", "v2"}}, {at: 8, inUse: []string{"v2"}}},
			want:  map[float64]string{5: "", 8: "", 17.9: "", 18: "v2"},
		},
		{
			name:  "a version that comes back",
			steps: []step{{at: 0, inUse: []string{"v1", "v2"}}, {at: 5, inUse: []string{"v2"}}, {at: 6, inUse: []string{"v1", "v2"}}, {at: 7, inUse: []string{"v2"}}},
			want:  map[float64]string{15: "", 16.9: "", 17: "v2"},
		},
		{
			name: "a history that began later", since: 1000,
			steps: []step{{at: 1, inUse: []string{"v1"}}},
			want:  map[float64]string{1: "", 10.9: "", 11: "v1"},
		},
		{name: "a runner without a version", steps: []step{{at: 0, inUse: []string{"", "v1"}}}, want: map[float64]string{0: "", 100: ""}},
		{name: "no runner with a version", steps: []step{{at: 0, inUse: []string{""}}}, want: map[float64]string{100: ""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := cicadaresume.History{SinceMillis: tt.since}
			for second, want := range tt.want {
				h := h
				var inUse []string
				for _, s := range tt.steps {
					if s.at <= second {
						h, _ = h.Update(s.inUse, period, at(s.at))
						inUse = s.inUse
					}
				}
				got, ok := h.Only(inUse, period, at(second))
				if diff := cmp.Diff(want, got); diff != "" || ok != (want != "") {
					t.Errorf("at %g s (-want +got), known %t\n%s", second, ok, diff)
				}
			}
		})
	}
}

// A router that has just started reads the history, and sees only the versions that are left.
func TestVersionThatLeftWhileAllRoutersWereDown(t *testing.T) {
	h := cicadaresume.History{}
	h, _ = h.Update([]string{"v1"}, period, at(0))
	if version, ok := h.Only([]string{"v2"}, period, at(20)); ok {
		t.Errorf("only version %q although another has just left", version)
	}
	h, changed := h.Update([]string{"v2"}, period, at(20))
	if !changed {
		t.Error("the history does not change")
	}
	if version, ok := h.Only([]string{"v2"}, period, at(29.9)); ok {
		t.Errorf("only version %q although another left within the period", version)
	}
	if version, _ := h.Only([]string{"v2"}, period, at(30)); version != "v2" {
		t.Errorf("only version %q after the period", version)
	}
}

func TestHistoriesAreMergedWithoutLoss(t *testing.T) {
	older := cicadaresume.History{Era: 2, SinceMillis: 5000, Versions: []cicadaresume.SeenVersion{{Version: "v1"}, {Version: "v2", GoneMillis: 9000}}}
	known := cicadaresume.History{Era: 1, Versions: []cicadaresume.SeenVersion{
		{Version: "v1", GoneMillis: 7000}, {Version: "v2", GoneMillis: 8000}, {Version: "v3"},
	}}
	want := cicadaresume.History{Era: 2, Versions: []cicadaresume.SeenVersion{{Version: "v1"}, {Version: "v2", GoneMillis: 9000}, {Version: "v3"}}}
	if diff := cmp.Diff(want, older.Merge(&known)); diff != "" {
		t.Errorf("history (-want +got)\n%s", diff)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var h cicadaresume.History
	for i := range 1000 {
		h, _ = h.Update([]string{fmt.Sprintf("v%d", i)}, period, at(float64(i)/100))
	}
	if n := len(h.Versions); n > 40 {
		t.Errorf("%d versions in the history", n)
	}
	if version, ok := h.Only([]string{"v999"}, time.Millisecond, at(9.9901)); ok {
		t.Errorf("only version %q although versions were dropped", version)
	}
}

func TestStreamsInRows(t *testing.T) {
	s := cicadaresume.NewStreams()
	now := start
	origins := map[cicadaresume.StreamID]cicadaresume.Origin{}
	var until [cicadaresume.Buckets]int64
	for i := range 500 {
		id := cicadaresume.NewStreamID("acme", fmt.Sprint("request", i))
		origins[id] = cicadaresume.Origin{Service: fmt.Sprint("s", i%2), SoftwareVersion: fmt.Sprint("v", i%3)}
		life := time.Duration(1+i%7) * time.Second
		s.Begin(id, origins[id], now.Add(life), now)
		if i%2 == 0 {
			until[id.Bucket()] = max(until[id.Bucket()], (at(100) + life).Milliseconds())
		}
	}
	rows := s.Rows(func(service string) bool { return service == "s0" }, now, at(100))
	for id, origin := range origins {
		data, err := json.Marshal(&rows[id.Bucket()])
		if err != nil {
			t.Fatal(err)
		}
		var row cicadaresume.Row
		if err := json.Unmarshal(data, &row); err != nil {
			t.Fatal(err)
		}
		got, ok := row.Find(id)
		if origin.Service != "s0" {
			origin = cicadaresume.Origin{}
		}
		if diff := cmp.Diff(origin, got); diff != "" || ok != (origin.Service != "") {
			t.Errorf("stream %d (-want +got), found %t\n%s", id, ok, diff)
		}
		if diff := cmp.Diff(until[id.Bucket()], row.UntilMillis); diff != "" {
			t.Errorf("end of the row (-want +got)\n%s", diff)
		}
	}
	for id := range origins {
		s.Complete(id, now.Add(time.Millisecond))
	}
	for b, row := range s.Rows(func(string) bool { return true }, now.Add(time.Millisecond), at(100)) {
		if !row.IsEmpty() {
			t.Errorf("bucket %d has streams that are complete", b)
		}
	}
}

func TestFloodOfStreamsIsBounded(t *testing.T) {
	s := cicadaresume.NewStreams()
	origin := cicadaresume.Origin{Service: "s", SoftwareVersion: "v1"}
	known := 0
	for i := range 100_000 {
		if s.Begin(cicadaresume.StreamID(i), origin, start.Add(time.Second), start) {
			known++
		}
	}
	if known > 50_000 {
		t.Errorf("%d streams are known", known)
	}
	for b, row := range s.Rows(func(string) bool { return true }, start, 0) {
		data, err := json.Marshal(&row)
		if err != nil || len(data) > 64<<10 {
			t.Errorf("row of bucket %d has %d bytes, error %v", b, len(data), err)
		}
	}
	if !s.Begin(1, origin, start.Add(2*time.Second), start.Add(time.Second)) {
		t.Error("expired streams are not replaced")
	}
}

func TestOrganisationsCannotNameEachOthersStreams(t *testing.T) {
	if cicadaresume.NewStreamID("acme", "1request") == cicadaresume.NewStreamID("acme1", "request") {
		t.Error("two organisations have the same stream")
	}
}

func TestHistoryWithAbsurdTimes(t *testing.T) {
	for _, gone := range []int64{math.MaxInt64, math.MinInt64, math.MaxInt64 - 1} {
		h := cicadaresume.History{Versions: []cicadaresume.SeenVersion{{Version: "v1"}, {Version: "v2", GoneMillis: gone}}}
		if version, ok := h.Only([]string{"v1"}, period, at(100)); ok {
			t.Errorf("only version %q with a version that left at %d ms", version, gone)
		}
	}
	h := cicadaresume.History{SinceMillis: math.MaxInt64, Versions: []cicadaresume.SeenVersion{{Version: "v1"}}}
	if version, ok := h.Only([]string{"v1"}, period, at(100)); ok {
		t.Errorf("only version %q with a history that has not begun", version)
	}
}

// A row may come from another writer.
func TestRowThatIsNotWhole(t *testing.T) {
	row := cicadaresume.Row{Origins: []cicadaresume.OriginRow{{StreamIDs: []byte{1, 2, 3}}, {StreamIDs: make([]byte, 12)}}}
	if _, ok := row.Find(7); ok {
		t.Error("found a stream in half an id")
	}
}
