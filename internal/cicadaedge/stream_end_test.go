package cicadaedge_test

import (
	"bufio"
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
	"github.com/google/go-cmp/cmp"
)

const (
	// eventsHeader is that of a stream, without its framing and the id.
	eventsHeader = "HTTP/1.1 200 OK\r\nX-Sealed: yes\r\nContent-Type: text/event-stream\r\n"
	lastChunk    = "0\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// addBreakingPair adds two runners that break new streams after two events, and go on with others by a
// response that ends its connection. They state their ids when they are asked.
func (f *fleet) addBreakingPair(response string) {
	f.t.Helper()
	f.doc.Version, f.doc.Services[0].HealthPath = 2, healthPath
	f.publish()
	for range 2 {
		f.addRawRunner(func(c *rawConn, req *http.Request) bool {
			if req.URL.Path == healthPath {
				c.write("HTTP/1.1 200 OK\r\nX-Runner-Id: " + c.runner.id + "\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			text := eventsHeader + "X-Id: ID\r\n" + chunkedEncoding + chunk(unframedEvents)
			if req.Header.Get("X-After") != "" {
				text = response
			}
			c.write(strings.ReplaceAll(text, "ID", req.Header.Get("X-Id")))
			return false
		})
	}
}

func TestRunnerThatGoesOnEndsAStreamEarly(t *testing.T) {
	t.Parallel()
	const (
		header = eventsHeader + "X-Id: ID\r\n"
		third  = "id: 3\ndata: c\n\n"
	)
	for name, tt := range map[string]struct {
		response string
		events   string // that the caller may get after the first two
		complete bool
	}{
		"chunks":                       {response: header + chunkedEncoding + chunk(third) + lastChunk, events: third, complete: true},
		"chunks, all events again":     {response: header + chunkedEncoding + chunk(unframedEvents+third) + lastChunk, events: third, complete: true},
		"chunks, none left":            {response: header + chunkedEncoding + lastChunk, complete: true},
		"chunks without the last one":  {response: header + chunkedEncoding + chunk(third), events: third},
		"last chunk cut":               {response: header + chunkedEncoding + chunk(third) + "0\r\n", events: third},
		"chunks, inside an event":      {response: header + chunkedEncoding + chunk(third+"id: 4\nda") + lastChunk, events: third},
		"chunks, no empty line":        {response: header + chunkedEncoding + chunk("id: 3\ndata: c\n") + lastChunk},
		"length":                       {response: header + "Content-Length: 15\r\n\r\n" + third, events: third, complete: true},
		"length, less":                 {response: header + "Content-Length: 30\r\n\r\n" + third, events: third},
		"neither":                      {response: header + "\r\n" + third, events: third, complete: true},
		"neither, no event":            {response: header + "\r\n"},
		"neither, earlier events only": {response: header + "\r\n" + unframedEvents},
		"neither, inside an event":     {response: header + "\r\n" + third + "id: 4\nda", events: third},
		"HTTP/1.0, no event":           {response: strings.Replace(header, "1.1", "1.0", 1) + "\r\n"},
		"header cut":                   {response: header},
		"no content":                   {response: strings.Replace(header, "200 OK", "204 No Content", 1) + "\r\n"},
		"another type":                 {response: strings.Replace(header, "text/event-stream", "text/plain", 1) + chunkedEncoding + lastChunk},
		"another request's":            {response: strings.Replace(header, "ID", "other", 1) + chunkedEncoding + chunk(third) + lastChunk},
		"not sealed":                   {response: strings.Replace(header, "X-Sealed: yes\r\n", "", 1) + chunkedEncoding + chunk(third) + lastChunk},
		"failure":                      {response: strings.Replace(header, "200 OK", "500 Failed", 1) + "Content-Length: 0\r\n\r\n"},
		"refusal":                      {response: refusalBytes("ID")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.addBreakingPair(tt.response)
			got := call(t, f.waitReady(f.startNode("n1")), "/resume/", nil, "x")
			if got.status != http.StatusOK || !strings.HasPrefix(got.body, unframedEvents) || !strings.HasPrefix(unframedEvents+tt.events, got.body) {
				t.Errorf("status %d with the events %q, want %q", got.status, got.body, unframedEvents+tt.events)
			}
			if diff := cmp.Diff(tt.complete, got.err == nil); diff != "" || tt.complete && got.body != unframedEvents+tt.events {
				t.Errorf("events %q end as complete (-want +got)\n%s", got.body, diff)
			}
		})
	}
}

// The end of a line as long as the read buffer arrives by itself, as an empty line does.
func TestLongLineLooksLikeTheEndOfItsEvent(t *testing.T) {
	t.Parallel()
	const first = "id: 1\ndata: a\n\n"
	for _, size := range []int{4095, 4096, 4097, 8192} {
		for _, path := range []string{"/stream/", "/resume/"} {
			t.Run(fmt.Sprint(strings.Trim(path, "/"), " ", size), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				var resumedAfter atomic.Value
				for range 2 {
					f.addRawRunner(func(c *rawConn, req *http.Request) bool {
						text := first + "id: 2\ndata: " + strings.Repeat("x", size-len("data: ")) + "\n"
						if after := req.Header.Get("X-After"); after != "" {
							resumedAfter.Store(after)
							text = "id: 2\ndata: b\n\n"
						}
						c.write(eventsHeader + "X-Id: " + req.Header.Get("X-Id") + "\r\n" + chunkedEncoding + chunk(text) + lastChunk)
						return false
					})
				}
				got := call(t, f.waitReady(f.startNode("n1")), path, nil, "x")
				if path == "/stream/" {
					if got.err == nil {
						t.Errorf("the stream ends as complete inside an event, after %d bytes", len(got.body))
					}
					return
				}
				want := []any{first + "id: 2\ndata: b\n\n", nil, "1"}
				if diff := cmp.Diff(want, []any{got.body, got.err, resumedAfter.Load()}); diff != "" {
					t.Errorf("events, error, and where the stream went on (-want +got)\n%.600s", diff)
				}
			})
		}
	}
}

// rawCall sends a request of an HTTP version and returns the bytes of the response, and how the connection
// ended.
func rawCall(t *testing.T, addr, path, version, header string) (string, error) {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the router may have reset it
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: %s\r\nX-Id: q%d\r\nX-Key: k1\r\n%sContent-Length: 1\r\n\r\nx",
		path, version, callerHost, nextID.Add(1), header); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(bufio.NewReader(conn))
	return string(data), err
}

// The end of the connection is that of a response without chunks, which HTTP/1.0 does not have.
func TestBrokenStreamLooksCompleteWithoutChunks(t *testing.T) {
	t.Parallel()
	for name, caller := range map[string]struct{ version, header string }{
		"HTTP/1.0": {"1.0", ""}, "HTTP/1.0 kept open": {"1.0", "Connection: keep-alive\r\n"}, "HTTP/1.1 closed": {"1.1", "Connection: close\r\n"},
	} {
		for _, cause := range []string{"none", "runner", "time limit", "planned stop", "kill"} {
			t.Run(name+", "+cause, func(t *testing.T) {
				t.Parallel()
				header := caller.header
				if cause == "time limit" {
					header += "X-Patience: 300\r\n"
				}
				body, err := streamThatEnds(t, cause, caller.version, header)
				if !strings.Contains(body, "id: 2\ndata: e2\n\n") || err != nil && !errors.Is(err, syscall.ECONNRESET) {
					t.Fatalf("the caller got %q, error %v", body, err)
				}
				complete := err == nil
				if caller.version == "1.1" {
					complete = strings.HasSuffix(body, lastChunk)
				}
				if diff := cmp.Diff(cause == "none", complete); diff != "" {
					t.Errorf("the response looks complete (-want +got)\n%s", diff)
				}
			})
		}
	}
}

// streamThatEnds calls a stream of two events, which something ends, and returns what the caller gets.
func streamThatEnds(t *testing.T, cause, version, header string) (string, error) {
	t.Helper()
	f := newFleet(t)
	wrote, end := make(chan struct{}), make(chan struct{})
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 3)
		close(wrote)
		<-end
		if cause != "none" {
			abortConnection()
		}
	})
	endRunner := sync.OnceFunc(func() { close(end) })
	t.Cleanup(endRunner)
	var conns killableListener
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) {
		cfg.StopTimeout = 2 * time.Second
		conns.Listener = cfg.CallerListener
		cfg.CallerListener = &conns
	}))
	go func() {
		<-wrote
		time.Sleep(50 * time.Millisecond)
		switch cause {
		case "none", "runner":
			endRunner()
		case "planned stop":
			n.stop()
		case "kill":
			conns.closeAll()
		}
	}()
	return rawCall(t, n.addr, "/stream/", version, header)
}

// closeAll closes the process's ends of all connections, as its kill does.
func (l *killableListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close() // it may have ended before
	}
}
