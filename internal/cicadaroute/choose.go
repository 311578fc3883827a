package cicadaroute

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A runner is preferred for its cached prefix while its load is at most
	// the mean load of the eligible runners times affinityLoadFactor, plus
	// affinityLoadSlack. Load is counted in requests for each slot.
	affinityLoadFactor = 1.25
	affinityLoadSlack  = 0.25
)

// The reasons for which a runner is not eligible.
const (
	reasonDraining        = "leaving"
	reasonTried           = "tried"
	reasonEjected         = "ejected"
	reasonBusy            = "busy"
	reasonOtherDataCentre = "otherPlace"
)

// Choose returns the address of the runner for req. It allocates no memory unless
// it fails.
func (t *Table) Choose(req *Request, now time.Time) (string, error) {
	list := t.upstreams[req.Upstream]
	if len(list) == 0 {
		return "", ErrNoRunner
	}
	ignoreEjection := t.tooManyEjected(list, now)
	for sc := scopeOf(req); sc <= scopeQueue; sc++ {
		if r := t.pick(list, req, sc, ignoreEjection, now); r != nil {
			return r.Address, nil
		}
	}
	for _, r := range list {
		if reason := r.exclusionReason(req, scopeQueue, ignoreEjection, now); reason == reasonBusy {
			return "", ErrBusy
		}
	}
	return "", ErrNoRunner
}

// scope is the set of runners to choose from. Choose tries the scopes in order:
// runners with a free slot in the router's data centre, runners with a free slot
// anywhere, and runners that queue requests.
type scope int

const (
	scopeLocal scope = iota
	scopeFree
	scopeQueue
)

func scopeOf(req *Request) scope {
	if req.LocalFirst {
		return scopeLocal
	}
	return scopeFree
}

// pick chooses among the eligible runners of a scope, or returns nil if there are
// none. It samples two runners uniformly in one pass (reservoir sampling), which
// needs no list of the eligible runners.
func (t *Table) pick(list []*runner, req *Request, sc scope, ignoreEjection bool, now time.Time) *runner {
	var first, second, preferred *runner
	var sum float64
	var best uint64
	n := 0
	for _, r := range list {
		if r.exclusionReason(req, sc, ignoreEjection, now) != "" {
			continue
		}
		n++
		switch n {
		case 1:
			first = r
		case 2:
			second = r
		default:
			if i := t.rng.IntN(n); i == 0 {
				first = r
			} else if i == 1 {
				second = r
			}
		}
		if req.PrefixHash == 0 {
			continue
		}
		sum += r.load(now)
		if w := affinityWeight(r, req.PrefixHash); preferred == nil || w > best {
			preferred, best = r, w
		}
	}
	if preferred != nil && preferred.load(now) <= affinityLoadFactor*sum/float64(n)+affinityLoadSlack {
		return preferred
	}
	return lessLoaded(first, second, now)
}

func affinityWeight(r *runner, prefix uint64) uint64 {
	const mix = 0x9e3779b97f4a7c15
	h := (xxhash.Sum64String(r.Address) ^ prefix) * mix
	return h ^ h>>29
}

func lessLoaded(a, b *runner, now time.Time) *runner {
	switch {
	case a == nil:
		return b
	case b == nil || a.load(now) <= b.load(now):
		return a
	default:
		return b
	}
}

// exclusionReason returns why a runner is not eligible, or an empty string if it
// is.
func (r *runner) exclusionReason(req *Request, sc scope, ignoreEjection bool, now time.Time) string {
	switch {
	case r.draining:
		return reasonDraining
	case slices.Contains(req.Tried, r.Address):
		return reasonTried
	case !ignoreEjection && now.Before(r.ejectedUntil):
		return reasonEjected
	case r.load(now) >= maxLoad(req.FreeSlotOnly, sc):
		return reasonBusy
	case sc == scopeLocal && r.DataCentre != req.DataCentre:
		return reasonOtherDataCentre
	default:
		return ""
	}
}

// maxLoad returns the load from which a runner gets no more requests. A runner's
// queue is used only if no runner has a free slot, and not for requests with
// FreeSlotOnly.
func maxLoad(freeSlotOnly bool, sc scope) float64 {
	if freeSlotOnly || sc != scopeQueue {
		return 1
	}
	return maxQueueLoad
}

// tooManyEjected reports whether so many runners are ejected that the failures
// are more likely to have a cause other than the runners.
func (t *Table) tooManyEjected(list []*runner, now time.Time) bool {
	n := 0
	for _, r := range list {
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return float64(n) > maxEjectedShare*float64(len(list))
}

// Candidates returns the state of an upstream's runners on which Choose bases its
// choice for req.
func (t *Table) Candidates(req *Request, now time.Time) []Candidate {
	list := t.upstreams[req.Upstream]
	ignoreEjection := t.tooManyEjected(list, now)
	out := make([]Candidate, 0, len(list))
	for _, r := range list {
		c := Candidate{
			Name: r.Name, DataCentre: r.DataCentre, Load: r.load(now), InFlight: r.inFlight, ReportAgeMillis: -1,
			ExclusionReason: r.exclusionReason(req, scopeQueue, ignoreEjection, now),
		}
		if !r.reportedAt.IsZero() {
			c.ReportAgeMillis = now.Sub(r.reportedAt).Milliseconds()
		}
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// RunnerName returns a runner's name, or its address if the runner is no longer
// in the table.
func (t *Table) RunnerName(addr string) string {
	if r, ok := t.byAddr[addr]; ok {
		return r.Name
	}
	return addr
}
