package cicadarouter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/pkg/errors"
)

// witnessDialTimeout bounds the wait for a witness. It is several round trips between data centres.
const witnessDialTimeout = 50 * time.Millisecond

// errNoWitness is why a response that ended with its connection does not count as complete.
var errNoWitness = errors.New("no other connection shows that the runner lives on")

// dialWitness opens a connection to a runner that is about to get a request. If the response ends with its
// connection and the witness outlives that end, the runner's process lives on: the kernel ends all
// connections of a process that is gone. It returns nil if there is none.
func (r *Router) dialWitness(ctx context.Context, addr string) net.Conn {
	conn, err := cicadanet.NewDialer(witnessDialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		r.cfg.Log.WithField("runner", addr).WithError(err).Debug("failed to open a connection that shows whether the runner lives on")
		return nil
	}
	return conn
}

func closeWitness(conn net.Conn) {
	if conn != nil {
		_ = conn.Close() // nothing was sent
	}
}

// confirmEnd returns an error if a response that ends with its connection may not be complete: the
// connections of a runner whose process is gone end in the same way.
func (ar *activeRequest) confirmEnd(resp *http.Response, addr string, witness net.Conn) error {
	if !cicadacrash.EndsAtClose(resp) {
		return nil
	}
	ctx := resp.Request.Context()
	timer := time.NewTimer(cicadacrash.CollectionPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	// The end of the witness may be lost on the way. Then new connections are still refused.
	err := ar.r.dialRunner(addr)
	if err == nil && witness != nil && cicadanet.IsEstablished(witness) {
		return nil
	}
	ar.checkRunner(addr)
	if err == nil {
		err = errNoWitness
	}
	return errors.Wrap(err, "the response ended with its connection and may not be complete")
}
