package cicadalimit

import (
	"slices"
	"time"
)

// Permit identifies a permit that a router requests from its owner. A router does so if it has no usable
// permit for any of the remaining runners, so that one router with all the traffic can use the full
// rate. Only the owner decides. If its response is lost, the permit is lost.
type Permit struct {
	Runner      string `json:"runner"`
	StartMillis int64  `json:"born,omitempty"`
	// Rate is the quantised rate that determines the permits' due times.
	Rate float64 `json:"rate"`
	// DueAt is the shared time from which the permit may be used.
	DueAt    time.Duration `json:"atNanos"`
	Service  string        `json:"service"`
	Priority int           `json:"priority"`
}

func (p *Permit) key() Key { return Key{ID: p.Runner, StartMillis: p.StartMillis} }

func (p *Permit) class() Class { return Class{Service: p.Service, Priority: p.Priority} }

// PeerPermit returns the most recent due permit of a runner and the name of the router that owns it.
// It returns false if the runner has no limit, if this router owns the permit, if the permit was
// returned before, or if permits cannot be determined.
func (l *Limits) PeerPermit(key Key, class Class, now time.Time) (Permit, string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	if r == nil {
		return Permit{}, "", false
	}
	rate, limited := r.currentRate(now)
	shared, ok := l.clock.SharedTime(now)
	if !limited || !ok || len(l.routers) == 0 {
		return Permit{}, "", false
	}
	index := int64(shared.Seconds() * rate)
	dueAt := dueTime(index, rate)
	owner := l.owner(r.hash, index)
	if dueAt <= r.lastRequested || owner.hash == l.self {
		return Permit{}, "", false
	}
	r.lastRequested = dueAt
	return Permit{Runner: key.ID, StartMillis: key.StartMillis, Rate: rate, DueAt: dueAt, Service: class.Service, Priority: class.Priority}, owner.name, true
}

// GrantPermit gives a permit of this router to another one. It returns false if the permit is used
// up, reserved for more urgent callers or not owned by this router.
func (l *Limits) GrantPermit(p *Permit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[p.key()]
	if r == nil || !l.canSend(r, p.class(), now) || r.permitRate != p.Rate {
		return false
	}
	i := slices.Index(r.available, p.DueAt)
	if i < 0 {
		return false
	}
	r.available = slices.Delete(r.available, i, i+1)
	return true
}

// AcceptPermit adds a permit that its owner granted to this router.
func (l *Limits) AcceptPermit(p *Permit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[p.key()]
	shared, ok := l.clock.SharedTime(now)
	if r == nil || !ok {
		return
	}
	if rate, limited := r.currentRate(now); limited {
		l.collectPermits(r, rate, shared)
		r.available = append(r.available, p.DueAt)
		slices.Sort(r.available)
	}
}
