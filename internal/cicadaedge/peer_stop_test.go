package cicadaedge_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
)

// TestStopWhilePeersCall stops routers while others call them all the time. The process must survive:
// a peer server that is stopped as a call arrives panics.
func TestStopWhilePeersCall(t *testing.T) {
	const (
		routers = 8
		callers = 12 // of each router
	)
	f := newFleet(t)
	var nodes []*node
	var wg sync.WaitGroup
	for i := range routers {
		n := f.startNode(fmt.Sprint("n", i))
		nodes = append(nodes, n)
		for range callers {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", n.peerAddr)
			if err != nil {
				t.Fatal(err)
			}
			client := jrpc2.NewClient(channel.Line(conn, conn), nil)
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					if _, err := client.Call(context.Background(), "lend", map[string]string{"from": "other"}); err != nil && client.IsStopped() {
						return
					}
					time.Sleep(200 * time.Microsecond)
				}
			}()
		}
	}
	stopAll(nodes)
	wg.Wait()
}
