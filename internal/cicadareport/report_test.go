package cicadareport_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadareport"
	"github.com/google/go-cmp/cmp"
)

const logOfOne = `{"fields":{"host":"a"},"timestamp":"2026-01-02T10:00:00Z","message":"start"}
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
	tally := cicadareport.New(cicadareport.Config{Interval: time.Second, MaxExamples: 2})
	for _, text := range logs {
		if err := tally.Read("a.log", "a", strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return tally
}

// TestUnitsOfAProcessThatEnded has a process end: what it had used counts on, and what
// its successor does not have is out of reach.
func TestUnitsOfAProcessThatEnded(t *testing.T) {
	at := func(second int) time.Time { return time.Date(2026, 1, 2, 10, 0, second, 0, time.UTC) }
	want := []cicadareport.Row{
		{At: at(0), Outcomes: map[string]int{"answered": 1}, Drawn: 0.6, Used: 0.25, Free: 0.3, Locked: 0.2, Reserved: 0.05},
		{At: at(1), Outcomes: map[string]int{"budgetUnsure": 1}, Drawn: 0.6, Used: 0.25, Free: 0.3, Locked: 0.2, Reserved: 0.05},
		{At: at(2), Outcomes: map[string]int{}, Drawn: 0.6, Used: 0.25, Free: 0.2, Locked: 0.2, Unaccounted: 0.15},
	}
	if diff := cmp.Diff(want, read(t, logOfOne).Rows()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// TestCausesNameRequests checks what an engineer goes on from.
func TestCausesNameRequests(t *testing.T) {
	want := []cicadareport.Cause{{
		Outcome: "budgetUnsure", Count: 1, Routes: map[string]int{"r": 1}, Organisations: map[string]int{"acme": 1}, Examples: []string{"q2"},
	}}
	if diff := cmp.Diff(want, read(t, logOfOne).Causes()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// TestUnreadableLinesAreNamed has a line cut off by a full disk.
func TestUnreadableLinesAreNamed(t *testing.T) {
	tally := read(t, logOfOne)
	unread, n := tally.Skipped()
	if n != 1 || len(unread) != 1 || unread[0].Line != 6 || unread[0].Source != "a.log" {
		t.Errorf("%d unreadable lines, %+v", n, unread)
	}
	var out strings.Builder
	if err := tally.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"not read: a.log line 6", "budgetUnsure: 1; routes r 1; organisations acme 1; such as q2"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is not in\n%s", part, out.String())
		}
	}
}

// TestLinesOfManyHostsInOneLog reads what a collector has put hosts before.
func TestLinesOfManyHostsInOneLog(t *testing.T) {
	const text = `x 1 a {"fields":{"free":1,"spent":3},"timestamp":"2026-01-02T10:00:00Z","message":"units held"}
x 2 b {"fields":{"free":2,"spent":4},"timestamp":"2026-01-02T10:00:00Z","message":"units held"}
{"fields":{"free":9,"spent":9},"timestamp":"2026-01-02T10:00:00Z","message":"units held"}
x 3 a {"fields":{"organisation":"acme","drawnByAll":10,"limit":10,"version":8},"timestamp":"2026-01-02T10:00:00Z","message":"units moved"}
x 3 b {"fields":{"organisation":"acme","drawnByAll":11,"limit":10,"version":7},"timestamp":"2026-01-02T10:00:00Z","message":"units moved"}
`
	tally := read(t, text)
	rows := tally.Rows()
	if len(rows) != 1 || rows[0].Free != 0.3 || rows[0].Used != 0.7 || rows[0].Drawn != 1 {
		t.Errorf("%+v", rows)
	}
	if _, n := tally.Skipped(); n != 1 {
		t.Errorf("%d unreadable lines, the one without a host is one", n)
	}
}
