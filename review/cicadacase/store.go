package cicadacase

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageRows is the number of rows that one read returns at most.
const maxPageRows = 500

type (
	// Store is a stand-in for the platform's metadata store. It keeps all of its history.
	Store struct {
		listener  net.Listener
		startedAt time.Time
		handler   http.Handler

		mu      sync.Mutex // guards the fields below
		version uint64
		rows    map[rowKey]Row
		history []Row
		changed chan struct{} // closed at the next change
		era     int
		away    bool
		turned  map[string]bool // addresses at which calls are refused
	}

	// Row is a row in the encoding of the protocol.
	Row struct {
		Table   string `json:"Table"`
		Part    string `json:"part"`
		Key     string `json:"Key"`
		Value   []byte `json:"Value,omitempty"`
		Version uint64 `json:"SchemaVersion"`
		Deleted bool   `json:"Deleted,omitempty"`

		at time.Time // of the change
	}

	rowKey struct{ table, part, key string }

	transaction struct {
		Expected []Row `json:"ExpectedRev"`
		Set      []Row `json:"SetKeys"`
		Remove   []Row `json:"Remove"`
	}

	rowsReply struct {
		Rows      []Row  `json:"Rows"`
		Truncated bool   `json:"Truncated"`
		Version   uint64 `json:"SchemaVersion"`
		NowMs     int64  `json:"NowMs"`
	}
)

// NewStore starts an empty store.
func NewStore() (*Store, error) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: ln, startedAt: time.Now(), version: 1, rows: map[rowKey]Row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadadyke/rows-get", s.serveGet)
	mux.HandleFunc("GET /cicadadyke/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /cicadadyke/rows-tx", s.serveTransaction)
	s.handler = mux
	go serve(ln, s.withFaults(s.Addr(), mux))
	return s, nil
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Put writes a row as the operator or a runner does.
func (s *Store) Put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Value: data}}, nil)
	return nil
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}

// NewAddr returns a further address of the store, for one router.
func (s *Store) NewAddr() (string, error) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := ln.Addr().String()
	go serve(ln, s.withFaults(addr, s.handler))
	return addr, nil
}

// TurnAway makes the store refuse all calls at some of its addresses.
func (s *Store) TurnAway(addrs ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turned = map[string]bool{}
	for _, addr := range addrs {
		s.turned[addr] = true
	}
}

// GoAway makes the store refuse all calls, without doing anything.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// Restore brings the store back from a copy of the given age. What was written since is gone, and a new era
// begins.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	history := s.history
	s.history, s.rows, s.version = nil, map[rowKey]Row{}, 1
	for _, r := range history {
		if r.at.After(copiedAt) {
			break
		}
		s.history, s.version = append(s.history, r), r.Version
		if r.Deleted {
			delete(s.rows, r.id())
			continue
		}
		s.rows[r.id()] = r
	}
	s.era++
	s.away = false
}

// withFaults refuses calls while the store is away or turns an address away, and reads from a version that it does not have.
func (s *Store) withFaults(addr string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseUint(r.URL.Query().Get("SinceRev"), 10, 64)
		s.mu.Lock()
		away, gone := s.away || s.turned[addr], err == nil && since > s.version
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
		case gone:
			w.WriteHeader(http.StatusGone)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// apply writes and removes rows with one new version. The lock is held.
func (s *Store) apply(set, remove []Row) {
	s.version++
	for _, r := range set {
		r.Version, r.Deleted, r.at = s.version, false, time.Now()
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		if _, ok := s.rows[r.id()]; ok {
			delete(s.rows, r.id())
			s.history = append(s.history, Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true, at: time.Now()})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (r *Row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, list := range [][]Row{txn.Set, txn.Remove} {
		if slices.ContainsFunc(list, func(r Row) bool { return r.Table == "op" || r.Table == "servers" }) {
			http.Error(w, "the table belongs to the platform", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Row
	failed := false
	for _, e := range txn.Expected {
		row, ok := s.rows[e.id()]
		if !ok {
			row = Row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		failed = failed || row.Version != e.Version
		current = append(current, row)
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(txn.Set, txn.Remove)
	s.reply(w, http.StatusOK, nil, false)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(n, maxPageRows)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Row
	for _, row := range s.rows {
		if row.Table == q.Get("Table") && row.Part == q.Get("part") && row.Key >= q.Get("From") && (q.Get("To") == "" || row.Key < q.Get("To")) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	s.reply(w, http.StatusOK, out[:min(limit, len(out))], len(out) > limit)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("SinceRev"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs")) // none counts as zero
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows, changed := s.changesSince(q.Get("Table"), since), s.changed
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			s.reply(w, http.StatusOK, s.changesSince(q.Get("Table"), since), false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of a table after a version. The lock is held.
func (s *Store) changesSince(table string, since uint64) []Row {
	var out []Row
	for _, row := range s.history {
		if row.Table == table && row.Version > since {
			out = append(out, row)
		}
	}
	return out
}

// reply writes a response. The lock is held.
func (s *Store) reply(w http.ResponseWriter, status int, rows []Row, truncated bool) {
	if rows == nil {
		rows = []Row{}
	}
	data, err := json.Marshal(rowsReply{Rows: rows, Truncated: truncated, Version: s.version, NowMs: time.Since(s.startedAt).Milliseconds() + 1})
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	w.Write(data)
}
