// Package cicadamember joins what is known of the fleet's hosts: the
// platform's list, which lags, and the heartbeats of peers.
//
// Its word moves work from one host to another. It never frees budget: a host
// that is suspected may be alive and spending.
package cicadamember

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

// suspectAfter is the silence after which a neighbour is suspected.
const suspectAfter = 2 * time.Second

type (
	// Table is the joined view. It is not safe for concurrent use.
	Table struct {
		self  string
		hosts map[string]*entry
	}

	entry struct {
		host     cicadastore.Host
		leaving  bool // sticky for the incarnation
		lastBeat time.Time
		failedAt time.Time
	}

	// HostView is one host as this process sees it.
	HostView struct {
		cicadastore.Host
		Suspected bool `json:"suspected"`
	}
)

// NewTable returns an empty view of the process named self.
func NewTable(self string) *Table {
	return &Table{self: self, hosts: make(map[string]*entry)}
}

// ApplyHostList takes over the platform's list. An entry that is older than what is
// known, or that would bring a leaving host back, changes nothing.
func (t *Table) ApplyHostList(list []cicadastore.Host) {
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		listed[h.Name] = true
		e, ok := t.hosts[h.Name]
		if !ok || h.Incarnation > e.host.Incarnation {
			t.hosts[h.Name] = &entry{host: h, leaving: h.State == cicadastore.HostDraining}
			continue
		}
		if h.Incarnation < e.host.Incarnation {
			continue
		}
		e.leaving = e.leaving || h.State == cicadastore.HostDraining
		e.host = h
	}
	for name := range t.hosts {
		if !listed[name] && name != t.self {
			delete(t.hosts, name)
		}
	}
}

// RecordHeartbeat notes a heartbeat, sent or answered by a host.
func (t *Table) RecordHeartbeat(id cicadaledger.RouterID, leaving bool, now time.Time) {
	e, ok := t.hosts[id.Host]
	if !ok || e.host.Incarnation != id.Incarnation {
		return
	}
	e.lastBeat = now
	e.failedAt = time.Time{}
	e.leaving = e.leaving || leaving
}

// RecordFailure notes that a host did not answer.
func (t *Table) RecordFailure(host string, now time.Time) {
	if e, ok := t.hosts[host]; ok && e.failedAt.IsZero() {
		e.failedAt = now
	}
}

// HasEnded tells whether an incarnation's process is known to have ended: the
// platform says that the host is gone, or a later process runs on it.
func (t *Table) HasEnded(id cicadaledger.RouterID) bool {
	e, ok := t.hosts[id.Host]
	if !ok {
		return false
	}
	return e.host.Incarnation > id.Incarnation ||
		(e.host.Incarnation == id.Incarnation && e.host.State == cicadastore.HostEnded)
}

// IsHostEnded tells whether the platform calls the host at a peer address gone.
func (t *Table) IsHostEnded(peerAddr string) bool {
	for _, e := range t.hosts {
		if e.host.PeerAddr == peerAddr {
			return e.host.State == cicadastore.HostEnded
		}
	}
	return false
}

// Live lists the hosts that take work, by name.
func (t *Table) Live(now time.Time) []cicadastore.Host {
	return t.inState(cicadastore.HostLive, now)
}

// Draining lists the hosts that still run and take no new work, by name.
func (t *Table) Draining(now time.Time) []cicadastore.Host {
	return t.inState(cicadastore.HostDraining, now)
}

// inState lists the hosts in a state that are not suspected, by name.
func (t *Table) inState(state cicadastore.HostState, now time.Time) []cicadastore.Host {
	var out []cicadastore.Host
	for _, v := range t.Hosts(now) {
		if v.State == state && !v.Suspected {
			out = append(out, v.Host)
		}
	}
	return out
}

// Hosts lists every known host, by name.
func (t *Table) Hosts(now time.Time) []HostView {
	out := make([]HostView, 0, len(t.hosts))
	for _, e := range t.hosts {
		v := HostView{Host: e.host, Suspected: e.suspected(now)}
		if e.leaving && v.State == cicadastore.HostLive {
			v.State = cicadastore.HostDraining
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (e *entry) suspected(now time.Time) bool {
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) >= suspectAfter
}

// Neighbours returns up to n live hosts after self in the ring of names, to
// which self sends heartbeats. Every host is so watched by n others.
func (t *Table) Neighbours(n int, now time.Time) []cicadastore.Host {
	var ring []cicadastore.Host
	for _, v := range t.Hosts(now) {
		if v.State != cicadastore.HostEnded {
			ring = append(ring, v.Host)
		}
	}
	at := sort.Search(len(ring), func(i int) bool { return ring[i].Name > t.self })
	var out []cicadastore.Host
	for i := range ring {
		h := ring[(at+i)%len(ring)]
		if h.Name != t.self && len(out) < n {
			out = append(out, h)
		}
	}
	return out
}

// Rank orders hosts by rendezvous hashing for a partition: the first is its
// natural home, the next ones follow if that is away.
func Rank(hosts []cicadastore.Host, id cicadaledger.PartitionID) []cicadastore.Host {
	type weighted struct {
		host   cicadastore.Host
		weight uint64
	}
	key := "/" + id.Region + "/" + strconv.Itoa(id.Number)
	list := make([]weighted, 0, len(hosts))
	for _, h := range hosts {
		if h.Region == id.Region {
			list = append(list, weighted{host: h, weight: xxhash.Sum64String(h.Name + key)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].weight > list[j].weight })
	out := make([]cicadastore.Host, len(list))
	for i, w := range list {
		out[i] = w.host
	}
	return out
}
