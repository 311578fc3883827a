package cicadalimit

import (
	"slices"
	"time"
)

// Unit is a unit that a router asks its owner for, where it has no runner left that is
// open to it. A router with all the traffic can so use the whole of a rate. The owner
// alone decides; a unit whose grant is lost is lost.
type Unit struct {
	Runner string `json:"runner"`
	Born   int64  `json:"born,omitempty"`
	// Rate is the one that the unit is counted in.
	Rate float64 `json:"rate"`
	// At is when the unit fell due, by the shared clock.
	At       time.Duration `json:"at"`
	Service  string        `json:"service"`
	Priority int           `json:"priority"`
}

// key names the unit's runner.
func (u *Unit) key() Key { return Key{ID: u.Runner, Born: u.Born} }

func (u *Unit) demand() Demand { return Demand{Service: u.Service, Priority: u.Priority} }

// Foreign returns the unit of a runner that fell due last, and the router that it belongs
// to. It returns false if the unit is this router's own, was returned before, or is not
// known.
func (l *Limits) Foreign(key Key, d Demand, now time.Time) (Unit, string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[key]
	if r == nil {
		return Unit{}, "", false
	}
	rate, limited := r.rateNow()
	shared, ok := l.clock.Shared(now)
	if !limited || !ok || len(l.routers) == 0 {
		return Unit{}, "", false
	}
	unit := int64(shared.Seconds() * rate)
	at := unitTime(unit, rate)
	owner := l.owner(r.hash, unit)
	if at <= r.asked || owner.hash == l.self {
		return Unit{}, "", false
	}
	r.asked = at
	return Unit{Runner: key.ID, Born: key.Born, Rate: rate, At: at, Service: d.Service, Priority: d.Priority}, owner.name, true
}

// Yield gives a unit of this router's up to another one. It returns false if it is used
// or not this router's.
func (l *Limits) Yield(u *Unit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[u.key()]
	if r == nil || !l.open(r, u.demand(), now) || r.rate != u.Rate {
		return false
	}
	i := slices.Index(r.due, u.At)
	if i < 0 {
		return false
	}
	r.due = slices.Delete(r.due, i, i+1)
	return true
}

// Receive takes a unit that its owner gave up.
func (l *Limits) Receive(u *Unit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runners[u.key()]
	shared, ok := l.clock.Shared(now)
	if r == nil || !ok {
		return
	}
	if rate, limited := r.rateNow(); limited {
		l.advance(r, rate, shared)
		r.due = append(r.due, u.At)
		slices.Sort(r.due)
	}
}
