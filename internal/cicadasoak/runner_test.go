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
	// window, toldAfter, contact are those of the rule on limits: the span in which
	// requests are counted, the time after which a router that has been told counts, and
	// the time after a limit's beginning, or a router's trouble, that does not count.
	window    = 4 * time.Second
	toldAfter = 500 * time.Millisecond
	contact   = 3 * time.Second
	// streamEvents are the events of a stream, one token each.
	streamEvents = 10
)

// manner is how a runner treats a request.
type manner int

// The manners.
const (
	answers  manner = iota
	refuses         // says that it did not run the request
	fails           // ran it, and answers 500
	breaks          // runs it and breaks off its answer
	vanishes        // runs it and closes without an answer
	repeats         // sends its last answer once more before the next one
	floods          // answers without an end
	manners         // their number
)

type (
	// runner is an upstream that counts what it gets and can name a limit.
	runner struct {
		*httptest.Server
		id string
		j  *judge

		mu       sync.Mutex // guards the fields below
		rnd      *rand.Rand
		manner   manner
		limit    *float64
		since    time.Time // of the limit
		told     map[string]time.Time
		arrivals []arrival
		last     string // the answer before
	}

	// arrival is a request from a router that had been told the limit.
	arrival struct {
		router string
		at     time.Time
	}
)

func newRunner(t *testing.T, id string, j *judge, s *store) *runner {
	r := &runner{id: id, j: j, rnd: rand.New(rand.NewPCG(uint64(len(id)), 3)), told: map[string]time.Time{}}
	r.Server = httptest.NewServer(r)
	t.Cleanup(r.CloseClientConnections)
	s.put("servers", id, map[string]any{
		"Service": "svc", "Address": r.Listener.Addr().String(), "Zone": "z", "Version": "1", "Slots": 16, "State": "ready", "Seq": 1,
	})
	return r
}

func (r *runner) behave(m manner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.manner = m
}

// name sets the limit; nil for none.
func (r *runner) name(limit *float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	r.limit, r.since, r.told, r.arrivals = limit, time.Now(), map[string]time.Time{}, nil
}

// settle judges the limit that ends.
func (r *runner) settle() {
	if r.limit == nil {
		return
	}
	allowed := int(1.5**r.limit*window.Seconds()) + 5
	var counted []time.Time
	for _, a := range r.arrivals {
		if a.at.Sub(r.since) >= contact && !r.j.excused(a.router, a.at) {
			counted = append(counted, a.at)
		}
	}
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) > window {
			first++
		}
		if got := i - first + 1; got > allowed {
			r.j.broken("LIMIT: runner %s, which had named %g a second, got %d requests in %v, allowed %d", r.id, *r.limit, got, window, allowed)
			return
		}
	}
	r.j.count("limits kept", 1)
	r.j.count("requests in limits", len(counted))
}

// arrive notes a request and returns how it is treated.
func (r *runner) arrive(w http.ResponseWriter, req *http.Request) manner {
	r.mu.Lock()
	defer r.mu.Unlock()
	router, now := req.Header.Get("X-Router"), time.Now()
	if r.limit != nil {
		since, told := r.told[router]
		if told && now.Sub(since) >= toldAfter {
			r.arrivals = append(r.arrivals, arrival{router, now})
		}
		if !told {
			r.told[router] = now
		}
		w.Header().Set("Server-Limit", strconv.FormatFloat(*r.limit, 'f', -1, 64))
	}
	if r.rnd.IntN(2) == 0 {
		return answers
	}
	return r.manner
}

// ServeHTTP serves one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	if req.Header.Get("Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", id)
	m := r.arrive(w, req)
	if m == refuses {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.j.ran(id)
	w.Header().Set("Response-Seal", "s")
	time.Sleep(30 * time.Millisecond)
	switch m {
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case vanishes:
		panic(http.ErrAbortHandler)
	case floods:
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			if _, err := fmt.Fprintf(w, "%0*d", 8<<10, 0); err != nil {
				return
			}
		}
		return
	case repeats:
		if kindOf(req.URL.Path) != stream {
			r.repeat(w, id)
			return
		}
	}
	r.write(w, req, id, m == breaks)
}

func (r *runner) write(w http.ResponseWriter, req *http.Request, id string, broken bool) {
	if kindOf(req.URL.Path) != stream {
		if broken {
			w.Header().Set("Content-Length", "1000")
		}
		fmt.Fprintf(w, "%s", answerTo(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		fmt.Fprintf(w, "%s", eventOf(id, i+1))
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
		if broken && i == streamEvents/2 {
			fmt.Fprintf(w, "id: %d\nda", i+2)
			panic(http.ErrAbortHandler)
		}
	}
}

// repeat sends the last answer on this runner once more, and the right one behind it.
func (r *runner) repeat(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	own := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
		id, len(answerTo(id)), answerTo(id))
	r.mu.Lock()
	before := r.last
	r.last = own
	r.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "%s%s", before, own)
}
