package cicadaedge_test

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
)

const (
	responseHead    = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Sealed: yes\r\n"
	chunkedEncoding = "Transfer-Encoding: chunked\r\n\r\n"
	// maxHeapGrowth is how much the heap may grow while the router reads a response.
	maxHeapGrowth = 64 << 20
	// maxWriteTime ends the response if the router does not close the connection.
	maxWriteTime = 8 * time.Second
)

// unboundedResponse writes a header and then the same chunk repeatedly until the connection is
// closed. It stores how long that took.
func unboundedResponse(head, chunk string, interval time.Duration, duration *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		startedAt := time.Now()
		defer func() { duration.Store(int64(time.Since(startedAt))) }()
		writeRepeatedly(conn, strings.ReplaceAll(head, "ID", req.Header.Get("X-Id")), chunk, interval)
	}
}

func writeRepeatedly(conn net.Conn, head, chunk string, interval time.Duration) {
	if err := conn.SetDeadline(time.Now().Add(maxWriteTime)); err != nil {
		return
	}
	_, err := conn.Write([]byte(head))
	for err == nil {
		_, err = conn.Write([]byte(chunk))
		time.Sleep(interval)
	}
}

// TestBytesWithoutEnd makes a runner send a status line, header, body or event that never ends,
// quickly or byte by byte. The router must end the request and the connection in time, without a
// response that looks complete, and must not use unlimited memory or leak goroutines.
func TestBytesWithoutEnd(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	httpChunk := "8000\r\n" + block + "\r\n"
	event := func(text string) string { return "10000\r\n" + strings.Repeat(text, (64<<10)/len(text)) + "\r\n" }
	const slow = 100 * time.Millisecond
	for _, tt := range []struct {
		name, path, head, chunk string
		interval                time.Duration
		status                  int
	}{
		{name: "status line", path: "/once/x", head: "HTTP/1.1 200 ", chunk: block, status: http.StatusBadGateway},
		{name: "header line", path: "/once/x", head: responseHead + "X-Long: ", chunk: block, status: http.StatusBadGateway},
		{name: "header lines", path: "/once/x", head: responseHead, chunk: "X-More: 1\r\n", status: http.StatusBadGateway},
		{name: "early answers", path: "/once/x", chunk: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", status: http.StatusBadGateway},
		{name: "no answer", path: "/once/x", head: block, chunk: block, status: http.StatusBadGateway},
		{name: "header by drops", path: "/once/x", head: responseHead + "X-Long: ", chunk: "x", interval: slow, status: http.StatusGatewayTimeout},
		{name: "body", path: "/once/x", head: responseHead + chunkedEncoding, chunk: httpChunk, status: http.StatusBadGateway},
		{name: "body without a length", path: "/once/x", head: responseHead + "\r\n", chunk: block, status: http.StatusBadGateway},
		{name: "body by drops", path: "/once/x", head: responseHead + chunkedEncoding, chunk: "1\r\nx\r\n", interval: slow, status: http.StatusGatewayTimeout},
		{name: "large length", path: "/once/x", head: responseHead + "Content-Length: 900000000000\r\n\r\n", chunk: block, status: http.StatusBadGateway},
		{
			name: "body of a refusal", path: "/once/x", chunk: httpChunk, status: http.StatusServiceUnavailable,
			head: "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\n" + chunkedEncoding,
		},
		{
			name: "body of another request's answer", path: "/once/x", chunk: httpChunk, status: http.StatusBadGateway,
			head: "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Sealed: yes\r\n" + chunkedEncoding,
		},
		{name: "one event", path: "/stream/x", head: responseHead + chunkedEncoding, chunk: event("data: 12345678\n:"), status: http.StatusOK},
		{name: "one line of an event", path: "/stream/x", head: responseHead + chunkedEncoding, chunk: httpChunk, status: http.StatusOK},
		{name: "events", path: "/stream/x", head: responseHead + chunkedEncoding, chunk: event("data: 12345678\n\n"), status: http.StatusOK},
		{name: "events that came before", path: "/stream/x", head: responseHead + chunkedEncoding, chunk: event("id: 1\ndata: 12\n\n"), status: http.StatusOK},
		{name: "event by drops", path: "/stream/x", head: responseHead + chunkedEncoding, chunk: "1\r\nx\r\n", interval: slow, status: http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t)
			var duration atomic.Int64
			f.addRunner(unboundedResponse(tt.head, tt.chunk, tt.interval, &duration))
			n := f.waitReady(f.startNode("n1"))
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			before, goroutines := heapBytes(), runtime.NumGoroutine()
			peak, stop := sampleHeap()
			startedAt := time.Now()
			got := call(t, n, tt.path, map[string]string{"X-Patience": "2000", "X-Tokens": "8,8"}, "x")
			close(stop)
			if d := time.Since(startedAt); d > 3*time.Second {
				t.Errorf("the caller's request ended after %v, want about 2 s at most", d)
			}
			if got.status != tt.status || tt.status == http.StatusOK && got.err == nil {
				t.Errorf("status %d with %d bytes, error %v; want %d, and no complete response with status 200", got.status, len(got.body), got.err, tt.status)
			}
			eventually(t, "the runner's connection is closed", func() bool { return duration.Load() > 0 })
			if d := time.Duration(duration.Load()); d > 3*time.Second {
				t.Errorf("the runner's connection was closed after %v, want 3 s at most", d)
			}
			if grown := int64(peak.Load()) - int64(before); grown > maxHeapGrowth {
				t.Errorf("the heap grew by %d MB", grown>>20)
			}
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			eventually(t, "the goroutines have ended", func() bool { return runtime.NumGoroutine() <= goroutines+2 })
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// sampleHeap records the largest heap size until stop is closed.
func sampleHeap() (peak *atomic.Uint64, stop chan struct{}) {
	peak, stop = &atomic.Uint64{}, make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				peak.Store(max(peak.Load(), heapBytes()))
			}
		}
	}()
	return peak, stop
}

// TestLargeResponsesShareTheProcessMemory makes a runner send responses that exceed the memory
// limit for buffered bodies, and smaller ones. Large ones must fail, and must not reduce the memory
// for the responses after them.
func TestLargeResponsesShareTheProcessMemory(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var size atomic.Int64
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		for sent := int64(0); sent < size.Load(); sent += 1 << 10 {
			if _, err := w.Write(make([]byte, 1<<10)); err != nil {
				return
			}
		}
	})
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.MemoryLimitBytes = 20 << 20 }))
	for _, tt := range []struct {
		bytes  int64
		status int
	}{{8 << 20, http.StatusBadGateway}, {1 << 10, http.StatusOK}, {3 << 20, http.StatusOK}, {8 << 20, http.StatusBadGateway}, {3 << 20, http.StatusOK}} {
		size.Store(tt.bytes)
		got := call(t, n, "/once/x", nil, "x")
		if got.status != tt.status || tt.status == http.StatusOK && int64(len(got.body)) != tt.bytes {
			t.Errorf("a response of %d bytes: status %d with %d bytes, want %d", tt.bytes, got.status, len(got.body), tt.status)
		}
	}
}
