package cicadaupstream_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
)

// The runner repeats its last refusal on the same connection before it answers the next request.
func TestRepeatedRefusalDeniesARun(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + cicadaupstream.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
	})
	var requests, runs atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the client may have closed it
				r, refused := bufio.NewReader(conn), false
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if requests.Add(1) == 1 {
						refused = true
						fmt.Fprintf(conn, "%s", refusal)
						continue
					}
					runs.Add(1)
					if refused {
						fmt.Fprintf(conn, "%s", refusal)
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	client := cicadaupstream.New(cicadaupstream.Config{})
	t.Cleanup(client.Close)
	for i := range 2 {
		resp, err := client.Do(t.Context(), &cicadaupstream.Call{
			Addr: ln.Addr().String(), Method: http.MethodPost, Path: "/", RequestID: fmt.Sprint(i), FirstByteTimeout: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		var refused *cicadaupstream.RefusedError
		if failure := cicadaupstream.Classify(resp); errors.As(failure, &refused) && runs.Load() > 0 {
			t.Errorf("request %d is refused as not run, and %d ran", i, runs.Load())
		}
	}
}
