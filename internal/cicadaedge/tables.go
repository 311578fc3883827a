package cicadaedge

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

// Tables that the routers use in the store.
const (
	tablePools   = "pools"   // one row per organisation: cicadabudget.Pool
	tableDraws   = "draws"   // one row per router: cicadabudget.RouterRow
	tableRouters = "routers" // one row per router: routerRow
	tableEras    = "eras"    // reports and reconciliation of each era
)

// routerRow holds the peer address of a router and the rate limits that it received from runners.
type routerRow struct {
	BootID     string               `json:"boot"`
	PeerAddr   string               `json:"relay"`
	DataCentre string               `json:"place,omitempty"`
	Limits     []cicadalimit.Report `json:"limits,omitempty"`
}

// maxRunnersLogged bounds the runners listed for each kind of change in a log line.
const maxRunnersLogged = 24

type (
	// runnerChanges collects the changes that a new view of the runners brings.
	runnerChanges struct{ present, draining, held, removed runnerList }

	// runnerList lists up to maxRunnersLogged runners, each with its address or the reason for the
	// change, and counts all of them.
	runnerList struct {
		details map[string]string
		count   int
	}
)

func (l *runnerList) add(id, detail string) {
	if l.details == nil {
		l.details = map[string]string{}
	}
	l.count++
	if len(l.details) < maxRunnersLogged {
		l.details[id] = detail
	}
}

// applyOperatorRows applies the rows that the operator writes: the configuration and evacuations.
func (rt *Router) applyOperatorRows(b cicadastore.ChangeBatch, full bool, now time.Time) {
	rt.applyDeployment(b)
	rt.applyEvacuations(b, full, now)
}

// applyDeployment applies the newest configuration that can be decoded. A configuration older than
// the current one is ignored, whatever its source.
func (rt *Router) applyDeployment(b cicadastore.ChangeBatch) {
	for i := range b.Changes {
		// The newest configuration is the last one. Earlier ones in a batch are only used if it
		// cannot be decoded: decoding them all takes a small host longer than a change may take to
		// be applied.
		c := &b.Changes[len(b.Changes)-1-i]
		if c.Key != rt.cfg.Sources.DeploymentKey || c.Deleted {
			continue
		}
		doc, err := rt.cfg.Sources.DecodeDeployment(c.Value)
		if err == nil {
			rt.activate(doc, "store")
			return
		}
		rt.cfg.Metrics.Errors.Add("deploymentUnreadable", 1)
		rt.cfg.Log.WithError(err).Error("failed to decode the configuration; keeping the current one")
	}
}

// activate applies a configuration if it is newer than the current one.
func (rt *Router) activate(doc *cicadadeploy.Document, source string) {
	rt.deploymentMu.Lock()
	defer rt.deploymentMu.Unlock()
	var before uint64
	if old := rt.deployment.Load(); old != nil {
		before = old.Version()
	}
	if doc.Version <= before {
		if doc.Version < before {
			rt.cfg.Log.WithField("version", doc.Version).WithField("inForce", before).Info("older configuration ignored")
		}
		return
	}
	snapshot, err := cicadadeploy.New(doc)
	if err != nil {
		rt.cfg.Metrics.Errors.Add("deploymentInvalid", 1)
		rt.cfg.Log.WithError(err).Error("invalid configuration; keeping the current one")
		return
	}
	for i := range doc.Organisations {
		if o := &doc.Organisations[i]; o.Prepaid != nil {
			rt.accounts.Configure(o.Name, cicadabudget.Units(*o.Prepaid), doc.Version)
		}
	}
	rt.applyWarmups(doc)
	rt.applyEngines(doc)
	rt.deployment.Store(snapshot)
	rt.cfg.Metrics.DeployVersion.Set(int64(doc.Version))
	rt.cfg.Log.WithField("version", doc.Version).WithField("before", before).WithField("from", source).
		WithField("routes", len(doc.Routes)).WithField("organisations", len(doc.Organisations)).Info("configuration applied")
	rt.poolSyncer.wake()
	rt.versions.observe(time.Now())
}

// applyWarmups sets the rates at which runners may get requests while they warm up.
func (rt *Router) applyWarmups(doc *cicadadeploy.Document) {
	settings := rt.settings.Load()
	warmups := map[string]cicadaplace.Warmup{}
	for i := range doc.Services {
		s := &doc.Services[i]
		if s.WarmupRate <= 0 {
			continue
		}
		burst := s.WarmupRate*max(settings.WarmupExcess, 1) + settings.WarmupSlack
		warmups[s.Name] = cicadaplace.Warmup{Rate: min(s.WarmupRate, cicadalimit.RateForBurst(burst)), Period: s.WarmupPeriod}
	}
	rt.balancer.SetWarmups(warmups, time.Now())
}

// applyEngines sets the memory of the services' engines.
func (rt *Router) applyEngines(doc *cicadadeploy.Document) {
	engines := map[string]cicadaplace.Engine{}
	for i := range doc.Services {
		if s := &doc.Services[i]; s.Engine != nil {
			engines[s.Name] = cicadaplace.Engine{KVTokens: s.Engine.KVTokens}
		}
	}
	rt.balancer.SetEngines(engines)
}

// applyRunners applies changed runner entries from the store.
func (rt *Router) applyRunners(b cicadastore.ChangeBatch, full bool, now time.Time) {
	seen := map[string]bool{}
	var changes runnerChanges
	for i := range b.Changes {
		c := &b.Changes[i]
		seen[c.Key] = !c.Deleted
		if c.Deleted {
			delete(rt.unusableEntries, c.Key)
			rt.recordRemoval(&changes, rt.balancer.Remove(c.Key, now), "entry removed")
			continue
		}
		e, err := rt.cfg.Sources.DecodeRunner(c.Key, c.Value)
		if err != nil {
			rt.cfg.Metrics.Errors.Add("runnerUnreadable", 1)
			rt.recordUsability(c.Key, err)
			rt.recordRemoval(&changes, rt.balancer.Discard(c.Key, now), "entry cannot be decoded")
			continue
		}
		rt.recordUsability(c.Key, rt.checkService(&e))
		if c := rt.applyRunner(&changes, e, now); c.Stale() {
			rt.cfg.Log.WithField("runner", e.ID).WithField("seq", e.Seq).Info("runner entry ignored: it is older than the last one")
		}
	}
	if full {
		rt.removeMissingRunners(&changes, seen, "entry missing", now)
		maps.DeleteFunc(rt.unusableEntries, func(id, _ string) bool { return !seen[id] })
	}
	for _, r := range rt.balancer.RemoveExpired(now) {
		changes.removed.add(r.ID(), "entry not written again after the store outage")
		rt.transports.remove(r)
	}
	rt.logRunnerChanges(&changes, "store")
	rt.versions.observe(now)
}

// checkService returns an error if no request can reach the runner of an entry, because the configuration in
// force does not have its service. A later one may.
func (rt *Router) checkService(e *cicadaplace.Entry) error {
	d := rt.deployment.Load()
	if d == nil || d.Service(e.Service) != nil {
		return nil
	}
	routes := d.Document().Routes
	if slices.ContainsFunc(routes, func(r cicadadeploy.Route) bool {
		return slices.ContainsFunc(r.Targets, func(t cicadadeploy.Target) bool { return t.Service == e.Service })
	}) {
		return nil
	}
	return errors.Errorf("entry of runner %q: the configuration has no service %.40q", e.ID, e.Service)
}

// recordUsability logs why an entry names no usable runner, once until the reason changes: runners write
// their entries again every second or so.
func (rt *Router) recordUsability(id string, cause error) {
	if cause == nil {
		delete(rt.unusableEntries, id)
		return
	}
	if reason := cause.Error(); rt.unusableEntries[id] != reason {
		rt.unusableEntries[id] = reason
		rt.cfg.Log.WithField("runner", id).WithError(cause).Warn("entry names no usable runner")
	}
}

// applyRunner applies the entry of one runner, from the store or from another router.
func (rt *Router) applyRunner(changes *runnerChanges, e cicadaplace.Entry, now time.Time) cicadaplace.Change {
	c := rt.balancer.Apply(e, now)
	if c.Stale() {
		rt.cfg.Metrics.Errors.Add("runnerStale", 1)
	}
	for _, runner := range c.Ended() {
		rt.confirmCrash(runner, "entry of its successor")
	}
	if r := c.Renewed(); r != nil && rt.quarantine.HasBreaks() {
		rt.recordRenewal(r, now)
	}
	if r := c.Removed(); r != nil {
		rt.transports.remove(r)
	}
	switch {
	case !c.Changed():
	case e.Draining:
		changes.draining.add(e.ID, e.Addr)
	default:
		changes.present.add(e.ID, e.Addr)
		rt.breakTracker.runnerStarted()
	}
	return c
}

// removeMissingRunners removes the runners that are missing from a complete view.
func (rt *Router) removeMissingRunners(changes *runnerChanges, seen map[string]bool, reason string, now time.Time) {
	for _, c := range rt.balancer.Retain(seen, now) {
		rt.recordRemoval(changes, c, reason)
	}
}

// recordRemoval records the removal of a runner's entry.
func (rt *Router) recordRemoval(changes *runnerChanges, c cicadaplace.Change, reason string) {
	if c.Held() {
		changes.held.add(c.ID(), reason)
	}
	if r := c.Removed(); r != nil {
		changes.removed.add(c.ID(), reason)
		rt.transports.remove(r)
	}
}

// logRunnerChanges logs the changes of a view in one line, if there are any.
func (rt *Router) logRunnerChanges(changes *runnerChanges, source string) {
	lists := log.Fields{}
	for name, list := range map[string]*runnerList{
		"present": &changes.present, "leaving": &changes.draining, "held": &changes.held, "removed": &changes.removed,
	} {
		if list.count > 0 {
			lists[name], lists[name+"Count"] = list.details, list.count
		}
	}
	if len(lists) > 0 {
		rt.cfg.Log.WithFields(lists).WithField("from", source).WithField("inUse", rt.balancer.Len()).Info("runners changed")
	}
}

// applyPools applies changed pools.
func (rt *Router) applyPools(b cicadastore.ChangeBatch, full bool, now time.Time) {
	hasCurrent, hasEarlier := false, false
	for i := range b.Changes {
		c := &b.Changes[i]
		if c.Deleted {
			continue
		}
		var p cicadabudget.Pool
		if err := json.Unmarshal(c.Value, &p); err != nil {
			rt.cfg.Log.WithField("organisation", c.Key).WithError(err).Error("failed to decode a pool row")
			continue
		}
		era, org := splitEraKey(c.Key)
		if era != b.Era {
			hasEarlier = true
			rt.accounts.AddBackupRow(org, cicadabudget.PoolSnapshot{Era: era, Version: c.Version, Pool: p})
			continue
		}
		hasCurrent = true
		rt.accounts.ObservePool(org, era, p, c.Version, now)
	}
	if full {
		rt.eraTracker.recordPoolRead(b.Era, hasCurrent, hasEarlier)
	}
	rt.accounts.ConfirmPools(b.Era, now)
	rt.poolSyncer.wake()
}

// applyRouters applies changed router rows: the number of routers, their peer addresses and the
// rate limits that they report.
func (rt *Router) applyRouters(b cicadastore.ChangeBatch, _ bool, now time.Time) {
	for i := range b.Changes {
		c := &b.Changes[i]
		if c.Deleted {
			rt.peers.remove(c.Key)
			continue
		}
		var row routerRow
		err := json.Unmarshal(c.Value, &row)
		if err == nil && row.BootID == "" {
			err = errors.New("it has no boot id")
		}
		if err != nil {
			rt.cfg.Log.WithField("router", c.Key).WithError(err).Error("row of a router cannot be read")
			rt.peers.addUnreadable(c.Key)
			continue
		}
		rt.peers.update(c.Key, &row)
		if c.Key != rt.cfg.Name {
			rt.mergeLimitReports(c.Key, row.Limits, now)
		}
	}
	rt.limits.SetRouters(rt.cfg.Name, rt.peers.names())
	n := rt.peers.count()
	rt.accounts.SetRouters(n)
	rt.poolSyncer.routerCount.Store(int64(n))
	rt.shares.setFromTable(rt, n, now)
}
