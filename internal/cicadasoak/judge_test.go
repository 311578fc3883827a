package cicadasoak_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// kind is the kind of a request, by its path.
type kind int

// The kinds.
const (
	once kind = iota
	again
	stream
	kinds // their number
)

type (
	// judge keeps what callers and runners saw.
	judge struct {
		mu       sync.Mutex // guards the fields below
		runs     map[string]int
		notRun   map[string]string // requests that were said not to have run, with the status
		kinds    map[string]kind
		whole    int // tokens of whole answers
		counts   map[string]int
		faults   []string
		troubles map[string][]span // of routers
		ends     map[string][]span // of routers that were killed or frozen, planned stops apart
		silent   map[string]waited // requests that got no answer
	}

	// waited is a caller's wait at a router.
	waited struct {
		router string
		span
	}

	span struct{ from, to time.Time }
)

func newJudge() *judge {
	return &judge{
		runs: map[string]int{}, notRun: map[string]string{}, kinds: map[string]kind{}, counts: map[string]int{},
		troubles: map[string][]span{}, ends: map[string][]span{}, silent: map[string]waited{},
	}
}

func kindOf(path string) kind {
	switch {
	case strings.HasPrefix(path, "/once/"):
		return once
	case strings.HasPrefix(path, "/again/"):
		return again
	default:
		return stream
	}
}

func (k kind) path() string { return [...]string{"/once/x", "/again/x", "/stream/x"}[k] }

func answerTo(id string) string { return "answer to " + id }

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %d of %s\n\n", n, n, id) }

func wholeStream(id string) string {
	var b strings.Builder
	for i := range streamEvents {
		b.WriteString(eventOf(id, i+1))
	}
	return b.String()
}

func (j *judge) ran(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
}

func (j *judge) count(what string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[what] += n
}

func (j *judge) broken(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// trouble notes that a router was ended, frozen or started anew.
func (j *judge) trouble(router string, from time.Time, planned bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := span{from, time.Now()}
	j.troubles[router] = append(j.troubles[router], s)
	if !planned {
		j.ends[router] = append(j.ends[router], s)
	}
}

// wasEnded tells whether a router was killed or frozen during a wait.
func (j *judge) wasEnded(w waited) bool {
	for _, s := range j.ends[w.router] {
		if !w.to.Before(s.from) && !s.to.Before(w.from) {
			return true
		}
	}
	return false
}

// unanswered notes a request whose connection ended without an answer.
func (j *judge) unanswered(id, router string, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.silent[id] = waited{router, span{from, time.Now()}}
}

// excused tells whether a router's trouble was less than a contact time ago.
func (j *judge) excused(router string, at time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.troubles[router] {
		if !at.Before(s.from) && at.Before(s.to.Add(contact)) {
			return true
		}
	}
	return false
}

// answered judges what a caller got.
func (j *judge) answered(id string, k kind, status int, body string, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.kinds[id] = k
	switch status {
	case 0:
		j.counts["no answer"]++
	case 200:
		want, tokens := answerTo(id), 0
		if k == stream {
			want, tokens = wholeStream(id), tokensIn+streamEvents
		}
		switch {
		case err != nil && strings.HasPrefix(want, body):
			j.counts["cut"]++
		case body != want:
			j.faults = append(j.faults, fmt.Sprintf("MIXED: %s got %.80q (error %v), want %.80q", id, body, err, want))
		default:
			j.counts["whole"]++
			j.whole += tokens
		}
	case 408, 421, 429, 503:
		j.notRun[id] = fmt.Sprint(status)
		j.counts["not run"]++
	default:
		j.counts[fmt.Sprint("status ", status)]++
	}
}

// report fails the test for each promise that was broken.
func (j *judge) report(t *testing.T) {
	t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, n := range j.runs {
		if n > 1 && j.kinds[id] != again {
			t.Errorf("TWICE: %s ran %d times", id, n)
		}
		if status := j.notRun[id]; status != "" && j.kinds[id] != again {
			t.Errorf("REFUSED: %s was answered %s and ran", id, status)
		}
	}
	for id, w := range j.silent {
		if j.runs[id] > 0 && !j.wasEnded(w) {
			t.Errorf("LOST: %s ran and got no answer from %s, which was neither killed nor frozen", id, w.router)
		}
	}
	if j.whole > prepaid {
		t.Errorf("BUDGET: whole answers used %d of %d", j.whole, prepaid)
	}
	for _, f := range j.faults {
		t.Error(f)
	}
	for _, what := range slices.Sorted(maps.Keys(j.counts)) {
		t.Logf("%s: %d", what, j.counts[what])
	}
	t.Logf("tokens of whole answers: %d of %d", j.whole, prepaid)
}
