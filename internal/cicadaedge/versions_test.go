package cicadaedge_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const streamEvents = 8

// addVersion adds a runner with a version of the software.
func (f *fleet) addVersion(version string, handler http.HandlerFunc) *runner {
	f.t.Helper()
	r := f.addRunner(handler)
	r.software = version
	f.putEntry(r, false)
	return r
}

// writeVersion writes events with ids in the half-open range [from, to), with the version as their data.
func writeVersion(w http.ResponseWriter, version string, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
		w.(http.Flusher).Flush()
	}
}

// serveVersion writes a whole stream, or what is left of it.
func serveVersion(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		from := 0
		_, _ = fmt.Sscan(req.Header.Get("X-After"), &from) // a new stream has none
		writeVersion(w, version, from+1, streamEvents)
	}
}

// breakVersion writes three events and closes the connection.
func breakVersion(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeVersion(w, version, 1, 4)
		abortConnection()
	}
}

// versionsOf returns the versions that wrote the events of a stream, in order.
func versionsOf(body string) []string {
	var out []string
	for _, line := range strings.Split(body, "\n") {
		if version, ok := strings.CutPrefix(line, "data: "); ok {
			out = append(out, version)
		}
	}
	return slices.Compact(out)
}

func TestBrokenStreamGoesOnAtAnotherSoftwareVersion(t *testing.T) {
	t.Parallel()
	pause := func(w http.ResponseWriter, req *http.Request) {
		writeVersion(w, "v1", 1, 4)
		select {
		case <-req.Context().Done():
		case <-time.After(2 * time.Second):
			writeVersion(w, "v1", 4, streamEvents)
		}
	}
	for _, tt := range []struct {
		name     string
		handler  http.HandlerFunc // of a runner of v1
		versions []string         // of the other runners
		broken   bool             // the streams that begin at the first runner end broken
	}{
		{name: "only the other version is left", handler: breakVersion("v1"), versions: []string{"v2", "v2"}, broken: true},
		{name: "its own version is left", handler: breakVersion("v1"), versions: []string{"v2", "v1"}},
		{name: "a runner without a version is left", handler: breakVersion("v1"), versions: []string{""}, broken: true},
		{name: "a silent runner goes on", handler: pause, versions: []string{"v2"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			first := f.addVersion("v1", nil)
			first.setHandler(func(w http.ResponseWriter, req *http.Request) {
				first.runs.Add(1)
				tt.handler(w, req)
			})
			for _, version := range tt.versions {
				f.addVersion(version, serveVersion(version))
			}
			n := f.waitReady(f.startNode("n1"))
			broken := false
			for i := 0; i < 100 && first.runs.Load() < 3; i++ {
				// Each prompt prefers another runner.
				got := call(t, n, "/resume/", map[string]string{"X-Tokens": "10,10", "X-Parts": fmt.Sprintf("shared%d,own", i)}, "")
				broken = broken || got.err != nil
				if versions := versionsOf(got.body); len(versions) != 1 {
					t.Errorf("stream %d has events of versions %q, error %v", i, versions, got.err)
				}
			}
			if diff := cmp.Diff(tt.broken, broken); diff != "" {
				t.Errorf("streams end broken (-want +got)\n%s", diff)
			}
			if first.runs.Load() == 0 {
				t.Error("no stream began at the first runner")
			}
		})
	}
}

// The id of a runner comes back with another version, and its address does not change.
func TestStreamGoesOnAtARunnerThatChangedItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	other := f.addVersion("v1", nil)
	release := make(chan struct{})
	first := f.addVersion("v1", func(w http.ResponseWriter, _ *http.Request) {
		writeVersion(w, "v1", 1, 4)
		<-release
		abortConnection()
	})
	other.setHandler(func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("X-After") == "" {
			refuseNotRun(w, req)
			return
		}
		serveVersion("v2")(w, req)
	})
	n := f.waitReady(f.startNode("n1"))
	done := make(chan response)
	go func() { done <- call(t, n, "/resume/", nil, "") }()
	eventually(t, "the stream has begun", func() bool { return first.lastRequest() != nil })
	other.software = "v2"
	f.putEntry(other, false)
	eventually(t, "the router knows the new version", func() bool {
		for _, r := range n.Runners() {
			if r.ID == other.id {
				return r.SoftwareVersion == "v2"
			}
		}
		return false
	})
	close(release)
	got := <-done
	if diff := cmp.Diff([]string{"v1"}, versionsOf(got.body)); diff != "" || got.err == nil {
		t.Errorf("versions in the stream (-want +got), error %v:\n%s", got.err, diff)
	}
}

// The runner that takes a stream up has restarted with another version under its id, before it answers.
func TestTakeUpGoesOnAtARunnerThatChangedItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.singleRun()
	answer := make(chan struct{})
	var r *runner
	r = f.addVersion("v1", func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("X-After") == "" {
			breakVersion("v1")(w, req)
		}
		r.runs.Add(1)
		<-answer
		serveVersion("v2")(w, req)
	})
	n := f.waitReady(f.startNode("n1"))
	stream := breakStreams(t, n, 1)[0]
	done := make(chan response)
	go func() { done <- stream.takeUp(t, n) }()
	eventually(t, "the runner has the request", func() bool { return r.runs.Load() > 0 })
	r.software = "v2"
	f.putEntry(r, false)
	eventually(t, "the router knows the new version", func() bool {
		runners := n.Runners()
		return len(runners) == 1 && runners[0].SoftwareVersion == "v2"
	})
	close(answer)
	if got := <-done; len(versionsOf(got.body)) > 0 {
		t.Errorf("the stream goes on at version %q, status %d", versionsOf(got.body), got.status)
	}
}
