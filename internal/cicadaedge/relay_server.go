package cicadaedge

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// relayIdleCheck is how often a stopping router checks whether its relayed connections have ended.
	relayIdleCheck = 20 * time.Millisecond
	relayAccepted  = "HTTP/1.1 200 OK\r\n"
)

// relayServer connects other routers to runners that they do not reach themselves.
type relayServer struct {
	rt     *Router
	active atomic.Int64 // number of relayed connections
	unused atomic.Int64 // those on which no request was sent
}

// serve serves the connections of a listener until it is closed.
func (s *relayServer) serve(ln net.Listener) {
	s.rt.serveListener(s.rt.peerGuard.NewServer(s), ln)
}

// ServeHTTP handles a CONNECT request. It answers 502 if the runner alone refuses connections, 504 if
// it is not reached, 410 if it is draining, and 503 if this router does not connect to it otherwise.
func (s *relayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	if status := s.refusal(r); status != 0 {
		w.WriteHeader(status)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), dialTimeout)
	defer cancel()
	runnerConn, err := s.rt.dialer.dialContext(ctx, "tcp", r.Host)
	if err != nil {
		status := http.StatusGatewayTimeout
		if errors.Is(err, syscall.ECONNREFUSED) && s.rt.dialer.reachesOthers(r.Context(), r.Header.Get(relayRunnerHeader)) {
			status = http.StatusBadGateway
		}
		s.rt.cfg.Log.WithField("runner", r.Header.Get(relayRunnerHeader)).WithError(err).Debug("failed to connect another router to a runner")
		w.WriteHeader(status)
		return
	}
	if status := s.refusal(r); status != 0 {
		// The runner became unavailable during the dial. The other router may not know.
		_ = runnerConn.Close() // nothing was sent
		w.WriteHeader(status)
		return
	}
	framed := r.Header.Get(relayFramingHeader) == chunkedFraming
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		err = acceptRelay(conn, framed)
	}
	if err != nil {
		s.rt.cfg.Log.WithError(err).Debug("router that asked for a connection to a runner has left")
		_ = runnerConn.Close() // nothing was sent
		return
	}
	s.rt.cfg.Metrics.RelayedForOthers.Add(1)
	s.unused.Add(1)
	markUsed := sync.OnceFunc(func() { s.unused.Add(-1) })
	defer markUsed()
	pair := &relayPair{router: conn, runner: runnerConn, framed: framed, onRequest: markUsed}
	if err := pair.run(); err != nil {
		s.rt.cfg.Log.WithField("runner", r.Header.Get(relayRunnerHeader)).WithError(err).Debug("relayed connection broke")
	}
}

// acceptRelay tells the other router that its connection reaches the runner.
func acceptRelay(conn net.Conn, framed bool) error {
	header := relayAccepted
	if framed {
		header += relayFramingHeader + ": " + chunkedFraming + "\r\n"
	}
	_, err := io.WriteString(conn, header+"\r\n")
	return err
}

// refusal returns the status with which this router refuses to connect another one to a runner, or zero. It
// refuses if it would not send requests there itself, or reaches the runner through another router only.
func (s *relayServer) refusal(r *http.Request) int {
	runner := s.rt.balancer.Find(r.Header.Get(relayRunnerHeader))
	if runner == nil || runner.Addr() != r.Host || s.rt.stopping.Load() || s.rt.linkOverloaded() || s.rt.dialer.isRelayed(runner) {
		return http.StatusServiceUnavailable
	}
	switch err := s.rt.balancer.Unavailability(runner, time.Now()); {
	case err == nil:
		return 0
	case errors.Is(err, cicadaplace.ErrDraining):
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}

// wait waits until no connection with a request is relayed or ctx ends.
func (s *relayServer) wait(ctx context.Context) {
	for s.active.Load() > s.unused.Load() && ctx.Err() == nil {
		sleep(ctx, relayIdleCheck)
	}
}
