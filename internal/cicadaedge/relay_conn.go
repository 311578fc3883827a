package cicadaedge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil"

	"github.com/pkg/errors"
)

const (
	// relayFramingHeader names, in a CONNECT request between routers, the framing that the router
	// understands, and in the response the framing in use.
	relayFramingHeader = "Cicadadyke-Framing"
	// chunkedFraming frames what the runner sends in the chunks of HTTP. The last chunk states that the
	// runner has closed its connection: the end of the relay looks the same without it.
	chunkedFraming = "chunked"
	// chunkOverheadBytes is enough for the size and the line ends of a chunk.
	chunkOverheadBytes = 32
)

type (
	// relayedConn is a connection to a runner through another router. It returns io.EOF only if the
	// runner is known to have closed its connection.
	relayedConn struct {
		net.Conn
		relay string
		r     io.Reader // what the runner sends
	}

	// framedReader reads chunks from a relay. The last one counts only if the relay then ends its
	// connection in order, as it resets it if it has not taken all of the request.
	framedReader struct {
		chunks io.Reader
		relay  *bufio.Reader
	}

	// endlessReader reports the end of a connection as an error.
	endlessReader struct{ io.Reader }
)

// newRelayedConn returns a connection to a runner through a router that has accepted it with resp. br
// reads from conn.
func newRelayedConn(conn net.Conn, br *bufio.Reader, resp *http.Response) *relayedConn {
	if resp.Header.Get(relayFramingHeader) == chunkedFraming {
		return &relayedConn{Conn: conn, r: framedReader{chunks: httputil.NewChunkedReader(br), relay: br}}
	}
	// Routers of earlier builds do not tell who ended the connection.
	return &relayedConn{Conn: conn, r: endlessReader{br}}
}

// Read reads what the runner sends. The error is io.ErrUnexpectedEOF if the relay has ended.
func (c *relayedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// Read returns io.EOF at the end of the relay's connection.
func (r framedReader) Read(p []byte) (int, error) {
	n, err := r.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if _, err = r.relay.Peek(1); err == nil {
		err = errors.New("the relay sent data after the last chunk")
	}
	return n, err
}

// Read returns io.ErrUnexpectedEOF at the end.
func (r endlessReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// relayPair is a connection of another router and the runner's connection that it is passed on to.
type relayPair struct {
	router, runner net.Conn
	framed         bool   // what the runner sends is passed on in chunks
	onRequest      func() // called when the router sends something
}

// requestReader calls a function when there is something to read.
type requestReader struct {
	io.Reader
	onRequest func()
}

// Read reads what the router sends.
func (r requestReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onRequest()
	}
	return n, err
}

// run passes on what router and runner send until one of them closes. It returns the error that ended
// it, if the runner did not close its connection.
func (p *relayPair) run() error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(p.runner, requestReader{p.router, p.onRequest}) // routers close only connections that they gave up
		_ = p.runner.Close()
	}()
	err := p.copyResponse()
	_ = p.router.Close()
	_ = p.runner.Close()
	<-done
	return err
}

// copyResponse passes on what the runner sends.
func (p *relayPair) copyResponse() error {
	if p.framed {
		return copyChunked(p.router, p.runner)
	}
	// Whatever ends this connection, this process too, resets it, unless the runner has closed its own.
	tcp, ok := tcpConn(p.router)
	if ok {
		if err := tcp.SetLinger(0); err != nil {
			return err
		}
	}
	if _, err := io.Copy(p.router, p.runner); err != nil || !ok {
		return err
	}
	return tcp.SetLinger(-1)
}

// copyChunked copies from r to w in chunks, each as soon as it was read, and writes the last chunk at
// the end of r.
func copyChunked(w io.Writer, r io.Reader) error {
	bw := bufio.NewWriterSize(w, readBufferBytes+chunkOverheadBytes)
	chunks := httputil.NewChunkedWriter(bw)
	buf := make([]byte, readBufferBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, err := chunks.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if err := chunks.Close(); err != nil {
				return err
			}
			return bw.Flush()
		}
		if flushErr := bw.Flush(); flushErr != nil {
			return flushErr
		}
		if err != nil {
			return err
		}
	}
}

// tcpConn returns the TCP connection of a connection to another router.
func tcpConn(conn net.Conn) (*net.TCPConn, bool) {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = outer.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	return tcp, ok
}
