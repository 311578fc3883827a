package cicadaedge

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

type (
	// peer is a router as described by its row in the store.
	peer struct{ name, addr, dataCentre string }

	// peerSet is the set of the known routers.
	peerSet struct {
		self peer

		mu       sync.Mutex // guards the fields below
		seeds    []string
		byName   map[string]peer
		rankings map[string][]string // rankings of the current names, by key
	}
)

func newPeerSet(self peer, seeds []string) *peerSet {
	return &peerSet{self: self, seeds: seeds, byName: map[string]peer{}}
}

func (p *peerSet) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// update applies a router's row.
func (p *peerSet) update(name string, row *routerRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	updated := peer{name: name, addr: row.PeerAddr, dataCentre: row.DataCentre}
	if old, known := p.byName[name]; !known || old != updated {
		p.rankings, p.byName[name] = nil, updated
	}
}

// addUnreadable adds a router whose row cannot be read, if it is not known. It cannot be called, but has a
// share of what all routers use together.
func (p *peerSet) addUnreadable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.byName[name]; !known {
		p.rankings, p.byName[name] = nil, peer{name: name}
	}
}

// remove removes a router whose row was deleted.
func (p *peerSet) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rankings = nil
	delete(p.byName, name)
}

// names returns the names of all routers, this one included, in no particular order.
func (p *peerSet) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.namesLocked()
}

func (p *peerSet) namesLocked() []string {
	names := make([]string, 0, len(p.byName)+1)
	names = append(names, p.self.name)
	for name := range p.byName {
		if name != p.self.name {
			names = append(names, name)
		}
	}
	return names
}

// count returns the number of routers, this one included. It includes routers that ended without
// removing their rows, which makes this router's shares too small rather than too large.
func (p *peerSet) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.byName)
	if _, ok := p.byName[p.self.name]; !ok {
		n++
	}
	return n
}

// ranked returns the first names, at most limit, of a ranking of all routers for a key, this one
// included. All routers compute the same ranking. The caller must not modify the result.
func (p *peerSet) ranked(key string, limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if names, ok := p.rankings[key]; ok {
		return names
	}
	if p.rankings == nil {
		p.rankings = map[string][]string{}
	}
	names := cicadaplace.Rank(key, p.namesLocked())
	// A clone releases the full list: there may be many keys.
	p.rankings[key] = slices.Clone(names[:min(len(names), limit)])
	return p.rankings[key]
}

// addr returns the peer address of a router; empty if it is not known.
func (p *peerSet) addr(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name].addr
}

// viewPeers returns the addresses to poll for a view: some routers of this data centre and, at a
// few of its routers, one of another data centre. The others get the remote view from these few,
// so that the traffic between data centres does not grow with the number of routers.
func (p *peerSet) viewPeers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var local, remote []string
	for _, other := range p.byName {
		switch {
		case other.addr == p.self.addr || other.addr == "":
		case other.dataCentre == p.self.dataCentre:
			local = append(local, other.addr)
		default:
			remote = append(remote, other.addr)
		}
	}
	if len(local)+len(remote) == 0 {
		return p.otherSeeds()
	}
	routers := len(local) + 1
	out := sample(local, localPeersPerPoll)
	if rand.Float64()*float64(routers) < remotePollersPerCentre {
		out = append(out, sample(remote, 1)...)
	}
	return out
}

func (p *peerSet) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(p.seeds), func(addr string) bool { return addr == p.self.addr })
}

// sample returns at most n random elements of a list.
func sample[T any](list []T, n int) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
