package cicadareview

import (
	"cmp"
	"net"
	"net/http"
	"time"
)

// beatInterval is the time between two writes of a runner's entry.
const beatInterval = 1200 * time.Millisecond

type (
	// Runner is a stand-in of a runner. It writes its entry into the store and answers 421 to requests for
	// other runners.
	Runner struct {
		ID       string
		cfg      RunnerConfig
		store    *Store
		listener net.Listener
		server   *http.Server
		ended    chan struct{}
	}

	// RunnerConfig configures a Runner.
	RunnerConfig struct {
		ID, Service, Zone string
		Slots             int
		// Version is the version of its software; "v1" if it is empty.
		Version string
		// StartedAt tells the start in the runner's entry; zero for a deployment that does not tell it.
		StartedAt time.Time
		// Listener accepts its connections; nil for one at Addr, or on a free loopback port.
		Listener net.Listener
		Addr     string
		// Serve answers the requests that are for this runner.
		Serve http.HandlerFunc
	}

	runnerEntry struct {
		Service, Address, Zone, Version, State string
		Slots, ColdLeftMs, Seq                 int
		StartMillis                            int64 `json:"born,omitempty"`
	}
)

// StartRunner starts a runner.
func StartRunner(s *Store, cfg *RunnerConfig) (*Runner, error) {
	r := &Runner{ID: cfg.ID, cfg: *cfg, store: s, listener: cfg.Listener, ended: make(chan struct{})}
	if r.cfg.Version == "" {
		r.cfg.Version = "v1"
	}
	if r.listener == nil {
		ln, err := listenOn(cmp.Or(cfg.Addr, "127.0.0.1:0"))
		if err != nil {
			return nil, err
		}
		r.listener = ln
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	// It registers before it serves.
	if err := r.beat(1); err != nil {
		return nil, err
	}
	go func() { _ = r.server.Serve(r.listener) }() // Crash ends it, or the end of the process
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-r.ended:
				return
			case <-time.After(beatInterval):
			}
			_ = r.beat(seq) // the store is in memory
		}
	}()
	return r, nil
}

func (r *Runner) beat(seq int) error {
	return r.store.Put("servers", r.ID, runnerEntry{
		Service: r.cfg.Service, Address: r.listener.Addr().String(), Zone: r.cfg.Zone, Version: r.cfg.Version, State: "ready", Slots: r.cfg.Slots, Seq: seq,
		StartMillis: r.startMillis(),
	})
}

func (r *Runner) startMillis() int64 {
	if r.cfg.StartedAt.IsZero() {
		return 0
	}
	return r.cfg.StartedAt.UnixMilli()
}

// Addr returns the address of the runner.
func (r *Runner) Addr() string { return r.listener.Addr().String() }

// Crash ends the runner: its connections break, and it writes nothing any more.
func (r *Runner) Crash() {
	close(r.ended)
	_ = r.server.Close() // as with a crash, nothing is said
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Runner-Id", r.ID)
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
	r.cfg.Serve(w, req)
}
