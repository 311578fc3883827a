package cicadasoak_test

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// silentCallDuration is the time that a silent store holds a call open.
const silentCallDuration = 5 * time.Second

// storeMode is how the store treats calls.
type storeMode int

// The modes of the store.
const (
	storeHealthy        storeMode = iota
	storeRefuses                  // refuses calls without executing them
	storeSilent                   // neither executes calls nor responds
	storeLosesResponses           // executes all calls, but closes the connections of a third without a response
	storeSlow                     // responds with a delay
)

type (
	// store implements the platform's row protocol in memory.
	store struct {
		*httptest.Server
		startedAt time.Time

		mu       sync.Mutex // guards the fields below
		rnd      *rand.Rand
		revision uint64
		rows     map[rowKey]row
		history  []row
		changed  chan struct{}
		mode     storeMode
	}

	rowKey struct{ Table, Key string }

	// row is a row in the encoding of the protocol.
	row struct {
		Table, Key    string
		Part          string `json:"part"`
		Value         []byte `json:",omitempty"`
		SchemaVersion uint64
		Deleted       bool `json:",omitempty"`
	}

	transaction struct {
		ExpectedRev []row
		SetKeys     []row
		Remove      []row
	}

	rowsReply struct {
		Rows          []row
		Truncated     bool
		SchemaVersion uint64
		NowMs         float64
	}
)

func newStore(t *testing.T, seed uint64) *store {
	s := &store{startedAt: time.Now(), rnd: rand.New(rand.NewPCG(seed, 2)), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadadyke/rows-get", s.withFaults(s.handleGet))
	mux.HandleFunc("GET /cicadadyke/rows-feed", s.withFaults(s.handleFeed))
	mux.HandleFunc("POST /cicadadyke/rows-tx", s.withFaults(s.handleCommit))
	s.Server = httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s
}

func (s *store) addr() string { return s.Listener.Addr().(*net.TCPAddr).String() }

func (s *store) setMode(mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// withFaults wraps a handler with the faults of the current mode.
func (s *store) withFaults(handle func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		mode, loseResponse := s.mode, s.rnd.IntN(3) == 0
		s.mu.Unlock()
		switch {
		case mode == storeRefuses:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case mode == storeSilent:
			select {
			case <-r.Context().Done():
			case <-time.After(silentCallDuration):
			}
			return
		case mode == storeLosesResponses && loseResponse:
			handle(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case mode == storeSlow:
			time.Sleep(150 * time.Millisecond)
		}
		handle(w, r)
	}
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for k, v := range s.rows {
		if k.Table == q.Get("Table") && k.Key >= q.Get("From") && (q.Get("To") == "" || k.Key < q.Get("To")) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil {
		limit = 500
	}
	s.writeReply(w, http.StatusOK, out[:min(limit, len(out))], limit < len(out))
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("SinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var out []row
		for _, c := range s.history {
			if c.Table == q.Get("Table") && c.SchemaVersion > since {
				out = append(out, c)
			}
		}
		if len(out) > 0 {
			s.writeReply(w, http.StatusOK, out, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		s.writeReply(w, http.StatusOK, nil, false)
		s.mu.Unlock()
		return
	}
}

func (s *store) handleCommit(w http.ResponseWriter, r *http.Request) {
	var in transaction
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, c := range in.ExpectedRev {
		stored := s.rows[rowKey{c.Table, c.Key}]
		stored.Table, stored.Key = c.Table, c.Key
		current = append(current, stored)
		failed = failed || stored.SchemaVersion != c.SchemaVersion
	}
	if failed {
		s.writeReply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(&in)
	s.writeReply(w, http.StatusOK, nil, false)
}

// putRow writes a row, as the operator and the runners do.
func (s *store) putRow(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.putRaw(table, key, data)
}

func (s *store) putRaw(table, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{SetKeys: []row{{Table: table, Key: key, Value: data}}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{Remove: []row{{Table: table, Key: key}}})
}

func (s *store) apply(in *transaction) {
	s.revision++
	for _, c := range in.SetKeys {
		c.SchemaVersion = s.revision
		s.rows[rowKey{c.Table, c.Key}] = c
		s.history = append(s.history, c)
	}
	for _, c := range in.Remove {
		c.SchemaVersion, c.Deleted = s.revision, true
		delete(s.rows, rowKey{c.Table, c.Key})
		s.history = append(s.history, c)
	}
	if excess := len(s.history) - 5000; excess > 0 {
		s.history = slices.Delete(s.history, 0, excess)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) writeReply(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsReply{
		Rows: rows, Truncated: truncated, SchemaVersion: s.revision, NowMs: float64(time.Since(s.startedAt).Microseconds()) / 1000,
	})
}
