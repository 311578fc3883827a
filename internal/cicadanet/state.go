package cicadanet

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a connection that neither side has closed.
const tcpEstablished = 1

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
	established := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == tcpEstablished
	})
	return err == nil && established
}
