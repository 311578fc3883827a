package cicadastandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
)

type (
	// PlainServiceConfig configures a PlainService.
	PlainServiceConfig struct {
		Name  string
		Delay time.Duration // response time of each call
		// End ends the service's server when EndMidway applies; nil if it cannot end. StartAgain has
		// another one listen at its address.
		End, StartAgain func()
	}

	// PlainServiceFaults are the faults that the service simulates.
	PlainServiceFaults struct {
		Hang     bool `json:"hang"`     // runs the call and never responds
		Draining bool `json:"draining"` // refuses new calls
		// EndMidway ends the service's process within a response that has neither length nor chunks. The
		// kernel then ends its connections in order.
		EndMidway bool `json:"endMidway"`
		// StartAgain starts another process at the same address right after that.
		StartAgain bool `json:"startAgain"`
		// Unframed sends responses that have neither length nor chunks.
		Unframed bool `json:"unframed"`
	}

	// PlainService is the stand-in for an upstream that is not a model engine and
	// some of whose calls are not idempotent. It keeps a record of each call that
	// it ran.
	PlainService struct {
		cfg PlainServiceConfig

		mu      sync.Mutex // guards the fields below
		faults  PlainServiceFaults
		running int
		calls   []PlainCall
	}

	// PlainCall is the record of a call that ran.
	PlainCall struct {
		RequestID string    `json:"requestID"`
		Key       string    `json:"key"`
		Method    string    `json:"method"`
		Path      string    `json:"path"`
		Body      string    `json:"body"`
		At        time.Time `json:"at"`
	}
)

// NewPlainService returns a service without calls.
func NewPlainService(cfg PlainServiceConfig) *PlainService { return &PlainService{cfg: cfg} }

// SetFaults replaces the simulated faults.
func (p *PlainService) SetFaults(f PlainServiceFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the records of all calls that ran, in order.
func (p *PlainService) Calls() []PlainCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainCall(nil), p.calls...)
}

// Handler returns the handler for calls, for the load report, for PUT /control/faults,
// which sets the faults, and for GET /control/calls, which returns the records.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cicadaupstream.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		load := cicadaupstream.Load{Running: p.running, Draining: p.faults.Draining}
		p.mu.Unlock()
		writeResponse(w, load, nil)
	})
	mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, p.Calls(), nil)
	})
	mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlainServiceFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	})
	mux.HandleFunc("/", p.serveCall)
	return nameRequests(mux)
}

func (p *PlainService) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	faults := p.faults
	if faults.Draining {
		p.mu.Unlock()
		w.Header().Set(cicadaupstream.HeaderDraining, "1")
		w.Header().Set(cicadaupstream.HeaderNotRun, "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	p.running++
	p.calls = append(p.calls, PlainCall{
		RequestID: r.Header.Get(cicadaupstream.HeaderRequestID), Key: r.Header.Get(cicadaupstream.HeaderIdempotencyKey),
		Method: r.Method, Path: r.URL.Path, Body: string(body), At: time.Now(),
	})
	n := len(p.calls)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(p.cfg.Delay)
	if faults.Unframed {
		writeUnframed(w, `{"service":"`+p.cfg.Name+`"}`, func() {})
		return
	}
	if faults.EndMidway && p.cfg.End != nil {
		writeUnframed(w, `{"service":`, func() {
			p.cfg.End()
			if faults.StartAgain {
				p.cfg.StartAgain()
			}
		})
		return
	}
	w.Header().Set("X-Call-Number", strconv.Itoa(n))
	writeResponse(w, struct {
		Service string `json:"service"`
		Path    string `json:"path"`
		Echo    string `json:"echo"`
	}{p.cfg.Name, r.URL.Path, string(body)}, nil)
}

// writeUnframed writes a response that has neither length nor chunks. It calls atEnd before it ends the
// connection.
func writeUnframed(w http.ResponseWriter, body string, atEnd func()) {
	head := w.Header()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer func() { _ = conn.Close() }()
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = head.Write(&text) // a strings.Builder takes all
	text.WriteString("\r\n" + body)
	_, _ = io.WriteString(conn, text.String()) // the caller finds out
	atEnd()
}
