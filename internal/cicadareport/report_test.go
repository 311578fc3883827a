package cicadareport_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadareport"
	"github.com/google/go-cmp/cmp"
)

const oneRouterLog = `{"fields":{"host":"a"},"timestamp":"2026-01-02T10:00:00Z","message":"start"}
{"fields":{"organisation":"acme","drawnByAll":600,"limit":1000},"timestamp":"2026-01-02T10:00:00.1Z","message":"units moved"}
{"fields":{"free":300,"dormant":200,"reserved":50,"spent":250},"timestamp":"2026-01-02T10:00:00.5Z","message":"units held"}
{"fields":{"outcome":"answered","requestId":"q1","route":"r","organisation":"acme"},"timestamp":"2026-01-02T10:00:00.6Z","message":"request"}
{"fields":{"outcome":"budgetUnsure","requestId":"q2","route":"r","organisation":"acme"},"timestamp":"2026-01-02T10:00:01.6Z","message":"request"}
{"broken
not a line of a router
{"fields":{"host":"a"},"timestamp":"2026-01-02T10:00:02.1Z","message":"start"}
{"fields":{"free":200,"dormant":200,"reserved":0,"spent":0},"timestamp":"2026-01-02T10:00:02.5Z","message":"units held"}
`

func read(t *testing.T, logs ...string) *cicadareport.Summary {
	t.Helper()
	summary := cicadareport.New(cicadareport.Config{Interval: time.Second, MaxExamples: 2})
	for _, text := range logs {
		if err := summary.Read("a.log", "a", strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return summary
}

// TestUnitsOfEndedProcess checks the units of a process that ended: its used units stay counted, and
// units that the next process of the host does not hold are unaccounted for.
func TestUnitsOfEndedProcess(t *testing.T) {
	at := func(second int) time.Time { return time.Date(2026, 1, 2, 10, 0, second, 0, time.UTC) }
	want := []cicadareport.Row{
		{At: at(0), Outcomes: map[string]int{"answered": 1}, Drawn: 0.6, Used: 0.25, Free: 0.3, Locked: 0.2, Reserved: 0.05},
		{At: at(1), Outcomes: map[string]int{"budgetUnsure": 1}, Drawn: 0.6, Used: 0.25, Free: 0.3, Locked: 0.2, Reserved: 0.05},
		{At: at(2), Outcomes: map[string]int{}, Drawn: 0.6, Used: 0.25, Free: 0.2, Locked: 0.2, Unaccounted: 0.15},
	}
	if diff := cmp.Diff(want, read(t, oneRouterLog).Rows()); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
}

// TestCauses checks that a cause lists routes, organisations and example requests.
func TestCauses(t *testing.T) {
	want := []cicadareport.Cause{{
		Outcome: "budgetUnsure", Count: 1, Routes: map[string]int{"r": 1}, Organisations: map[string]int{"acme": 1}, Examples: []string{"q2"},
	}}
	if diff := cmp.Diff(want, read(t, oneRouterLog).Causes()); diff != "" {
		t.Errorf("causes (-want +got):\n%s", diff)
	}
}

// TestSkippedLinesAreListed checks a truncated line, as after a full disk.
func TestSkippedLinesAreListed(t *testing.T) {
	summary := read(t, oneRouterLog)
	unread, n := summary.Skipped()
	if n != 1 || len(unread) != 1 || unread[0].Line != 6 || unread[0].Source != "a.log" {
		t.Errorf("%d skipped lines, %+v; want line 6 of a.log", n, unread)
	}
	var out strings.Builder
	if err := summary.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"not read: a.log line 6", "budgetUnsure: 1; routes r 1; organisations acme 1; such as q2"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("report does not contain %q:\n%s", part, out.String())
		}
	}
}

// TestCollectedLogOfSeveralHosts checks a log in which a log collector prefixed the lines with hosts.
func TestCollectedLogOfSeveralHosts(t *testing.T) {
	const text = `x 1 a {"fields":{"free":1,"spent":3},"timestamp":"2026-01-02T10:00:00Z","message":"units held"}
x 2 b {"fields":{"free":2,"spent":4},"timestamp":"2026-01-02T10:00:00Z","message":"units held"}
{"fields":{"free":9,"spent":9},"timestamp":"2026-01-02T10:00:00Z","message":"units held"}
x 3 a {"fields":{"organisation":"acme","drawnByAll":10,"limit":10,"version":8},"timestamp":"2026-01-02T10:00:00Z","message":"units moved"}
x 3 b {"fields":{"organisation":"acme","drawnByAll":11,"limit":10,"version":7},"timestamp":"2026-01-02T10:00:00Z","message":"units moved"}
`
	summary := read(t, text)
	rows := summary.Rows()
	if len(rows) != 1 || rows[0].Free != 0.3 || rows[0].Used != 0.7 || rows[0].Drawn != 1 {
		t.Errorf("%+v", rows)
	}
	if _, n := summary.Skipped(); n != 1 {
		t.Errorf("%d skipped lines, want 1, the one without a host", n)
	}
}
