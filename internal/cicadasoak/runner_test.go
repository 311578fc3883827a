package cicadasoak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	// eventInterval is the time between two events of a stream.
	eventInterval = 20 * time.Millisecond
)

// runnerMode is how a runner treats a request.
type runnerMode int

// The modes of a runner.
const (
	runnerHealthy      runnerMode = iota
	runnerRefuses                 // responds that it did not run the request
	runnerFails                   // runs the request and responds with status 500
	runnerTruncates               // runs the request and truncates the response
	runnerDisconnects             // runs the request and closes the connection without a response
	runnerDuplicates              // sends the previous response again before the next one
	runnerFloods                  // sends an endless response
	runnerUnframed                // sends responses that end with their connections
	runnerResets                  // resets such a response in its middle
	runnerStutters                // sends each response twice, the second time late
	runnerCrashes                 // its connections end and new ones are refused
	runnerRestarts                // it ends and another process accepts connections at its address at once
	runnerIsReplaced              // the same, and its listener does not close
	runnerAnswersFirst            // answers before it has read the request, and ends the response early
	runnerModeCount
	runnerStalls // runs the request and responds late; not one of the faults of the soak
)

type (
	// runner is an upstream that records its requests and can advertise a rate limit.
	runner struct {
		t          *testing.T
		name, addr string
		store      *store
		verifier   *verifier
		crash      sync.Mutex // held while the runner is gone

		mu           sync.Mutex // guards the fields below
		id           string     // of the process
		boots        int
		rnd          *rand.Rand
		mode         runnerMode
		limit        *float64
		limitSince   time.Time
		notifiedAt   map[string]time.Time // first response with the limit, by router
		arrivals     []arrival
		lastResponse string
		server       *http.Server
		ln           *net.TCPListener
		served       chan struct{}     // closed when server accepts no more connections
		conns        map[net.Conn]bool // open connections
	}

	// runnerListener keeps the accepted connections of a runner, as the kernel does.
	runnerListener struct {
		*net.TCPListener
		runner *runner
	}

	// arrival is a request from a router that had received the limit.
	arrival struct {
		router string
		at     time.Time
	}
)

func newRunner(t *testing.T, id string, v *verifier, s *store) *runner {
	r := &runner{
		t: t, name: id, id: id, addr: freeAddr(t), store: s, verifier: v, rnd: rand.New(rand.NewPCG(uint64(len(id)), 3)),
		notifiedAt: map[string]time.Time{}, conns: map[net.Conn]bool{},
	}
	r.start()
	t.Cleanup(func() { r.kill(true) })
	r.register()
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
			r.verifier.addViolation("LIMIT: runner %s with a limit of %g requests/s got %d requests in %v, allowed %d", r.name, *r.limit, got, rateWindow, allowed)
			return
		}
	}
	r.verifier.addCount("limits kept", 1)
	r.verifier.addCount("requests in limits", len(counted))
}

// recordArrival records a request and returns the mode for it. In every mode a random half of
// the requests is treated as by a healthy runner, which sends a quarter of its responses unframed.
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
	mode := r.mode
	if r.rnd.IntN(2) == 0 {
		mode = runnerHealthy
	}
	if mode == runnerHealthy && r.rnd.IntN(4) == 0 {
		mode = runnerUnframed
	}
	return mode
}

// ServeHTTP serves one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	r.verifier.recordArrival(id)
	if req.Header.Get("Expect-Instance") != r.currentID() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", id)
	mode := r.recordArrival(w, req)
	if mode != runnerAnswersFirst {
		_, _ = io.Copy(io.Discard, req.Body) // the router may have left
	}
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
	case runnerStalls:
		time.Sleep(2 * time.Second)
	case runnerFloods:
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			if _, err := fmt.Fprintf(w, "%0*d", 8<<10, 0); err != nil {
				return
			}
		}
		return
	case runnerDuplicates:
		if !kindOf(req.URL.Path).isStream() {
			r.writeDuplicate(w, id)
			return
		}
	case runnerUnframed, runnerResets:
		r.writeUnframed(w, req, id, mode == runnerResets)
		return
	case runnerStutters:
		r.stutter(w, req, id)
		return
	case runnerAnswersFirst:
		r.answerFirst(w, req, id)
		return
	}
	r.writeResponse(w, req, id, mode == runnerTruncates)
}

func (r *runner) writeResponse(w http.ResponseWriter, req *http.Request, id string, truncate bool) {
	if !kindOf(req.URL.Path).isStream() {
		if truncate {
			w.Header().Set("Content-Length", "1000")
		}
		fmt.Fprintf(w, "%s", responseBody(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	count := kindOf(req.URL.Path).events()
	for i := firstEvent(req); i < count; i++ {
		fmt.Fprintf(w, "%s", streamEvent(id, i+1))
		w.(http.Flusher).Flush()
		time.Sleep(eventInterval)
		if truncate && i == count/2 {
			fmt.Fprintf(w, "id: %d\nda", i+2)
			panic(http.ErrAbortHandler)
		}
	}
}

// firstEvent returns the number of events that the caller has of a stream.
func firstEvent(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil || !kindOf(req.URL.Path).isStream() {
		return 0
	}
	return n
}

// rawHeader returns the header of a response without its framing. Like all responses it states the
// runner's limit: one without it tells routers that the limit has ended.
func rawHeader(w http.ResponseWriter, req *http.Request) string {
	header := "HTTP/1.1 200 OK\r\nRequest-Id: " + req.Header.Get("Request-Id") + "\r\nResponse-Seal: s\r\n"
	if limit := w.Header().Get("Server-Limit"); limit != "" {
		header += "Server-Limit: " + limit + "\r\n"
	}
	if kindOf(req.URL.Path).isStream() {
		header += "Content-Type: text/event-stream\r\n"
	}
	return header
}

// rawBody returns the parts of the body of a response, in the order in which they are made.
func rawBody(req *http.Request, id string) []string {
	if !kindOf(req.URL.Path).isStream() {
		text := responseBody(id)
		return []string{text[:len(text)/2], text[len(text)/2:]}
	}
	var parts []string
	for i := firstEvent(req); i < kindOf(req.URL.Path).events(); i++ {
		parts = append(parts, streamEvent(id, i+1))
	}
	return parts
}

// writeUnframed sends a response that ends with its connection, or resets it in its middle.
func (r *runner) writeUnframed(w http.ResponseWriter, req *http.Request, id string, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\n", rawHeader(w, req))
	parts := rawBody(req, id)
	for i, part := range parts {
		if reset && i == (len(parts)+1)/2 {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = fmt.Fprintf(conn, "%s", part)
		time.Sleep(eventInterval)
	}
}

// stutter sends a response and, some time later, the same once more. The next request on the connection
// is answered after that.
func (r *runner) stutter(w http.ResponseWriter, req *http.Request, id string) {
	body := strings.Join(rawBody(req, id), "")
	response := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", rawHeader(w, req), len(body), body)
	conn, br, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprint(conn, response)
	r.mu.Lock()
	delay := time.Duration(r.rnd.IntN(300)) * time.Millisecond
	r.mu.Unlock()
	time.Sleep(delay)
	_, _ = fmt.Fprint(conn, response)
	next, err := http.ReadRequest(br.Reader)
	if err != nil {
		return
	}
	nextID := next.Header.Get("Request-Id")
	r.verifier.recordArrival(nextID)
	r.verifier.recordRun(nextID)
	body = strings.Join(rawBody(next, nextID), "")
	_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", rawHeader(w, next), len(body), body)
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
