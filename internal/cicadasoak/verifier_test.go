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

// kind is the kind of a request's route.
type kind int

// The kinds of routes.
const (
	atMostOnce kind = iota
	idempotent
	streaming
	kindCount
)

type (
	// verifier records what callers and runners observed.
	verifier struct {
		mu                   sync.Mutex // guards the fields below
		runCounts            map[string]int
		notRunStatuses       map[string]string // status of the refusal, by the id of a request that was refused as not run
		kinds                map[string]kind
		completeTokens       int // of complete responses
		counts               map[string]int
		violations           []string
		disruptions          map[string][]interval        // by router
		unplannedDisruptions map[string][]interval        // by router: killed, frozen, exited on its own or failed on SIGTERM
		unansweredRequests   map[string]unansweredRequest // by request id
	}

	// unansweredRequest is the time that a caller waited for a router's response.
	unansweredRequest struct {
		router string
		interval
	}

	interval struct{ from, to time.Time }
)

func newVerifier() *verifier {
	return &verifier{
		runCounts: map[string]int{}, notRunStatuses: map[string]string{}, kinds: map[string]kind{}, counts: map[string]int{},
		disruptions: map[string][]interval{}, unplannedDisruptions: map[string][]interval{}, unansweredRequests: map[string]unansweredRequest{},
	}
}

func kindOf(path string) kind {
	switch {
	case strings.HasPrefix(path, "/once/"):
		return atMostOnce
	case strings.HasPrefix(path, "/again/"):
		return idempotent
	default:
		return streaming
	}
}

func (k kind) path() string { return [...]string{"/once/x", "/again/x", "/stream/x"}[k] }

func responseBody(id string) string { return "answer to " + id }

func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %d of %s\n\n", n, n, id) }

func streamBody(id string) string {
	var b strings.Builder
	for i := range streamEvents {
		b.WriteString(streamEvent(id, i+1))
	}
	return b.String()
}

func (v *verifier) recordRun(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runCounts[id]++
}

func (v *verifier) addCount(name string, n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counts[name] += n
}

func (v *verifier) addViolation(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// recordDisruption records that a router was stopped, frozen or restarted.
func (v *verifier) recordDisruption(router string, from time.Time, planned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	disruption := interval{from, time.Now()}
	v.disruptions[router] = append(v.disruptions[router], disruption)
	if !planned {
		v.unplannedDisruptions[router] = append(v.unplannedDisruptions[router], disruption)
	}
}

// wasDisruptedDuring reports whether an unplanned disruption of the router overlapped the
// caller's wait.
func (v *verifier) wasDisruptedDuring(req unansweredRequest) bool {
	for _, disruption := range v.unplannedDisruptions[req.router] {
		if !req.to.Before(disruption.from) && !disruption.to.Before(req.from) {
			return true
		}
	}
	return false
}

// recordUnanswered records a request whose connection ended without a response.
func (v *verifier) recordUnanswered(id, router string, from time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unansweredRequests[id] = unansweredRequest{router, interval{from, time.Now()}}
}

// disruptedRecently reports whether the router was disrupted at the given time or less than
// gracePeriod before it.
func (v *verifier) disruptedRecently(router string, at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, disruption := range v.disruptions[router] {
		if !at.Before(disruption.from) && at.Before(disruption.to.Add(gracePeriod)) {
			return true
		}
	}
	return false
}

// recordResponse records and checks the response that a caller received.
func (v *verifier) recordResponse(id string, k kind, status int, body string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.kinds[id] = k
	switch status {
	case 0:
		v.counts["no answer"]++
	case 200:
		want, tokens := responseBody(id), 0
		if k == streaming {
			want, tokens = streamBody(id), promptTokens+streamEvents
		}
		switch {
		case err != nil && strings.HasPrefix(want, body):
			v.counts["cut"]++
		case body != want:
			v.violations = append(v.violations, fmt.Sprintf("MIXED: request %s got the body %.80q (error %v), want %.80q", id, body, err, want))
		default:
			v.counts["whole"]++
			v.completeTokens += tokens
		}
	case 408, 421, 429, 503:
		v.notRunStatuses[id] = fmt.Sprint(status)
		v.counts["not run"]++
	default:
		v.counts[fmt.Sprint("status ", status)]++
	}
}

// report fails the test for each violation and logs the counts.
func (v *verifier) report(t *testing.T) {
	t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, n := range v.runCounts {
		if n > 1 && v.kinds[id] != idempotent {
			t.Errorf("TWICE: request %s ran %d times", id, n)
		}
		if status := v.notRunStatuses[id]; status != "" && v.kinds[id] != idempotent {
			t.Errorf("REFUSED: request %s was refused with status %s, but it ran", id, status)
		}
	}
	for id, req := range v.unansweredRequests {
		if v.runCounts[id] > 0 && !v.wasDisruptedDuring(req) {
			t.Errorf("LOST: request %s ran and got no response from router %s, which was neither killed nor frozen", id, req.router)
		}
	}
	if v.completeTokens > prepaidTokens {
		t.Errorf("BUDGET: complete responses used %d of %d prepaid tokens", v.completeTokens, prepaidTokens)
	}
	for _, violation := range v.violations {
		t.Error(violation)
	}
	for _, name := range slices.Sorted(maps.Keys(v.counts)) {
		t.Logf("%s: %d", name, v.counts[name])
	}
	t.Logf("tokens of complete responses: %d of %d prepaid", v.completeTokens, prepaidTokens)
}
