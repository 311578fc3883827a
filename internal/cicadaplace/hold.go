package cicadaplace

import "time"

// A runner's entry vanishes if the runner has left, and also if the store was away for
// so long that the runner could not write it. The platform says within which time after
// an outage the second kind comes back. Until then such a runner is held: it is used as
// before, and not a moment longer, whenever the table is read next.

// leastSilence is the shortest outage of the store, in heartbeats, in which a living
// runner's entry can lapse: the platform removes entries after three, of which up to
// one and a half may have passed before the outage.
const leastSilence = 1.5

// Change is what an entry, or its removal, has changed.
type Change struct {
	id      string
	gone    *Runner
	changed bool
	held    bool
	stale   bool
}

// ID returns the id of the runner that is concerned.
func (c *Change) ID() string { return c.id }

// Removed returns the runner that is no longer in use, or nil.
func (c *Change) Removed() *Runner { return c.gone }

// Changed tells whether anything but the time of the entry changed.
func (c *Change) Changed() bool { return c.changed }

// Held tells that a runner is used on without an entry, until its time to come back
// is over.
func (c *Change) Held() bool { return c.held }

// Stale tells that an entry was ignored, as a later one is known.
func (c *Change) Stale() bool { return c.stale }

// Remove takes a runner's entry away: at once, or at the end of the time within
// which entries that lapsed in an outage of the store come back.
func (f *Balancer) Remove(id string, now time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.byID[id]
	switch {
	case r == nil:
		return Change{id: id}
	case r.entry.Draining || f.isExpired(r, now) || !f.holdTime(now).Before(f.holdUntil):
		f.drop(r, now)
		return Change{id: id, gone: r, changed: true}
	case r.isHeld():
		return Change{id: id}
	default:
		r.heldUntil = f.holdUntil
		return Change{id: id, changed: true, held: true}
	}
}

// Discard takes a runner's entry away at once, as one that names no runner.
func (f *Balancer) Discard(id string, now time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.byID[id]
	if r != nil {
		f.drop(r, now)
	}
	return Change{id: id, gone: r, changed: r != nil}
}

// Retain removes all runners that are not in ids, as Remove does.
func (f *Balancer) Retain(ids map[string]bool, now time.Time) []Change {
	var out []Change
	for _, id := range f.ids() {
		if !ids[id] {
			out = append(out, f.Remove(id, now))
		}
	}
	return out
}

// StoreUnavailable notes that the store has not answered since a time.
func (f *Balancer) StoreUnavailable(since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awayAt = since
}

// StoreRecovered notes that the store answers again. After an outage in which no living
// runner's entry can have lapsed, entries that are removed are gone.
func (f *Balancer) StoreRecovered(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	away := now.Sub(f.awayAt)
	mayLapse := away >= time.Duration(leastSilence*float64(f.cfg.HeartbeatInterval))
	f.holdUntil = f.holdUntil.Add(away)
	if mayLapse {
		f.holdUntil = now.Add(f.cfg.HoldPeriod)
	}
	for _, r := range f.byID {
		switch {
		case !r.isHeld() || f.isExpired(r, now):
		case mayLapse:
			r.heldUntil = f.holdUntil
		default:
			r.heldUntil = r.heldUntil.Add(away)
		}
	}
	f.awayAt = time.Time{}
}

// RemoveExpired removes the runners whose entries vanished in an outage and did not
// come back in time.
func (f *Balancer) RemoveExpired(now time.Time) []*Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Runner
	for id, d := range f.dropped {
		if now.Sub(d.at) >= droppedTime {
			delete(f.dropped, id)
		}
	}
	for _, r := range f.byID {
		if f.isExpired(r, now) {
			f.drop(r, now)
			out = append(out, r)
		}
	}
	return out
}

func (e *Entry) heldUntil(now time.Time) time.Time {
	if e.HoldRemaining <= 0 {
		return time.Time{}
	}
	return now.Add(e.HoldRemaining)
}

func (r *Runner) isHeld() bool { return !r.heldUntil.IsZero() }

// holdTime is the time by which runners are held. It stands still while the store
// is away: no entry can come back then.
func (f *Balancer) holdTime(now time.Time) time.Time {
	if !f.awayAt.IsZero() {
		return f.awayAt
	}
	return now
}

// holdLeft is how much longer a runner is held.
func (f *Balancer) holdLeft(r *Runner, now time.Time) time.Duration {
	return r.heldUntil.Sub(f.holdTime(now))
}

// isExpired tells whether a held runner's entry had its time to come back.
func (f *Balancer) isExpired(r *Runner, now time.Time) bool {
	return r.isHeld() && f.holdLeft(r, now) <= 0
}
