package cicadaedge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A resumable stream breaks off, and the next runner answers with something that does not continue it.
func TestErrorOfTheNextRunnerInAStream(t *testing.T) {
	t.Parallel()
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Sealed: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	for name, next := range map[string]func(id string) string{
		"failure": func(id string) string {
			return "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + id + "\r\nX-Sealed: yes\r\nContent-Length: 5\r\n\r\nerror"
		},
		"refusal": refusalBytes,
		"not found": func(id string) string {
			return "HTTP/1.1 404 Not Found\r\nX-Id: " + id + "\r\nX-Sealed: yes\r\nContent-Length: 5\r\n\r\nerror"
		},
		"no answer":  func(string) string { return "" },
		"other text": func(id string) string { return answerBytes(id, `{"error":"cannot resume"}`) },
		"empty":      func(id string) string { return answerBytes(id, "") },
		"no stream, then closed": func(id string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Sealed: yes\r\nContent-Type: text/event-stream\r\n\r\n"
		},
		"half a head": func(id string) string { return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Sea" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			for range 2 {
				f.addRawRunner(func(c *rawConn, req *http.Request) bool {
					id := req.Header.Get("X-Id")
					if req.Header.Get("X-After") == "" {
						c.write(head(id) + chunk(events))
						return false
					}
					c.write(next(id))
					return false
				})
			}
			n := f.waitReady(f.startNode("n1"))
			got := call(t, n, "/resume/", nil, "")
			if got.err == nil {
				t.Errorf("the stream ended as complete: %q", got.body)
			}
			if diff := cmp.Diff(events, got.body); diff != "" {
				t.Errorf("events of the first runner (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnswerCutAtEachByteIsNoSuccess closes the connection after each prefix of an answer.
func TestAnswerCutAtEachByteIsNoSuccess(t *testing.T) {
	t.Parallel()
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, tt := range []struct {
		name, path, head, body string
		// complete reports whether a body that ends here is complete, as far as the protocol can tell.
		complete func(body string) bool
	}{
		{"length", "/once/", "Content-Length: 4\r\n", "body", nil},
		{"chunks", "/once/", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", nil},
		{"end of the connection", "/once/", "", "body", func(string) bool { return true }},
		{"stream with chunks", "/stream/", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(stream), stream), nil},
		{"stream to the end of the connection", "/stream/", "", stream, func(body string) bool { return strings.HasSuffix(body, "\n\n") }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			var cut atomic.Int64
			f.addRawRunner(func(c *rawConn, req *http.Request) bool {
				whole := "HTTP/1.1 200 OK\r\nX-Id: " + req.Header.Get("X-Id") + "\r\nX-Sealed: yes\r\n" + tt.head + "\r\n" + tt.body
				c.write(whole[:max(len(whole)-int(cut.Load()), 0)])
				return false
			})
			n := f.waitReady(f.startNode("n1"))
			head := len("HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Sealed: yes\r\n" + tt.head + "\r\n")
			for missing := 1; missing <= head+len(tt.body); missing++ {
				cut.Store(int64(missing))
				got := call(t, n, tt.path, map[string]string{"X-Id": "q"}, "")
				left := len(tt.body) - missing
				if tt.complete != nil && left >= 0 && tt.complete(tt.body[:left]) {
					continue
				}
				if got.err == nil && got.status == http.StatusOK {
					t.Errorf("%d bytes missing: status 200, body %q", missing, got.body)
				}
			}
		})
	}
}

// TestStreamThatEndsInsideAnEventIsBrokenOff ends a stream properly, but in the middle of an event.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	t.Parallel()
	for name, framing := range map[string]func(body string) string{
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"length":                func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"end of the connection": func(body string) string { return "\r\n" + body },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.addRawRunner(func(c *rawConn, req *http.Request) bool {
				c.write("HTTP/1.1 200 OK\r\nX-Id: " + req.Header.Get("X-Id") + "\r\nX-Sealed: yes\r\n" + framing("id: 1\ndata: a\n\nid: 2\nda"))
				return false
			})
			n := f.waitReady(f.startNode("n1"))
			if got := call(t, n, "/stream/", nil, ""); got.err == nil {
				t.Errorf("the stream ended as complete: %q", got.body)
			}
		})
	}
}

// TestResetAfterAnAnswerWithoutLengthIsNoSuccess resets the connection instead of closing it.
func TestResetAfterAnAnswerWithoutLengthIsNoSuccess(t *testing.T) {
	t.Parallel()
	for path, body := range map[string]string{"/once/": "body", "/stream/": "id: 1\ndata: a\n\n"} {
		f := newFleet(t)
		f.addRawRunner(func(c *rawConn, req *http.Request) bool {
			c.write("HTTP/1.1 200 OK\r\nX-Id: " + req.Header.Get("X-Id") + "\r\nX-Sealed: yes\r\n\r\n" + body)
			time.Sleep(50 * time.Millisecond)
			if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
			return false
		})
		n := f.waitReady(f.startNode("n1"))
		if got := call(t, n, path, nil, ""); got.err == nil && got.status == http.StatusOK {
			t.Errorf("%s: status 200, body %q", path, got.body)
		}
	}
}
