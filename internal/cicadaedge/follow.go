package cicadaedge

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Each heartbeat of a runner changes its entry. If all routers read all entries from the store, the
// traffic grows with the product of their numbers. In a data centre with many routers only a few of
// them, its readers, read the entries. The others are followers: they ask a reader for its view and
// receive entries only if these differ from their own. A follower reads the store itself while no
// reader has a recent view.

const (
	// minFollowRouters is the number of routers in a data centre from which on they follow readers.
	minFollowRouters = 12
	// runnerReaders is the number of readers in a data centre. Two of them may be down, frozen or cut
	// off at the same time.
	runnerReaders = 3
	// followInterval is the time between two views from a reader.
	followInterval = runnerInterval
	// maxFollowedAge is the age of the followed view from which on a follower reads the store. A
	// reader's view is up to runnerInterval and tableMaxWait old, and the follower's another
	// followInterval.
	maxFollowedAge = 1600 * time.Millisecond
)

// follow keeps the runners current from the readers of this data centre.
func (rt *Router) follow(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, followInterval)
		readers := rt.peers.runnerReaders()
		if len(readers) == 0 || slices.Contains(readers, rt.cfg.Name) {
			continue
		}
		for _, name := range readers {
			if rt.peerClients.isDown(name) {
				continue
			}
			if err := rt.followReader(ctx, name); err != nil && ctx.Err() == nil {
				rt.cfg.Metrics.Errors.Add("follow", 1)
				rt.peerClients.markDown(name, err)
			}
			if rt.peerRunnersAt.age(time.Now()) < maxFollowedAge {
				break
			}
		}
	}
}

func (rt *Router) followReader(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client, err := rt.peerClients.client(ctx, name)
	if err != nil {
		return errors.Wrap(err, "follow reader")
	}
	return errors.Wrap(rt.fetchRunners(ctx, client), "follow reader")
}

// skipsRunnerReads reports whether this router is a follower with a recent view.
func (rt *Router) skipsRunnerReads() bool {
	readers := rt.peers.runnerReaders()
	return len(readers) > 0 && !slices.Contains(readers, rt.cfg.Name) && rt.peerRunnersAt.age(time.Now()) < maxFollowedAge
}
