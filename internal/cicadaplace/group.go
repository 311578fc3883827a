package cicadaplace

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// runnersPerGroup is how many runners one router places for: enough to spread
// over, few enough that it takes a small part of the requests at any size.
const runnersPerGroup = 24

// Group returns the group of runners that a request's shared parts belong to,
// and the number of groups of the service. Requests without shared parts belong
// to the group of their own part.
func (f *Balancer) Group(req *Request) (group, groups int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	groups = groupsFor(len(f.services[req.Service]))
	if len(req.Parts) == 0 {
		return 0, groups
	}
	key := req.Parts[max(len(req.Parts)-2, 0)].ID
	return int(mix(xxhash.Sum64String(key)) % uint64(groups)), groups
}

// groupsFor returns a power of two, so that a growing service splits groups and
// does not deal all runners anew.
func groupsFor(runners int) int {
	if runners <= runnersPerGroup {
		return 1
	}
	return 1 << bits.Len(uint((runners-1)/runnersPerGroup))
}

// Rank orders names for a key, by rendezvous hashing.
func Rank(key string, names []string) []string {
	out := append([]string(nil), names...)
	at := xxhash.Sum64String(key)
	sort.Slice(out, func(i, j int) bool {
		return mix(xxhash.Sum64String(out[i])^at) > mix(xxhash.Sum64String(out[j])^at)
	})
	return out
}

// AssignTo returns a ticket for a runner that was chosen elsewhere, or
// ErrNoRunner if this router does not know it or must not use it.
func (f *Balancer) AssignTo(id string, req *Request, now time.Time) (*Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.byID[id]
	if r == nil || r.entry.Service != req.Service || f.leftOut(r, req, true, now) || !f.isOpen(r, req, now) {
		return nil, ErrNoRunner
	}
	return f.take(r, req, r == f.homeOf(req, now), now), nil
}
