package cicadapeer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/creachadair/jrpc2"
	"github.com/pkg/errors"
)

const (
	// callTimeout limits a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	// maxIdleTime is how long a connection may stay unused before it is closed.
	maxIdleTime = time.Minute
	// redialInterval is the minimum time between a failed dial and the next dial to the same peer.
	redialInterval = 200 * time.Millisecond
)

type (
	// ClientConfig configures a Client.
	ClientConfig struct {
		Identity                 *Identity
		BytesReceived, BytesSent ByteCounter
		Calls                    Counter // calls by method
	}

	// Counter counts events by name.
	Counter interface {
		Add(name string, delta int64)
	}

	// Client calls peers by address over one connection per peer. It replaces
	// a connection that fails or on which a call times out.
	Client struct {
		cfg    ClientConfig
		dialer *net.Dialer

		mu     sync.Mutex // guards the fields below
		conns  map[string]*peerConn
		closed bool
	}

	peerConn struct {
		mu           sync.Mutex // guards the fields below; held while dialling
		rpc          *jrpc2.Client
		dialFailedAt time.Time
		usedAt       time.Time
	}
)

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, dialer: NewDialer(), conns: make(map[string]*peerConn)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.conns {
		p.mu.Lock()
		p.disconnect()
		p.mu.Unlock()
	}
}

// Exchange sends the exchanges in req to the home of their partitions.
func (c *Client) Exchange(ctx context.Context, addr string, req *ExchangeRequest) (*ExchangeReply, error) {
	return call[ExchangeReply](ctx, c, addr, methodExchange, req)
}

// Claim asks a home for the idempotency key of a request, or releases it.
func (c *Client) Claim(ctx context.Context, addr string, req *ClaimRequest) (*ClaimReply, error) {
	return call[ClaimReply](ctx, c, addr, methodClaim, req)
}

// Lend asks a router for a loan of its free units.
func (c *Client) Lend(ctx context.Context, addr string, req *LendRequest) (*LendReply, error) {
	return call[LendReply](ctx, c, addr, methodLend, req)
}

// CollectLoans asks a router for the loans that it received from an ended process.
func (c *Client) CollectLoans(ctx context.Context, addr string, req *CollectLoansRequest) (*CollectLoansReply, error) {
	return call[CollectLoansReply](ctx, c, addr, methodCollectLoans, req)
}

// Heartbeat sends a heartbeat and returns the peer's heartbeat.
func (c *Client) Heartbeat(ctx context.Context, addr string, heartbeat *Heartbeat) (*Heartbeat, error) {
	return call[Heartbeat](ctx, c, addr, methodHeartbeat, heartbeat)
}

// FetchResponse asks a router for a stored response.
func (c *Client) FetchResponse(ctx context.Context, addr string, req *FetchResponseRequest) (*FetchResponseReply, error) {
	return call[FetchResponseReply](ctx, c, addr, methodFetchResponse, req)
}

// Recall asks a router to return its free units of some budgets to the home.
func (c *Client) Recall(ctx context.Context, addr string, req *RecallRequest) error {
	_, err := call[Empty](ctx, c, addr, methodRecall, req)
	return err
}

// Config asks a peer for its current configuration.
func (c *Client) Config(ctx context.Context, addr string, req *ConfigRequest) (*cicadaconfig.Export, error) {
	return call[cicadaconfig.Export](ctx, c, addr, methodConfig, req)
}

func call[R any](ctx context.Context, c *Client, addr, method string, params any) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, rpc, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.cfg.Calls.Add(method, 1)
	var out R
	err = rpc.CallResult(ctx, method, params, &out)
	var rpcErr *jrpc2.Error
	switch {
	case err == nil:
		return &out, nil
	case errors.Is(context.Cause(ctx), context.Canceled):
		return nil, errors.Wrapf(ErrUnreachable, "%s %s: %v", addr, method, err)
	case ctx.Err() == nil && errors.As(err, &rpcErr):
		return nil, errors.Wrapf(ErrRefused, "%s %s: %v", addr, method, err)
	}
	// After a timeout the connection may be broken without a TCP error, so it is not reused.
	p.closeIfCurrent(rpc)
	return nil, errors.Wrapf(ErrUnreachable, "%s %s: %v", addr, method, err)
}

func (c *Client) connect(ctx context.Context, addr string) (*peerConn, *jrpc2.Client, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, nil, errors.Wrap(ErrUnreachable, "peer client is closed")
	}
	c.closeIdle(time.Now())
	p, ok := c.conns[addr]
	if !ok {
		p = &peerConn{}
		c.conns[addr] = p
	}
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = time.Now()
	if p.rpc != nil && !p.rpc.IsStopped() {
		return p, p.rpc, nil
	}
	if time.Since(p.dialFailedAt) < redialInterval {
		return nil, nil, errors.Wrapf(ErrUnreachable, "%s: not redialled so soon after a failed dial", addr)
	}
	rpc, err := c.dial(ctx, addr)
	if err != nil {
		p.dialFailedAt = time.Now()
		return nil, nil, errors.Wrapf(ErrUnreachable, "%s: %v", addr, err)
	}
	p.rpc = rpc
	return p, rpc, nil
}

func (c *Client) dial(ctx context.Context, addr string) (*jrpc2.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tc := tls.Client(&countingConn{Conn: conn, received: c.cfg.BytesReceived, sent: c.cfg.BytesSent}, c.cfg.Identity.tlsConfig())
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return jrpc2.NewClient(newChannel(tc), nil), nil
}

// closeIdle closes connections that have been unused for longer than
// maxIdleTime. The caller holds c.mu.
func (c *Client) closeIdle(now time.Time) {
	for addr, p := range c.conns {
		if !p.mu.TryLock() {
			continue
		}
		if !p.usedAt.IsZero() && now.Sub(p.usedAt) > maxIdleTime {
			p.disconnect()
			delete(c.conns, addr)
		}
		p.mu.Unlock()
	}
}

// closeIfCurrent closes rpc unless it has already been replaced.
func (p *peerConn) closeIfCurrent(rpc *jrpc2.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rpc == rpc {
		p.disconnect()
	}
}

func (p *peerConn) disconnect() {
	if p.rpc == nil {
		return
	}
	rpc := p.rpc
	p.rpc = nil
	go func() { _ = rpc.Close() }() // Close waits for the reader, which may be blocked
}
