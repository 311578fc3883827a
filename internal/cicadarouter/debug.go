package cicadarouter

import (
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadahome"
	"github.com/cicadadyke/cicadadyke/internal/cicadamember"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

type (
	// State is the state of a router for operators.
	State struct {
		Host                cicadastore.Host                   `json:"host"`
		Stopping            bool                               `json:"stopping"`
		Ready               bool                               `json:"ready"`
		ConfigSeq           uint64                             `json:"configSeq"`
		ConfigFromPeersOnly bool                               `json:"configFromPeersOnly"`
		Versions            map[string]uint64                  `json:"versions"`
		CommitInterval      string                             `json:"commitInterval"`
		Members             []cicadamember.HostView            `json:"members"`
		Allocations         []cicadabudget.AllocationState     `json:"slices"`
		Homes               []cicadahome.PartitionState        `json:"homes"`
		Runners             map[string][]cicadaroute.Candidate `json:"runners"`
		Quarantine          []cicadaquarantine.Block           `json:"quarantine"`
		StoredResponses     int                                `json:"keptAnswers"`
		StoredResponseBytes int                                `json:"keptAnswerBytes"`
		Trails              int                                `json:"trails"`
		Goroutines          int                                `json:"goroutines"`
		HeapBytes           uint64                             `json:"heapBytes"`
		ProcessCPUSeconds   float64                            `json:"processCPUSeconds"`
		At                  time.Time                          `json:"at"`
	}
)

// State returns the current state of the router.
func (r *Router) State() State {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	responses, bytes := r.responses.size()
	snap := r.watcher.Current()
	return State{
		Host:                r.self,
		Stopping:            r.stopping.Load(),
		Ready:               r.isReady(),
		ConfigSeq:           snap.Seq(),
		ConfigFromPeersOnly: r.watcher.FromPeersOnly(),
		Versions:            snap.Versions(),
		CommitInterval:      r.fleet.CommitInterval().String(),
		Members:             r.fleet.Members(),
		Allocations:         r.session.AllocationStates(),
		Homes:               r.home.PartitionStates(),
		Runners:             r.runnerState(),
		Quarantine:          r.quarantine.Blocks(sharedTime(time.Now())),
		StoredResponses:     responses,
		StoredResponseBytes: bytes,
		Trails:              r.trails.Len(),
		Goroutines:          runtime.NumGoroutine(),
		HeapBytes:           mem.HeapAlloc,
		ProcessCPUSeconds:   ProcessCPUTime().Seconds(),
		At:                  time.Now(),
	}
}

func (r *Router) runnerState() map[string][]cicadaroute.Candidate {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	out := make(map[string][]cicadaroute.Candidate)
	for _, name := range r.table.Upstreams() {
		out[name] = r.table.Candidates(&cicadaroute.Request{Upstream: name, DataCentre: r.cfg.DataCentre}, time.Now())
	}
	return out
}

func (r *Router) operatorMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, r.metrics.String())
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(r.State())
	})
	mux.HandleFunc("GET /debug/requests/{id}", r.serveExplain)
	mux.HandleFunc("DELETE /debug/quarantine/{trait}", r.serveLift)
	mux.HandleFunc("GET /readyz", r.serveReady)
	return r.requireOperatorToken(mux)
}

// serveExplain returns the audit trail of a request as JSON, or as text for a
// terminal with ?format=text.
func (r *Router) serveExplain(w http.ResponseWriter, req *http.Request) {
	view, ok := r.trails.View(req.PathValue("id"))
	if !ok {
		http.Error(w, "this router has no record of the request", http.StatusNotFound)
		return
	}
	if req.URL.Query().Get("format") == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, view.Text())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(view)
}
