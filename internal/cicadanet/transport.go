package cicadanet

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

type (
	// Transport is an http.Transport for HTTP/1 that fails requests whose responses are malformed. Over TLS through
	// a proxy it checks the trailers only.
	Transport struct{ *http.Transport }

	// responseConn is a connection of a Transport.
	responseConn struct {
		net.Conn
		checker ResponseChecker
	}
)

// NewTransport returns a transport that uses t, which has a DialContext.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newResponseConn(conn), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		tlsConn := tls.Client(conn, tlsConfig(t.TLSClientConfig, addr))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close() // the cause is returned
			return nil, err
		}
		return newResponseConn(tlsConn), nil
	}
	return &Transport{Transport: t}
}

// newResponseConn returns a connection that expects a response once a request is sent on it. What comes before may
// be part of a TLS handshake.
func newResponseConn(conn net.Conn) *responseConn {
	c := &responseConn{Conn: conn}
	c.checker.phase = phaseBody
	return c
}

// tlsConfig returns the configuration of a connection to addr.
func tlsConfig(cfg *tls.Config, addr string) *tls.Config {
	if cfg = cfg.Clone(); cfg == nil {
		cfg = &tls.Config{}
	}
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(addr) // http.Transport adds the port
	}
	cfg.NextProtos = nil // HTTP/1
	return cfg
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*responseConn); ok {
			conn.checker.Expect()
		}
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	CheckTrailers(resp)
	return resp, nil
}

// Read reads what the server sends.
func (c *responseConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.checker.Check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// NetConn returns the connection in use.
func (c *responseConn) NetConn() net.Conn { return c.Conn }
