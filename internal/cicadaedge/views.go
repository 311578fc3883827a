package cicadaedge

import (
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

// Tables of the routers in the store.
const (
	tablePools   = "pools"   // one row an organisation: a cicadabudget.Pool
	tableDraws   = "draws"   // one row a router: a cicadabudget.OwnRow
	tableRouters = "routers" // one row a router: a routerRow
	tableEras    = "eras"    // reports and settlement of each era
)

// routerRow tells other routers where to ask this one, and what it heard of limits.
type routerRow struct {
	Boot   string               `json:"boot"`
	Relay  string               `json:"relay"`
	Place  string               `json:"place,omitempty"` // data centre
	Limits []cicadalimit.Report `json:"limits,omitempty"`
}

// runnersNamed bounds the runners that a line on a changed view names of each kind.
const runnersNamed = 24

type (
	// viewChange is what a view of the runners changed in the one before.
	viewChange struct{ present, leaving, held, removed runnerList }

	// runnerList names runners, each with its address or the reason, and counts those
	// beyond runnersNamed.
	runnerList struct {
		named map[string]string
		count int
	}
)

func (l *runnerList) add(id, detail string) {
	if l.named == nil {
		l.named = map[string]string{}
	}
	l.count++
	if len(l.named) < runnersNamed {
		l.named[id] = detail
	}
}

// takeDeployment takes the newest configuration that can be read. An older one
// than that in force is ignored, whichever way it came.
func (rt *Router) takeDeployment(b cicadastore.ChangeBatch, _ bool, _ time.Time) {
	for i := range b.Changes {
		// The newest is the last. Those before it in a batch are never in force: to
		// read them costs a small host more than a change may take.
		c := &b.Changes[len(b.Changes)-1-i]
		if c.Key != rt.cfg.Sources.DeploymentKey || c.Deleted {
			continue
		}
		doc, err := rt.cfg.Sources.DecodeDeployment(c.Value)
		if err == nil {
			rt.enforce(doc, "store")
			return
		}
		rt.cfg.Metrics.Errors.Add("deploymentUnreadable", 1)
		rt.cfg.Log.WithError(err).Error("configuration cannot be read, the one in force stays")
	}
}

// enforce puts a configuration in force if it is newer than the present one.
func (rt *Router) enforce(doc *cicadadeploy.Document, from string) {
	rt.deployMu.Lock()
	defer rt.deployMu.Unlock()
	var before uint64
	if old := rt.deploy.Load(); old != nil {
		before = old.Version()
	}
	if doc.Version <= before {
		if doc.Version < before {
			rt.cfg.Log.WithField("version", doc.Version).WithField("inForce", before).Info("older configuration ignored")
		}
		return
	}
	snap, err := cicadadeploy.New(doc)
	if err != nil {
		rt.cfg.Metrics.Errors.Add("deploymentInvalid", 1)
		rt.cfg.Log.WithError(err).Error("configuration is not valid, the one in force stays")
		return
	}
	for i := range doc.Organisations {
		if o := &doc.Organisations[i]; o.Prepaid != nil {
			rt.accounts.Configure(o.Name, cicadabudget.Units(*o.Prepaid), doc.Version)
		}
	}
	rt.deploy.Store(snap)
	rt.cfg.Metrics.DeployVersion.Set(int64(doc.Version))
	rt.cfg.Log.WithField("version", doc.Version).WithField("before", before).WithField("from", from).
		WithField("routes", len(doc.Routes)).WithField("organisations", len(doc.Organisations)).Info("configuration in force")
	rt.bank.wake()
}

// takeRunners keeps the runners that their entries name.
func (rt *Router) takeRunners(b cicadastore.ChangeBatch, whole bool, now time.Time) {
	seen := map[string]bool{}
	var change viewChange
	for i := range b.Changes {
		c := &b.Changes[i]
		seen[c.Key] = !c.Deleted
		if c.Deleted {
			rt.noteRemoval(&change, rt.fleet.Remove(c.Key, now), "entry removed")
			continue
		}
		e, err := rt.cfg.Sources.DecodeRunner(c.Key, c.Value)
		if err != nil {
			rt.cfg.Metrics.Errors.Add("runnerUnreadable", 1)
			rt.cfg.Log.WithError(err).Warn("entry names no runner")
			rt.noteRemoval(&change, rt.fleet.Discard(c.Key, now), "entry unreadable")
			continue
		}
		if c := rt.applyRunner(&change, e, now); c.Stale() {
			rt.cfg.Log.WithField("runner", e.ID).WithField("seq", e.Seq).Info("entry of a runner is older than its last, ignored")
		}
	}
	if whole {
		rt.retainRunners(&change, seen, "entry is not there", now)
	}
	for _, r := range rt.fleet.RemoveExpired(now) {
		change.removed.add(r.ID(), "did not come back after the store's outage")
		rt.upstreams.forget(r)
	}
	rt.logRunners(&change, "store")
}

// applyRunner takes one runner's entry, from the store or from another router.
func (rt *Router) applyRunner(change *viewChange, e cicadaplace.Entry, now time.Time) cicadaplace.Change {
	c := rt.fleet.Apply(e, now)
	if c.Stale() {
		rt.cfg.Metrics.Errors.Add("runnerStale", 1)
	}
	if r := c.Removed(); r != nil {
		rt.upstreams.forget(r)
	}
	switch {
	case !c.Changed():
	case e.Draining:
		change.leaving.add(e.ID, e.Addr)
	default:
		change.present.add(e.ID, e.Addr)
	}
	return c
}

// retainRunners removes the runners that a whole view does not have.
func (rt *Router) retainRunners(change *viewChange, seen map[string]bool, why string, now time.Time) {
	for _, c := range rt.fleet.Retain(seen, now) {
		rt.noteRemoval(change, c, why)
	}
}

// noteRemoval notes what became of a runner without an entry.
func (rt *Router) noteRemoval(change *viewChange, c cicadaplace.Change, why string) {
	if c.Held() {
		change.held.add(c.ID(), why)
	}
	if r := c.Removed(); r != nil {
		change.removed.add(c.ID(), why)
		rt.upstreams.forget(r)
	}
}

// logRunners writes one line on what a view changed, if anything.
func (rt *Router) logRunners(change *viewChange, from string) {
	lists := log.Fields{}
	for name, list := range map[string]*runnerList{
		"present": &change.present, "leaving": &change.leaving, "held": &change.held, "removed": &change.removed,
	} {
		if list.count > 0 {
			lists[name], lists[name+"Count"] = list.named, list.count
		}
	}
	if len(lists) > 0 {
		rt.cfg.Log.WithFields(lists).WithField("from", from).WithField("inUse", rt.fleet.Len()).Info("runners changed")
	}
}

// takePools learns what all routers have drawn.
func (rt *Router) takePools(b cicadastore.ChangeBatch, whole bool, now time.Time) {
	present, earlier := false, false
	for i := range b.Changes {
		c := &b.Changes[i]
		if c.Deleted {
			continue
		}
		var p cicadabudget.Pool
		if err := json.Unmarshal(c.Value, &p); err != nil {
			rt.cfg.Log.WithField("organisation", c.Key).WithError(err).Error("pool cannot be read")
			continue
		}
		era, org := splitEraKey(c.Key)
		if era != b.Era {
			earlier = true
			rt.accounts.AddBackupRow(org, cicadabudget.PoolSnapshot{Era: era, Version: c.Version, Pool: p})
			continue
		}
		present = true
		rt.accounts.ObservePool(org, era, p, c.Version, now)
	}
	if whole {
		rt.eras.read(b.Era, present, earlier)
	}
	rt.accounts.ConfirmPools(b.Era, now)
	rt.bank.wake()
}

// takeRouters counts the routers, learns where they relay and what they heard of limits.
func (rt *Router) takeRouters(b cicadastore.ChangeBatch, _ bool, now time.Time) {
	for i := range b.Changes {
		c := &b.Changes[i]
		var row routerRow
		if err := json.Unmarshal(c.Value, &row); err != nil && !c.Deleted {
			rt.cfg.Log.WithField("router", c.Key).WithError(err).Error("row of a router cannot be read")
			row = routerRow{}
		}
		rt.peers.take(c.Key, &row)
		if c.Key != rt.cfg.Name {
			rt.learnLimits(c.Key, row.Limits, now)
		}
	}
	rt.limits.SetRouters(rt.cfg.Name, rt.peers.names())
	n := rt.peers.count()
	rt.accounts.SetRouters(n)
	rt.retries.SetRouters(n)
	rt.upstreams.setRouters(n)
	rt.bank.routers.Store(int64(n))
}
