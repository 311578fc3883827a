package cicadaadmission_test

import (
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaadmission"
)

// The load below is that of one caller at a host of 10 Mbit/s beside hosts that are nearly idle. Its
// requests carry long prompts, which pass the link twice, from the caller and to the runner.
const (
	linkMbps       = 10.0
	linkBytes      = linkMbps * 1e6 / 8 // per second
	promptBytes    = 9_000
	objective      = 600 * time.Millisecond
	callerTimeout  = 5 * time.Second
	hostCount      = 4
	connCount      = 24
	checkInterval  = time.Second // of the platform
	missesToRemove = 2
)

var epoch = time.Unix(1_700_000_000, 0)

type (
	// host has a link that carries one request after the other.
	host struct {
		link   *cicadaadmission.Link
		freeAt time.Time // when the link has carried all requests so far
		misses int       // consecutive failed checks
	}

	// zone is a set of hosts and the connections of the busy caller to them.
	zone struct {
		hosts  []*host
		conns  []*host // by connection; nil if it has to be opened
		manage bool    // hosts send callers away
		count  int
		late   int
		most   time.Duration // longest time that a request took
	}
)

func newZone(manage bool) *zone {
	z := &zone{manage: manage, conns: make([]*host, connCount)}
	for range hostCount {
		z.hosts = append(z.hosts, &host{link: cicadaadmission.NewLink(linkMbps)})
	}
	return z
}

// assigned returns the host that the platform assigns to the caller: the first one in rotation.
func (z *zone) assigned() *host {
	for _, h := range z.hosts {
		if h.misses < missesToRemove {
			return h
		}
	}
	return z.hosts[0]
}

// check is the platform's readiness check.
func (z *zone) check(now time.Time) {
	for _, h := range z.hosts {
		if overloaded, _ := h.link.Overloaded(now); overloaded && z.manage {
			h.misses++
		} else {
			h.misses = 0
		}
	}
}

// send sends one request on a connection.
func (z *zone) send(conn int, now time.Time) {
	if z.conns[conn] == nil {
		z.conns[conn] = z.assigned()
	}
	h := z.conns[conn]
	if h.freeAt.Before(now) {
		h.freeAt = now
	}
	took := h.freeAt.Sub(now)
	z.count++
	if took < callerTimeout {
		took += time.Duration(promptBytes / linkBytes * float64(time.Second))
		h.freeAt = now.Add(took)
		h.link.RecordReceived(promptBytes, h.freeAt)
		h.link.RecordSent(promptBytes, h.freeAt)
	}
	if took > objective {
		z.late++
	}
	z.most = max(z.most, took)
	if h.link.Overloaded(now); !h.link.Keeps(uint64(conn)) && z.manage {
		z.conns[conn] = nil
	}
}

// simulate sends requests for 30 s at a rate that is the given multiple of what one link carries,
// and returns the share that missed the objective.
func (z *zone) simulate(multiple float64) float64 {
	every := time.Duration(float64(time.Second) * promptBytes / (multiple * linkBytes))
	nextCheck, end := epoch, epoch.Add(30*time.Second)
	for now, i := epoch, 0; now.Before(end); now, i = now.Add(every), i+1 {
		if !now.Before(nextCheck) {
			z.check(now)
			nextCheck = nextCheck.Add(checkInterval)
		}
		z.send(i%connCount, now)
	}
	return float64(z.late) / float64(z.count)
}

// TestBusyCallerIsSpreadOverHosts plays a caller with more traffic than the link of its host carries,
// and checks what share of its requests misses the objective, and how long the slowest one takes.
func TestBusyCallerIsSpreadOverHosts(t *testing.T) {
	for _, multiple := range []float64{1.3, 2} {
		pinned, spread := newZone(false), newZone(true)
		before, after := pinned.simulate(multiple), spread.simulate(multiple)
		if before < 0.5 {
			t.Errorf("%.1f times the link: only %.2f of the requests miss the objective on one host, so the load shows nothing", multiple, before)
		}
		if after > 0.2 || spread.most > callerTimeout {
			t.Errorf("%.1f times the link: %.2f of the requests miss the objective (%.2f on one host), the slowest takes %v", multiple, after, before, spread.most)
		}
	}
}

// TestUsualLoadMovesNobody checks that a host with a third of its bandwidth in use keeps its callers.
func TestUsualLoadMovesNobody(t *testing.T) {
	z := newZone(true)
	z.simulate(0.35)
	for i, h := range z.conns {
		if h != z.hosts[0] {
			t.Errorf("connection %d was moved", i)
		}
	}
}

// TestLinkRecovers checks the limits of an overload: it lasts for the time in which the platform
// notices it, and ends when the traffic has gone.
func TestLinkRecovers(t *testing.T) {
	link := cicadaadmission.NewLink(linkMbps)
	now := epoch
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		link.RecordSent(linkBytes/10, now)
	}
	if overloaded, changed := link.Overloaded(now); !overloaded || !changed {
		t.Fatalf("a full link is overloaded: %v, changed: %v; want true, true", overloaded, changed)
	}
	if overloaded, _ := link.Overloaded(now.Add(3 * time.Second)); !overloaded {
		t.Error("the overload ended before the platform can have noticed it")
	}
	if overloaded, changed := link.Overloaded(now.Add(5 * time.Second)); overloaded || !changed {
		t.Errorf("an idle link is overloaded: %v, changed: %v; want false, true", overloaded, changed)
	}
	unknown := cicadaadmission.NewLink(0)
	unknown.RecordReceived(1<<30, now)
	if overloaded, _ := unknown.Overloaded(now); overloaded {
		t.Error("a link without a known bandwidth is overloaded")
	}
}
