package cicadacase

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// BeatInterval is the time between two writes of a runner's entry.
const BeatInterval = 1200 * time.Millisecond

type (
	// RunnerConfig describes a runner.
	RunnerConfig struct {
		Store   *Store
		ID      string
		Service string
		Version string // of its software
		Slots   int
		// Handler serves requests, the health path too.
		Handler http.Handler
	}

	// Runner is a stand-in for one start of a runner's process and the address that it listens on.
	Runner struct {
		cfg  RunnerConfig
		addr string

		mu     sync.Mutex // guards the fields below
		boot   boot
		server *http.Server
		conns  *processListener
		stop   chan struct{} // closed when the process ends
		silent bool          // it does not write its entry
		state  string
	}

	// processListener keeps the connections of a process, which all end with it.
	processListener struct {
		net.Listener

		mu    sync.Mutex // guards the fields below
		open  map[net.Conn]struct{}
		ended bool
	}

	// boot is one start of the process.
	boot struct {
		version string
		bornMs  int64
		seq     int64
	}

	// entry is what a runner writes about itself.
	entry struct {
		Service    string `json:"Service"`
		Address    string `json:"Address"`
		Zone       string `json:"Zone"`
		Version    string `json:"Version"`
		Slots      int    `json:"Slots"`
		State      string `json:"State"`
		ColdLeftMs int    `json:"ColdLeftMs"`
		Seq        int64  `json:"Seq"`
		Born       int64  `json:"born"`
	}
)

// StartRunner starts a runner on a free port, and writes its entry until it ends.
func StartRunner(cfg RunnerConfig) (*Runner, error) {
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, err
	}
	r := &Runner{cfg: cfg, addr: addrs[0], state: "ready"}
	return r, r.Restart(cfg.Version)
}

// Addr returns the address of the runner.
func (r *Runner) Addr() string { return r.addr }

// Restart starts the process again, under the same id and at the same address.
func (r *Runner) Restart(version string) error {
	ln, err := Listen(r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.boot = boot{version: version, bornMs: time.Now().UnixMilli()}
	r.server, r.stop = &http.Server{Handler: r.cfg.Handler, ReadHeaderTimeout: time.Minute}, make(chan struct{})
	r.conns = &processListener{Listener: ln, open: map[net.Conn]struct{}{}}
	server, stop, conns := r.server, r.stop, r.conns
	r.mu.Unlock()
	go func() { _ = server.Serve(conns) }() // it ends with Crash
	r.writeEntry()
	go r.beat(stop)
	return nil
}

// Crash ends the process: all of its connections end, and new ones are refused.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.stop)
	_ = r.server.Close()
	r.conns.closeAll() // as a kill does
}

// Version returns the software version of the process.
func (r *Runner) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.boot.version
}

// SetSilent sets whether the runner's writes reach the store. If it is silent for three intervals, the store
// drops its entry.
func (r *Runner) SetSilent(silent bool) {
	r.mu.Lock()
	r.silent = silent
	r.mu.Unlock()
	if !silent {
		r.writeEntry()
	}
}

func (r *Runner) beat(stop <-chan struct{}) {
	ticker := time.NewTicker(BeatInterval)
	defer ticker.Stop()
	missed := 0
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		silent := r.silent
		r.mu.Unlock()
		if !silent {
			missed = 0
			r.writeEntry()
			continue
		}
		if missed++; missed == 3 {
			r.cfg.Store.Remove("servers", r.cfg.ID)
		}
	}
}

func (r *Runner) writeEntry() {
	r.mu.Lock()
	r.boot.seq++
	e := entry{
		Service: r.cfg.Service, Address: r.addr, Zone: Zone, Version: r.boot.version, Slots: r.cfg.Slots, State: r.state,
		Seq: r.boot.seq, Born: r.boot.bornMs,
	}
	r.mu.Unlock()
	_ = r.cfg.Store.Put("servers", r.cfg.ID, e) // the entry can be encoded
}

// Accept waits for the next connection.
func (l *processListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		_ = conn.Close() // the process has ended
		return nil, net.ErrClosed
	}
	l.open[conn] = struct{}{}
	return &processConn{Conn: conn, listener: l}, nil
}

func (l *processListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for conn := range l.open {
		_ = conn.Close() // it may have ended
	}
}

// processConn is a connection of a process.
type processConn struct {
	net.Conn
	listener *processListener
}

// Close closes the connection.
func (c *processConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
