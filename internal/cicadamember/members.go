// Package cicadamember merges the platform's host list, which may lag behind, with
// the heartbeats of peers into one membership table.
//
// The table decides which hosts get work. It must not be used to release budget
// units of a suspected host, because that host may be alive and spending them.
package cicadamember

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

// suspectTimeout is how long heartbeats to a neighbour must fail before it is suspected.
const suspectTimeout = 2 * time.Second

type (
	// Table is the merged membership. It is not safe for concurrent use.
	Table struct {
		self  string
		hosts map[string]*entry
	}

	entry struct {
		host          cicadastore.Host
		draining      bool // never reset for the same incarnation
		lastHeartbeat time.Time
		failingSince  time.Time
	}

	// HostView is a host as seen by this process.
	HostView struct {
		cicadastore.Host
		Suspected bool `json:"suspected"`
	}
)

// NewTable returns an empty table for the host named self.
func NewTable(self string) *Table {
	return &Table{self: self, hosts: make(map[string]*entry)}
}

// ApplyHostList merges the platform's host list and removes other hosts that are no
// longer in it. Entries with an older incarnation are ignored, and a draining
// incarnation stays draining.
func (t *Table) ApplyHostList(list []cicadastore.Host) {
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		listed[h.Name] = true
		e, ok := t.hosts[h.Name]
		if !ok || h.Incarnation > e.host.Incarnation {
			t.hosts[h.Name] = &entry{host: h, draining: h.State == cicadastore.HostDraining}
			continue
		}
		if h.Incarnation < e.host.Incarnation {
			continue
		}
		e.draining = e.draining || h.State == cicadastore.HostDraining
		e.host = h
	}
	for name := range t.hosts {
		if !listed[name] && name != t.self {
			delete(t.hosts, name)
		}
	}
}

// RecordHeartbeat records a heartbeat, or the reply to one, from a host.
func (t *Table) RecordHeartbeat(id cicadaledger.RouterID, draining bool, now time.Time) {
	e, ok := t.hosts[id.Host]
	if !ok || e.host.Incarnation != id.Incarnation {
		return
	}
	e.lastHeartbeat = now
	e.failingSince = time.Time{}
	e.draining = e.draining || draining
}

// RecordFailure records that a host did not reply to a heartbeat.
func (t *Table) RecordFailure(host string, now time.Time) {
	if e, ok := t.hosts[host]; ok && e.failingSince.IsZero() {
		e.failingSince = now
	}
}

// HasEnded reports whether a process is known to have ended: the platform reports
// its host as ended, or a later incarnation runs on the host.
func (t *Table) HasEnded(id cicadaledger.RouterID) bool {
	e, ok := t.hosts[id.Host]
	if !ok {
		return false
	}
	return e.host.Incarnation > id.Incarnation ||
		(e.host.Incarnation == id.Incarnation && e.host.State == cicadastore.HostEnded)
}

// IsHostEnded reports whether the platform reports the host at peerAddr as ended.
func (t *Table) IsHostEnded(peerAddr string) bool {
	for _, e := range t.hosts {
		if e.host.PeerAddr == peerAddr {
			return e.host.State == cicadastore.HostEnded
		}
	}
	return false
}

// Live returns the live hosts that are not suspected, sorted by name.
func (t *Table) Live(now time.Time) []cicadastore.Host {
	return t.hostsInState(cicadastore.HostLive, now)
}

// Draining returns the draining hosts that are not suspected, sorted by name. They
// still run but take no new requests.
func (t *Table) Draining(now time.Time) []cicadastore.Host {
	return t.hostsInState(cicadastore.HostDraining, now)
}

func (t *Table) hostsInState(state cicadastore.HostState, now time.Time) []cicadastore.Host {
	var out []cicadastore.Host
	for _, v := range t.Hosts(now) {
		if v.State == state && !v.Suspected {
			out = append(out, v.Host)
		}
	}
	return out
}

// Hosts returns every known host, sorted by name.
func (t *Table) Hosts(now time.Time) []HostView {
	out := make([]HostView, 0, len(t.hosts))
	for _, e := range t.hosts {
		v := HostView{Host: e.host, Suspected: e.suspected(now)}
		if e.draining && v.State == cicadastore.HostLive {
			v.State = cicadastore.HostDraining
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (e *entry) suspected(now time.Time) bool {
	return !e.failingSince.IsZero() && now.Sub(e.failingSince) >= suspectTimeout
}

// Neighbours returns up to n hosts that follow self in the ring of host names and
// have not ended. Each host sends heartbeats to its neighbours, so that every host
// gets heartbeats from n others.
func (t *Table) Neighbours(n int, now time.Time) []cicadastore.Host {
	var ring []cicadastore.Host
	for _, v := range t.Hosts(now) {
		if v.State != cicadastore.HostEnded {
			ring = append(ring, v.Host)
		}
	}
	next := sort.Search(len(ring), func(i int) bool { return ring[i].Name > t.self })
	var out []cicadastore.Host
	for i := range ring {
		h := ring[(next+i)%len(ring)]
		if h.Name != t.self && len(out) < n {
			out = append(out, h)
		}
	}
	return out
}

// Rank orders the hosts of the partition's region by rendezvous hashing. The first
// is the preferred home, the others are the fallbacks in order.
func Rank(hosts []cicadastore.Host, id cicadaledger.PartitionID) []cicadastore.Host {
	type rankedHost struct {
		host   cicadastore.Host
		weight uint64
	}
	key := "/" + id.Region + "/" + strconv.Itoa(id.Number)
	list := make([]rankedHost, 0, len(hosts))
	for _, h := range hosts {
		if h.Region == id.Region {
			list = append(list, rankedHost{host: h, weight: xxhash.Sum64String(h.Name + key)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].weight > list[j].weight })
	out := make([]cicadastore.Host, len(list))
	for i, w := range list {
		out[i] = w.host
	}
	return out
}
