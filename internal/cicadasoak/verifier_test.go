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
	resumable
	kindCount
)

// The rule on repeats: in each window, a service gets at most retrySlack arrivals beyond the first of each
// request, and retryRatio times as many as requests in that window, the one before or the one half a window
// before, whichever is most.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 56
)

type (
	// verifier records what callers and runners observed.
	verifier struct {
		mu                   sync.Mutex // guards the fields below
		runCounts            map[string]int
		arrivals             map[string]int    // number of times that a request reached a runner
		repeats, requests    []time.Time       // times of arrivals beyond the first, and of the callers' requests
		deliveredEvents      map[string]int    // by request
		keys                 map[string]string // of the callers, by request
		notRunStatuses       map[string]string // status of the refusal, by the id of a request that was refused as not run
		kinds                map[string]kind
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
		runCounts: map[string]int{}, arrivals: map[string]int{}, deliveredEvents: map[string]int{}, keys: map[string]string{},
		notRunStatuses: map[string]string{}, kinds: map[string]kind{}, counts: map[string]int{},
		disruptions: map[string][]interval{}, unplannedDisruptions: map[string][]interval{}, unansweredRequests: map[string]unansweredRequest{},
	}
}

func kindOf(path string) kind {
	switch {
	case strings.HasPrefix(path, "/once/"):
		return atMostOnce
	case strings.HasPrefix(path, "/again/"):
		return idempotent
	case strings.HasPrefix(path, "/resume/"):
		return resumable
	default:
		return streaming
	}
}

func (k kind) path() string { return [...]string{"/once/x", "/again/x", "/stream/x", "/resume/x"}[k] }

func (k kind) isStream() bool { return k == streaming || k == resumable }

// events returns the number of events of a stream, one token each.
func (k kind) events() int {
	if k == resumable {
		return 30
	}
	return 10
}

// mayRunAgain reports whether requests of this kind may run more than once.
func (k kind) mayRunAgain() bool { return k == idempotent || k == resumable }

func responseBody(id string) string { return "answer to " + id }

func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %d of %s\n\n", n, n, id) }

func streamBody(id string, k kind) string {
	var b strings.Builder
	for i := range k.events() {
		b.WriteString(streamEvent(id, i+1))
	}
	return b.String()
}

func (v *verifier) recordRun(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runCounts[id]++
}

// recordArrival records that a request reached a runner.
func (v *verifier) recordArrival(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.arrivals[id]++; v.arrivals[id] > 1 {
		v.repeats = append(v.repeats, time.Now())
	}
}

// recordRequest records a caller's request and the key that it bears.
func (v *verifier) recordRequest(id, key string, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requests = append(v.requests, at)
	v.keys[id] = key
}

// checkRepeats reports the windows with more repeats than allowed.
func (v *verifier) checkRepeats(t *testing.T) {
	t.Helper()
	count := func(list []time.Time, from time.Time) int {
		first, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(list, from.Add(retryWindow), time.Time.Compare)
		return end - first
	}
	slices.SortFunc(v.requests, time.Time.Compare)
	slices.SortFunc(v.repeats, time.Time.Compare)
	most := 0
	for _, from := range v.repeats {
		requests := max(count(v.requests, from), count(v.requests, from.Add(-retryWindow/2)), count(v.requests, from.Add(-retryWindow)))
		repeats := count(v.repeats, from)
		most = max(most, repeats)
		if allowed := int(retryRatio*float64(requests)) + retrySlack; repeats > allowed {
			t.Errorf("BUDGET: %d repeats within %v at %d requests, allowed %d", repeats, retryWindow, requests, allowed)
			return
		}
	}
	t.Logf("most repeats within %v: %d", retryWindow, most)
}

// usedTokens returns the tokens that count against the budget of apiKey's organisation: the input of the streams that ran and
// the events that were delivered.
func (v *verifier) usedTokens() int {
	used := 0
	for id, key := range v.keys {
		if key != apiKey || !v.kinds[id].isStream() {
			continue
		}
		used += v.deliveredEvents[id]
		if v.runCounts[id] > 0 {
			used += promptTokens
		}
	}
	return used
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
	if k.isStream() {
		v.deliveredEvents[id] = strings.Count(body, "id: ")
	}
	switch status {
	case 0:
		v.counts["no answer"]++
	case 200:
		want := responseBody(id)
		if k.isStream() {
			want = streamBody(id, k)
		}
		switch {
		case err != nil && strings.HasPrefix(want, body):
			v.counts["cut"]++
		case body != want:
			v.violations = append(v.violations, fmt.Sprintf("MIXED: request %s got the body %.80q (error %v), want %.80q", id, body, err, want))
		default:
			v.counts["whole"]++
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
		if n > 1 && !v.kinds[id].mayRunAgain() {
			t.Errorf("TWICE: request %s ran %d times", id, n)
		}
		if status := v.notRunStatuses[id]; status != "" && !v.kinds[id].mayRunAgain() {
			t.Errorf("REFUSED: request %s was refused with status %s, but it ran", id, status)
		}
	}
	for id, req := range v.unansweredRequests {
		if v.runCounts[id] > 0 && !v.wasDisruptedDuring(req) {
			t.Errorf("LOST: request %s ran and got no response from router %s, which was neither killed nor frozen", id, req.router)
		}
	}
	used := v.usedTokens()
	if used > prepaidTokens {
		t.Errorf("BUDGET: requests used %d of %d prepaid tokens", used, prepaidTokens)
	}
	v.checkRepeats(t)
	for _, violation := range v.violations {
		t.Error(violation)
	}
	for _, name := range slices.Sorted(maps.Keys(v.counts)) {
		t.Logf("%s: %d", name, v.counts[name])
	}
	t.Logf("tokens of the requests that ran: %d of %d prepaid", used, prepaidTokens)
}
