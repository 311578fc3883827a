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

const (
	// witnessPeriod is the time after the end of a response in which all connections of a process that is
	// gone end.
	witnessPeriod = 30 * time.Millisecond
	// witnessDialTimeout bounds the wait for a witness. It is several round trips between data centres.
	witnessDialTimeout = 50 * time.Millisecond
)

// errNoWitness is why a response that ended with its connection does not count as complete.
var errNoWitness = errors.New("no other connection shows that the runner lives on")

// dialWitness opens a connection to a runner that is about to get a request, if the response may end with
// its connection. If it outlives that end, the runner's process lives on: the kernel ends all
// connections of a process that is gone. It returns nil if there is none.
func (r *Router) dialWitness(ctx context.Context, addr string) net.Conn {
	if framed, ok := r.framed.Load(addr); ok && framed == true {
		return nil
	}
	conn, err := cicadanet.NewDialer(witnessDialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil // the response is not confirmed if it needs to be
	}
	return conn
}

func closeWitness(conn net.Conn) {
	if conn != nil {
		_ = conn.Close() // nothing was sent
	}
}

// recordFraming records whether the responses of a runner show their ends by themselves.
func (r *Router) recordFraming(resp *http.Response, addr string) {
	if resp.Body != http.NoBody {
		r.framed.Store(addr, !cicadacrash.EndsAtClose(resp))
	}
}

// confirmEnd returns an error if a response that ends with its connection may not be complete: the
// connections of a runner whose process is gone end in the same way.
func (ar *activeRequest) confirmEnd(resp *http.Response, addr string, witness net.Conn) error {
	if !cicadacrash.EndsAtClose(resp) {
		return nil
	}
	ctx := resp.Request.Context()
	timer := time.NewTimer(witnessPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if witness != nil && cicadanet.IsEstablished(witness) {
		return nil
	}
	ar.checkRunner(addr)
	return errors.Wrap(errNoWitness, "the response ended with its connection and may not be complete")
}
