package cicadaedge

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

// maxControlRunners bounds the other runners that are dialled to find out whether a refused connection
// is due to the runner or to the network.
const maxControlRunners = 2

// probe finds out whether a runner accepts connections. It returns errRunnerEnded if its process has
// ended. A refused connection alone does not show that: a network that cuts hosts from runners may
// refuse connections too. Another router decides, or other runners if none can be asked. relayed states
// that this host reached the runner through another router only.
func (d *runnerDialer) probe(ctx context.Context, r *cicadaplace.Runner, relayed bool) error {
	if !relayed {
		if err := d.tryConnect(ctx, r.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
	}
	for _, dial := range d.relayDials(r) {
		conn, err := dial(ctx)
		switch {
		case err == nil:
			return conn.Close()
		case errors.Is(err, errRunnerEnded):
			return err
		}
	}
	if !relayed && d.reachesOthers(ctx, r.ID()) {
		return errRunnerEnded
	}
	return errRunnerUnknown
}

// reachesOthers reports whether this host reaches runners beside the one with an id.
func (d *runnerDialer) reachesOthers(ctx context.Context, id string) bool {
	entries := d.rt.balancer.Entries(time.Now())
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	tried := 0
	for i := range entries {
		if entries[i].ID == id {
			continue
		}
		if tried == maxControlRunners {
			return false
		}
		tried++
		if d.tryConnect(ctx, entries[i].Addr) == nil {
			return true
		}
	}
	return false
}

func (d *runnerDialer) tryConnect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}
