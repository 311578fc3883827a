package cicadasoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// The rule on rate limits: requests are counted over rateWindow. A router's requests count
	// from noticeDelay after it received the limit. Requests within gracePeriod after the limit
	// was set, or after a disruption of the router, do not count.
	rateWindow  = 4 * time.Second
	noticeDelay = 500 * time.Millisecond
	gracePeriod = 3 * time.Second
	// streamEvents is the number of events of a stream, one token each.
	streamEvents = 10
)

// runnerMode is how a runner treats a request.
type runnerMode int

// The modes of a runner.
const (
	runnerHealthy     runnerMode = iota
	runnerRefuses                // responds that it did not run the request
	runnerFails                  // runs the request and responds with status 500
	runnerTruncates              // runs the request and truncates the response
	runnerDisconnects            // runs the request and closes the connection without a response
	runnerDuplicates             // sends the previous response again before the next one
	runnerFloods                 // sends an endless response
	runnerModeCount
)

type (
	// runner is an upstream that records its requests and can advertise a rate limit.
	runner struct {
		*httptest.Server
		id       string
		verifier *verifier

		mu           sync.Mutex // guards the fields below
		rnd          *rand.Rand
		mode         runnerMode
		limit        *float64
		limitSince   time.Time
		notifiedAt   map[string]time.Time // first response with the limit, by router
		arrivals     []arrival
		lastResponse string
	}

	// arrival is a request from a router that had received the limit.
	arrival struct {
		router string
		at     time.Time
	}
)

func newRunner(t *testing.T, id string, v *verifier, s *store) *runner {
	r := &runner{id: id, verifier: v, rnd: rand.New(rand.NewPCG(uint64(len(id)), 3)), notifiedAt: map[string]time.Time{}}
	r.Server = httptest.NewServer(r)
	t.Cleanup(r.CloseClientConnections)
	s.putRow("servers", id, map[string]any{
		"Service": "svc", "Address": r.Listener.Addr().String(), "Zone": "z", "Version": "1", "Slots": 16, "State": "ready", "Seq": 1,
	})
	return r
}

func (r *runner) setMode(mode runnerMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

// setLimit sets the rate limit in requests per second; nil means none.
func (r *runner) setLimit(limit *float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkLimit()
	r.limit, r.limitSince, r.notifiedAt, r.arrivals = limit, time.Now(), map[string]time.Time{}, nil
}

// checkLimit checks the arrivals under the current limit before it is replaced.
func (r *runner) checkLimit() {
	if r.limit == nil {
		return
	}
	allowed := int(1.5**r.limit*rateWindow.Seconds()) + 5
	var counted []time.Time
	for _, a := range r.arrivals {
		if a.at.Sub(r.limitSince) >= gracePeriod && !r.verifier.disruptedRecently(a.router, a.at) {
			counted = append(counted, a.at)
		}
	}
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) > rateWindow {
			first++
		}
		if got := i - first + 1; got > allowed {
			r.verifier.addViolation("LIMIT: runner %s with a limit of %g requests/s got %d requests in %v, allowed %d", r.id, *r.limit, got, rateWindow, allowed)
			return
		}
	}
	r.verifier.addCount("limits kept", 1)
	r.verifier.addCount("requests in limits", len(counted))
}

// recordArrival records a request and returns the mode for it. In every mode a random half of
// the requests is treated as by a healthy runner.
func (r *runner) recordArrival(w http.ResponseWriter, req *http.Request) runnerMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	router, now := req.Header.Get("X-Router"), time.Now()
	if r.limit != nil {
		notifiedAt, notified := r.notifiedAt[router]
		if notified && now.Sub(notifiedAt) >= noticeDelay {
			r.arrivals = append(r.arrivals, arrival{router, now})
		}
		if !notified {
			r.notifiedAt[router] = now
		}
		w.Header().Set("Server-Limit", strconv.FormatFloat(*r.limit, 'f', -1, 64))
	}
	if r.rnd.IntN(2) == 0 {
		return runnerHealthy
	}
	return r.mode
}

// ServeHTTP serves one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	if req.Header.Get("Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", id)
	mode := r.recordArrival(w, req)
	if mode == runnerRefuses {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.verifier.recordRun(id)
	w.Header().Set("Response-Seal", "s")
	time.Sleep(30 * time.Millisecond)
	switch mode {
	case runnerFails:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case runnerDisconnects:
		panic(http.ErrAbortHandler)
	case runnerFloods:
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			if _, err := fmt.Fprintf(w, "%0*d", 8<<10, 0); err != nil {
				return
			}
		}
		return
	case runnerDuplicates:
		if kindOf(req.URL.Path) != streaming {
			r.writeDuplicate(w, id)
			return
		}
	}
	r.writeResponse(w, req, id, mode == runnerTruncates)
}

func (r *runner) writeResponse(w http.ResponseWriter, req *http.Request, id string, truncate bool) {
	if kindOf(req.URL.Path) != streaming {
		if truncate {
			w.Header().Set("Content-Length", "1000")
		}
		fmt.Fprintf(w, "%s", responseBody(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		fmt.Fprintf(w, "%s", streamEvent(id, i+1))
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
		if truncate && i == streamEvents/2 {
			fmt.Fprintf(w, "id: %d\nda", i+2)
			panic(http.ErrAbortHandler)
		}
	}
}

// writeDuplicate sends the runner's previous response again, followed by the right one. Like all
// responses they state the runner's limit: one without it tells routers that the limit has ended.
func (r *runner) writeDuplicate(w http.ResponseWriter, id string) {
	limitHeader := ""
	if limit := w.Header().Get("Server-Limit"); limit != "" {
		limitHeader = "Server-Limit: " + limit + "\r\n"
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, limitHeader, len(responseBody(id)), responseBody(id))
	r.mu.Lock()
	previous := r.lastResponse
	r.lastResponse = response
	r.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "%s%s", previous, response)
}
