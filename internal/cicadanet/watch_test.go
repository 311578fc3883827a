package cicadanet_test

import (
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

const (
	// watchedUserTimeout is the user timeout of the connections to peers that do not read.
	watchedUserTimeout = 500 * time.Millisecond
	// maxGivenUp is how long a peer may be silent before its connection has ended, with the default user timeout.
	maxGivenUp = 2800 * time.Millisecond
)

func dialWatched(t *testing.T, userTimeout time.Duration) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	return connPair(t, cicadanet.NewDialerWithConfig(cicadanet.DialerConfig{Timeout: time.Second, UserTimeout: userTimeout}).DialContext)
}

// The kernel gives up a connection whose window is full for the user timeout, though the peer is there.
func TestSoundPeerWithAFullWindowIsGivenUp(t *testing.T) {
	t.Parallel()
	const steps, stepTime = 20, watchedUserTimeout / 5
	for name, step := range map[string]func(peer *net.TCPConn) error{
		"sends": func(peer *net.TCPConn) error {
			_, err := peer.Write([]byte("e"))
			return err
		},
		"reads slowly": func(peer *net.TCPConn) error {
			_, err := io.CopyN(io.Discard, peer, largeWriteBytes/2/steps)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := dialWatched(t, watchedUserTimeout)
			done := writeLarge(t, conn, peer)
			served := make(chan error, 1)
			go func() {
				for range steps {
					time.Sleep(stepTime)
					if err := step(peer); err != nil {
						served <- err
						return
					}
				}
				_, err := io.Copy(io.Discard, peer)
				served <- err
			}()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			if err := <-done; err != nil {
				t.Errorf("write: %v", err)
			}
			time.Sleep(watchedUserTimeout)
			raw := conn.(*cicadanet.Conn).Conn
			if got, _, _, _ := socketOptions(t, raw); got != watchedUserTimeout {
				t.Errorf("user timeout %v after all was taken, want %v", got, watchedUserTimeout)
			}
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
			if err := <-served; err != nil {
				t.Errorf("peer: %v", err)
			}
		})
	}
}

func TestSilentPeerWithAFullWindowIsNotGivenUp(t *testing.T) {
	t.Parallel()
	for name, before := range map[string]func(peer *net.TCPConn){
		"silent from the begin": func(*net.TCPConn) {},
		"silent after it sent": func(peer *net.TCPConn) {
			for range 10 {
				_, _ = peer.Write([]byte("e"))
				time.Sleep(50 * time.Millisecond)
			}
		},
		"silent after it read": func(peer *net.TCPConn) { _, _ = io.CopyN(io.Discard, peer, 1<<20) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := dialWatched(t, 0)
			done := writeLarge(t, conn, peer)
			read := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, conn)
				read <- err
			}()
			before(peer)
			begin := time.Now()
			for _, err := range []error{<-done, <-read} {
				if diff := cmp.Diff(syscall.ETIMEDOUT, err, cmpopts.EquateErrors()); diff != "" {
					t.Errorf("error of the write or read (-want +got)\n%s", diff)
				}
			}
			if d := time.Since(begin); d > maxGivenUp {
				t.Errorf("given up after %v, want %v at most", d, maxGivenUp)
			} else {
				t.Logf("given up after %v", d)
			}
		})
	}
}

// cutLink makes all that is sent to a connection get lost.
func cutLink(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	raw, err := peer.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	}); err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
}

func TestCutLinkIsNoticedLate(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(t *testing.T, conn net.Conn, peer *net.TCPConn){
		"before a small write": func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			cutLink(t, peer)
			if _, err := conn.Write([]byte("request")); err != nil {
				t.Error(err)
			}
		},
		"before a large write": func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			cutLink(t, peer)
			startLargeWrite(conn)
		},
		"while the peer reads": func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			writeLarge(t, conn, peer)
			if _, err := io.CopyN(io.Discard, peer, 4<<20); err != nil {
				t.Error(err)
			}
			cutLink(t, peer)
		},
		"with a full window": func(t *testing.T, conn net.Conn, peer *net.TCPConn) {
			writeLarge(t, conn, peer)
			cutLink(t, peer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := dialWatched(t, 0)
			cut(t, conn, peer)
			begin := time.Now()
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("read without an error")
			}
			if d := time.Since(begin); d > maxGivenUp {
				t.Errorf("noticed after %v, want %v at most", d, maxGivenUp)
			} else {
				t.Logf("noticed after %v", d)
			}
		})
	}
}
