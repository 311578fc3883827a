package cicadalimit

import (
	"slices"
	"time"
)

// Permit is a permit that a router asks its owner for, where it has no runner left that is
// open to it. A router with all the traffic can so use the whole of a rate. The owner
// alone decides; a permit whose grant is lost is lost.
type Permit struct {
	Runner      string `json:"runner"`
	StartMillis int64  `json:"born,omitempty"`
	// Rate is the one that the permit is counted in.
	Rate float64 `json:"rate"`
	// DueAt is when the permit fell due, by the shared clock.
	DueAt    time.Duration `json:"atNanos"`
	Service  string        `json:"service"`
	Priority int           `json:"priority"`
}

// key names the permit's runner.
func (u *Permit) key() Key { return Key{ID: u.Runner, StartMillis: u.StartMillis} }

func (u *Permit) class() Class { return Class{Service: u.Service, Priority: u.Priority} }

// PeerPermit returns the permit of a runner that fell due last, and the router that it belongs
// to. It returns false if the permit is this router's own, was returned before, or is not
// known.
func (l *Limits) PeerPermit(key Key, d Class, now time.Time) (Permit, string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	if r == nil {
		return Permit{}, "", false
	}
	rate, limited := r.rateNow()
	shared, ok := l.clock.SharedTime(now)
	if !limited || !ok || len(l.routers) == 0 {
		return Permit{}, "", false
	}
	permit := int64(shared.Seconds() * rate)
	at := permitTime(permit, rate)
	owner := l.owner(r.hash, permit)
	if at <= r.asked || owner.hash == l.self {
		return Permit{}, "", false
	}
	r.asked = at
	return Permit{Runner: key.ID, StartMillis: key.StartMillis, Rate: rate, DueAt: at, Service: d.Service, Priority: d.Priority}, owner.name, true
}

// GrantPermit gives a permit of this router's up to another one. It returns false if it is used
// or not this router's.
func (l *Limits) GrantPermit(u *Permit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[u.key()]
	if r == nil || !l.open(r, u.class(), now) || r.rate != u.Rate {
		return false
	}
	i := slices.Index(r.due, u.DueAt)
	if i < 0 {
		return false
	}
	r.due = slices.Delete(r.due, i, i+1)
	return true
}

// AcceptPermit takes a permit that its owner gave up.
func (l *Limits) AcceptPermit(u *Permit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[u.key()]
	shared, ok := l.clock.SharedTime(now)
	if r == nil || !ok {
		return
	}
	if rate, limited := r.rateNow(); limited {
		l.advance(r, rate, shared)
		r.due = append(r.due, u.DueAt)
		slices.Sort(r.due)
	}
}
