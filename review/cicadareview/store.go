// Package cicadareview has what the cases of the review share: stand-ins of the platform's store and of
// runners, routers as separate processes, callers, and the record of what was sent, answered and run.
package cicadareview

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// txDuration is how long a transaction takes.
	txDuration = 3 * time.Millisecond
	// defaultRows is the number of rows in the response to a read that sets no limit.
	defaultRows = 500
)

type (
	// Store is a stand-in of the platform's store that keeps its rows in memory.
	Store struct {
		listener  net.Listener
		server    *http.Server
		startedAt time.Time

		mu       sync.Mutex // guards the fields below
		revision uint64
		rows     map[rowKey]row
		history  []row
		changed  chan struct{}
	}

	rowKey struct{ table, key string }

	// row is a row as the platform encodes it.
	row struct {
		Table         string
		Part          string `json:"part"`
		Key           string
		Value         []byte `json:",omitempty"`
		SchemaVersion uint64
		Deleted       bool `json:",omitempty"`
	}

	transaction struct{ ExpectedRev, SetKeys, Remove []row }

	rowsReply struct {
		Rows          []row
		Truncated     bool
		SchemaVersion uint64
		NowMs         float64
	}
)

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	s := &Store{listener: ln, startedAt: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadadyke/rows-get", s.handleGet)
	mux.HandleFunc("GET /cicadadyke/rows-feed", s.handleFeed)
	mux.HandleFunc("POST /cicadadyke/rows-tx", s.handleTx)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }() // it ends with the process
	return s, nil
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Put writes a row, as the operator and the runners do.
func (s *Store) Put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{SetKeys: []row{{Table: table, Key: key, Value: data}}})
	return nil
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 {
		limit = defaultRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for k, v := range s.rows {
		if k.table == q.Get("Table") && k.key >= q.Get("From") && (q.Get("To") == "" || k.key < q.Get("To")) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.writeReply(w, http.StatusOK, out[:min(limit, len(out))], limit < len(out))
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("SinceRev"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs")) // zero if absent
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if out := s.changesLocked(q.Get("Table"), since); len(out) > 0 {
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
		s.writeReply(w, http.StatusOK, s.changesLocked(q.Get("Table"), since), false)
		s.mu.Unlock()
		return
	}
}

func (s *Store) changesLocked(table string, since uint64) []row {
	var out []row
	for i := range s.history {
		if s.history[i].Table == table && s.history[i].SchemaVersion > since {
			out = append(out, s.history[i])
		}
	}
	return out
}

func (s *Store) handleTx(w http.ResponseWriter, r *http.Request) {
	var in transaction
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txDuration)
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

func (s *Store) apply(in *transaction) {
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
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) writeReply(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsReply{ // the caller has left if it fails
		Rows: rows, Truncated: truncated, SchemaVersion: s.revision, NowMs: float64(time.Since(s.startedAt).Microseconds()) / 1000,
	})
}

func listen() (net.Listener, error) { return listenOn("127.0.0.1:0") }

func listenOn(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}
