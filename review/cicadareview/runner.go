package cicadareview

import (
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
	}

	// RunnerConfig configures a Runner.
	RunnerConfig struct {
		ID, Service, Zone string
		Slots             int
		// Listener accepts its connections; nil for one on a free loopback port.
		Listener net.Listener
		// Serve answers the requests that are for this runner.
		Serve http.HandlerFunc
	}

	runnerEntry struct {
		Service, Address, Zone, Version, State string
		Slots, ColdLeftMs, Seq                 int
	}
)

// StartRunner starts a runner.
func StartRunner(s *Store, cfg *RunnerConfig) (*Runner, error) {
	r := &Runner{ID: cfg.ID, cfg: *cfg, store: s, listener: cfg.Listener}
	if r.listener == nil {
		ln, err := listen()
		if err != nil {
			return nil, err
		}
		r.listener = ln
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(r.listener) }() // it ends with the process
	if err := r.beat(1); err != nil {
		return nil, err
	}
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(beatInterval)
			_ = r.beat(seq) // the store is in memory
		}
	}()
	return r, nil
}

func (r *Runner) beat(seq int) error {
	return r.store.Put("servers", r.ID, runnerEntry{
		Service: r.cfg.Service, Address: r.listener.Addr().String(), Zone: r.cfg.Zone, Version: "v1", State: "ready", Slots: r.cfg.Slots, Seq: seq,
	})
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
