package cicadaplace

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
)

// An entry disappears from the store if its runner has left, but also if a store outage was so
// long that the runner could not renew it. The platform documents the period after an outage
// within which live runners write their entries again. During this hold period a runner without
// an entry stays in use. The period ends on time, whether or not the table is read then.

// minOutageHeartbeats is the shortest store outage, in heartbeat intervals, during which the entry
// of a live runner can expire. The platform removes an entry after three intervals, of which up to
// one and a half may have passed before the outage.
const minOutageHeartbeats = 1.5

const (
	// silentHeartbeats is the time, in heartbeat intervals, in which a live runner writes its entry. The platform
	// removes an entry after as many.
	silentHeartbeats = 3
	// expiryHeartbeats is less than that by the delay of reads. An entry that is removed sooner has not expired.
	expiryHeartbeats = 2
)

// Change is the effect of applying or removing an entry.
type Change struct {
	id      string
	removed *Runner
	changed bool
	held    bool
	stale   bool
	ended   []cicadalimit.Key
	renewed *Runner
}

// ID returns the id of the runner.
func (c *Change) ID() string { return c.id }

// Removed returns the runner that was removed or replaced, or nil.
func (c *Change) Removed() *Runner { return c.removed }

// Ended returns the runners that have ended without draining, as the entry shows: one has started again under
// the same id, or another one has its address.
func (c *Change) Ended() []cicadalimit.Key { return c.ended }

// Renewed returns the runner that has written its entry again since the last one was read, or nil.
func (c *Change) Renewed() *Runner { return c.renewed }

// Changed reports whether the runner was added, removed or replaced, or its draining or held
// state changed.
func (c *Change) Changed() bool { return c.changed }

// Held reports whether the runner stays in use without an entry until the hold period ends.
func (c *Change) Held() bool { return c.held }

// Stale reports whether the entry was ignored because a later one is known.
func (c *Change) Stale() bool { return c.stale }

// Remove handles the removal of a runner's entry from the store. The runner is removed at once,
// or held if the entry may have expired during a store outage.
func (b *Balancer) Remove(id string, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byID[id]
	switch {
	case r == nil:
		return Change{id: id}
	case r.entry.Draining || b.isExpired(r, now) || !b.holdClock(now).Before(b.holdUntil):
		b.removeLocked(r, now)
		return Change{id: id, removed: r, changed: true}
	case r.isHeld():
		return Change{id: id}
	default:
		r.heldUntil = b.holdUntil
		return Change{id: id, changed: true, held: true}
	}
}

// Discard removes a runner at once, without a hold, because its entry is invalid.
func (b *Balancer) Discard(id string, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byID[id]
	if r != nil {
		b.removeLocked(r, now)
	}
	return Change{id: id, removed: r, changed: r != nil}
}

// Retain calls Remove for all runners that are not in ids.
func (b *Balancer) Retain(ids map[string]bool, now time.Time) []Change {
	var out []Change
	for _, id := range b.ids() {
		if !ids[id] {
			out = append(out, b.Remove(id, now))
		}
	}
	return out
}

// StoreUnavailable records that the store has not responded since the given time.
func (b *Balancer) StoreUnavailable(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeDownSince = since
}

// StoreServed records that the store has served another router at the given time, during an outage at this
// one. Runners have written their entries until then, and entries that were removed have not expired.
func (b *Balancer) StoreServed(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.storeDownSince.IsZero() && at.After(b.storeDownSince) {
		b.storeDownSince = at
	}
}

// StoreRecovered records the end of a store outage. It starts a new hold period if the entry of a
// live runner can have expired during the outage. A shorter outage only extends a hold period
// that is in progress.
func (b *Balancer) StoreRecovered(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	outage := now.Sub(b.storeDownSince)
	mayExpire := outage >= time.Duration(minOutageHeartbeats*float64(b.cfg.HeartbeatInterval))
	b.holdUntil = b.holdUntil.Add(outage)
	if mayExpire {
		b.holdUntil = now.Add(b.cfg.HoldPeriod)
	}
	for _, r := range b.byID {
		switch {
		case !r.isHeld() || b.isExpired(r, now):
		case mayExpire:
			r.heldUntil = b.holdUntil
		default:
			r.heldUntil = r.heldUntil.Add(outage)
		}
	}
	b.storeDownSince = time.Time{}
}

// RemoveExpired removes and returns the held runners whose hold period has ended.
func (b *Balancer) RemoveExpired(now time.Time) []*Runner {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*Runner
	for id, d := range b.removed {
		if now.Sub(d.removedAt) >= removedEntryTTL {
			delete(b.removed, id)
		}
	}
	for _, r := range b.byID {
		if b.isExpired(r, now) {
			b.removeLocked(r, now)
			out = append(out, r)
		}
	}
	return out
}

// heldUntil returns the end of the hold of a relayed entry, or zero if the runner is not held.
func (e *Entry) heldUntil(now time.Time) time.Time {
	if e.HoldRemaining <= 0 {
		return time.Time{}
	}
	return now.Add(e.HoldRemaining)
}

func (r *Runner) isHeld() bool { return !r.heldUntil.IsZero() }

// holdClock returns the time that hold periods are measured with. It stops during a store outage,
// because no runner can write its entry then.
func (b *Balancer) holdClock(now time.Time) time.Time {
	if !b.storeDownSince.IsZero() {
		return b.storeDownSince
	}
	return now
}

// holdRemaining returns how much longer a runner is held.
func (b *Balancer) holdRemaining(r *Runner, now time.Time) time.Duration {
	return r.heldUntil.Sub(b.holdClock(now))
}

// isExpired reports whether the hold period of a held runner has ended.
func (b *Balancer) isExpired(r *Runner, now time.Time) bool {
	return r.isHeld() && b.holdRemaining(r, now) <= 0
}
