package cicadapeer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"
	"golang.org/x/time/rate"
)

const (
	// handshakeTimeout limits the TLS handshake of an incoming connection.
	handshakeTimeout = 2 * time.Second
	// maxConcurrentCalls limits the calls in progress on one connection.
	maxConcurrentCalls = 64
	// callsPerSecond limits the call rate of one connection. Calls above it are delayed.
	callsPerSecond = 2000
	callBurst      = 400
	// maxConnections limits the open connections of a server. Further ones are closed at once.
	maxConnections = 2048
)

type (
	// ServerConfig configures a Server.
	ServerConfig struct {
		Listener                 net.Listener
		Identity                 *Identity
		Handler                  Handler
		Log                      log.Interface
		BytesReceived, BytesSent ByteCounter
	}

	// Server serves calls from peers. Close stops its goroutines.
	Server struct {
		cfg  ServerConfig
		done chan struct{}
		wg   sync.WaitGroup

		mu     sync.Mutex // guards the fields below
		conns  map[net.Conn]struct{}
		closed bool
	}
)

// NewServer returns a server. Start starts it.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, done: make(chan struct{}), conns: make(map[net.Conn]struct{})}
}

// Start accepts connections in the background.
func (s *Server) Start() {
	s.wg.Add(1)
	go s.accept()
}

// Close closes all connections and waits for the calls in progress.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	_ = s.cfg.Listener.Close()
	s.wg.Wait()
	close(s.done)
}

// Done returns a channel that is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.cfg.Listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		s.wg.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) serve(conn net.Conn) {
	defer s.wg.Done()
	defer s.remove(conn)
	defer func() { _ = conn.Close() }()
	tc := tls.Server(&countingConn{Conn: conn, received: s.cfg.BytesReceived, sent: s.cfg.BytesSent}, s.cfg.Identity.tlsConfig())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		s.cfg.Log.WithError(err).WithField("remote", conn.RemoteAddr().String()).Warn("TLS handshake with peer failed")
		return
	}
	limiter := rate.NewLimiter(callsPerSecond, callBurst)
	srv := jrpc2.NewServer(s.methods(limiter), &jrpc2.ServerOptions{Concurrency: maxConcurrentCalls})
	_ = srv.Start(newChannel(tc)).Wait()
}

func (s *Server) methods(limiter *rate.Limiter) handler.Map {
	h := s.cfg.Handler
	return handler.Map{
		methodExchange:      handler.New(rateLimited(limiter, h.Exchange)),
		methodClaim:         handler.New(rateLimited(limiter, h.Claim)),
		methodLend:          handler.New(rateLimited(limiter, h.Lend)),
		methodCollectLoans:  handler.New(rateLimited(limiter, h.CollectLoans)),
		methodHeartbeat:     handler.New(rateLimited(limiter, h.Heartbeat)),
		methodFetchResponse: handler.New(rateLimited(limiter, h.FetchResponse)),
		methodRecall:        handler.New(rateLimited(limiter, h.Recall)),
		methodConfig:        handler.New(rateLimited(limiter, h.Config)),
	}
}

// rateLimited wraps f so that calls above the connection's rate limit are delayed.
func rateLimited[P, R any](l *rate.Limiter, f func(context.Context, *P) (*R, error)) func(context.Context, *P) (*R, error) {
	return func(ctx context.Context, p *P) (*R, error) {
		if err := l.Wait(ctx); err != nil {
			return nil, err
		}
		return f(ctx, p)
	}
}
