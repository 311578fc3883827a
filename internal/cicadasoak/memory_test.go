package cicadasoak_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// memoryLimit is MemoryMb of the routers' settings, in bytes.
const memoryLimit = 134_000_000

// partOfAnswer is what a runner sends of each answer before it falls silent.
type partOfAnswer struct {
	header string // beyond the usual fields
	status string
	body   string
}

// Runners send parts of many answers, and then nothing until they are closed.
func TestPartsOfAnswersTakeARoutersMemory(t *testing.T) {
	binary := buildRouter(t)
	for name, part := range map[string]*partOfAnswer{
		"event":  {status: "200 OK", header: "Content-Type: text/event-stream\r\n\r\n", body: "data: " + strings.Repeat("x", 250<<10)},
		"body":   {status: "404 Not Found", header: "Content-Length: 1000000\r\n\r\n", body: strings.Repeat("x", 900<<10)},
		"header": {status: "200 OK", header: "X-Long: " + strings.Repeat("x", 60<<10)},
	} {
		t.Run(name, func(t *testing.T) { testPartsOfAnswers(t, binary, part) })
	}
}

func testPartsOfAnswers(t *testing.T, binary string, part *partOfAnswer) {
	const (
		callers, runners = 450, 4
		period           = 6 * time.Second
	)
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	s.putStreamConfig()
	var held atomic.Int32
	for i := range runners {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			id := req.Header.Get("Request-Id")
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			head := "Request-Id: " + id + "\r\nResponse-Seal: s\r\n"
			if !strings.HasPrefix(id, "long") {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n%s", head, longStreamBody())
				return
			}
			held.Add(1)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s%s%s", part.status, head, part.header, part.body)
			_, _ = io.Copy(io.Discard, conn)
		}))
		t.Cleanup(srv.CloseClientConnections)
		s.store.putRow("servers", fmt.Sprint("i-", i), map[string]any{
			"Service": "svc", "Address": srv.Listener.Addr().String(), "Zone": "z", "Version": "1", "Slots": 200, "State": "ready", "Seq": 1,
		})
	}
	s.addRouter(binary, t.TempDir())
	r := s.routers[0]
	s.awaitStream(r)
	ctx, cancel := context.WithTimeout(t.Context(), period)
	defer cancel()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			if resp, err := s.streamUntil(ctx, r, fmt.Sprint("long", i)); err == nil {
				<-ctx.Done()
				_ = resp.Body.Close() // it has no end
			}
		})
	}
	var peak int64
	for ctx.Err() == nil {
		peak = max(peak, s.residentBytes(r))
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	t.Logf("%d MB at most, %d requests reached the runners", peak>>20, held.Load())
	if peak > memoryLimit {
		t.Errorf("the router held %d bytes, %d are allowed", peak, memoryLimit)
	}
	s.awaitStream(r)
}

// residentBytes returns the resident memory of a router's process.
func (s *soak) residentBytes(r *router) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}
