package cicadaedge

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaadmission"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds dialling a runner. It is a hundred times the round trip between data
	// centres and well below the latency objectives.
	dialTimeout = 400 * time.Millisecond
	// idleConnTimeout is shorter than the idle timeout after which runners close connections.
	idleConnTimeout = 4 * time.Second
	// runnerConnShare is the share of a runner's connections that all routers together use.
	runnerConnShare = 0.8
	// minConnsPerRunner is the minimum connection limit for one runner, however many routers there
	// are.
	minConnsPerRunner      = 4
	maxResponseHeaderBytes = 64 << 10
)

type (
	// runnerTransports holds one HTTP transport for each runner, so that the connections to a
	// runner are dropped together with it.
	runnerTransports struct {
		metrics *Metrics
		link    *cicadaadmission.Link
		dialer  *runnerDialer

		mu       sync.Mutex // guards the fields below
		byRunner map[*cicadaplace.Runner]*runnerTransport
		conns    map[*cicadaplace.Runner]*runnerConns
		framing  map[string]framingHistory // by service
		routers  int
	}

	// runnerTransport holds the connections to one runner.
	runnerTransport struct {
		*http.Transport
		maxConns int // limit of the runner for all routers together; zero for none
	}

	// countedConn counts the bytes written, which shows whether a request can have reached the
	// runner, and the load of the host's link.
	countedConn struct {
		net.Conn
		link    *cicadaadmission.Link
		checker cicadanet.ResponseChecker
		relay   string // name of the router that the connection goes through; empty for none
		written atomic.Int64
		retired atomic.Bool
		ended   atomic.Bool  // by the runner or the network
		usedAt  atomicTime   // when the last request was assigned to it
		idleAt  atomicTime   // when the last of users ended
		users   atomic.Int32 // requests assigned to it whose responses were not read to the end
		// Set by runnerConns.add. The runner's process is known to be the same since processSince.
		conns                       *runnerConns
		establishedAt, processSince time.Time
	}

	// roundTripResult is the outcome of a request that was passed to a transport. Its user closes the
	// response's body.
	roundTripResult struct {
		resp *http.Response
		sent bool         // some bytes of the request may have reached the runner
		conn *countedConn // nil if none was established
	}
)

func newRunnerTransports(m *Metrics, link *cicadaadmission.Link, dialer *runnerDialer) *runnerTransports {
	return &runnerTransports{
		metrics: m, link: link, dialer: dialer, routers: 1, byRunner: map[*cicadaplace.Runner]*runnerTransport{},
		conns: map[*cicadaplace.Runner]*runnerConns{}, framing: map[string]framingHistory{},
	}
}

// retire closes the connection. A request that the transport assigns to it meanwhile is not sent on it.
func (c *countedConn) retire() error {
	c.retired.Store(true)
	return c.Close()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// Write counts all bytes even if the write fails, since some may have been sent.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.retired.Load() {
		return 0, net.ErrClosed
	}
	c.written.Add(int64(len(p)))
	c.link.RecordSent(len(p), time.Now())
	return c.Conn.Write(p)
}

// Read counts the bytes read, and checks that they form responses.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.RecordReceived(n, time.Now())
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.conns.recordEnd(c, errors.Is(err, io.EOF))
	}
	if malformed := c.checker.Check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// setRouters sets the number of routers that share the connections of a runner. Connections opened
// under another limit finish their requests and are closed.
func (ts *runnerTransports) setRouters(n int) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	before := ts.routers
	ts.routers = max(n, 1)
	if ts.routers == before {
		return
	}
	for r, t := range ts.byRunner {
		if t.MaxConnsPerHost != ts.connLimit(t.maxConns) {
			delete(ts.byRunner, r)
			t.CloseIdleConnections()
		}
	}
}

// connLimit returns this router's share of a runner's connections; zero for no limit.
func (ts *runnerTransports) connLimit(maxConns int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(int(runnerConnShare*float64(maxConns))/ts.routers, minConnsPerRunner)
}

// closeIdle closes the idle connections to a runner.
func (ts *runnerTransports) closeIdle(r *cicadaplace.Runner) {
	ts.mu.Lock()
	t := ts.byRunner[r]
	ts.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// remove closes the idle connections to a runner that is no longer in use.
func (ts *runnerTransports) remove(r *cicadaplace.Runner) {
	ts.mu.Lock()
	t, conns := ts.byRunner[r], ts.conns[r]
	delete(ts.byRunner, r)
	delete(ts.conns, r)
	ts.mu.Unlock()
	if conns != nil {
		conns.spare.retire()
	}
	if t != nil {
		t.CloseIdleConnections()
	}
	ts.dialer.remove(r)
}

func (ts *runnerTransports) close() {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, t := range ts.byRunner {
		t.CloseIdleConnections()
	}
	for _, c := range ts.conns {
		c.spare.close()
	}
}

func (ts *runnerTransports) transport(r *cicadaplace.Runner, s *cicadadeploy.Service) *http.Transport {
	conns := ts.connsOf(r)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if cached := ts.byRunner[r]; cached != nil {
		return cached.Transport
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn, err := ts.dial(ctx, r, conns)
			if err != nil {
				return nil, err
			}
			return conn, nil
		},
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        readBufferBytes,
	}
	t.MaxConnsPerHost = ts.connLimit(s.MaxConns)
	ts.byRunner[r] = &runnerTransport{Transport: t, maxConns: s.MaxConns}
	return t
}

// roundTrip sends a request with a body. If a reused connection turns out to be closed before the
// first byte, the request is sent on another one.
//
// The transport must not resend requests by itself. For this reason the body has no GetBody,
// requests with one of bodilessMethods have a body even if it is empty, and the headers by which
// the transport recognises idempotent requests are written in lower case. If it resends one all the
// same, such as a TRACE, nothing is written to the second connection.
func (ts *runnerTransports) roundTrip(
	r *cicadaplace.Runner, s *cicadadeploy.Service, req *http.Request, body []byte,
) (roundTripResult, error) {
	t := ts.transport(r, s)
	for _, name := range autoRetryHeaders {
		if list, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = list
		}
	}
	for try := 1; ; try++ {
		var conn *countedConn
		var writtenBefore int64
		var reused, sent bool
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			sent = sent || conn != nil && conn.written.Load() > writtenBefore
			reused = info.Reused
			if conn, _ = info.Conn.(*countedConn); conn == nil {
				return
			}
			writtenBefore = conn.written.Load()
			conn.checker.Expect()
			conn.usedAt.set(time.Now())
			conn.users.Add(1)
			// Another router may not send there any more, which is known when a connection is opened.
			if sent || reused && conn.relay != "" {
				_ = conn.retire() // nothing is written to it
			}
		}}
		if len(body) > 0 || slices.Contains(bodilessMethods, req.Method) {
			req.Body = io.NopCloser(bytes.NewReader(body))
		}
		resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace))) //nolint:bodyclose // see roundTripResult
		if err == nil {
			cicadanet.CheckTrailers(resp)
			return roundTripResult{resp: resp, sent: true, conn: conn}, nil
		}
		sent = sent || conn != nil && conn.written.Load() > writtenBefore
		if sent || !reused || try == maxStaleConns || req.Context().Err() != nil {
			return roundTripResult{sent: sent, conn: conn}, err
		}
	}
}

var (
	// autoRetryHeaders make http.Transport resend a request that has no body.
	autoRetryHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}
	// bodilessMethods are the methods for which http.Transport does not write an empty body.
	bodilessMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
)

// maxStaleConns is the number of closed connections after which a request is no longer sent again.
const maxStaleConns = 8

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
