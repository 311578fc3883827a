package cicadaedge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// rawRunner is a runner that writes its responses byte by byte as a script says.
type rawRunner struct {
	id   string
	runs atomic.Int64
}

// rawConn is a connection to a rawRunner.
type rawConn struct {
	net.Conn
	runner *rawRunner
	// earlier is what was written for the first request of the connection.
	earlier string
	count   int // of requests
}

// addRawRunner adds a runner that calls serve for each request. The connection stays open as long as
// serve returns true.
func (f *fleet) addRawRunner(serve func(c *rawConn, req *http.Request) bool) *rawRunner {
	f.t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	return f.addRawRunnerOn(ln, serve)
}

// addRawRunnerOn is addRawRunner with a listener, which may end before the test.
func (f *fleet) addRawRunnerOn(ln net.Listener, serve func(c *rawConn, req *http.Request) bool) *rawRunner {
	f.t.Helper()
	f.t.Cleanup(func() {
		if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			f.t.Error(err)
		}
	})
	r := &rawRunner{id: fmt.Sprintf("raw%d", len(f.runners)+1)}
	f.runners = append(f.runners, nil)
	f.store.put(tableRunners, r.id, cicadaplace.Entry{ID: r.id, Service: "svc", Addr: ln.Addr().String(), DataCentre: "p", Slots: 8, SoftwareVersion: "v1"})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serveConn(&rawConn{Conn: conn, runner: r}, serve)
		}
	}()
	return r
}

func (r *rawRunner) serveConn(c *rawConn, serve func(c *rawConn, req *http.Request) bool) {
	defer func() { _ = c.Close() }() // the router may have reset it
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		c.count++
		if !serve(c, req) {
			return
		}
	}
}

func (c *rawConn) write(text string) { fmt.Fprintf(c, "%s", text) }

func refusalBytes(id string) string {
	header := ""
	if id != "" {
		header = "X-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + header + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

func answerBytes(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sealed: yes\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// The runner repeats its last refusal on the same connection before it answers the next request.
func TestRepeatedRefusalDeniesARun(t *testing.T) {
	t.Parallel()
	for name, withID := range map[string]bool{"with the earlier id": true, "without an id": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			r := f.addRawRunner(func(c *rawConn, req *http.Request) bool {
				id := req.Header.Get("X-Id")
				if c.count%2 == 1 && req.Header.Get("X-Refuse") != "" {
					c.earlier = refusalBytes("")
					if withID {
						c.earlier = refusalBytes(id)
					}
					c.write(c.earlier)
					return true
				}
				c.runner.runs.Add(1)
				c.write(c.earlier)
				time.Sleep(20 * time.Millisecond)
				c.write(answerBytes(id, "answer to "+id))
				return true
			})
			n := f.waitReady(f.startNode("n1"))
			for i := range 5 {
				call(t, n, "/once/", map[string]string{"X-Refuse": "1"}, "order")
				before := r.runs.Load()
				id := fmt.Sprintf("%s-%d", name, i)
				got := call(t, n, "/once/", map[string]string{"X-Id": id}, "order")
				ran := r.runs.Load() - before
				if got.status == http.StatusServiceUnavailable && ran > 0 || ran > 1 {
					t.Errorf("request %d: status %d, %d runs", i, got.status, ran)
				}
				if got.status == http.StatusOK && got.body != "answer to "+id {
					t.Errorf("request %d: body %q of another request", i, got.body)
				}
			}
		})
	}
}

// TestRepeatedRefusalRunsARequestTwice is the same with a second runner that accepts requests.
func TestRepeatedRefusalRunsARequestTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.doc.Version, f.doc.Routes[0].MaxRunners = 2, 3
	f.publish()
	var runs [40]atomic.Int64
	record := func(req *http.Request) string {
		id := req.Header.Get("X-Id")
		var i int
		if _, err := fmt.Sscanf(id, "twice-%d", &i); err == nil {
			runs[i].Add(1)
		}
		return id
	}
	for range 2 {
		f.addRawRunner(func(c *rawConn, req *http.Request) bool {
			if c.count == 1 {
				c.earlier = refusalBytes(req.Header.Get("X-Id"))
				c.write(c.earlier)
				return true
			}
			id := record(req)
			c.write(c.earlier)
			c.write(answerBytes(id, id))
			return true
		})
	}
	n := f.waitReady(f.startNode("n1"))
	for i := range runs {
		id := fmt.Sprintf("twice-%d", i)
		got := call(t, n, "/once/", map[string]string{"X-Id": id}, "order")
		if got.status == http.StatusOK && got.body != id {
			t.Errorf("request %s got %q", id, got.body)
		}
		if ran := runs[i].Load(); ran > 1 || ran > 0 && got.status == http.StatusServiceUnavailable {
			t.Errorf("request %s: status %d, %d runs", id, got.status, ran)
		}
	}
}
