package cicadaedge_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

const (
	// unframedHeader is that of a response that ends with its connection, without the id.
	unframedHeader = "HTTP/1.1 200 OK\r\nX-Sealed: yes\r\nContent-Type: text/event-stream\r\nX-Id: "
	unframedEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// killableListener accepts connections that can be ended as the kernel ends those of a killed process.
type killableListener struct {
	net.Listener

	mu    sync.Mutex // guards conns
	conns []*net.TCPConn
}

// Accept waits for the next connection.
func (l *killableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn.(*net.TCPConn))
	return conn, nil
}

// kill ends all connections in order.
func (l *killableListener) kill(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.CloseWrite() // it may have ended before
	}
}

// relayedFleet is a host that reaches its runner through another router only.
type relayedFleet struct {
	*fleet
	host, relay *node
	relayConns  *killableListener
	wrote       chan struct{} // receives a value for each response that is written up to its middle
	finish      chan struct{} // closed to end all responses
}

// newRelayedFleet returns a fleet whose runner sends responses that end with their connections.
func newRelayedFleet(t *testing.T) *relayedFleet {
	t.Helper()
	f := &relayedFleet{fleet: newFleet(t), wrote: make(chan struct{}, 10), finish: make(chan struct{})}
	f.addRawRunner(func(c *rawConn, req *http.Request) bool {
		half := len(unframedEvents) / 2
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents[:half])
		f.wrote <- struct{}{}
		<-f.finish
		c.write(unframedEvents[half:])
		return false
	})
	var cut runnerCut
	f.host = f.waitReady(f.startNode("n1", cut.configure))
	f.relay = f.waitReady(f.startNode("n2", func(cfg *cicadaedge.Config) {
		f.relayConns = &killableListener{Listener: cfg.PeerListener}
		cfg.PeerListener = f.relayConns
	}))
	eventually(t, "the host knows the other one", func() bool { return f.host.RouterCount() == 2 })
	cut.begin(cutReset)
	return f
}

// The response has no length, so that the end of the relay's connection is like its own end.
func TestEndOfARelayLooksLikeTheEndOfAResponse(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/stream/", "/resume/"} {
		for name, end := range map[string]func(t *testing.T, f *relayedFleet){
			"killed":  func(t *testing.T, f *relayedFleet) { f.relayConns.kill(t) },
			"stopped": func(_ *testing.T, f *relayedFleet) { f.relay.stop() },
		} {
			t.Run(strings.Trim(path, "/")+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newRelayedFleet(t)
				got := make(chan response, 1)
				go func() { got <- call(t, f.host, path, nil, "x") }()
				<-f.wrote
				time.Sleep(50 * time.Millisecond) // the relay passes it on
				end(t, f)
				if r := <-got; r.status == http.StatusOK && r.err == nil {
					t.Errorf("part of a response looks complete: %q", r.body)
				}
				close(f.finish)
			})
		}
	}
}

func TestRelayedResponseEndsWithTheRunnersConnection(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/stream/", "/resume/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			f := newRelayedFleet(t)
			close(f.finish)
			got := call(t, f.host, path, nil, "x")
			if diff := cmp.Diff([]any{http.StatusOK, unframedEvents, nil}, []any{got.status, got.body, got.err}); diff != "" {
				t.Errorf("status, body and error (-want +got)\n%s", diff)
			}
		})
	}
}
