package cicadaplace

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// runnersPerGroup is the largest number of runners of a service for each runner group. It is large
// enough to spread load, and small enough that the router of a group chooses the runners for a
// small part of a large service's requests.
const runnersPerGroup = 24

// Group returns the index of a request's runner group, by the hash of its last shared part, and the
// number of groups of the service. Groups divide the requests and not the runners: one router
// chooses among all runners of the service for the requests of a group. A request with a single
// part is hashed by that part, and one without parts belongs to group 0.
func (b *Balancer) Group(req *Request) (group, groups int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	groups = groupCount(len(b.services[req.Service]))
	if len(req.Parts) == 0 {
		return 0, groups
	}
	key := req.Parts[max(len(req.Parts)-2, 0)].ID
	return int(mix(xxhash.Sum64String(key)) % uint64(groups)), groups
}

// groupCount returns the number of groups for a number of runners. It is a power of two, so that
// a growing service splits groups instead of reassigning all requests.
func groupCount(runners int) int {
	if runners <= runnersPerGroup {
		return 1
	}
	return 1 << bits.Len(uint((runners-1)/runnersPerGroup))
}

// Rank orders names by their rendezvous hash with key, highest first.
func Rank(key string, names []string) []string {
	out := append([]string(nil), names...)
	keyHash := xxhash.Sum64String(key)
	sort.Slice(out, func(i, j int) bool {
		return mix(xxhash.Sum64String(out[i])^keyHash) > mix(xxhash.Sum64String(out[j])^keyHash)
	})
	return out
}

// AssignTo assigns the request to a runner that another router chose. It returns ErrNoRunner if
// this router does not know the runner or may not use it.
func (b *Balancer) AssignTo(id string, req *Request, now time.Time) (*Assignment, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byID[id]
	if r == nil || r.entry.Service != req.Service || b.isExcluded(r, req, true, now) || !b.canSend(r, req, now) {
		return nil, ErrNoRunner
	}
	v := b.view(req, now)
	preferred, _ := b.preferredRunners(req, &v, now)
	return b.assign(r, req, r == preferred, &v, now), nil
}
