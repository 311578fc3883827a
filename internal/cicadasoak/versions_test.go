package cicadasoak_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// versionCaller reads one stream and takes it up again when it breaks.
type versionCaller struct {
	s        *soak
	first    string   // id of the request that brought the first event
	last     string   // id of the last event
	versions []string // that wrote the events, in order
	takenUp  bool     // a take-up has brought events
	refused  bool
	leaveAt  int // number of events after which the caller leaves; zero for never
}

// startVersionRunner starts a runner whose events tell the version of its software.
func (s *soak) startVersionRunner(id, version string) {
	r := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		after, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		if err != nil {
			after = 0 // a new stream
		}
		for n := after; n < longStreamEvents && req.Context().Err() == nil; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, version)
			w.(http.Flusher).Flush()
			time.Sleep(longStreamInterval)
		}
	}))
	s.t.Cleanup(r.CloseClientConnections)
	s.store.putRow("servers", id, map[string]any{
		"Service": "svc", "Address": r.Listener.Addr().String(), "Zone": "z", "Version": version, "Slots": 16, "State": "ready", "Seq": 1,
	})
}

// read sends a request and reads events until the stream ends. It reports whether it is whole.
func (c *versionCaller) read(r *router, id string) bool {
	req, err := http.NewRequestWithContext(c.s.t.Context(), http.MethodPost, "http://"+r.callerAddr+streaming.path(), http.NoBody)
	if err != nil {
		c.s.t.Error(err)
		return false
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "15000")
	req.Header.Set("Prompt-Prefix", id+":10,own"+id+":10") // each prompt prefers another runner
	if c.last != "" {
		req.Header.Set("Last-Event-Id", c.last)
		req.Header.Set("Resumes", c.first)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if c.refused = resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == ""; resp.StatusCode != http.StatusOK {
		return false
	}
	if c.last == "" {
		c.first = id
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			c.last = event
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			c.versions = append(c.versions, version)
			c.takenUp = c.takenUp || c.first != id
		}
		if c.leaveAt > 0 && lines.Text() == "" && len(c.versions) == c.leaveAt {
			return false
		}
	}
	return lines.Err() == nil && len(c.versions) == longStreamEvents
}

// All routers are killed while they forward streams of two software versions.
func TestKilledRoutersJoinStreamsOfTwoSoftwareVersions(t *testing.T) {
	const callers = 40
	binary := buildRouter(t)
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	s.putStreamConfig()
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		s.startVersionRunner(fmt.Sprint("i-", i), version)
	}
	dir := t.TempDir()
	for range 2 {
		s.addRouter(binary, dir)
	}
	for _, r := range s.routers {
		s.awaitStream(r)
	}
	list := make([]versionCaller, callers)
	var done sync.WaitGroup
	for i := range list {
		c := &list[i]
		c.s = s
		done.Go(func() {
			end := time.Now().Add(10 * time.Second)
			for try := 0; time.Now().Before(end) && !c.refused && !c.read(s.routers[(i+try)%2], fmt.Sprintf("c%d-%d", i, try)); try++ {
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(900 * time.Millisecond)
	var kills sync.WaitGroup
	for _, r := range s.routers {
		kills.Go(func() { s.restart(r, syscall.SIGKILL, 0) })
	}
	kills.Wait()
	done.Wait()
	wentOn := 0
	for i := range list {
		c := &list[i]
		if versions := slices.Compact(c.versions); len(versions) > 1 {
			t.Errorf("caller %d has events of %q", i, versions)
		}
		if c.takenUp {
			wentOn++
		}
	}
	if wentOn < callers/2 {
		t.Errorf("%d of %d streams went on", wentOn, callers)
	}
}

// A router stands still while runners of a new version join, and streams that began there are taken up at it.
func TestRouterThatStoodStillJoinsStreamsOfTwoSoftwareVersions(t *testing.T) {
	const callers = 20
	binary := buildRouter(t)
	for _, stop := range []time.Duration{3500 * time.Millisecond, 5 * time.Second} {
		t.Run(stop.String(), func(t *testing.T) {
			s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
			s.putStreamConfig()
			for _, id := range []string{"i-0", "i-1"} {
				s.startVersionRunner(id, "v1")
			}
			dir := t.TempDir()
			for range 2 {
				s.addRouter(binary, dir)
			}
			for _, r := range s.routers {
				s.awaitStream(r)
			}
			var done sync.WaitGroup
			done.Go(func() { s.freeze(s.routers[1], stop) })
			time.Sleep(100 * time.Millisecond)
			for _, id := range []string{"i-2", "i-3"} {
				s.startVersionRunner(id, "v2")
			}
			time.Sleep(stop - 400*time.Millisecond)
			list := make([]versionCaller, callers)
			for i := range list {
				c := &list[i]
				c.s, c.leaveAt = s, 3
				done.Go(func() {
					c.read(s.routers[0], fmt.Sprintf("c%d", i))
					c.leaveAt = 0
					c.read(s.routers[1], fmt.Sprintf("c%d-again", i))
				})
			}
			done.Wait()
			began := map[string]int{}
			for i := range list {
				versions := slices.Compact(slices.Clone(list[i].versions))
				if len(versions) != 1 {
					t.Errorf("caller %d has events of %q", i, versions)
					continue
				}
				began[versions[0]]++
			}
			t.Logf("streams by version: %v", began)
		})
	}
}
