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
	// handshakeTimeout bounds the TLS handshake of an incoming connection.
	handshakeTimeout = 2 * time.Second
	// concurrency is the number of calls served at once on a connection.
	concurrency = 64
	// callsPerSecond bounds the calls of one connection; more wait.
	callsPerSecond = 2000
	callsBurst     = 400
	// maxConnections bounds the connections of a server.
	maxConnections = 2048
)

type (
	// ServerConfig sets up a Server.
	ServerConfig struct {
		Listener                 net.Listener
		Identity                 *Identity
		Handler                  Handler
		Log                      log.Interface
		BytesReceived, BytesSent ByteCounter
	}

	// Server answers peers. Its goroutines end at Close.
	Server struct {
		cfg  ServerConfig
		done chan struct{}
		wg   sync.WaitGroup

		mu    sync.Mutex // guards the fields below
		conns map[net.Conn]struct{}
		shut  bool
	}
)

// NewServer returns a server that has not started.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, done: make(chan struct{}), conns: make(map[net.Conn]struct{})}
}

// Start begins to accept connections.
func (s *Server) Start() {
	s.wg.Add(1)
	go s.accept()
}

// Close ends all connections and waits for the calls in progress.
func (s *Server) Close() {
	s.mu.Lock()
	s.shut = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	_ = s.cfg.Listener.Close()
	s.wg.Wait()
	close(s.done)
}

// Done is closed when the server has ended.
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
	if s.shut || len(s.conns) >= maxConnections {
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
	tc := tls.Server(&countedConn{Conn: conn, in: s.cfg.BytesReceived, out: s.cfg.BytesSent}, s.cfg.Identity.config())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		s.cfg.Log.WithError(err).WithField("remote", conn.RemoteAddr().String()).Warn("peer refused")
		return
	}
	limit := rate.NewLimiter(callsPerSecond, callsBurst)
	srv := jrpc2.NewServer(s.methods(limit), &jrpc2.ServerOptions{Concurrency: concurrency})
	_ = srv.Start(newChannel(tc)).Wait()
}

func (s *Server) methods(limit *rate.Limiter) handler.Map {
	h := s.cfg.Handler
	return handler.Map{
		methodExchange: handler.New(limited(limit, h.Exchange)),
		methodClaim:    handler.New(limited(limit, h.Claim)),
		methodLend:     handler.New(limited(limit, h.Lend)),
		methodLoans:    handler.New(limited(limit, h.CollectLoans)),
		methodBeat:     handler.New(limited(limit, h.Heartbeat)),
		methodAnswer:   handler.New(limited(limit, h.FetchResponse)),
		methodRecall:   handler.New(limited(limit, h.Recall)),
		methodConfig:   handler.New(limited(limit, h.Config)),
	}
}

// limited makes calls above the connection's rate wait.
func limited[P, R any](l *rate.Limiter, f func(context.Context, *P) (*R, error)) func(context.Context, *P) (*R, error) {
	return func(ctx context.Context, p *P) (*R, error) {
		if err := l.Wait(ctx); err != nil {
			return nil, err
		}
		return f(ctx, p)
	}
}
