package cicadamember_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadamember"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newHost(name string, incarnation uint64, state cicadastore.HostState) cicadastore.Host {
	return cicadastore.Host{Name: name, Region: "east", Incarnation: incarnation, State: state, PeerAddr: name}
}

func newLiveHosts(names ...string) []cicadastore.Host {
	out := make([]cicadastore.Host, len(names))
	for i, n := range names {
		out[i] = newHost(n, 1, cicadastore.HostLive)
	}
	return out
}

func hostNames(hosts []cicadastore.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

func TestDrainingIsPermanentForAnIncarnation(t *testing.T) {
	table := cicadamember.NewTable("a")
	table.ApplyHostList(newLiveHosts("a", "b"))
	table.RecordHeartbeat(cicadaledger.RouterID{Host: "b", Incarnation: 1}, true, start)
	table.ApplyHostList(newLiveHosts("a", "b")) // the host list lags behind
	if diff := cmp.Diff([]string{"a"}, hostNames(table.Live(start))); diff != "" {
		t.Errorf("live hosts after a draining heartbeat (-want +got)\n%s", diff)
	}
	table.ApplyHostList([]cicadastore.Host{newHost("a", 1, cicadastore.HostLive), newHost("b", 2, cicadastore.HostLive)})
	if diff := cmp.Diff([]string{"a", "b"}, hostNames(table.Live(start))); diff != "" {
		t.Errorf("live hosts with a new incarnation (-want +got)\n%s", diff)
	}
}

func TestOlderIncarnationInHostListIsIgnored(t *testing.T) {
	table := cicadamember.NewTable("a")
	table.ApplyHostList([]cicadastore.Host{newHost("b", 5, cicadastore.HostLive)})
	table.ApplyHostList([]cicadastore.Host{newHost("b", 4, cicadastore.HostEnded)})
	if diff := cmp.Diff([]string{"b"}, hostNames(table.Live(start))); diff != "" {
		t.Errorf("live hosts (-want +got)\n%s", diff)
	}
}

func TestSuspectedHostHasNotEnded(t *testing.T) {
	table := cicadamember.NewTable("a")
	table.ApplyHostList(newLiveHosts("a", "b"))
	b := cicadaledger.RouterID{Host: "b", Incarnation: 1}
	table.RecordFailure("b", start)
	later := start.Add(time.Hour)
	got := []bool{len(table.Live(later)) == 1, table.HasEnded(b)}
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("suspected, ended after failed heartbeats (-want +got)\n%s", diff)
	}
	table.RecordHeartbeat(b, false, later)
	if diff := cmp.Diff([]string{"a", "b"}, hostNames(table.Live(later))); diff != "" {
		t.Errorf("live hosts after a heartbeat (-want +got)\n%s", diff)
	}
	table.ApplyHostList([]cicadastore.Host{newHost("a", 1, cicadastore.HostLive), newHost("b", 1, cicadastore.HostEnded)})
	if !table.HasEnded(b) || !table.IsHostEnded("b") {
		t.Error("HasEnded or IsHostEnded is false for a host that the list reports as ended")
	}
	table.ApplyHostList([]cicadastore.Host{newHost("a", 1, cicadastore.HostLive), newHost("b", 2, cicadastore.HostLive)})
	if !table.HasEnded(b) || table.HasEnded(cicadaledger.RouterID{Host: "b", Incarnation: 2}) {
		t.Error("want incarnation 1 ended and incarnation 2 not ended after the host restarted")
	}
}

func TestEveryHostGetsHeartbeatsFromTwoHosts(t *testing.T) {
	all := newLiveHosts("a", "b", "c", "d", "e")
	senders := make(map[string]int)
	for _, h := range all {
		table := cicadamember.NewTable(h.Name)
		table.ApplyHostList(all)
		for _, n := range table.Neighbours(2, start) {
			senders[n.Name]++
		}
	}
	if diff := cmp.Diff(map[string]int{"a": 2, "b": 2, "c": 2, "d": 2, "e": 2}, senders); diff != "" {
		t.Errorf("heartbeat senders per host (-want +got)\n%s", diff)
	}
}

// TestRankMovesFewPartitions checks that removing one of ten hosts changes the
// first host of that host's partitions only, and spreads them over the others.
func TestRankMovesFewPartitions(t *testing.T) {
	var all []cicadastore.Host
	for i := range 10 {
		all = append(all, newHost(fmt.Sprint("host-", i), 1, cicadastore.HostLive))
	}
	moved, newHomes := 0, make(map[string]int)
	for n := range cicadaledger.PartitionCount {
		id := cicadaledger.PartitionID{Region: "east", Number: n}
		before := cicadamember.Rank(all, id)[0].Name
		after := cicadamember.Rank(all[1:], id)[0].Name
		if before != after {
			moved++
			newHomes[after]++
			if before != "host-0" {
				t.Fatalf("partition %d moved from host %s, which was not removed", n, before)
			}
		}
	}
	if moved < 25 || moved > 90 || len(newHomes) < 7 {
		t.Errorf("%d of %d partitions moved to %d hosts, want 25 to 90 moved to at least 7 hosts", moved, cicadaledger.PartitionCount, len(newHomes))
	}
	if got := cicadamember.Rank(all, cicadaledger.PartitionID{Region: "west"}); len(got) != 0 {
		t.Errorf("ranked hosts of another region: %v", hostNames(got))
	}
}
