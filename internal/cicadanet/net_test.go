package cicadanet_test

import (
	"net"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"golang.org/x/sys/unix"
)

const (
	// maxSilence is how long a peer that goes on may be silent.
	maxSilence = 1300 * time.Millisecond
	// maxDetection is how long a connection that has gone silent for good may stay open.
	maxDetection = 4 * time.Second
)

// silence is what the kernel makes of a silent peer, by the options of a socket.
type silence struct {
	unacknowledged time.Duration // closed when sent data is not acknowledged for so long; zero for the kernel's default
	tolerated      time.Duration // the shortest silence that closes a connection without data
	detected       time.Duration // at the latest, a connection without data is closed after it
}

func socketOptions(t *testing.T, conn net.Conn) (userTimeout, idle, interval time.Duration, count int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	get := func(option int) (value int) {
		var optErr error
		if err := raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }); err != nil || optErr != nil {
			t.Fatal(err, optErr)
		}
		return value
	}
	seconds := func(option int) time.Duration { return time.Duration(get(option)) * time.Second }
	return time.Duration(get(unix.TCP_USER_TIMEOUT)) * time.Millisecond, seconds(unix.TCP_KEEPIDLE), seconds(unix.TCP_KEEPINTVL), get(unix.TCP_KEEPCNT)
}

// silenceOf follows the kernel's keep-alive timer: the first probe is sent after idle, and each interval
// after it the connection is closed or a further probe is sent.
func silenceOf(t *testing.T, conn net.Conn) silence {
	t.Helper()
	userTimeout, idle, interval, count := socketOptions(t, conn)
	elapsed := idle
	for probes := 1; ; probes++ {
		elapsed += interval
		if userTimeout > 0 && elapsed >= userTimeout || userTimeout == 0 && probes >= count {
			return silence{unacknowledged: userTimeout, tolerated: elapsed - idle, detected: elapsed}
		}
	}
}

// A runner that is silent for a second or so and goes on keeps its connections.
func TestSilentPeerLosesItsConnections(t *testing.T) {
	t.Parallel()
	ln, err := cicadanet.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	dial := func(d *net.Dialer) (client, server net.Conn) {
		client, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		server, err = ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		return client, server
	}
	outgoing, incoming := dial(cicadanet.NewDialer(time.Second))
	peer, _ := dial(cicadapeer.NewDialer())
	for _, tt := range []struct {
		name         string
		conn         net.Conn
		maxDetection time.Duration
	}{
		{"to a runner, the store or a router", outgoing, maxDetection},
		{"from a caller or a router", incoming, maxDetection},
		{"of the product's own interface", peer, 10 * time.Second},
	} {
		got := silenceOf(t, tt.conn)
		t.Logf("%s: %+v", tt.name, got)
		if got.unacknowledged > 0 && got.unacknowledged < maxSilence || got.tolerated < maxSilence {
			t.Errorf("%s: closed after %v of silence, or %v with data sent; want no less than %v", tt.name, got.tolerated, got.unacknowledged, maxSilence)
		}
		if got.detected > tt.maxDetection {
			t.Errorf("%s: a silent connection is closed after %v, want at most %v", tt.name, got.detected, tt.maxDetection)
		}
	}
}
