package cicadaroute

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityBound is how much more loaded than the upstream's mean, plus
	// affinitySlack slots, the runner with a cached prefix may be.
	affinityBound = 1.25
	affinitySlack = 0.25
)

// The reasons for leaving a runner out.
const (
	outLeaving = "leaving"
	outTried   = "tried"
	outEjected = "ejected"
	outBusy    = "busy"
	outRemote  = "otherPlace"
)

// Choose returns the address of the runner for req. It makes no allocation
// unless it fails.
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
		if why := r.leftOut(req, scopeQueue, ignoreEjection, now); why == outBusy {
			return "", ErrBusy
		}
	}
	return "", ErrNoRunner
}

// scope is the set of runners that a draw is made from: free ones in the own
// place, then free ones anywhere, then those that queue.
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

// pick draws among the runners that may be used, in one pass: the two drawn are
// a uniform sample without a list of the eligible ones.
func (t *Table) pick(list []*runner, req *Request, sc scope, ignoreEjection bool, now time.Time) *runner {
	var first, second, preferred *runner
	var sum float64
	var best uint64
	n := 0
	for _, r := range list {
		if r.leftOut(req, sc, ignoreEjection, now) != "" {
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
	if preferred != nil && preferred.load(now) <= affinityBound*sum/float64(n)+affinitySlack {
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

// leftOut tells why a runner may not be used, or returns an empty string.
func (r *runner) leftOut(req *Request, sc scope, ignoreEjection bool, now time.Time) string {
	switch {
	case r.leaving:
		return outLeaving
	case slices.Contains(req.Tried, r.Address):
		return outTried
	case !ignoreEjection && now.Before(r.ejectedUntil):
		return outEjected
	case r.load(now) >= limit(req.FreeSlotOnly, sc):
		return outBusy
	case sc == scopeLocal && r.DataCentre != req.DataCentre:
		return outRemote
	default:
		return ""
	}
}

// limit is the load up to which a runner is given more. Its queue is used only
// when no runner is free, and not for patient requests.
func limit(patient bool, sc scope) float64 {
	if patient || sc != scopeQueue {
		return 1
	}
	return queueFactor
}

// tooManyEjected tells whether so many runners are ejected that the failures
// are more likely of another cause.
func (t *Table) tooManyEjected(list []*runner, now time.Time) bool {
	n := 0
	for _, r := range list {
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return float64(n) > maxEjectedShare*float64(len(list))
}

// Candidates describes the runners of an upstream as Choose sees them.
func (t *Table) Candidates(req *Request, now time.Time) []Candidate {
	list := t.upstreams[req.Upstream]
	ignoreEjection := t.tooManyEjected(list, now)
	out := make([]Candidate, 0, len(list))
	for _, r := range list {
		c := Candidate{
			Name: r.Name, DataCentre: r.DataCentre, Load: r.load(now), InFlight: r.inFlight, ReportAgeMillis: -1,
			ExclusionReason: r.leftOut(req, scopeQueue, ignoreEjection, now),
		}
		if !r.reportedAt.IsZero() {
			c.ReportAgeMillis = now.Sub(r.reportedAt).Milliseconds()
		}
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// RunnerName returns a runner's name, or its address if it is not known any more.
func (t *Table) RunnerName(addr string) string {
	if r, ok := t.byAddr[addr]; ok {
		return r.Name
	}
	return addr
}
