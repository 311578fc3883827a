package cicadaedge_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/google/go-cmp/cmp"
)

// versionsRef is the row with the software versions of the service.
var versionsRef = cicadastore.Ref{Table: "versions", Key: "svc"}

// brokenStream is a stream that broke after three events.
type brokenStream struct{ id, version string }

// takeUp takes a stream up at a router, as its caller would.
func (s *brokenStream) takeUp(t *testing.T, n *node) response {
	t.Helper()
	return call(t, n, "/resume/", map[string]string{"X-Resumes": s.id, "X-After": "3", "X-Parts": s.id + ",own"}, "")
}

// checkGoesOn takes a stream up at a router, and checks that it goes on at its version to its end.
func (s *brokenStream) checkGoesOn(t *testing.T, n *node) {
	t.Helper()
	got := s.takeUp(t, n)
	if diff := cmp.Diff([]string{s.version}, versionsOf(got.body)); diff != "" || got.err != nil {
		t.Errorf("%s (-want +got), status %d, error %v:\n%s", s.id, got.status, got.err, diff)
	}
}

// breakStreams begins streams at a router, all of which break, and returns them.
func breakStreams(t *testing.T, n *node, count int) []brokenStream {
	t.Helper()
	var out []brokenStream
	for i := range count {
		id := fmt.Sprintf("%s-stream%d-%d", t.Name(), i, nextID.Add(1))
		// Each prompt prefers another runner.
		got := call(t, n, "/resume/", map[string]string{"X-Id": id, "X-Parts": id + ",own"}, "")
		versions := versionsOf(got.body)
		if got.err == nil || len(versions) != 1 {
			t.Fatalf("stream %d did not break: status %d, versions %q, error %v", i, got.status, versions, got.err)
		}
		out = append(out, brokenStream{id: id, version: versions[0]})
	}
	return out
}

// addBreakable adds a runner whose new streams break after three events, and that goes on with others.
func (f *fleet) addBreakable(version string) {
	f.t.Helper()
	f.addVersion(version, func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("X-After") == "" {
			breakVersion(version)(w, req)
		}
		serveVersion(version)(w, req)
	})
}

// singleRun lets each request of the resumable route run at one runner only.
func (f *fleet) singleRun() {
	f.t.Helper()
	for i := range f.doc.Routes {
		f.doc.Routes[i].MaxRunners = 1
	}
	f.doc.Version++
	f.publish()
}

// streamsWritten waits until the store tells where the streams began.
func (f *fleet) streamsWritten(streams []brokenStream) {
	f.t.Helper()
	eventually(f.t, "the streams are in the store", func() bool {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		bytes := 0
		for ref, row := range f.store.rows {
			if ref.Table == "streams" {
				bytes += len(row.Value)
			}
		}
		return bytes > 8*len(streams)
	})
	time.Sleep(400 * time.Millisecond) // the interval of the rows
}

func TestTakeUpGoesOnAtAnotherSoftwareVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.singleRun()
	for _, version := range []string{"v1", "v2", "v1", "v2"} {
		f.addBreakable(version)
	}
	nodes := []*node{f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))}
	for i, stream := range breakStreams(t, nodes[0], 20) {
		stream.checkGoesOn(t, nodes[i%2])
	}
}

// All routers are killed and come back, and the version of some streams has left or is about to.
func TestTakeUpAfterAllRoutersWereKilledJoinsTwoSoftwareVersions(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name         string
		gone         string // version whose runners leave while the routers are down
		beforeUpdate bool   // the routers are killed right after the streams have begun
	}{
		{name: "both versions serve"},
		{name: "the older version has left", gone: "v1"},
		{name: "the newer version has left", gone: "v2"},
		{name: "before the rows are written", gone: "v1", beforeUpdate: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.singleRun()
			for _, version := range []string{"v1", "v2", "v1", "v2"} {
				f.addBreakable(version)
			}
			first := f.waitReady(f.startNode("n1"))
			eventually(t, "the store tells the versions", func() bool { return strings.Contains(string(f.store.get(versionsRef).Value), "v2") })
			if tt.beforeUpdate {
				first.store.down.Store(true)
			}
			streams := breakStreams(t, first, 20)
			if !tt.beforeUpdate {
				f.streamsWritten(streams)
			}
			first.kill()
			f.runners = slices.DeleteFunc(f.runners, func(r *runner) bool {
				if r.software == tt.gone {
					f.store.removeRunner(r.id)
				}
				return r.software == tt.gone
			})
			n := f.waitReady(f.startNode("n1"))
			whole := 0
			for i, stream := range streams {
				got := stream.takeUp(t, n)
				if got.status == http.StatusServiceUnavailable {
					continue
				}
				whole++
				if diff := cmp.Diff([]string{stream.version}, versionsOf(got.body)); diff != "" {
					t.Errorf("stream %d goes on at another version (-want +got), status %d, error %v:\n%s", i, got.status, got.err, diff)
				}
			}
			want := 0
			for _, stream := range streams {
				if stream.version != tt.gone && !tt.beforeUpdate {
					want++
				}
			}
			if diff := cmp.Diff(want, whole); diff != "" {
				t.Errorf("streams that go on (-want +got)\n%s", diff)
			}
		})
	}
}

func TestTakeUpAtTheOnlySoftwareVersionNeedsNoRecord(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.singleRun()
	f.addBreakable("v1")
	f.addBreakable("v1")
	first := f.waitReady(f.startNode("n1", firstStart))
	eventually(t, "the store tells the versions", func() bool { return f.store.get(versionsRef).Version > 0 })
	streams := breakStreams(t, first, 10)
	first.kill()
	n := f.waitReady(f.startNode("n1"))
	for _, stream := range streams {
		stream.checkGoesOn(t, n)
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for ref := range f.store.rows {
		if ref.Table == "streams" {
			t.Errorf("row %s although there is one version", ref.Key)
		}
	}
}

func TestTakeUpThatCannotBeDecidedIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.doc.Organisations = append(f.doc.Organisations, cicadadeploy.Organisation{Name: "other", Keys: []string{"k2"}})
	f.singleRun()
	f.addBreakable("v1")
	f.addBreakable("v2")
	n := f.waitReady(f.startNode("n1"))
	stream := breakStreams(t, n, 1)[0]
	for name, header := range map[string]map[string]string{
		"unknown request":                 {"X-Resumes": "unknown", "X-After": "3"},
		"no request":                      {"X-After": "3"},
		"long id":                         {"X-Resumes": strings.Repeat("x", 8000), "X-After": "3"},
		"request of another organisation": {"X-Resumes": stream.id, "X-After": "3", "X-Key": "k2"},
		"last event of another request":   {"X-Resumes": stream.id + "1", "X-After": "3"},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			got := call(t, n, "/resume/", header, "")
			if got.status != http.StatusServiceUnavailable {
				t.Errorf("status %d, body %q", got.status, got.body)
			}
			if versions := versionsOf(got.body); len(versions) > 0 {
				t.Errorf("goes on at version %q", versions)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("refused after %s", took)
			}
		})
	}
	// A caller that has no event yet begins anew.
	got := call(t, n, "/resume/", map[string]string{"X-Resumes": "unknown"}, "")
	if diff := cmp.Diff(1, len(versionsOf(got.body))); diff != "" {
		t.Errorf("versions of a new stream (-want +got), status %d:\n%s", got.status, diff)
	}
}

// Another router wrote a view of the runners that was out of date, and ended.
func TestVersionInTheHistoryThatNoRunnerHasNeverLeaves(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addBreakable("v1")
	f.addBreakable("v2")
	f.waitReady(f.startNode("n1"))
	eventually(t, "the store tells the versions", func() bool { return strings.Contains(string(f.store.get(versionsRef).Value), "v2") })
	f.store.putRaw(versionsRef.Table, versionsRef.Key, []byte(`{"versions":[{"version":"v0"},{"version":"v1"},{"version":"v2"}]}`))
	eventually(t, "the version is written as gone", func() bool {
		return strings.Contains(string(f.store.get(versionsRef).Value), `{"version":"v0","goneMillis":`)
	})
}

// The caller of a long stream waits longer than those that the routes are made for.
func TestTakeUpOfALongStreamGoesOnAtTheNextSoftwareVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addVersion("v2", serveVersion("v2"))
	left := time.Now().Add(-70 * time.Second).UnixMilli()
	f.store.putRaw(versionsRef.Table, versionsRef.Key, fmt.Appendf(nil, `{"versions":[{"version":"v1","goneMillis":%d},{"version":"v2"}]}`, left))
	n := f.waitReady(f.startNode("n1"))
	for patience, want := range map[string]int{"5000": http.StatusOK, "90000": http.StatusServiceUnavailable} {
		got := call(t, n, "/resume/", map[string]string{"X-Resumes": "stream" + patience, "X-After": "3", "X-Patience": patience}, "")
		if diff := cmp.Diff(want, got.status); diff != "" {
			t.Errorf("caller that waits %s ms (-want +got)\n%s", patience, diff)
		}
	}
}

// A release replaces all runners of the version that began the stream. Coming back later is in vain.
func TestTakeUpWhoseSoftwareVersionLeavesIsToldToComeBack(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.singleRun()
	f.addBreakable("v1")
	n := f.waitReady(f.startNode("n1"))
	stream := breakStreams(t, n, 1)[0]
	f.addBreakable("v2")
	f.putEntry(f.runners[0], true)
	eventually(t, "the router knows that the first runner leaves", func() bool {
		return slices.ContainsFunc(n.Runners(), func(r cicadaplace.RunnerState) bool { return r.Draining }) && len(n.Runners()) == 2
	})
	got := stream.takeUp(t, n)
	if diff := cmp.Diff([]any{http.StatusServiceUnavailable, ""}, []any{got.status, got.header.Get("Retry-After")}); diff != "" {
		t.Errorf("status and Retry-After (-want +got)\n%s", diff)
	}
}

// Callers that do not name their stream take up different ones.
func TestTakeUpsOfUnnamedStreamsAreTakenForOneStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.singleRun()
	f.addBreakable("v1")
	n := f.waitReady(f.startNode("n1", firstStart))
	eventually(t, "the store tells the versions", func() bool { return f.store.get(versionsRef).Version > 0 })
	unnamed := map[string]string{"X-After": "3"}
	if got := call(t, n, "/resume/", unnamed, ""); len(versionsOf(got.body)) != 1 || got.err != nil {
		t.Errorf("take-up at the only version: status %d, error %v", got.status, got.err)
	}
	f.addBreakable("v2")
	f.waitReady(n)
	for range 3 {
		if diff := cmp.Diff(http.StatusServiceUnavailable, call(t, n, "/resume/", unnamed, "").status); diff != "" {
			t.Errorf("take-up with two versions (-want +got)\n%s", diff)
		}
	}
}

func TestTakeUpWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.singleRun()
	f.addBreakable("v1")
	f.addBreakable("v2")
	own, other := f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))
	streams := breakStreams(t, own, 10)
	own.store.down.Store(true)
	other.store.down.Store(true)
	for i, stream := range streams {
		stream.checkGoesOn(t, own)
		got := stream.takeUp(t, other)
		if diff := cmp.Diff(http.StatusServiceUnavailable, got.status); diff != "" || got.header.Get("Retry-After") == "" {
			t.Errorf("stream %d at another router (-want +got), Retry-After %q:\n%s", i, got.header.Get("Retry-After"), diff)
		}
	}
}

func TestTakeUpAfterTheStoreWasRestored(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.singleRun()
	f.store.takeBackup()
	for _, version := range []string{"v1", "v2", "v1", "v2"} {
		f.addBreakable(version)
	}
	first, other := f.waitReady(f.startNode("n1")), f.waitReady(f.startNode("n2"))
	streams := breakStreams(t, first, 20)
	f.streamsWritten(streams)
	f.store.restore()
	f.streamsWritten(streams)
	for _, stream := range streams {
		stream.checkGoesOn(t, other)
	}
}

// newSingleVersionFleet returns a fleet whose runners have one software version, with two routers that know
// it.
func newSingleVersionFleet(t *testing.T) (f *fleet, first, other *node) {
	t.Helper()
	f = newFleet(t)
	f.singleRun()
	f.addBreakable("v1")
	f.addBreakable("v1")
	first, other = f.waitReady(f.startNode("n1", firstStart)), f.waitReady(f.startNode("n2", firstStart))
	eventually(t, "the store tells the versions", func() bool { return f.store.get(versionsRef).Version > 0 })
	breakStreams(t, first, 1)[0].checkGoesOn(t, other)
	return f, first, other
}

// newCutFleet returns a fleet as of newSingleVersionFleet. The second router does not reach the store any
// more.
func newCutFleet(t *testing.T) (f *fleet, first, other *node) {
	t.Helper()
	f, first, other = newSingleVersionFleet(t)
	other.store.down.Store(true)
	return f, first, other
}

// replaceVersion lets runners of another software version join as all others drain.
func (f *fleet) replaceVersion(version string) {
	f.t.Helper()
	old := f.runners
	for range old {
		f.addBreakable(version)
	}
	for _, r := range old {
		f.putEntry(r, true)
	}
}

// takeUpUnjoined takes a stream up at a router, and checks that it goes on at its version, if at all.
func (s *brokenStream) takeUpUnjoined(t *testing.T, n *node) response {
	t.Helper()
	got := s.takeUp(t, n)
	if versions := versionsOf(got.body); len(versions) > 0 && versions[0] != s.version {
		t.Fatalf("%s of version %s goes on at %q, status %d, error %v", s.id, s.version, versions, got.status, got.err)
	}
	return got
}

// Another router has seen a new version, and this one does not reach the store.
func TestTakeUpGoesOnAtTheOldSoftwareVersionWhereTheNewOneIsNotKnown(t *testing.T) {
	t.Parallel()
	f, first, other := newCutFleet(t)
	f.addBreakable("v2")
	f.addBreakable("v2")
	f.waitReady(first)
	begun := map[string]int{}
	for end := time.Now().Add(2 * cicadaplace.VersionSettlingPeriod); time.Now().Before(end); {
		for _, stream := range breakStreams(t, first, 5) {
			begun[stream.version]++
			stream.takeUpUnjoined(t, other)
		}
	}
	if begun["v1"] == 0 || begun["v2"] == 0 {
		t.Errorf("streams that began, by version: %v", begun)
	}
}

// The old version's runners drain as those of the new one join, so that the new one is used at once, and
// another router does not reach the store.
func TestTakeUpGoesOnAtTheOldSoftwareVersionWhichLeavesAsTheNewOneJoins(t *testing.T) {
	t.Parallel()
	f, first, other := newCutFleet(t)
	f.replaceVersion("v2")
	begun, refused := 0, 0
	for end := time.Now().Add(2 * cicadaplace.VersionSettlingPeriod); time.Now().Before(end); {
		for _, stream := range breakStreams(t, first, 5) {
			if stream.version != "v2" {
				continue
			}
			begun++
			got := stream.takeUpUnjoined(t, other)
			if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" {
				refused++
			}
		}
	}
	if begun == 0 || refused != begun {
		t.Errorf("%d streams began at the new version, %d take-ups were told to come back", begun, refused)
	}
}

// A router uses a new software version at once, as the old one's runners drain. Another one has not read the
// runners' entries since, and the history in the store does not have the new version yet.
func TestTakeUpGoesOnAtTheOldSoftwareVersionBeforeTheNewOneIsRead(t *testing.T) {
	t.Parallel()
	f, first, other := newSingleVersionFleet(t)
	first.store.delay.Store(int64(2 * time.Second))
	other.store.feedsLate.Store(true)
	f.replaceVersion("v2")
	f.waitReady(first)
	begun := 0
	for _, stream := range breakStreams(t, first, 10) {
		if stream.version == "v2" {
			begun++
			stream.takeUpUnjoined(t, other)
		}
	}
	if begun == 0 {
		t.Error("no stream began at the new version")
	}
}

// As above, while the other router reads for a take-up of an earlier stream.
func TestTakeUpIsDecidedByAnEarlierRead(t *testing.T) {
	t.Parallel()
	f, first, other := newSingleVersionFleet(t)
	earlier := breakStreams(t, first, 1)[0]
	first.store.delay.Store(int64(2 * time.Second))
	other.store.feedsLate.Store(true)
	other.store.readDelay.Store(int64(time.Second))
	done := make(chan struct{})
	go func() {
		defer close(done)
		earlier.takeUp(t, other)
	}()
	time.Sleep(50 * time.Millisecond) // until it reads
	f.replaceVersion("v2")
	f.waitReady(first)
	for _, stream := range breakStreams(t, first, 3) {
		if stream.version != "v2" {
			t.Fatalf("%s began at %q", stream.id, stream.version)
		}
		stream.takeUpUnjoined(t, other)
	}
	<-done
}
