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

// silence is how long the store keeps a call that it does not answer.
const silence = 5 * time.Second

// trouble is what the store does to its callers.
type trouble int

// The troubles.
const (
	sound  trouble = iota
	busy           // refuses, nothing is done
	silent         // neither does nor answers
	lost           // does and closes without an answer
	slow           // answers late
)

type (
	// store speaks the platform's protocol of rows.
	store struct {
		*httptest.Server
		began time.Time

		mu      sync.Mutex // guards the fields below
		rnd     *rand.Rand
		rev     uint64
		rows    map[rowKey]row
		history []row
		changed chan struct{}
		trouble trouble
	}

	rowKey struct{ Table, Key string }

	// row is a row as the store writes it.
	row struct {
		Table, Key    string
		Part          string `json:"part"`
		Value         []byte `json:",omitempty"`
		SchemaVersion uint64
		Deleted       bool `json:",omitempty"`
	}

	tx struct {
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
	s := &store{began: time.Now(), rnd: rand.New(rand.NewPCG(seed, 2)), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadadyke/rows-get", s.troubled(s.get))
	mux.HandleFunc("GET /cicadadyke/rows-feed", s.troubled(s.feed))
	mux.HandleFunc("POST /cicadadyke/rows-tx", s.troubled(s.commit))
	s.Server = httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s
}

func (s *store) addr() string { return s.Listener.Addr().(*net.TCPAddr).String() }

func (s *store) set(tr trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = tr
}

// troubled answers a call as the trouble has it. Lost answers are a third.
func (s *store) troubled(do func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		tr, third := s.trouble, s.rnd.IntN(3) == 0
		s.mu.Unlock()
		switch {
		case tr == busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case tr == silent:
			select {
			case <-r.Context().Done():
			case <-time.After(silence):
			}
			return
		case tr == lost && third:
			do(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case tr == slow:
			time.Sleep(150 * time.Millisecond)
		}
		do(w, r)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
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
	s.reply(w, http.StatusOK, out[:min(limit, len(out))], limit < len(out))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
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
			s.reply(w, http.StatusOK, out, false)
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
		s.reply(w, http.StatusOK, nil, false)
		s.mu.Unlock()
		return
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var in tx
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var now []row
	failed := false
	for _, c := range in.ExpectedRev {
		have := s.rows[rowKey{c.Table, c.Key}]
		have.Table, have.Key = c.Table, c.Key
		now = append(now, have)
		failed = failed || have.SchemaVersion != c.SchemaVersion
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, now, false)
		return
	}
	s.apply(&in)
	s.reply(w, http.StatusOK, nil, false)
}

// put writes a row as the operator and the runners do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&tx{SetKeys: []row{{Table: table, Key: key, Value: data}}})
}

func (s *store) apply(in *tx) {
	s.rev++
	for _, c := range in.SetKeys {
		c.SchemaVersion = s.rev
		s.rows[rowKey{c.Table, c.Key}] = c
		s.history = append(s.history, c)
	}
	for _, c := range in.Remove {
		c.SchemaVersion, c.Deleted = s.rev, true
		delete(s.rows, rowKey{c.Table, c.Key})
		s.history = append(s.history, c)
	}
	if over := len(s.history) - 5000; over > 0 {
		s.history = slices.Delete(s.history, 0, over)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsReply{
		Rows: rows, Truncated: truncated, SchemaVersion: s.rev, NowMs: float64(time.Since(s.began).Microseconds()) / 1000,
	})
}
