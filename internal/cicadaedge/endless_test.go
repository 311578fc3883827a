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
	answerHead = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Sealed: yes\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
	// mostHeld is what a router's memory may grow by while it reads an answer.
	mostHeld = 64 << 20
	// writeTime ends a runner that nobody closes.
	writeTime = 8 * time.Second
)

// endless writes head and then a piece again and again until its caller closes.
// It tells after how long that was.
func endless(head, piece string, gap time.Duration, took *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		began := time.Now()
		defer func() { took.Store(int64(time.Since(began))) }()
		write(conn, strings.ReplaceAll(head, "ID", req.Header.Get("X-Id")), piece, gap)
	}
}

func write(conn net.Conn, head, piece string, gap time.Duration) {
	if err := conn.SetDeadline(time.Now().Add(writeTime)); err != nil {
		return
	}
	_, err := conn.Write([]byte(head))
	for err == nil {
		_, err = conn.Write([]byte(piece))
		time.Sleep(gap)
	}
}

func TestBytesWithoutEnd(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	chunk := "8000\r\n" + block + "\r\n"
	event := func(text string) string { return "10000\r\n" + strings.Repeat(text, (64<<10)/len(text)) + "\r\n" }
	const drip = 100 * time.Millisecond
	for _, tt := range []struct {
		name, path, head, piece string
		gap                     time.Duration
		status                  int
	}{
		{name: "status line", path: "/once/x", head: "HTTP/1.1 200 ", piece: block, status: http.StatusBadGateway},
		{name: "header line", path: "/once/x", head: answerHead + "X-Long: ", piece: block, status: http.StatusBadGateway},
		{name: "header lines", path: "/once/x", head: answerHead, piece: "X-More: 1\r\n", status: http.StatusBadGateway},
		{name: "early answers", path: "/once/x", piece: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", status: http.StatusBadGateway},
		{name: "no answer", path: "/once/x", head: block, piece: block, status: http.StatusBadGateway},
		{name: "header by drops", path: "/once/x", head: answerHead + "X-Long: ", piece: "x", gap: drip, status: http.StatusGatewayTimeout},
		{name: "body", path: "/once/x", head: answerHead + chunked, piece: chunk, status: http.StatusBadGateway},
		{name: "body without a length", path: "/once/x", head: answerHead + "\r\n", piece: block, status: http.StatusBadGateway},
		{name: "body by drops", path: "/once/x", head: answerHead + chunked, piece: "1\r\nx\r\n", gap: drip, status: http.StatusGatewayTimeout},
		{name: "large length", path: "/once/x", head: answerHead + "Content-Length: 900000000000\r\n\r\n", piece: block, status: http.StatusBadGateway},
		{
			name: "body of a refusal", path: "/once/x", piece: chunk, status: http.StatusServiceUnavailable,
			head: "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\n" + chunked,
		},
		{
			name: "body of another request's answer", path: "/once/x", piece: chunk, status: http.StatusBadGateway,
			head: "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Sealed: yes\r\n" + chunked,
		},
		{name: "one event", path: "/stream/x", head: answerHead + chunked, piece: event("data: 12345678\n:"), status: http.StatusOK},
		{name: "one line of an event", path: "/stream/x", head: answerHead + chunked, piece: chunk, status: http.StatusOK},
		{name: "events", path: "/stream/x", head: answerHead + chunked, piece: event("data: 12345678\n\n"), status: http.StatusOK},
		{name: "events that came before", path: "/stream/x", head: answerHead + chunked, piece: event("id: 1\ndata: 12\n\n"), status: http.StatusOK},
		{name: "event by drops", path: "/stream/x", head: answerHead + chunked, piece: "1\r\nx\r\n", gap: drip, status: http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t)
			var took atomic.Int64
			f.addRunner(endless(tt.head, tt.piece, tt.gap, &took))
			n := f.ready(f.node("n1"))
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			before, goroutines := heap(), runtime.NumGoroutine()
			peak, stopped := watchHeap()
			began := time.Now()
			got := call(t, n, tt.path, map[string]string{"X-Patience": "2000", "X-Tokens": "8,8"}, "x")
			close(stopped)
			if d := time.Since(began); d > 3*time.Second {
				t.Errorf("the caller got its end after %v, want 2 s at most", d)
			}
			if got.status != tt.status || tt.status == http.StatusOK && got.err == nil {
				t.Errorf("status %d with %d bytes, error %v; want %d, and no whole success", got.status, len(got.body), got.err, tt.status)
			}
			eventually(t, "the runner's connection is closed", func() bool { return took.Load() > 0 })
			if d := time.Duration(took.Load()); d > 3*time.Second {
				t.Errorf("the runner's connection was closed after %v", d)
			}
			if grown := int64(peak.Load()) - int64(before); grown > mostHeld {
				t.Errorf("memory grew by %d MB", grown>>20)
			}
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			eventually(t, "goroutines are back", func() bool { return runtime.NumGoroutine() <= goroutines+2 })
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// watchHeap notes the largest heap until the channel is closed.
func watchHeap() (peak *atomic.Uint64, stopped chan struct{}) {
	peak, stopped = &atomic.Uint64{}, make(chan struct{})
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(50 * time.Millisecond):
				peak.Store(max(peak.Load(), heap()))
			}
		}
	}()
	return peak, stopped
}

// TestLargeAnswersShareTheProcessMemory lets a runner answer with more than its router's
// memory has room for, and with little.
func TestLargeAnswersShareTheProcessMemory(t *testing.T) {
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
	n := f.ready(f.node("n1", func(cfg *cicadaedge.Config) { cfg.MemoryLimitBytes = 20 << 20 }))
	for _, tt := range []struct {
		bytes  int64
		status int
	}{{8 << 20, http.StatusBadGateway}, {1 << 10, http.StatusOK}, {3 << 20, http.StatusOK}, {8 << 20, http.StatusBadGateway}, {3 << 20, http.StatusOK}} {
		size.Store(tt.bytes)
		got := call(t, n, "/once/x", nil, "x")
		if got.status != tt.status || tt.status == http.StatusOK && int64(len(got.body)) != tt.bytes {
			t.Errorf("an answer of %d bytes: status %d with %d bytes, want %d", tt.bytes, got.status, len(got.body), tt.status)
		}
	}
}
