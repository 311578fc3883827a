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
	// maxMessageBytes limits the size of one message, before and after decompression.
	maxMessageBytes = 8 << 20
	// userTimeout is the TCP_USER_TIMEOUT: a connection is closed when sent data stays unacknowledged for this long.
	userTimeout       = 5 * time.Second
	keepAliveInterval = 5 * time.Second
)

var errMessageTooLarge = errors.Errorf("peer message exceeds %d bytes", maxMessageBytes)

type (
	// ByteCounter counts bytes on the wire, including TLS overhead.
	ByteCounter interface {
		Add(delta int64)
	}

	countingConn struct {
		net.Conn
		received, sent ByteCounter
	}

	// compressedChannel compresses messages. A message larger than
	// maxMessageBytes fails while it is read, which closes the connection.
	compressedChannel struct {
		channel.Channel
		r *limitedReader
	}

	limitedReader struct {
		r         io.Reader
		remaining int
	}
)

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

func (c *compressedChannel) Send(msg []byte) error {
	return c.Channel.Send(compress(msg))
}

func (c *compressedChannel) Recv() ([]byte, error) {
	c.r.remaining = maxMessageBytes
	data, err := c.Channel.Recv()
	if err != nil {
		return nil, err
	}
	return decompress(data)
}

func newChannel(conn net.Conn) channel.Channel {
	r := &limitedReader{r: conn}
	return &compressedChannel{Channel: channel.Header("")(r, conn), r: r}
}

// NewDialer returns a dialer whose connections are closed when the peer stops acknowledging data or keep-alive probes.
func NewDialer() *net.Dialer {
	return cicadanet.NewDialerWithConfig(cicadanet.DialerConfig{
		Timeout: dialTimeout, UserTimeout: userTimeout,
		KeepAlive: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3},
	})
}

// dialTimeout limits connecting to a peer, including the TLS handshake.
const dialTimeout = 700 * time.Millisecond
