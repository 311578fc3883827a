package cicadanet

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// The kernel's states of a TCP connection.
const (
	tcpEstablished = 1 // neither side has closed it
	tcpClose       = 7 // it was reset or has timed out
)

// IsEstablished reports whether neither side has closed a TCP connection, as far as the kernel knows.
// It is false if the state cannot be told. Connections that wrap another one return it from a method
// NetConn.
func IsEstablished(conn net.Conn) bool {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	info, err := tcpInfo(raw)
	return err == nil && info.State == tcpEstablished
}

// tcpInfo reads the kernel's state of a TCP connection. That takes no error from the socket.
func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo, err error) {
	err = control(raw, "TCP_INFO", func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}

// control calls f with a socket, for an option.
func control(raw syscall.RawConn, option string, f func(fd int) error) error {
	var optErr error
	if err := raw.Control(func(fd uintptr) { optErr = f(int(fd)) }); err != nil {
		return errors.Wrap(err, "access socket")
	}
	return errors.Wrap(optErr, option)
}
