package cicadaedge

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

const (
	// noWitness is why a response that ended with its connection does not count as complete.
	noWitness = "no other connection shows that the runner lives on"
	// endProofWitness is why one does.
	endProofWitness = "another connection to the runner outlived it"
	// endMemory is how long the ends of connections are kept. They are asked for CollectionPeriod after the
	// first of them.
	endMemory = 10 * cicadacrash.CollectionPeriod
	// unframedMemory is how long a service whose responses ended with their connections is expected to send
	// further ones.
	unframedMemory = time.Minute
)

type (
	// runnerConns are the open connections to a runner. An idle one that outlives the end of another shows
	// that the runner's process lives on: the kernel ends all connections of a process that is gone. One
	// that is not idle may hold bytes back, and its end behind them.
	runnerConns struct {
		spare *spareKeeper

		mu   sync.Mutex // guards the fields below
		open map[*countedConn]struct{}
		ends []connEnd // by the runner, within endMemory
		// abandoned are requests that the runner may still work on.
		abandoned []abandonedRequest
		// onEnd is called when the runner ends a connection while there are any.
		onEnd func(conn *countedConn, at time.Time)
	}

	// connEnd is the end of a direct connection to a runner.
	connEnd struct {
		at      time.Time
		idle    bool // no response was due on it for CollectionPeriod: a runner may close after a response
		inOrder bool // not by a reset or a time-out
	}

	// framingHistory is what is known of the responses of a service.
	framingHistory struct {
		lastUnframed bool
		unframedAt   time.Time // when the last response without a frame began
	}

	// spareLease is the use of a runner's spare connection by one attempt.
	spareLease struct {
		transports *runnerTransports
		keeper     *spareKeeper
		service    string
		held       bool
		suspected  bool // see exchange.isSuspected
	}
)

// add adds a new connection.
func (c *runnerConns) add(conn *countedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	conn.conns, conn.establishedAt, conn.processSince = c, now, now
	c.open[conn] = struct{}{}
	if c.spare.inUse() {
		time.AfterFunc(cicadacrash.CollectionPeriod, func() { c.join(conn) })
	}
}

// join finds out since when the process of a connection is known. If an idle one is open that was there
// before, both are taken to belong to the same process: an address is given away only after its process
// has ended, and all connections of that have ended CollectionPeriod later.
func (c *runnerConns) join(conn *countedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.open {
		if other.processSince.Before(conn.processSince) && other.shows(conn) {
			conn.processSince = other.processSince
		}
	}
}

func (c *runnerConns) remove(conn *countedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// recordEnd records that the runner has ended a connection, or that it has failed.
func (c *runnerConns) recordEnd(conn *countedConn, inOrder bool) {
	if conn.relay != "" || conn.ended.Swap(true) {
		return
	}
	now := time.Now()
	if len(c.abandonedAt(now)) > 0 {
		c.onEnd(conn, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = slices.DeleteFunc(c.ends, func(e connEnd) bool { return now.Sub(e.at) > endMemory })
	idleFor := min(now.Sub(conn.establishedAt), conn.idleAt.age(now))
	c.ends = append(c.ends, connEnd{at: now, idle: conn.users.Load() == 0 && idleFor >= cicadacrash.CollectionPeriod, inOrder: inOrder})
}

// processEnded reports whether the process behind the connections ended around a time: all of them ended
// then, and an idle one in order among them. A runner that lives on ends connections one by one, and a
// network resets them. The runner's address may accept connections of its successor already.
func (c *runnerConns) processEnded(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, idle, first := 0, 0, at
	for _, e := range c.ends {
		if e.at.Sub(at).Abs() > cicadacrash.CollectionPeriod {
			continue
		}
		count++
		if e.at.Before(first) {
			first = e.at
		}
		if e.idle {
			if !e.inOrder {
				return false
			}
			idle++
		}
	}
	if count < 2 || idle == 0 {
		return false
	}
	for conn := range c.open {
		if conn.relay == "" && conn.establishedAt.Before(first) && !conn.ended.Load() && cicadanet.IsEstablished(conn.Conn) {
			return false
		}
	}
	return true
}

// endedInOrder reports whether a connection that the runner has ended around a time shows that its end was not
// the network's, which resets connections.
func (c *runnerConns) endedInOrder(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	inOrder := false
	for _, e := range c.ends {
		switch {
		case e.at.Sub(at).Abs() > cicadacrash.CollectionPeriod:
		case e.inOrder:
			inOrder = true
		case e.idle:
			return false // the end of a process would be in order on it, as nothing was sent
		}
	}
	return inOrder
}

// outlived reports whether the process that has answered on an ended connection is known to live on.
func (c *runnerConns) outlived(ended *countedConn) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		// The process read the request later, so it was the one that had accepted conn.
		if now.Sub(conn.processSince) >= ended.usedAt.age(now) && conn.shows(ended) {
			return true
		}
	}
	return false
}

// remain reports whether a connection is open that was established before a time.
func (c *runnerConns) remain(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.establishedAt.Before(t) && cicadanet.IsEstablished(conn.Conn) {
			return true
		}
	}
	return false
}

// shows reports whether the connection is idle and open, and goes the same way as another one: on
// another way the end of the process may not show.
func (c *countedConn) shows(other *countedConn) bool {
	return c != other && c.relay == other.relay && c.users.Load() == 0 && cicadanet.IsEstablished(c.Conn)
}

// expectsUnframed reports whether a response of a service may end with its connection. It may if none is
// known.
func (ts *runnerTransports) expectsUnframed(service string, now time.Time) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	h, known := ts.framing[service]
	return !known || h.lastUnframed || now.Sub(h.unframedAt) < unframedMemory
}

// recordFraming records whether a response of a service ends with its connection.
func (ts *runnerTransports) recordFraming(service string, unframed bool, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	h := ts.framing[service]
	if h.lastUnframed = unframed; unframed {
		h.unframedAt = now
	}
	ts.framing[service] = h
}

// leaseSpare has a spare connection opened if the response to a request that is about to be sent may end
// with its connection, or if the request is suspected to crash runners. It waits a little until it is there, as the
// whole response, or the crash, may come at once.
func (ts *runnerTransports) leaseSpare(ctx context.Context, r *cicadaplace.Runner, service string, suspected bool) *spareLease {
	l := &spareLease{transports: ts, keeper: ts.connsOf(r).spare, service: service, suspected: suspected}
	if !suspected && !ts.expectsUnframed(service, time.Now()) {
		return l
	}
	l.held = true
	timer := time.NewTimer(spareWait)
	defer timer.Stop()
	select {
	case <-l.keeper.acquire():
	case <-timer.C:
	case <-ctx.Done():
	}
	if suspected {
		sleep(ctx, cicadacrash.CollectionPeriod) // then the connection counts as idle, see connEnd
	}
	return l
}

// responseBegins keeps the spare connection if the response ends with its connection.
func (l *spareLease) responseBegins(a *attempt) {
	unframed := cicadacrash.EndsAtClose(a.resp) && !a.info.NotRun
	if a.resp.Body != http.NoBody && !a.info.NotRun {
		l.transports.recordFraming(l.service, unframed, time.Now())
	}
	if !unframed {
		if !l.suspected {
			l.end()
		}
		return
	}
	if !l.held {
		l.held = true
		l.keeper.acquire()
	}
}

// end ends the use.
func (l *spareLease) end() {
	if l.held {
		l.held = false
		l.keeper.release(l.transports.expectsUnframed(l.service, time.Now()))
	}
}

// processEnded reports whether a runner's process is known to have ended around a time, by its connections.
func (ts *runnerTransports) processEnded(r *cicadaplace.Runner, at time.Time) bool {
	ts.mu.Lock()
	c := ts.conns[r]
	ts.mu.Unlock()
	return c != nil && c.processEnded(at)
}

// endedInOrder reports whether connections to a runner were ended around a time by the runner, not by the network.
func (ts *runnerTransports) endedInOrder(r *cicadaplace.Runner, at time.Time) bool {
	ts.mu.Lock()
	c := ts.conns[r]
	ts.mu.Unlock()
	return c != nil && c.endedInOrder(at)
}

// connsOf returns the connections to a runner.
func (ts *runnerTransports) connsOf(r *cicadaplace.Runner) *runnerConns {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	c := ts.conns[r]
	if c == nil {
		c = &runnerConns{open: map[*countedConn]struct{}{}}
		c.onEnd = func(conn *countedConn, at time.Time) { ts.dialer.rt.checkIdleEnd(r, conn, at) }
		c.spare = newSpareKeeper(ts.dialer.rt.runTask, func(ctx context.Context) (*countedConn, error) { return ts.dialSpare(ctx, r, c) })
		ts.conns[r] = c
	}
	return c
}

// dialSpare opens a spare connection. It is refused by a runner at its limit of connections, for example.
func (ts *runnerTransports) dialSpare(ctx context.Context, r *cicadaplace.Runner, c *runnerConns) (*countedConn, error) {
	conn, err := ts.dial(ctx, r, c)
	if err != nil {
		ts.dialer.rt.cfg.Log.WithField("runner", r.ID()).WithError(err).Debug("failed to open a spare connection to a runner")
	}
	return conn, err
}

// dial opens a connection to a runner.
func (ts *runnerTransports) dial(ctx context.Context, r *cicadaplace.Runner, c *runnerConns) (*countedConn, error) {
	ts.metrics.Dials.Add(1)
	conn, err := ts.dialer.dial(ctx, r)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, link: ts.link}
	if relayed, ok := conn.(*relayedConn); ok {
		counted.relay = relayed.relay
	}
	c.add(counted)
	return counted, nil
}

// NetConn returns the connection to the other router.
func (c *relayedConn) NetConn() net.Conn { return c.Conn }
