package cicadaingress_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaingress"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start serves with a guard and returns the address. The response has the number of bytes of the body.
func start(tb testing.TB, cfg cicadaingress.Config) string {
	tb.Helper()
	return serve(tb, cicadaingress.NewGuard(cfg))
}

func serve(tb testing.TB, guard *cicadaingress.Guard) string {
	tb.Helper()
	ln, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := guard.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%d %d %v", n, len(r.Header), err)
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(guard.Listen(ln)) // until the end of the test
	}()
	tb.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return ln.Addr().String()
}

func dial(tb testing.TB, addr string) net.Conn {
	tb.Helper()
	conn, err := (&net.Dialer{}).DialContext(tb.Context(), "tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	tb.Cleanup(func() { _ = conn.Close() })
	return conn
}

// read returns the status and the body of the next response.
func read(r *bufio.Reader) string {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "closed"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprint(resp.StatusCode, string(body), err)
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// Guards against limits that ordinary requests reach, and against requests of ordinary clients that are misread.
func TestOrdinaryRequests(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	get := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	var many, chunks strings.Builder
	for i := range 99 {
		fmt.Fprintf(&many, "X-%d: %s\r\n", i, strings.Repeat("x", 150))
	}
	for range 4 << 20 / 64 {
		fmt.Fprintf(&chunks, "40\r\n%s\r\n", strings.Repeat("x", 64))
	}
	for name, c := range map[string]struct {
		request string
		step    int
		want    []string
	}{
		"100 lines, 16 KB, 4 MB in chunks": {
			post + many.String() + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n", 700, []string{"200 4194304 99 <nil>"},
		},
		"one byte at a time":       {post + "Content-Length: 3\r\n\r\nabc" + get, 1, []string{"200 3 1 <nil>", "200 0 0 <nil>"}},
		"pipelined":                {strings.Repeat(get, 50), 4000, strings.Split(strings.Repeat("200 0 0 <nil>,", 49)+"200 0 0 <nil>", ",")},
		"empty lines after a post": {post + "Content-Length: 1\r\n\r\nx\r\n" + get, 4000, []string{"200 1 1 <nil>", "200 0 0 <nil>"}},
		"expects 100":              {post + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx", 4000, []string{"100 ", "200 1 2 <nil>"}},
		"trailer": {
			post + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1;e=f\r\nx\r\n0\r\nT: u\r\n\r\n" + get, 9,
			[]string{"200 1 0 <nil>", "200 0 0 <nil>"},
		},
		"too many lines":             {"GET / HTTP/1.1\r\n" + strings.Repeat("x:\r\n", 260), 1 << 20, []string{"431 ", "closed"}},
		"second with too many lines": {get + "GET / HTTP/1.1\r\n" + strings.Repeat("x:\r\n", 270), 29, []string{"200 0 0 <nil>", "431 ", "closed"}},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, start(t, cicadaingress.Config{MemoryBytes: 1 << 20, MaxConns: 2}))
			r := bufio.NewReader(conn)
			go func() {
				for rest := c.request; rest != ""; rest = rest[min(c.step, len(rest)):] {
					if _, err := io.WriteString(conn, rest[:min(c.step, len(rest))]); err != nil {
						return
					}
				}
			}()
			var got []string
			for range c.want {
				got = append(got, read(r))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("responses (-want +got)\n%s", diff)
			}
		})
	}
}

// Guards against a flood that keeps ordinary callers out: the connection that is silent for longest makes room, and
// one whose body is slow if the others came only just.
func TestRoomForOrdinaryCallers(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
	for name, c := range map[string]struct {
		cfg   cicadaingress.Config
		send  string
		limit cicadaingress.Limit
	}{
		"connections": {cicadaingress.Config{MaxConns: 10}, "", cicadaingress.MaxConns},
		"headers":     {cicadaingress.Config{MaxConns: 10}, "GET / HTTP/1.1\r\n", cicadaingress.MaxConns},
		"bodies":      {cicadaingress.Config{MaxConns: 10}, post, cicadaingress.MaxConns},
		"memory":      {cicadaingress.Config{MemoryBytes: 120 << 10}, "GET / HTTP/1.1\r\n", cicadaingress.MemoryBytes},
	} {
		t.Run(name, func(t *testing.T) {
			c.cfg.Counts = new(expvar.Map).Init()
			addr := start(t, c.cfg)
			for range 30 {
				conn := dial(t, addr)
				if _, err := io.WriteString(conn, c.send); err != nil {
					t.Fatal(err)
				}
			}
			conn := dial(t, addr)
			if _, err := io.WriteString(conn, post+"123456789"); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("200 9 1 <nil>", read(bufio.NewReader(conn))); diff != "" {
				t.Errorf("an ordinary caller (-want +got)\n%s", diff)
			}
			if c.cfg.Counts.Get(c.limit.String()) == nil {
				t.Errorf("the counter %s is not set: %s", c.limit, c.cfg.Counts)
			}
		})
	}
}

// Guards against memory that stays counted when connections and requests have ended, until nobody gets in.
func TestMemoryIsGivenBack(t *testing.T) {
	addr := start(t, cicadaingress.Config{MemoryBytes: 100 << 10, MaxConns: 8})
	for i := range 600 {
		conn := dial(t, addr)
		request := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x: y\r\n", 40) + "\r\n"
		if i%3 == 0 {
			request = strings.Repeat("x", 4000) // given up
		}
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		if i%3 != 0 {
			if diff := cmp.Diff("200 0 1 <nil>", read(bufio.NewReader(conn))); diff != "" {
				t.Fatalf("connection %d (-want +got)\n%s", i, diff)
			}
		}
		_ = conn.Close()
	}
}

// Guards against callers that do not read their responses and hold them for good.
func TestUnreadResponseEnds(t *testing.T) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counts := new(expvar.Map).Init()
	guard := cicadaingress.NewGuard(cicadaingress.Config{Limits: cicadaingress.Limits{WriteStall: 500 * time.Millisecond}, Counts: counts})
	ended := make(chan error, 1)
	server := guard.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(guard.Listen(ln)) // until the end of the test
	}()
	defer func() {
		_ = server.Close()
		<-done
	}()
	if _, err := io.WriteString(dial(t, ln.Addr().String()), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	select {
	case err := <-ended:
		if err == nil || counts.Get(cicadaingress.WriteStall.String()) == nil {
			t.Errorf("the write ended with %v, counters %s", err, counts)
		}
	case <-ctx.Done():
		t.Error("the write goes on")
	}
}

// Guards against slow bodies that hold all requests that a process may have: the oldest one is interrupted, a recent
// one and a whole one are not.
func TestSlowBodyIsInterrupted(t *testing.T) {
	guard := cicadaingress.NewGuard(cicadaingress.Config{MemoryBytes: 100 << 10})
	addr := serve(t, guard)
	conn := dial(t, addr)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1234"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !guard.InterruptBody(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no body is interrupted")
		}
	}
	if got := read(bufio.NewReader(conn)); !strings.Contains(got, "i/o timeout") {
		t.Errorf("the response is %q", got)
	}
	if guard.InterruptBody() {
		t.Error("a body is interrupted twice")
	}
	if !guard.Reserve(60<<10) || guard.Reserve(60<<10) {
		t.Error("not one of two bodies gets memory")
	}
	guard.Release(60 << 10)
	if !guard.Reserve(60 << 10) {
		t.Error("memory of a body is not given back")
	}
}

// Guards against a guard that takes encrypted bytes for request headers, or keeps callers with TLS out.
func TestEncryptedConnections(t *testing.T) {
	guard := cicadaingress.NewGuard(cicadaingress.Config{MemoryBytes: 100 << 10, MaxConns: 4, Encrypted: true})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body) // the client may have left
	}))
	addr := server.Listener.Addr().String()
	server.Listener, server.Config.ConnState = guard.Listen(server.Listener), guard.ConnState
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	body := strings.Repeat("\n", 1<<20)
	for range 3 {
		for range 8 {
			dial(t, addr)
		}
		resp, err := server.Client().Post(server.URL, "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		if err != nil || len(got) != len(body) {
			t.Errorf("%d of %d bytes, %v", len(got), len(body), err)
		}
		_ = resp.Body.Close()
		server.Client().CloseIdleConnections()
	}
}

// BenchmarkRequest measures a request over a kept connection, with and without a guard.
func BenchmarkRequest(b *testing.B) {
	request := []byte("POST /v1/chat HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + strings.Repeat("X-Header: some usual value\r\n", 12) + "\r\n")
	b.Run("scan", func(b *testing.B) {
		s := cicadaingress.NewScanner(&testLimits)
		b.ReportAllocs()
		for b.Loop() {
			if s.Scan(request) != cicadaingress.Within || !s.AtStart() {
				b.Fatal("the request is not within the limits")
			}
		}
	})
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprint("guarded ", guarded), func(b *testing.B) {
			ln, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			guard := cicadaingress.NewGuard(cicadaingress.Config{MemoryBytes: 64 << 20, MaxConns: 100})
			server := guard.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			if guarded {
				ln = guard.Listen(ln)
			} else {
				server.ConnState = nil
			}
			go func() { _ = server.Serve(ln) }()
			defer func() { _ = server.Close() }()
			conn := dial(b, ln.Addr().String())
			_ = conn.SetDeadline(time.Time{})
			buf := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(buf); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
