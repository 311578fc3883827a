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
	// callTimeout bounds a call for which the caller sets no earlier end.
	callTimeout = 2 * time.Second
	// maxIdle is the time after which an unused connection is closed.
	maxIdle = time.Minute
	// redialPause is the time between two attempts to reach a silent peer.
	redialPause = 200 * time.Millisecond
)

type (
	// ClientConfig sets up a Client.
	ClientConfig struct {
		Identity                 *Identity
		BytesReceived, BytesSent ByteCounter
		Calls                    Counter // by method
	}

	// Counter counts events by name.
	Counter interface {
		Add(name string, delta int64)
	}

	// Client calls peers by address. It keeps one connection to each and
	// replaces one that fails or stays silent.
	Client struct {
		cfg  ClientConfig
		dial *net.Dialer

		mu    sync.Mutex // guards the fields below
		peers map[string]*peerConn
		shut  bool
	}

	peerConn struct {
		mu       sync.Mutex // guards the fields below; held while dialling
		rpc      *jrpc2.Client
		failedAt time.Time
		usedAt   time.Time
	}
)

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, dial: NewDialer(), peers: make(map[string]*peerConn)}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut = true
	for _, p := range c.peers {
		p.mu.Lock()
		p.drop()
		p.mu.Unlock()
	}
}

// Exchange sends exchanges to a home.
func (c *Client) Exchange(ctx context.Context, addr string, req *ExchangeRequest) (*ExchangeReply, error) {
	return call[ExchangeReply](ctx, c, addr, methodExchange, req)
}

// Claim asks a home for the key of an idempotent request.
func (c *Client) Claim(ctx context.Context, addr string, req *ClaimRequest) (*ClaimReply, error) {
	return call[ClaimReply](ctx, c, addr, methodClaim, req)
}

// Lend asks a router for units that it has free.
func (c *Client) Lend(ctx context.Context, addr string, req *LendRequest) (*LendReply, error) {
	return call[LendReply](ctx, c, addr, methodLend, req)
}

// CollectLoans asks a router what it borrowed of an ended process.
func (c *Client) CollectLoans(ctx context.Context, addr string, req *CollectLoansRequest) (*CollectLoansReply, error) {
	return call[CollectLoansReply](ctx, c, addr, methodLoans, req)
}

// Heartbeat sends a heartbeat and returns the peer's own.
func (c *Client) Heartbeat(ctx context.Context, addr string, beat *Heartbeat) (*Heartbeat, error) {
	return call[Heartbeat](ctx, c, addr, methodBeat, beat)
}

// FetchResponse asks a router for a kept answer.
func (c *Client) FetchResponse(ctx context.Context, addr string, req *FetchResponseRequest) (*FetchResponseReply, error) {
	return call[FetchResponseReply](ctx, c, addr, methodAnswer, req)
}

// Recall asks a router to return what it has free of some budgets.
func (c *Client) Recall(ctx context.Context, addr string, req *RecallRequest) error {
	_, err := call[Empty](ctx, c, addr, methodRecall, req)
	return err
}

// Config asks a peer for the configuration that it has in force.
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
	// A connection that let a call time out may be dead without a sign.
	p.discard(rpc)
	return nil, errors.Wrapf(ErrUnreachable, "%s %s: %v", addr, method, err)
}

func (c *Client) connect(ctx context.Context, addr string) (*peerConn, *jrpc2.Client, error) {
	c.mu.Lock()
	if c.shut {
		c.mu.Unlock()
		return nil, nil, errors.Wrap(ErrUnreachable, "client is closed")
	}
	c.dropIdle(time.Now())
	p, ok := c.peers[addr]
	if !ok {
		p = &peerConn{}
		c.peers[addr] = p
	}
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = time.Now()
	if p.rpc != nil && !p.rpc.IsStopped() {
		return p, p.rpc, nil
	}
	if time.Since(p.failedAt) < redialPause {
		return nil, nil, errors.Wrapf(ErrUnreachable, "%s failed a moment ago", addr)
	}
	rpc, err := c.open(ctx, addr)
	if err != nil {
		p.failedAt = time.Now()
		return nil, nil, errors.Wrapf(ErrUnreachable, "%s: %v", addr, err)
	}
	p.rpc = rpc
	return p, rpc, nil
}

func (c *Client) open(ctx context.Context, addr string) (*jrpc2.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tc := tls.Client(&countedConn{Conn: conn, in: c.cfg.BytesReceived, out: c.cfg.BytesSent}, c.cfg.Identity.config())
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return jrpc2.NewClient(newChannel(tc), nil), nil
}

// dropIdle closes connections that have not been used for long. The caller
// holds c.mu.
func (c *Client) dropIdle(now time.Time) {
	for addr, p := range c.peers {
		if !p.mu.TryLock() {
			continue
		}
		if !p.usedAt.IsZero() && now.Sub(p.usedAt) > maxIdle {
			p.drop()
			delete(c.peers, addr)
		}
		p.mu.Unlock()
	}
}

// discard drops the connection unless it has been replaced already.
func (p *peerConn) discard(rpc *jrpc2.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rpc == rpc {
		p.drop()
	}
}

func (p *peerConn) drop() {
	if p.rpc == nil {
		return
	}
	rpc := p.rpc
	p.rpc = nil
	go func() { _ = rpc.Close() }() // waits for the reader, which may be blocked
}
