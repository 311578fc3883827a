package cicadaupstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
)

const (
	// unreadBodyBytes is more than the buffers of a connection hold.
	unreadBodyBytes = 8 << 20
	// unreadBodyCalls is how often a call is repeated, as the outcome is a matter of chance.
	unreadBodyCalls = 40
)

// startUnreadingRunner starts a runner that answers each request, which it does not read, and calls end.
func startUnreadingRunner(t *testing.T, answer string, end func(conn *net.TCPConn) error) string {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }() // end may have closed it
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				fmt.Fprintf(conn, "%s", answer)
				time.Sleep(50 * time.Millisecond) // the client has read the answer and still sends
				if err := end(conn.(*net.TCPConn)); err != nil {
					t.Error(err)
				}
			})
		}
	})
	t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
		serving.Wait()
	})
	return ln.Addr().String()
}

// Writing the request's body takes the error of the connection, and reading it finds an end in order.
func TestAnswerBrokenOffWhileItsRequestIsSentLooksComplete(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(conn *net.TCPConn) error{
		"reset":         func(conn *net.TCPConn) error { return conn.SetLinger(0) },
		"closed unread": (*net.TCPConn).Close,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startUnreadingRunner(t, "HTTP/1.1 200 OK\r\n\r\nhalf", end)
			client := cicadaupstream.New(cicadaupstream.Config{})
			t.Cleanup(client.Close)
			body := make([]byte, unreadBodyBytes)
			var complete atomic.Int64
			for range unreadBodyCalls {
				resp, err := client.Do(t.Context(), &cicadaupstream.Call{
					Addr: addr, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: body, RequestID: "id", FirstByteTimeout: time.Second,
				})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(resp.Body); err == nil {
					complete.Add(1)
				}
				_ = resp.Body.Close() // its connection has failed
			}
			if n := complete.Load(); n > 0 {
				t.Errorf("%d of %d answers look complete", n, unreadBodyCalls)
			}
		})
	}
}

// A silent runner is given up by the connection's user timeout only if nothing has arrived for that long.
func TestSoundRunnerThatReadsTheRequestLastIsCutOff(t *testing.T) {
	t.Parallel()
	const events, interval = 60, 100 * time.Millisecond // longer than the user timeout
	addr := startUnreadingRunner(t, "HTTP/1.1 200 OK\r\n\r\n", func(conn *net.TCPConn) error {
		for range events {
			if _, err := conn.Write([]byte("e")); err != nil {
				return err
			}
			time.Sleep(interval)
		}
		_, err := io.CopyN(io.Discard, conn, unreadBodyBytes/2)
		if err == nil {
			err = conn.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, conn)
		return err
	})
	client := cicadaupstream.New(cicadaupstream.Config{})
	t.Cleanup(client.Close)
	resp, err := client.Do(t.Context(), &cicadaupstream.Call{
		Addr: addr, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, unreadBodyBytes), RequestID: "id", FirstByteTimeout: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || len(got) != events {
		t.Errorf("%d events of %d: %v", len(got), events, err)
	}
	_ = resp.Body.Close()
}
