// Package cicadaingress bounds what clients that nobody controls can make a process hold: memory for request
// headers, connections, and work on input without content. A Guard stands between the sockets of a listener and
// net/http, which reads a whole request header into a map before any handler runs. See docs/design/INGRESS.md.
package cicadaingress

import (
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// tickInterval is the resolution of silence and of stalled writes.
	tickInterval = 250 * time.Millisecond
	// graceTicks is the silence before which a connection is closed only if no other one is left.
	graceTicks = 4
	// bodyGraceTicks is the time that a request body may take while requests are refused for want of descriptors.
	bodyGraceTicks = 1
	// maxVictims bounds the connections that are looked at, or closed, for one that needs memory.
	maxVictims = 16
	// logInterval is the minimum time between two log lines of one limit.
	logInterval = 10 * time.Second
)

type (
	// Config sets up a Guard.
	Config struct {
		Name string // of the listener, in log lines
		// MemoryBytes bounds what connections and request headers take together, and what Reserve adds; zero for
		// no limit.
		MemoryBytes int64
		MaxConns    int // zero for no limit
		Limits      Limits
		// Messages is set if connections that do not begin with the C of CONNECT have messages of one line each.
		Messages bool
		// Encrypted is set if the connections have TLS: the bytes are then not scanned.
		Encrypted bool
		Log       log.Interface
		Counts    *expvar.Map // by limit
	}

	// Guard bounds the connections of a listener.
	Guard struct {
		cfg   Config
		used  atomic.Int64 // memory in bytes
		ticks atomic.Int64
		logs  [len(limitNames)]limitLog

		mu    sync.Mutex // guards the fields below, and the list fields of connections
		lists [listCount]connList
		conns int
		moves uint64
	}

	// limitLog counts how often a limit was reached since its last log line.
	limitLog struct {
		mu     sync.Mutex // guards the fields below
		count  int
		lastAt time.Time
	}

	listener struct {
		net.Listener
		guard *Guard
		done  chan struct{} // closed with the listener
		close func() error
	}
)

// NewGuard returns a guard without connections.
func NewGuard(cfg Config) *Guard {
	cfg.Limits = cfg.Limits.withDefaults()
	return &Guard{cfg: cfg}
}

// NewServer returns a server for connections of the guard's listener.
func (g *Guard) NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: g.cfg.Limits.HeaderBytes, ConnState: g.ConnState,
		ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}
}

// Listen returns a listener whose connections are bounded. It is called once.
func (g *Guard) Listen(ln net.Listener) net.Listener {
	l := &listener{Listener: ln, guard: g, done: make(chan struct{})}
	l.close = sync.OnceValue(func() error {
		close(l.done)
		return ln.Close()
	})
	go g.sweep(l.done)
	return l
}

// Accept waits for the next connection. It closes those for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
		_ = conn.Close() // nothing was read
	}
}

// Close closes the listener. Further calls have no effect.
func (l *listener) Close() error { return l.close() }

// admit adds a connection, or returns nil if there is no room.
func (g *Guard) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, guard: g, scanner: Scanner{limits: &g.cfg.Limits}}
	if g.cfg.Encrypted {
		c.scanner.phase = phaseUnknown
	}
	c.undetected = g.cfg.Messages
	g.mu.Lock()
	var victim *Conn
	full := g.cfg.MaxConns > 0 && g.conns >= g.cfg.MaxConns
	if full {
		victim = g.removeOldest()
	}
	admitted := !full || victim != nil
	if admitted {
		g.conns++
		g.move(c, listSilent)
	}
	g.mu.Unlock()
	if full {
		g.closeVictim(victim, MaxConns)
		if victim == nil {
			g.report(MaxConns, conn)
			return nil
		}
	}
	if !g.reserve(c, costPerConn) {
		g.remove(c)
		return nil
	}
	return c
}

// reserve takes memory for a connection, and reports whether there was enough.
func (g *Guard) reserve(c *Conn, n int64) bool {
	if !g.addMemory(n, c) {
		g.used.Add(-n)
		g.report(MemoryBytes, c)
		return false
	}
	c.charged.Add(n)
	return true
}

// addMemory adds to the memory in use for a connection, or for a body if it is nil. It closes other connections
// while that is too much, and reports whether it is within the limit.
func (g *Guard) addMemory(n int64, c *Conn) bool {
	used := g.used.Add(n)
	for tries := 0; used > g.cfg.MemoryBytes && g.cfg.MemoryBytes > 0; tries++ {
		if tries == maxVictims {
			return false
		}
		g.mu.Lock()
		victim := g.removeSilent()
		if victim == nil && c != nil {
			victim = g.removeLargest(c, n)
		}
		g.mu.Unlock()
		if victim == nil {
			return false
		}
		g.closeVictim(victim, MemoryBytes)
		used = g.used.Load()
	}
	return true
}

// Reserve takes memory for the body of a request, and reports whether there was enough. Release gives it back.
func (g *Guard) Reserve(n int64) bool {
	if g.addMemory(n, nil) {
		return true
	}
	g.used.Add(-n)
	g.report(MemoryBytes, nil)
	return false
}

// InterruptBody ends the reading of the request body that has taken longest, if it is not a recent one, so that
// its request is refused. It reports whether there was one.
func (g *Guard) InterruptBody() bool {
	g.mu.Lock()
	c := g.lists[listBody].first
	found := c != nil && g.ticks.Load()-c.movedAt >= bodyGraceTicks
	if found {
		g.move(c, listActive)
	}
	g.mu.Unlock()
	if !found {
		return false
	}
	g.report(SlowBody, c)
	return c.SetReadDeadline(time.Unix(1, 0)) == nil
}

// Release gives back what Reserve took.
func (g *Guard) Release(n int64) { g.used.Add(-n) }

// removeSilent removes, of the connections without a whole request header, the one that is silent for longest, or
// else the one whose body takes longest. It returns nil if they came only just, or all requests have arrived whole.
func (g *Guard) removeSilent() *Conn {
	now := g.ticks.Load()
	for _, id := range []listID{listSilent, listBody} {
		if c := g.lists[id].first; c != nil && now-c.movedAt >= graceTicks {
			g.removeLocked(c)
			return c
		}
	}
	return nil
}

// removeOldest removes a connection as removeSilent. If all came only just, it is the one that waits for longest.
func (g *Guard) removeOldest() *Conn {
	if c := g.removeSilent(); c != nil {
		return c
	}
	c, body := g.lists[listSilent].first, g.lists[listBody].first
	if c == nil || body != nil && body.order < c.order {
		c = body
	}
	if c != nil {
		g.removeLocked(c)
	}
	return c
}

// removeLargest removes a connection without a whole request that takes more memory than c would with n bytes more.
func (g *Guard) removeLargest(c *Conn, n int64) *Conn {
	var largest *Conn
	size := c.charged.Load() + n
	for id := listSilent; id <= listBody; id++ {
		other := g.lists[id].first
		for tries := 0; other != nil && tries < maxVictims; tries, other = tries+1, other.next {
			if charged := other.charged.Load(); other != c && charged >= size {
				largest, size = other, charged
			}
		}
	}
	if largest != nil {
		g.removeLocked(largest)
	}
	return largest
}

func (g *Guard) closeVictim(c *Conn, limit Limit) {
	if c == nil {
		return
	}
	g.report(limit, c)
	_ = c.Conn.Close() // it may have ended
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
}

func (g *Guard) removeLocked(c *Conn) {
	g.used.Add(-c.charged.Swap(0)) // a read may have added some after the removal
	if c.removed {
		return
	}
	c.removed = true
	c.unlink()
	g.conns--
}

// move puts a connection at the end of a list.
func (g *Guard) move(c *Conn, to listID) {
	if c.removed {
		return
	}
	c.unlink()
	g.moves++
	c.movedAt, c.order = g.ticks.Load(), g.moves
	g.lists[to].add(c)
}

// ConnState is the connection hook of a server.
func (g *Guard) ConnState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.begin()
	case http.StateIdle:
		c.end()
	case http.StateHijacked:
		c.hijacked.Store(true)
		c.moveTo(listActive)
	case http.StateNew, http.StateClosed:
	}
}

// unwrap returns the guard's connection within another one, or nil.
func unwrap(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// sweep closes connections whose writes do not end, until done is closed.
func (g *Guard) sweep(done <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		g.ticks.Add(1)
		for _, c := range g.stalled() {
			g.closeVictim(c, WriteStall)
		}
	}
}

func (g *Guard) stalled() []*Conn {
	now, limit := g.ticks.Load(), int64(g.cfg.Limits.WriteStall/tickInterval)
	var found []*Conn
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.lists {
		for c := g.lists[i].first; c != nil; c = c.next {
			if since := c.writeSince.Load(); since > 0 && now-(since-1) > limit && !c.hijacked.Load() {
				found = append(found, c)
			}
		}
	}
	for _, c := range found {
		g.removeLocked(c)
	}
	return found
}

// report counts a limit that was reached, and logs it at most once in logInterval.
func (g *Guard) report(l Limit, conn net.Conn) {
	if g.cfg.Counts != nil {
		g.cfg.Counts.Add(l.String(), 1)
	}
	if g.cfg.Log == nil {
		return
	}
	entry := &g.logs[l]
	entry.mu.Lock()
	entry.count++
	now, count := time.Now(), entry.count
	due := now.Sub(entry.lastAt) >= logInterval
	if due {
		entry.lastAt, entry.count = now, 0
	}
	entry.mu.Unlock()
	if !due {
		return
	}
	fields := log.Fields{"limit": l.String(), "listener": g.cfg.Name, "times": count, "usedBytes": g.used.Load()}
	if conn != nil {
		fields["remote"] = conn.RemoteAddr().String()
	}
	g.cfg.Log.WithFields(fields).Warn("client limit reached")
}
