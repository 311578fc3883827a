package cicadaedge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const (
	// followFleetSize is enough routers of one data centre for them to follow readers.
	followFleetSize = 14
	// followDeadline is the time within which all routers must know of a change, which is less than
	// runners serve on after they began to leave.
	followDeadline = 2500 * time.Millisecond
)

// newFollowFleet starts routers of one data centre and waits until they follow their readers.
func newFollowFleet(t *testing.T) (f *fleet, r *runner, readers, followers []*node) {
	t.Helper()
	f = newFleet(t)
	r = f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	var nodes []*node
	for i := range followFleetSize {
		nodes = append(nodes, f.startNode(fmt.Sprint("n", i)))
	}
	eventually(t, "all routers know each other", func() bool {
		for _, n := range nodes {
			if n.RouterCount() != followFleetSize || len(n.Runners()) != 1 {
				return false
			}
		}
		return true
	})
	eventually(t, "most routers have stopped reading the runners", func() bool {
		readers, followers = nil, nil
		before := make([]int64, len(nodes))
		for i, n := range nodes {
			before[i] = n.store.runnerReads.Load()
		}
		time.Sleep(2 * time.Second)
		for i, n := range nodes {
			if n.store.runnerReads.Load() > before[i] {
				readers = append(readers, n)
			} else {
				followers = append(followers, n)
			}
		}
		return len(readers) == 3
	})
	return f, r, readers, followers
}

// checkDraining marks the runner as draining and checks that no router sends it requests after
// followDeadline. Then the runner is back.
func checkDraining(t *testing.T, f *fleet, r *runner, nodes []*node) {
	t.Helper()
	f.putEntry(r, true)
	time.Sleep(followDeadline)
	for _, n := range nodes {
		if got := call(t, n, "/once/", nil, ""); got.status != http.StatusServiceUnavailable {
			t.Errorf("status %d of a router %v after its only runner began to drain, want 503", got.status, followDeadline)
		}
	}
	f.putEntry(r, false)
	eventually(t, "the runner is back", func() bool {
		for _, n := range nodes {
			if call(t, n, "/once/", nil, "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestFollowersLearnOfDraining checks that routers that do not read the runners' entries learn of a
// change: from the readers, and by themselves when the readers cannot reach the store or have ended
// and left their rows behind.
func TestFollowersLearnOfDraining(t *testing.T) {
	f, r, readers, followers := newFollowFleet(t)
	defer stopAll(append(readers, followers...))
	checkDraining(t, f, r, append(readers, followers...))
	for _, n := range readers {
		n.store.down.Store(true)
	}
	checkDraining(t, f, r, followers)
	stopAll(readers)
	checkDraining(t, f, r, followers)
}
