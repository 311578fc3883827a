package cicadasoak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	crowdMemoryMb = 64
	crowdFiles    = 400
	crowdPeriod   = 4 * time.Second
	requestStart  = "POST /plain/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: c\r\nDeadline-Ms: 9000\r\n"
)

type (
	// crowd is a number of clients of one listener that send what no ordinary client sends.
	crowd struct {
		name  string
		addr  func(r *router) string
		conns int
		// attack uses a connection until it is closed. Afterwards it is called with a new one.
		attack func(ctx context.Context, conn net.Conn)
	}
)

// repeat sends head, then part until the connection ends.
func repeat(head, part string, pause time.Duration) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		_, err := io.WriteString(conn, head)
		for err == nil && ctx.Err() == nil {
			_, err = io.WriteString(conn, part)
			time.Sleep(pause)
		}
	}
}

// lines returns n header lines of which line returns each.
func lines(n int, line func(i int) string) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(line(i))
	}
	return b.String()
}

// slowBody sends a whole request header with further lines, and then a body one byte at a time.
func slowBody(further string) func(context.Context, net.Conn) {
	return repeat(requestStart+"Content-Length: 60000\r\n"+further+"\r\n", "x", 200*time.Millisecond)
}

// once sends a request and leaves.
func once(request string) func(context.Context, net.Conn) {
	return func(_ context.Context, conn net.Conn) { _, _ = io.WriteString(conn, request) }
}

func crowds() []crowd {
	callers := func(r *router) string { return r.callerAddr }
	health := func(r *router) string { return r.readyAddr }
	peers := func(r *router) string { return r.peerAddr }
	chunked := requestStart + "Transfer-Encoding: chunked\r\n\r\n1"
	same := func(int) string { return "x:\r\n" }
	known := func(int) string { return "TE:\r\n" }
	different := func(i int) string { return fmt.Sprintf("%x:\r\n", i) }
	overLimit := lines(16_000, same)
	connect := "CONNECT 127.0.0.1:9 HTTP/1.1\r\nHost: h\r\n"
	hold := func(ctx context.Context, _ net.Conn) { <-ctx.Done() }
	return []crowd{
		{name: "lines of one name", addr: callers, conns: 300, attack: slowBody(lines(3500, same))},
		{name: "lines of different names", addr: callers, conns: 300, attack: slowBody(lines(2200, different))},
		{name: "lines of a known name", addr: callers, conns: 300, attack: slowBody(lines(3000, known))},
		{name: "headers over the limit", addr: callers, conns: 300, attack: once(requestStart + overLimit + "\r\n")},
		{name: "headers over the limit at the health listener", addr: health, conns: 300, attack: once("GET /metrics HTTP/1.1\r\nHost: h\r\n" + overLimit + "\r\n")},
		{name: "headers over the limit at the listener for routers", addr: peers, conns: 300, attack: once(connect + overLimit + "\r\n")},
		{name: "endless headers", addr: callers, conns: 300, attack: repeat(requestStart, lines(100, different), 10*time.Millisecond)},
		{name: "endless lines", addr: callers, conns: 300, attack: repeat("", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n", time.Millisecond)},
		{name: "endless message of a router", addr: peers, conns: 100, attack: repeat(`{"jsonrpc":"2.0","x":"`, strings.Repeat("x", 4<<10), time.Millisecond)},
		{name: "trailers", addr: callers, conns: 300, attack: repeat(chunked+"\r\nx\r\n0\r\n", "x:\r\n", time.Millisecond)},
		{name: "chunk extensions", addr: callers, conns: 300, attack: repeat(chunked, ";x=xxxxxxxxxxxx", time.Millisecond)},
		{name: "slow headers", addr: callers, conns: 700, attack: repeat("", "P", 200*time.Millisecond)},
		{name: "idle connections", addr: callers, conns: 700, attack: hold},
		{name: "idle connections at the health listener", addr: health, conns: 700, attack: hold},
		{name: "idle connections at the listener for routers", addr: peers, conns: 700, attack: hold},
		{name: "unread responses", addr: callers, conns: 300, attack: func(ctx context.Context, conn net.Conn) {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			for range 3 {
				_, _ = io.WriteString(conn, requestStart+"Content-Length: 0\r\nX-Large: 1\r\n\r\n")
			}
			<-ctx.Done()
		}},
	}
}

// Guards against uncontrolled clients that make a router use more memory or descriptors than its machine has, or
// that keep ordinary callers out. Crowds and bounds were fixed before the bounds of the product were written.
func TestUncontrolledClients(t *testing.T) {
	binary := buildRouter(t)
	for _, c := range crowds() {
		t.Run(c.name, func(t *testing.T) { testCrowd(t, binary, &c) })
	}
}

// Guards against limits that a request within the configuration's limits reaches.
func TestRequestWithinLimits(t *testing.T) {
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1), limits: fmt.Sprintf("{MemoryMb: %d, MaxFds: %d}", crowdMemoryMb, crowdFiles)}
	s.putPlainService()
	s.addRouter(buildRouter(t), t.TempDir())
	s.awaitOrdinary(s.routers[0])
	parts := []string{requestStart + lines(95, func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("x", 155)) })}
	parts = append(parts, "Transfer-Encoding: chunked\r\n\r\n")
	for range 4 << 20 / 1024 {
		parts = append(parts, "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
	}
	if status := s.sendRaw(s.routers[0].callerAddr, append(parts, "0\r\n\r\n")...); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

func testCrowd(t *testing.T, binary string, c *crowd) {
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1), limits: fmt.Sprintf("{MemoryMb: %d, MaxFds: %d}", crowdMemoryMb, crowdFiles)}
	s.putPlainService()
	s.addRouter(binary, t.TempDir())
	r := s.routers[0]
	s.awaitOrdinary(r)
	atRest := s.residentBytes(r)
	ctx, cancel := context.WithTimeout(t.Context(), crowdPeriod)
	defer cancel()
	var group sync.WaitGroup
	for range c.conns {
		group.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				useConnection(ctx, c, r)
			}
		})
	}
	var peak int64
	var files int
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		peak, files = max(peak, s.residentBytes(r)), max(files, s.openFiles(r))
	}
	group.Wait()
	t.Logf("resident memory %d MB at rest, %d MB at most, %d descriptors at most", atRest>>20, peak>>20, files)
	if peak > crowdMemoryMb<<20 {
		t.Errorf("the router held %d MB, %d are allowed", peak>>20, crowdMemoryMb)
	}
	if files > crowdFiles {
		t.Errorf("the router had %d descriptors, %d are allowed", files, crowdFiles)
	}
	select {
	case <-r.exited:
		t.Fatalf("the router ended: %v", r.exitErr)
	default:
	}
	s.awaitOrdinary(r)
}

func useConnection(ctx context.Context, c *crowd, r *router) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.addr(r))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c.attack(ctx, conn)
}

// putPlainService configures a service with one runner, whose responses are large if the request asks for it.
func (s *soak) putPlainService() {
	s.store.putRow("op", "config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "plain", "Host": host, "Prefix": "/plain/", "Kind": "idempotent", "DeadlineMs": 20_000, "LatencyTargetMs": 500,
			"GapTargetMs": 200, "Service": "svc", "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "svc", "MaxConns": 200}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	})
	runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body := "whole"
		if req.Header.Get("X-Large") != "" {
			body = strings.Repeat("x", 1<<20)
		}
		n, _ := io.Copy(io.Discard, req.Body)
		w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "s")
		w.Header().Set("X-Body-Bytes", fmt.Sprint(n))
		_, _ = io.WriteString(w, body)
	}))
	s.t.Cleanup(runner.CloseClientConnections)
	s.store.putRow("servers", "i-0", map[string]any{
		"Service": "svc", "Address": runner.Listener.Addr().String(), "Zone": "z", "Version": "1", "Slots": 200, "State": "ready", "Seq": 1,
	})
}

// awaitOrdinary waits until a router answers an ordinary request on a new connection, and its health check.
func (s *soak) awaitOrdinary(r *router) {
	s.t.Helper()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		status := s.sendRaw(r.callerAddr, requestStart+"Content-Length: 1\r\n\r\n", "x")
		if status == http.StatusOK && s.sendRaw(r.readyAddr, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n") == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("the router does not answer an ordinary request, status %d", status)
		}
	}
}

// sendRaw sends parts of a request on a new connection and returns the status, or zero for no response.
func (s *soak) sendRaw(addr string, parts ...string) int {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(s.t.Context(), "tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	for _, p := range parts {
		if _, err := io.WriteString(conn, p); err != nil {
			return 0
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// openFiles returns the number of open descriptors of a router's process.
func (s *soak) openFiles(r *router) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(entries)
}
