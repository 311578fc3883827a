package cicadaedge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The fuzz targets run their seed corpus in each test run. For a longer search:
//
// go test -fuzz FuzzEntry -fuzztime 10m ./internal/cicadaedge

// FuzzEventStream makes a runner send arbitrary bytes as a stream that is completed or aborted. A
// stream that looks complete to the caller must equal what the runner sent; of an aborted stream
// the caller must get a prefix.
func FuzzEventStream(f *testing.F) {
	for _, s := range []string{
		fullStream(4), "", "\n", "\r\n\r\n", "id: 1\ndata: a", "data: no id\n\n", "id: x\n\nid: 1\n\nid: 1\n\n",
		"id: 2\ndata: a\n\nid: 1\ndata: b\n\n", ": comment\n\n", "id:9223372036854775808\n\n", "data: " + strings.Repeat("x", 9000) + "\n\n",
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "\x00\xff\n\n", "event: error\n\n",
	} {
		f.Add([]byte(s), false)
		f.Add([]byte(s), true)
	}
	fl := newFleet(f)
	var mu sync.Mutex
	var sent []byte
	var aborted bool
	fl.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(sent)
		w.(http.Flusher).Flush()
		if aborted {
			abortConnection()
		}
	})
	n := fl.waitReady(fl.startNode("n1"))
	f.Fuzz(func(t *testing.T, data []byte, abort bool) {
		mu.Lock()
		sent, aborted = data, abort
		mu.Unlock()
		got := call(t, n, "/stream/", nil, "")
		switch {
		case got.err == nil && !abort:
			if diff := cmp.Diff(withoutDuplicates(string(data)), got.body); diff != "" {
				t.Errorf("complete stream (-sent +got):\n%s", diff)
			}
		case got.err == nil:
			t.Errorf("an aborted stream looks complete: %q", got.body)
		case !strings.HasPrefix(withoutDuplicates(string(data)), got.body):
			t.Errorf("the caller got %q, which is no prefix of %q", got.body, data)
		}
	})
}

// withoutDuplicates returns a stream without the events whose number is not greater than the
// number before: the router does not forward events that the runner repeats.
func withoutDuplicates(s string) string {
	var out strings.Builder
	last, seen := int64(0), false
	for _, ev := range splitEvents(s) {
		id, ok := eventNumber(ev)
		if ok && seen && id <= last {
			continue
		}
		if ok {
			last, seen = id, true
		} else if eventHasID(ev) {
			seen = false
		}
		out.WriteString(ev)
	}
	return out.String()
}

// FuzzEntry sends arbitrary bytes to a router's caller address. Runners must only see requests
// that were sent there, and the router must go on serving.
func FuzzEntry(f *testing.F) {
	const head = "POST /once/x HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Id: fuzz\r\nX-Key: k1\r\n"
	for _, s := range []string{
		head + "Content-Length: 2\r\n\r\nab", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /once/y HTTP/1.1\r\nHost: a\r\nX-Id: smuggled\r\n\r\n",
		head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n", head + "Content-Length: -1\r\n\r\n", head + "X: a\r\n b\r\n\r\n",
		"GET http://other.example/once/x HTTP/1.1\r\nHost: " + callerHost + "\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "\r\n\r\n", "\x16\x03\x01",
		"POST /once/../again/x HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Id: fuzz\r\nX-Key: k1\r\n\r\n", strings.Repeat("A", 9000),
		"CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: " + callerHost + "\r\n\r\n",
		head + "X-Tokens: 1e9,-5\r\n\r\n", head + "X-Patience: 99999999999999\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	fl := newFleet(f)
	var mu sync.Mutex
	var seen []string
	r := fl.addRunner(nil)
	r.setHandler(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, req.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "ok")
	})
	n := fl.waitReady(fl.startNode("n1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		mu.Lock()
		seen = nil
		mu.Unlock()
		sendRaw(t, n.addr, data)
		if got := call(t, n, "/again/x", map[string]string{"X-Id": "after"}, ""); got.status != http.StatusOK {
			t.Errorf("request after the raw bytes: status %d, error %v", got.status, got.err)
		}
		mu.Lock()
		defer mu.Unlock()
		for _, id := range seen {
			if id != "after" && !strings.Contains(string(data), id) || id == "smuggled" {
				t.Errorf("a runner got request %q, which was not sent in %q", id, data)
			}
		}
	})
}

// sendRaw sends bytes and reads responses until the router closes the connection or sends nothing
// more.
func sendRaw(t *testing.T, addr string, data []byte) {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := conn.Close(); err != nil {
			t.Log(err)
		}
	})
	if err := conn.SetDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(data); err != nil {
		return // the router closed the connection early
	}
	br := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return
		}
	}
}

// splitEvents splits a stream after each empty line.
func splitEvents(s string) []string {
	var out []string
	for s != "" {
		end := 0
		for end < len(s) {
			line := s[end:]
			if i := strings.IndexByte(line, '\n'); i >= 0 {
				line = line[:i+1]
			}
			end += len(line)
			if strings.TrimRight(line, "\r\n") == "" && strings.HasSuffix(line, "\n") {
				break
			}
		}
		out, s = append(out, s[:end]), s[end:]
	}
	return out
}

// eventID returns the last id of an event. An incomplete line is ignored.
func eventID(ev string) string {
	id := ""
	for line := range strings.Lines(ev) {
		if v, ok := strings.CutPrefix(line, "id:"); ok && strings.HasSuffix(line, "\n") {
			id = strings.TrimSpace(v)
		}
	}
	return id
}

func eventHasID(ev string) bool { return eventID(ev) != "" }

func eventNumber(ev string) (int64, bool) {
	n, err := strconv.ParseInt(eventID(ev), 10, 64)
	return n, err == nil
}
