package cicadaupstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

// startRawRunner starts a runner that writes what answer returns for each request, and returns its address.
// Requests are counted on each connection, which is closed after an answer if closes is set.
func startRawRunner(t *testing.T, closes bool, answer func(count int, req *http.Request) string) string {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
	})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the client may have closed it
				r := bufio.NewReader(conn)
				for count := 1; ; count++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					fmt.Fprintf(conn, "%s", answer(count, req))
					if closes {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func doPlain(t *testing.T, client *cicadaupstream.Client, addr, id string) (*http.Response, error) {
	t.Helper()
	return client.Do(t.Context(), &cicadaupstream.Call{
		Addr: addr, Method: http.MethodPost, Path: "/", RequestID: id, FirstByteTimeout: time.Second,
	})
}

// The runner repeats its last refusal on the same connection before it answers the next request.
func TestRepeatedRefusalDeniesARun(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + cicadaupstream.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	var requests, runs atomic.Int64
	addr := startRawRunner(t, false, func(count int, _ *http.Request) string {
		if requests.Add(1) == 1 {
			return refusal
		}
		runs.Add(1)
		if count > 1 {
			return refusal + answer
		}
		return answer
	})
	client := cicadaupstream.New(cicadaupstream.Config{})
	t.Cleanup(client.Close)
	for i := range 2 {
		resp, err := doPlain(t, client, addr, fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		var refused *cicadaupstream.RefusedError
		if failure := cicadaupstream.Classify(resp); errors.As(failure, &refused) && runs.Load() > 0 {
			t.Errorf("request %d is refused as not run, and %d ran", i, runs.Load())
		}
	}
}

// The runner writes its last answer once more on the same connection before that to the next request.
func TestLateSecondAnswerReachesTheNextCaller(t *testing.T) {
	answerTo := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", cicadaupstream.HeaderRequestID, id, len(id), id)
	}
	var last atomic.Value
	addr := startRawRunner(t, false, func(count int, req *http.Request) string {
		answer := answerTo(req.Header.Get(cicadaupstream.HeaderRequestID))
		if count > 1 {
			answer = last.Load().(string) + answer
		}
		last.Store(answerTo(req.Header.Get(cicadaupstream.HeaderRequestID)))
		return answer
	})
	client := cicadaupstream.New(cicadaupstream.Config{})
	t.Cleanup(client.Close)
	for i := range 6 {
		id := fmt.Sprintf("request-%d", i)
		resp, err := doPlain(t, client, addr, id)
		var failed *cicadaupstream.ResponseError
		if errors.As(err, &failed) {
			continue // it may have run, and gets no answer
		}
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(id, string(body)); diff != "" {
			t.Errorf("body (-want +got)\n%s", diff)
		}
	}
}

func TestAnswerCutAtEachByteIsNoSuccess(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n" + cicadaupstream.HeaderRequestID + ": q\r\nContent-Length: 4\r\n\r\nbody"
	var length atomic.Int64
	addr := startRawRunner(t, true, func(int, *http.Request) string { return answer[:length.Load()] })
	client := cicadaupstream.New(cicadaupstream.Config{})
	t.Cleanup(client.Close)
	for i := range answer {
		length.Store(int64(i))
		resp, err := doPlain(t, client, addr, "q")
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Errorf("cut after %d bytes: status %d, body %q", i, resp.StatusCode, body)
		}
	}
}
