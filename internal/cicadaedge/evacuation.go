package cicadaedge

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

// evacuations are the data centres whose runners must get no requests. Streams that run there are
// not interrupted.
type evacuations struct {
	mu        sync.Mutex      // guards the fields below
	fromStore map[string]bool // as last read from the store
	// fromPeers is as received from other routers since then. A data centre stays evacuated until
	// the store itself shows the end.
	fromPeers map[string]bool
	current   map[string]bool // fromStore and fromPeers
}

// list returns the evacuated data centres in order.
func (e *evacuations) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.current))
}

// applyEvacuations applies changed evacuations from the store.
func (rt *Router) applyEvacuations(b cicadastore.ChangeBatch, full bool, now time.Time) {
	if rt.cfg.Sources.EvacuationPrefix == "" {
		return
	}
	e := &rt.evacuations
	rt.setEvacuated("store", now, func() {
		e.fromPeers = nil
		if full || e.fromStore == nil {
			e.fromStore = map[string]bool{}
		}
		for i := range b.Changes {
			c := &b.Changes[i]
			dataCentre, ok := strings.CutPrefix(c.Key, rt.cfg.Sources.EvacuationPrefix)
			switch {
			case !ok || dataCentre == "":
			case c.Deleted:
				delete(e.fromStore, dataCentre)
			default:
				if err := rt.cfg.Sources.DecodeEvacuation(c.Value); err != nil {
					rt.cfg.Metrics.Errors.Add("evacuationUnreadable", 1)
					rt.cfg.Log.WithField("dataCentre", dataCentre).WithError(err).Error("evacuation row ignored: failed to decode it")
					continue
				}
				e.fromStore[dataCentre] = true
			}
		}
	})
}

// applyPeerEvacuations adds the evacuations that another router knows.
func (rt *Router) applyPeerEvacuations(dataCentres []string, addr string) {
	e := &rt.evacuations
	rt.setEvacuated("peer "+addr, time.Now(), func() {
		added := maps.Clone(e.fromPeers)
		if added == nil {
			added = map[string]bool{}
		}
		for _, dataCentre := range dataCentres {
			added[dataCentre] = true
		}
		e.fromPeers = added
	})
}

// setEvacuated applies a change of the evacuations to the balancer and logs it.
func (rt *Router) setEvacuated(source string, now time.Time, change func()) {
	e := &rt.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	before := e.current
	e.current = map[string]bool{}
	maps.Copy(e.current, e.fromStore)
	maps.Copy(e.current, e.fromPeers)
	if maps.Equal(before, e.current) {
		return
	}
	// The lock is held, so that two sources cannot apply their changes in the wrong order.
	rt.balancer.SetEvacuated(e.current, now)
	rt.cfg.Metrics.Evacuated.Set(int64(len(e.current)))
	rt.cfg.Log.WithField("evacuated", slices.Sorted(maps.Keys(e.current))).WithField("from", source).
		WithField("inUse", rt.balancer.Len()).Info("evacuated data centres changed")
}
