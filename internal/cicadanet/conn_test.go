package cicadanet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"golang.org/x/sys/unix"
)

// largeWriteBytes is more than the buffers of a connection hold.
const largeWriteBytes = 16 << 20

// connPair returns a connection that dial opens, and its peer's end.
func connPair(t *testing.T, dial cicadanet.DialFunc) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conn, err = cicadanet.CheckEnds(dial)(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}

// dialOpaque opens connections that give no access to their sockets.
func dialOpaque(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	return struct{ net.Conn }{conn}, err
}

func dialPlain(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

// writeLarge writes more than the peer takes without reading. It returns while the write is in progress. The
// channel receives the error.
func writeLarge(t *testing.T, conn net.Conn, peer *net.TCPConn) <-chan error {
	t.Helper()
	done := startLargeWrite(conn)
	for unread(t, peer) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // the buffers are full
	return done
}

// startLargeWrite starts a write of more than the peer takes without reading. The channel receives the error.
func startLargeWrite(conn net.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, largeWriteBytes))
		done <- err
	}()
	return done
}

// unread returns the number of bytes that a connection has received and that were not read.
func unread(t *testing.T, conn *net.TCPConn) int {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if ctlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); ctlErr != nil || err != nil {
		t.Fatal(ctlErr, err)
	}
	return n
}

func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	if err := conn.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// A write meets the reset, so that the read is told of an end in order.
func TestReadAfterAFailedWriteEndsInOrder(t *testing.T) {
	t.Parallel()
	for name, dial := range map[string]cicadanet.DialFunc{"socket": dialPlain, "no access to the socket": dialOpaque} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := connPair(t, dial)
			done := writeLarge(t, conn, peer)
			reset(t, peer)
			if err := <-done; !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("write: %v", err)
			}
			_, err := conn.Read(make([]byte, 1))
			if diff := cmp.Diff(io.ErrUnexpectedEOF, err, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("error of the read (-want +got)\n%s", diff)
			}
		})
	}
}

// The error is taken from the socket by a call that Conn does not know of.
func TestReadAfterAResetWithoutItsErrorEndsInOrder(t *testing.T) {
	t.Parallel()
	var raw *net.TCPConn
	conn, peer := connPair(t, func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialPlain(ctx, network, addr)
		raw, _ = conn.(*net.TCPConn)
		return conn, err
	})
	reset(t, peer)
	time.Sleep(50 * time.Millisecond)
	if _, err := raw.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("first read: %v", err)
	}
	_, err := conn.Read(make([]byte, 1))
	if diff := cmp.Diff(io.ErrUnexpectedEOF, err, cmpopts.EquateErrors()); diff != "" {
		t.Errorf("error of the read (-want +got)\n%s", diff)
	}
}

// later calls f in 300 ms. The test ends after it, and closes its connections after that.
func later(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { <-done })
	time.AfterFunc(300*time.Millisecond, func() {
		defer close(done)
		f()
	})
}

func TestConnEnds(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		end  func(t *testing.T, conn net.Conn, peer *net.TCPConn)
		want error
	}{
		{"closed in order", func(_ *testing.T, conn net.Conn, peer *net.TCPConn) {
			_, _ = conn.Write([]byte("request"))
			_, _ = peer.Read(make([]byte, 100))
			_ = peer.Close()
		}, io.EOF},
		{"closed unread", func(_ *testing.T, conn net.Conn, peer *net.TCPConn) {
			_, _ = conn.Write([]byte("request"))
			time.Sleep(50 * time.Millisecond)
			_ = peer.Close()
		}, syscall.ECONNRESET},
		{"closed in order with all read later", func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			writeLarge(t, conn, peer)
			_ = peer.CloseWrite()
			time.AfterFunc(300*time.Millisecond, func() { _, _ = io.Copy(io.Discard, peer) })
		}, io.EOF},
		{"closed in order and reset later", func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			writeLarge(t, conn, peer)
			_ = peer.CloseWrite()
			later(t, func() { reset(t, peer) })
		}, io.ErrUnexpectedEOF},
		{"closed in order and nothing read", func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			writeLarge(t, conn, peer)
			_ = peer.CloseWrite()
		}, io.ErrUnexpectedEOF},
		{"closed in order and given up meanwhile", func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			writeLarge(t, conn, peer)
			_ = peer.CloseWrite()
			time.AfterFunc(300*time.Millisecond, func() { _ = conn.Close() })
		}, io.ErrUnexpectedEOF},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			conn, peer := connPair(t, dialPlain)
			tt.end(t, conn, peer)
			begin := time.Now()
			_, err := conn.Read(make([]byte, 1))
			if diff := cmp.Diff(tt.want, err, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("error (-want +got)\n%s", diff)
			}
			if d := time.Since(begin); d > 3*time.Second {
				t.Errorf("the read returned after %v", d)
			}
		})
	}
}
