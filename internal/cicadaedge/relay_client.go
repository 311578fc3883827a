package cicadaedge

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// relayDelay is how long a connection to a runner may take before one through another router is
	// tried as well. It is many round trips between data centres.
	relayDelay = 100 * time.Millisecond
	// maxRelays bounds the routers that are tried for one connection.
	maxRelays = 3
	// relayTimeout bounds a connection through another router, which dials the runner meanwhile.
	relayTimeout = dialTimeout + relayDelay
	// directRetryInterval is how often a runner that is reached through other routers is dialled
	// directly.
	directRetryInterval = time.Second
	// relayRunnerHeader has the id of the runner in a CONNECT request between routers.
	relayRunnerHeader = "Cicadadyke-Runner"
)

var (
	errNoRelay       = errors.New("no other router can be asked to reach the runner")
	errRunnerEnded   = errors.New("the runner has ended")
	errRunnerUnknown = errors.New("this host reaches no runner, and no other router was asked whether this one has ended")
)

type (
	// runnerDialer connects to runners: directly or, if a runner cannot be reached, through another
	// router that reaches it.
	runnerDialer struct {
		rt *Router
		// dialContext opens TCP connections to runners.
		dialContext cicadanet.DialFunc

		mu    sync.Mutex // guards paths
		paths map[*cicadaplace.Runner]*runnerPath
	}

	// runnerPath is what is known of the ways to a runner.
	runnerPath struct {
		directFailed bool      // the last direct connection failed
		triedAt      time.Time // time of the last direct connection
		relay        string    // name of the router that reached the runner last
		relayed      bool      // connections go through other routers
	}
)

func newRunnerDialer(rt *Router) *runnerDialer {
	dial := rt.cfg.DialRunner
	if dial == nil {
		dial = cicadanet.NewDialer(dialTimeout).DialContext
	}
	return &runnerDialer{rt: rt, dialContext: cicadanet.CheckEnds(dial), paths: map[*cicadaplace.Runner]*runnerPath{}}
}

// dial connects to a runner. While it is reached directly, other routers are asked only if that takes
// longer than relayDelay or fails.
func (d *runnerDialer) dial(ctx context.Context, r *cicadaplace.Runner) (net.Conn, error) {
	relays := d.relayDials(r)
	if !d.isRelayed(r) {
		return firstConn(ctx, append([]connFunc{d.directDial(r)}, relays...))
	}
	if d.directRetryDue(r, time.Now()) {
		d.rt.runTask(func() { d.retryDirect(r) })
	}
	return firstConn(ctx, relays)
}

// directDial returns a function that connects directly. It goes on if the result is no longer needed,
// as the outcome decides about further connections.
func (d *runnerDialer) directDial(r *cicadaplace.Runner) connFunc {
	return func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
		defer cancel()
		conn, err := d.dialContext(ctx, "tcp", r.Addr())
		d.recordDirect(r, err)
		return conn, err
	}
}

func (d *runnerDialer) retryDirect(r *cicadaplace.Runner) {
	conn, err := d.directDial(r)(context.Background())
	if err != nil {
		return
	}
	if err := conn.Close(); err != nil {
		d.rt.cfg.Log.WithField("runner", r.ID()).WithError(err).Debug("failed to close a connection to a runner")
	}
}

// relayDials returns functions that connect through one router each, the last successful one first.
func (d *runnerDialer) relayDials(r *cicadaplace.Runner) []connFunc {
	d.mu.Lock()
	last := d.path(r).relay
	d.mu.Unlock()
	var out []connFunc
	for _, p := range d.rt.peers.relays(last, r.DataCentre(), d.rt.cfg.Regions, maxRelays) {
		out = append(out, func(ctx context.Context) (net.Conn, error) {
			conn, err := dialThrough(ctx, p.addr, r)
			if err != nil {
				return nil, errors.Wrapf(err, "through router %s", p.name)
			}
			conn.relay = p.name
			d.recordRelay(r, p.name)
			return conn, nil
		})
	}
	return out
}

// dialThrough connects to a runner through the router at addr, by HTTP CONNECT.
func dialThrough(ctx context.Context, addr string, r *cicadaplace.Runner) (*relayedConn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := cicadanet.CheckEnds(cicadanet.NewDialer(dialTimeout).DialContext)(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the exchange below; it returns the error
	relayed, err := requestRelay(conn, r)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close() // the cause is returned
		return nil, err
	}
	return relayed, nil
}

func requestRelay(conn net.Conn, r *cicadaplace.Runner) (*relayedConn, error) {
	req := &http.Request{
		Method: http.MethodConnect, URL: &url.URL{Opaque: r.Addr()}, Host: r.Addr(),
		Header: http.Header{relayRunnerHeader: {r.ID()}, relayFramingHeader: {chunkedFraming}},
	}
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	br := bufio.NewReader(cicadanet.CheckResponse(conn))
	resp, err := http.ReadResponse(br, req) //nolint:bodyclose // the response to CONNECT has no body
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusBadGateway:
		return nil, errRunnerEnded
	case resp.StatusCode == http.StatusGone:
		return nil, cicadaplace.ErrDraining
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Errorf("the router answered with status %d", resp.StatusCode)
	case br.Buffered() > 0:
		return nil, errors.New("the runner sent data before a request")
	}
	return newRelayedConn(conn, br, resp), nil
}

func (d *runnerDialer) path(r *cicadaplace.Runner) *runnerPath {
	p := d.paths[r]
	if p == nil {
		p = &runnerPath{}
		d.paths[r] = p
	}
	return p
}

// isRelayed reports whether connections to the runner go through other routers.
func (d *runnerDialer) isRelayed(r *cicadaplace.Runner) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths[r] != nil && d.paths[r].relayed
}

// directRetryDue reports whether the runner is to be dialled directly, and then counts that as done.
func (d *runnerDialer) directRetryDue(r *cicadaplace.Runner, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(r)
	if now.Sub(p.triedAt) < directRetryInterval {
		return false
	}
	p.triedAt = now
	return true
}

func (d *runnerDialer) recordDirect(r *cicadaplace.Runner, err error) {
	d.mu.Lock()
	p := d.path(r)
	p.directFailed, p.triedAt = err != nil, time.Now()
	changed := p.update()
	d.mu.Unlock()
	d.applyChange(r, changed, err)
}

func (d *runnerDialer) recordRelay(r *cicadaplace.Runner, name string) {
	d.rt.cfg.Metrics.Relayed.Add(1)
	d.mu.Lock()
	p := d.path(r)
	p.relay = name
	changed := p.update()
	d.mu.Unlock()
	d.applyChange(r, changed, nil)
}

// update reports whether the way of further connections has changed.
func (p *runnerPath) update() bool {
	before := p.relayed
	if !p.directFailed {
		p.relay = ""
	}
	p.relayed = p.directFailed && p.relay != ""
	return p.relayed != before
}

// applyChange drops what belongs to the earlier way to a runner.
func (d *runnerDialer) applyChange(r *cicadaplace.Runner, changed bool, cause error) {
	if !changed {
		return
	}
	relayed := d.isRelayed(r)
	entry := d.rt.cfg.Log.WithField("runner", r.ID()).WithField("addr", r.Addr())
	if !relayed {
		d.rt.cfg.Metrics.RelayedRunners.Add(-1)
		entry.Info("runner is reached directly again")
		return
	}
	d.rt.cfg.Metrics.RelayedRunners.Add(1)
	entry.WithError(cause).Warn("runner is reached through other routers only")
	// Its idle connections may hang, and its failures were those of the network.
	d.rt.transports.closeIdle(r)
	d.rt.balancer.Reinstate(r)
}

// remove forgets a runner that is no longer in use.
func (d *runnerDialer) remove(r *cicadaplace.Runner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.paths[r]; p != nil && p.relayed {
		d.rt.cfg.Metrics.RelayedRunners.Add(-1)
	}
	delete(d.paths, r)
}

type (
	connFunc func(ctx context.Context) (net.Conn, error)

	connResult struct {
		conn net.Conn
		err  error
	}
)

// firstConn calls the functions one after the other, each relayDelay after the one before or when that
// fails, and returns the first connection. Other connections are closed. It ends early if another router
// knows that the runner is draining.
func firstConn(ctx context.Context, dials []connFunc) (net.Conn, error) {
	if len(dials) == 0 {
		return nil, errNoRelay
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan connResult)
	running := 0
	defer func() { go closeConns(results, running) }()
	start := func() {
		dial := dials[0]
		dials = dials[1:]
		running++
		go func() {
			conn, err := dial(ctx)
			results <- connResult{conn, err}
		}()
	}
	start()
	timer := time.NewTicker(relayDelay)
	defer timer.Stop()
	var failures []string
	for {
		select {
		case res := <-results:
			running--
			if res.err == nil {
				return res.conn, nil
			}
			failures = append(failures, res.err.Error())
			switch {
			case errors.Is(res.err, cicadaplace.ErrDraining):
				return nil, res.err // other routers may not know
			case len(dials) > 0:
				start()
			case running == 0 && len(failures) == 1:
				return nil, res.err
			case running == 0:
				return nil, errors.Wrap(res.err, strings.Join(failures[:len(failures)-1], "; "))
			}
		case <-timer.C:
			if len(dials) > 0 {
				start()
			}
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// closeConns closes the connections of n results.
func closeConns(results <-chan connResult, n int) {
	for range n {
		if res := <-results; res.err == nil {
			_ = res.conn.Close() // nothing was sent
		}
	}
}

// relays returns routers through which a runner in a data centre may be reached, at most limit: the
// one named first, then some of the runner's data centre, then others of its region.
func (p *peerSet) relays(first, dataCentre string, regions map[string]string, limit int) []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out, near, far []peer
	for _, other := range p.byName {
		switch {
		case other.name == p.self.name || other.addr == "" || regions[other.dataCentre] != regions[dataCentre]:
		case other.name == first:
			out = append(out, other)
		case other.dataCentre == dataCentre:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	// One of another data centre is among them, as a data centre may be cut off as a whole.
	near = sample(near, max(limit-len(out)-1, limit-len(out)-len(far)))
	out = append(out, near...)
	return append(out, sample(far, limit-len(out))...)
}
