package cicadaedge_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
)

// The host of a runner whose process has ended no longer answers, so that dialling it proves nothing.
func TestEndOfARunnerWhoseHostIsLostLooksLikeTheEndOfItsResponse(t *testing.T) {
	t.Parallel()
	for name, dial := range map[string]func(ctx context.Context) error{
		"no answer":   func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		"unreachable": func(context.Context) error { return os.NewSyscallError("connect", syscall.EHOSTUNREACH) },
	} {
		for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
			t.Run(strings.Trim(path, "/")+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				r := f.addEndedRunner()
				f.addRunner(refuseNotRun)
				var lost atomic.Bool
				host := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) {
					cfg.DialRunner = func(ctx context.Context, network, addr string) (net.Conn, error) {
						if lost.Load() && addr == r.Addr().String() {
							return nil, &net.OpError{Op: "dial", Net: network, Err: dial(ctx)}
						}
						return (&net.Dialer{}).DialContext(ctx, network, addr)
					}
				}))
				got := make(chan response, 1)
				go func() { got <- callUntilRun(t, host, path, r) }()
				<-r.wrote
				lost.Store(true)
				r.end(t)
				if res := <-got; res.status == http.StatusOK && res.err == nil {
					t.Errorf("part of a response looks complete: %q", res.body)
				}
			})
		}
	}
}
