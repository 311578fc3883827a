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

func host(name string, incarnation uint64, state cicadastore.HostState) cicadastore.Host {
	return cicadastore.Host{Name: name, Region: "east", Incarnation: incarnation, State: state, PeerAddr: name}
}

func live(names ...string) []cicadastore.Host {
	out := make([]cicadastore.Host, len(names))
	for i, n := range names {
		out[i] = host(n, 1, cicadastore.HostLive)
	}
	return out
}

func names(hosts []cicadastore.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

func TestLeavingDoesNotComeBackForTheSameIncarnation(t *testing.T) {
	table := cicadamember.NewTable("a")
	table.ApplyHostList(live("a", "b"))
	table.RecordHeartbeat(cicadaledger.RouterID{Host: "b", Incarnation: 1}, true, start)
	table.ApplyHostList(live("a", "b")) // the list lags
	if diff := cmp.Diff([]string{"a"}, names(table.Live(start))); diff != "" {
		t.Errorf("live (-want +got)\n%s", diff)
	}
	table.ApplyHostList([]cicadastore.Host{host("a", 1, cicadastore.HostLive), host("b", 2, cicadastore.HostLive)})
	if diff := cmp.Diff([]string{"a", "b"}, names(table.Live(start))); diff != "" {
		t.Errorf("live with a new process (-want +got)\n%s", diff)
	}
}

func TestOlderEntryOfTheListChangesNothing(t *testing.T) {
	table := cicadamember.NewTable("a")
	table.ApplyHostList([]cicadastore.Host{host("b", 5, cicadastore.HostLive)})
	table.ApplyHostList([]cicadastore.Host{host("b", 4, cicadastore.HostEnded)})
	if diff := cmp.Diff([]string{"b"}, names(table.Live(start))); diff != "" {
		t.Errorf("live (-want +got)\n%s", diff)
	}
}

func TestEndedNeedsMoreThanSilence(t *testing.T) {
	table := cicadamember.NewTable("a")
	table.ApplyHostList(live("a", "b"))
	b := cicadaledger.RouterID{Host: "b", Incarnation: 1}
	table.RecordFailure("b", start)
	later := start.Add(time.Hour)
	got := []bool{len(table.Live(later)) == 1, table.HasEnded(b)}
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("suspected, ended after silence (-want +got)\n%s", diff)
	}
	table.RecordHeartbeat(b, false, later)
	if diff := cmp.Diff([]string{"a", "b"}, names(table.Live(later))); diff != "" {
		t.Errorf("live after it was heard (-want +got)\n%s", diff)
	}
	table.ApplyHostList([]cicadastore.Host{host("a", 1, cicadastore.HostLive), host("b", 1, cicadastore.HostEnded)})
	if !table.HasEnded(b) || !table.IsHostEnded("b") {
		t.Error("a host that the list calls gone has not ended")
	}
	table.ApplyHostList([]cicadastore.Host{host("a", 1, cicadastore.HostLive), host("b", 2, cicadastore.HostLive)})
	if !table.HasEnded(b) || table.HasEnded(cicadaledger.RouterID{Host: "b", Incarnation: 2}) {
		t.Error("a later process on the host does not end the earlier one")
	}
}

func TestEveryHostIsWatchedByTwo(t *testing.T) {
	all := live("a", "b", "c", "d", "e")
	watched := make(map[string]int)
	for _, h := range all {
		table := cicadamember.NewTable(h.Name)
		table.ApplyHostList(all)
		for _, n := range table.Neighbours(2, start) {
			watched[n.Name]++
		}
	}
	if diff := cmp.Diff(map[string]int{"a": 2, "b": 2, "c": 2, "d": 2, "e": 2}, watched); diff != "" {
		t.Errorf("watchers (-want +got)\n%s", diff)
	}
}

// TestRankMovesFewPartitions removes one of ten hosts: only its partitions get
// another first host, and they spread.
func TestRankMovesFewPartitions(t *testing.T) {
	var all []cicadastore.Host
	for i := range 10 {
		all = append(all, host(fmt.Sprint("host-", i), 1, cicadastore.HostLive))
	}
	moved, heirs := 0, make(map[string]int)
	for n := range cicadaledger.PartitionCount {
		id := cicadaledger.PartitionID{Region: "east", Number: n}
		before := cicadamember.Rank(all, id)[0].Name
		after := cicadamember.Rank(all[1:], id)[0].Name
		if before != after {
			moved++
			heirs[after]++
			if before != "host-0" {
				t.Fatalf("partition %d moved from %s, which stayed", n, before)
			}
		}
	}
	if moved < 25 || moved > 90 || len(heirs) < 7 {
		t.Errorf("%d of %d partitions moved, to %d hosts", moved, cicadaledger.PartitionCount, len(heirs))
	}
	if got := cicadamember.Rank(all, cicadaledger.PartitionID{Region: "west"}); len(got) != 0 {
		t.Errorf("hosts of another region: %v", names(got))
	}
}
