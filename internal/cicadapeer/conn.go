package cicadapeer

import (
	"io"
	"net"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/creachadair/jrpc2/channel"
	"github.com/pkg/errors"
)

const (
	// maxMessage bounds one message, in bytes.
	maxMessage = 8 << 20
	// userTimeout ends a connection whose sent data nobody acknowledges.
	userTimeout  = 5 * time.Second
	keepAliveGap = 5 * time.Second
)

var errTooLarge = errors.Errorf("message over %d bytes", maxMessage)

type (
	// ByteCounter counts bytes on the wire, TLS included.
	ByteCounter interface {
		Add(delta int64)
	}

	countedConn struct {
		net.Conn
		in, out ByteCounter
	}

	// boundedChannel compresses messages. It ends a connection on which a
	// message is too large, before that message is read whole.
	boundedChannel struct {
		channel.Channel
		r *boundedReader
	}

	boundedReader struct {
		r    io.Reader
		left int
	}
)

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

func (c *boundedChannel) Send(msg []byte) error {
	return c.Channel.Send(compress(msg))
}

func (c *boundedChannel) Recv() ([]byte, error) {
	c.r.left = maxMessage
	data, err := c.Channel.Recv()
	if err != nil {
		return nil, err
	}
	return decompress(data)
}

func newChannel(conn net.Conn) channel.Channel {
	r := &boundedReader{r: conn}
	return &boundedChannel{Channel: channel.Header("")(r, conn), r: r}
}

// NewDialer returns a dialer whose connections end when the other side is silent.
func NewDialer() *net.Dialer {
	return cicadanet.NewDialerWithConfig(cicadanet.DialerConfig{
		Timeout: dialTimeout, UserTimeout: userTimeout,
		KeepAlive: net.KeepAliveConfig{Enable: true, Idle: keepAliveGap, Interval: keepAliveGap, Count: 3},
	})
}

// dialTimeout bounds the making of a connection.
const dialTimeout = 700 * time.Millisecond
