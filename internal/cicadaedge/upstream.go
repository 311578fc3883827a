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

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

const (
	// dialTimeout bounds the making of a connection to a runner: a hundred times
	// the round trip between data centres, and well below the objectives.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is below the idle times after which runners close.
	idleTimeout = 4 * time.Second
	// connShare is the part of a runner's connections that all routers use.
	connShare = 0.8
	// minConns is the fewest connections to one runner, however many routers.
	minConns      = 4
	maxAnswerHead = 64 << 10
)

type (
	// upstreams holds the connections to runners: a transport for each runner, so
	// that a runner's connections go with it.
	upstreams struct {
		metrics *Metrics

		mu       sync.Mutex // guards the fields below
		byRunner map[*cicadaplace.Runner]*pool
		routers  int
	}

	// pool is the connections to one runner.
	pool struct {
		*http.Transport
		maxConns int // that the runner takes of all routers; zero for no bound
	}

	// countedConn counts the bytes written, which tells whether a request can
	// have reached its runner.
	countedConn struct {
		net.Conn
		written atomic.Int64
	}
)

func newUpstreams(m *Metrics) *upstreams {
	return &upstreams{metrics: m, byRunner: map[*cicadaplace.Runner]*pool{}, routers: 1}
}

// Write counts what it writes, also when it fails: part may have been sent.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// setRouters sets the number of routers that share a runner's connections. Connections
// made for another share serve the requests that they have, and close.
func (u *upstreams) setRouters(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.routers
	u.routers = max(n, 1)
	if u.routers == before {
		return
	}
	for r, p := range u.byRunner {
		if p.MaxConnsPerHost != u.share(p.maxConns) {
			delete(u.byRunner, r)
			p.CloseIdleConnections()
		}
	}
}

// share is this router's part of the connections that a runner takes; zero for no bound.
func (u *upstreams) share(maxConns int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(int(connShare*float64(maxConns))/u.routers, minConns)
}

// forget closes the idle connections to a runner that is gone.
func (u *upstreams) forget(r *cicadaplace.Runner) {
	u.mu.Lock()
	t := u.byRunner[r]
	delete(u.byRunner, r)
	u.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, t := range u.byRunner {
		t.CloseIdleConnections()
	}
}

func (u *upstreams) transport(r *cicadaplace.Runner, s *cicadadeploy.Service) *http.Transport {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.byRunner[r]; p != nil {
		return p.Transport
	}
	dialer := cicadanet.NewDialer(dialTimeout)
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			u.metrics.Dials.Add(1)
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
		ReadBufferSize:         readBuffer,
		WriteBufferSize:        readBuffer,
	}
	t.MaxConnsPerHost = u.share(s.MaxConns)
	u.byRunner[r] = &pool{Transport: t, maxConns: s.MaxConns}
	return t
}

// do sends a request with a body. It tells whether any byte of it was written. A
// kept connection that had ended before the first byte is replaced.
//
// The transport shall not send the request again by itself: its body has no GetBody,
// where the method allows it a body is set also if it is empty, and the names by which
// the transport knows requests that may be repeated are written in small letters.
func (u *upstreams) do(
	r *cicadaplace.Runner, s *cicadadeploy.Service, req *http.Request, body []byte,
) (*http.Response, bool, error) {
	t := u.transport(r, s)
	for _, name := range repeatHeaders {
		if list, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = list
		}
	}
	for try := 1; ; try++ {
		var conn *countedConn
		var before int64
		var reused bool
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			reused = info.Reused
			if conn, _ = info.Conn.(*countedConn); conn != nil {
				before = conn.written.Load()
			}
		}}
		if len(body) > 0 || slices.Contains(bodilessMethods, req.Method) {
			req.Body = io.NopCloser(bytes.NewReader(body))
		}
		resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
		if err == nil {
			return resp, true, nil
		}
		sent := conn != nil && conn.written.Load() > before
		if sent || !reused || try == maxStale || req.Context().Err() != nil {
			return nil, sent, err
		}
	}
}

var (
	// repeatHeaders make http.Transport repeat a request that has no body.
	repeatHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}
	// bodilessMethods are those of which http.Transport writes no empty body.
	bodilessMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
)

// maxStale bounds how many ended connections are passed over for one request.
const maxStale = 8

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
