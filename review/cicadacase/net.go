package cicadacase

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// Ports of runners and routers.
	minPort       = 12_000
	portsPerBlock = 400
	portBlocks    = 50
	maxPortTries  = 1000
)

// givenPorts are the ports that were given away. Some are not in use yet.
var givenPorts sync.Map

// Listen listens on a loopback address. Port 0 stands for a free one.
func Listen(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp4", addr)
}

// freeAddrs returns addresses on which nothing listens. Their ports are none that the kernel gives to outgoing
// connections, which could take them while a process is gone.
func freeAddrs(n int) ([]string, error) {
	var out []string
	base := minPort + os.Getpid()%portBlocks*portsPerBlock // cases at the same time use others
	for tries := 0; len(out) < n; tries++ {
		if tries == maxPortTries {
			return nil, errors.New("no free ports are found")
		}
		port := base + rand.IntN(portsPerBlock)
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		ln, err := Listen(net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer func() { _ = ln.Close() }() // the address is free again
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// serve serves a stand-in until its listener is closed.
func serve(ln net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	_ = s.Serve(ln) // it ends with the listener
}
