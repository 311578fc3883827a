package cicadaedge_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

const (
	// unreadBodyBytes is more than the buffers of a connection hold.
	unreadBodyBytes = 4 << 20
	// longAnswerEvents are the events of a whole answer, of which brokenOffEvents are sent if it is broken off.
	longAnswerEvents = 57
	brokenOffEvents  = 20
	unreadBodyCalls  = 3
)

// lateWriteConn is a connection whose writes meet its failure before its reads do, and return later.
type lateWriteConn struct {
	*net.TCPConn
	raw syscall.RawConn
}

func dialLate(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := cicadanet.NewDialer(time.Second).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	return &lateWriteConn{TCPConn: tcp, raw: raw}, err
}

// Read reads what has arrived before it was called.
func (c *lateWriteConn) Read(p []byte) (int, error) {
	for {
		time.Sleep(2 * time.Millisecond)
		var n int
		var readErr error
		if err := c.raw.Read(func(fd uintptr) bool {
			n, readErr = syscall.Read(int(fd), p)
			return true
		}); err != nil {
			return 0, err
		}
		switch {
		case errors.Is(readErr, syscall.EAGAIN):
		case readErr != nil:
			return 0, readErr
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// Write waits for a read if it fails.
func (c *lateWriteConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// ReadFrom uses Write.
func (c *lateWriteConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// addUnreadingRunner adds a runner that calls answer once it has read the header of a request.
func (f *fleet) addUnreadingRunner(answer func(conn *net.TCPConn, req *http.Request)) {
	f.t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }() // the answer may have closed it
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), req)
				}
			})
		}
	})
	f.t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			f.t.Error(err)
		}
		serving.Wait()
	})
	f.runners = append(f.runners, nil)
	id := fmt.Sprintf("unreading%d", len(f.runners))
	f.store.put(tableRunners, id, cicadaplace.Entry{ID: id, Service: "svc", Addr: ln.Addr().String(), DataCentre: "p", Slots: 8, SoftwareVersion: "v1"})
}

// startUnreading returns a router of a fleet with large bodies, which reaches its runner through another
// router only if it is relayed. The options are those of the router that reaches it.
func startUnreading(t *testing.T, relayed bool, answer func(conn *net.TCPConn, req *http.Request), options ...func(*cicadaedge.Config)) *node {
	t.Helper()
	f := newFleet(t)
	f.doc.Version, f.doc.Limits.MaxBodyBytes = 2, 2*unreadBodyBytes
	f.publish()
	f.addUnreadingRunner(answer)
	if !relayed {
		return f.waitReady(f.startNode("n1", options...))
	}
	var cut runnerCut
	host := f.waitReady(f.startNode("n1", cut.configure))
	f.waitReady(f.startNode("n2", options...))
	eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	cut.begin(cutReset)
	return host
}

// writeAnswer writes the first events of an answer, in chunks or up to the end of the connection.
func writeAnswer(w io.Writer, req *http.Request, chunked bool, events int, interval time.Duration) {
	header := unframedHeader + req.Header.Get("X-Id") + "\r\n"
	if chunked {
		header += "Transfer-Encoding: chunked\r\n"
	}
	fmt.Fprintf(w, "%s\r\n", header)
	for i := range events {
		time.Sleep(interval)
		text := answerEvent(i)
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		fmt.Fprintf(w, "%s", text)
	}
	if chunked {
		fmt.Fprintf(w, "0\r\n\r\n")
	}
}

func answerEvent(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }

// callAtOnce makes calls with a body that the runner does not read at once.
func callAtOnce(t *testing.T, n *node, path string) []response {
	t.Helper()
	body := strings.Repeat("x", unreadBodyBytes)
	got := make([]response, unreadBodyCalls)
	var calls sync.WaitGroup
	for i := range got {
		calls.Go(func() { got[i] = call(t, n, path, nil, body) })
	}
	calls.Wait()
	return got
}

// Writing the request's body takes the error of the connection, and reading it finds an end in order.
func TestResponseBrokenOffWhileItsRequestIsSentLooksComplete(t *testing.T) {
	t.Parallel()
	for name, breakOff := range map[string]func(conn *net.TCPConn) error{
		"reset": func(conn *net.TCPConn) error {
			if err := conn.SetLinger(0); err != nil {
				return err
			}
			return conn.Close()
		},
		"closed unread": (*net.TCPConn).Close,
		"silent": func(*net.TCPConn) error {
			time.Sleep(3 * time.Second) // the connection times out before
			return nil
		},
	} {
		for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
			for way, relayed := range map[string]bool{"direct": false, "through another router": true} {
				t.Run(strings.Join([]string{name, strings.Trim(path, "/"), way}, " "), func(t *testing.T) {
					t.Parallel()
					n := startUnreading(t, relayed, func(conn *net.TCPConn, req *http.Request) {
						writeAnswer(conn, req, false, brokenOffEvents, 5*time.Millisecond)
						if err := breakOff(conn); err != nil {
							t.Error(err)
						}
					}, func(cfg *cicadaedge.Config) { cfg.DialRunner = dialLate })
					for i, r := range callAtOnce(t, n, path) {
						if r.status == http.StatusOK && r.err == nil {
							t.Errorf("call %d: %d events of %d look complete", i, strings.Count(r.body, "id:"), longAnswerEvents)
						}
					}
				})
			}
		}
	}
}

// The runner answers before it reads the body, or having read a part of it.
func TestResponseResetAtOnceWhileItsRequestIsSentLooksComplete(t *testing.T) {
	t.Parallel()
	for _, path := range paths {
		for way, relayed := range ways {
			for _, bytesRead := range []int64{0, unreadBodyBytes / 4} {
				for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
					t.Run(fmt.Sprint(strings.Trim(path, "/"), " ", way, ", ", bytesRead, " bytes read, reset after ", delay), func(t *testing.T) {
						t.Parallel()
						var answers atomic.Int64
						n := startUnreading(t, relayed, func(conn *net.TCPConn, req *http.Request) {
							writeAnswer(conn, req, false, brokenOffEvents, 0)
							answers.Add(1)
							_, _ = io.CopyN(io.Discard, conn, bytesRead) // the router may have closed the connection
							time.Sleep(delay)
							if err := conn.SetLinger(0); err != nil {
								t.Error(err)
							}
						})
						for i, r := range callAtOnce(t, n, path) {
							if r.status == http.StatusOK && r.err == nil {
								t.Errorf("call %d: %d events of %d look complete", i, strings.Count(r.body, "id:"), longAnswerEvents)
							}
						}
						if answers.Load() == 0 {
							t.Error("no request reached the runner")
						}
					})
				}
			}
		}
	}
}

type (
	// partialConn is a connection whose peer answers and ends it in order once a part of the request has arrived.
	partialConn struct {
		net.Conn
		answered chan struct{}
		answer   io.Reader
		received atomic.Int64
	}

	// slowListener accepts connections that are read slowly.
	slowListener struct{ net.Listener }

	slowConn struct{ net.Conn }
)

// Read waits for the part of the request.
func (c *partialConn) Read(p []byte) (int, error) {
	<-c.answered
	return c.answer.Read(p)
}

// Write writes nothing.
func (c *partialConn) Write(p []byte) (int, error) {
	if c.received.Add(int64(len(p))) == int64(len(p)) {
		_, after, _ := bytes.Cut(p, []byte("X-Id: "))
		id, _, _ := bytes.Cut(after, []byte("\r\n"))
		c.answer = strings.NewReader(unframedHeader + string(id) + "\r\n\r\n" + unframedEvents)
		close(c.answered)
	}
	return len(p), nil
}

// Accept waits for the next connection.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

// Read waits before it reads.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return c.Conn.Read(p)
}

// The relay ends with the runner's connection while it still gets the request.
func TestResponseBehindARelayThatHasNotTakenTheRequestLooksComplete(t *testing.T) {
	t.Parallel()
	n := startUnreading(t, true, func(*net.TCPConn, *http.Request) { time.Sleep(time.Second) }, func(cfg *cicadaedge.Config) {
		cfg.PeerListener = slowListener{cfg.PeerListener}
		cfg.DialRunner = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := cicadanet.NewDialer(time.Second).DialContext(ctx, network, addr)
			return &partialConn{Conn: conn, answered: make(chan struct{})}, err
		}
	})
	for i, r := range callAtOnce(t, n, "/stream/") {
		if r.status == http.StatusOK && r.err == nil {
			t.Errorf("call %d looks complete", i)
		}
	}
}
