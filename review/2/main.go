// Command 2 shows that streams are joined from two software versions: runners crash and start again under
// the ids that they had, with a newer version, and get take-ups before their new entries are read.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/review/cicadareview"
)

const (
	events        = 60
	stride        = 3 // output tokens in an event
	promptTokens  = 9190
	eventInterval = 50 * time.Millisecond
	deadline      = 6 * time.Second
	streams       = 40
	runners       = 2
	// plainRunners is the number of runners of another service, which get no requests here. Their entries
	// change as well.
	plainRunners = 12
	// crashAfter is the time from the begin of the streams to the crash, downTime that until the runners are
	// back.
	crashAfter = 800 * time.Millisecond
	downTime   = 1500 * time.Millisecond
	// allowed is the number of streams that may hold events of two versions.
	allowed = 2
	apiKey  = "key-of-the-tenant"
	zone    = "sala-norte"
)

// retryDelays are the times that callers wait before their tries after the first one, on average. Each
// waits from half of it to one and a half.
var retryDelays = []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond}

// serve returns the handler of an engine with a version of the software. It goes on after Last-Event-Id.
func serve(c *cicadareview.Case, version string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		last := 0
		if after := r.Header.Get("Last-Event-Id"); after != "" {
			if _, err := fmt.Sscan(after, &last); err != nil {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
		}
		c.Add("an engine of %s runs %s after event %d", version, id, last)
		w.Header().Set("Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			select {
			case <-time.After(eventInterval):
			case <-r.Context().Done():
				return
			}
		}
	}
}

func deployment() *cicadareview.Deployment {
	return &cicadareview.Deployment{
		Version: 1,
		Routes: []cicadareview.Route{{
			Name: "dispute-review", Host: cicadareview.Host, Prefix: "/dispute/", Kind: "streaming", Service: "cicada-pool", DeadlineMs: 6000,
			LatencyTargetMs: 800, GapTargetMs: 400, MaxAttempts: 2, Affinity: true, CanResume: true,
		}},
		Services: []cicadareview.Service{{
			Name: "cicada-pool", HealthPath: "/health", MaxConns: 370, Engine: &cicadareview.Engine{Slots: 64, KvCapacity: 534_721, Stride: stride},
		}},
		Limits:  cicadareview.StandardLimits(),
		Tenants: []cicadareview.Tenant{{Name: "canton", ApiKeys: []string{apiKey}, Prepaid: 4_000_000}},
	}
}

// fleet is what the case starts.
type fleet struct {
	c       *cicadareview.Case
	store   *cicadareview.Store
	runners []*cicadareview.Runner
	routers []*cicadareview.Router
}

// startRunners starts the runners with a version of the software, at the addresses that they had.
func (f *fleet) startRunners(version string) error {
	before := f.runners
	f.runners = nil
	for i := range runners {
		cfg := &cicadareview.RunnerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: "cicada-pool", Zone: zone, Slots: 64, Version: version, StartedAt: time.Now(), Serve: serve(f.c, version),
		}
		if before != nil {
			cfg.Addr = before[i].Addr()
		}
		r, err := cicadareview.StartRunner(f.store, cfg)
		if err != nil {
			return err
		}
		f.runners = append(f.runners, r)
	}
	f.c.Add("the runners serve with %s", version)
	return nil
}

func start(c *cicadareview.Case) (*fleet, error) {
	store, err := cicadareview.NewStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{c: c, store: store}
	if err := store.Put("op", "config", deployment()); err != nil {
		return nil, err
	}
	if err := f.startRunners("v1"); err != nil {
		return nil, err
	}
	for i := range plainRunners {
		plain := &cicadareview.RunnerConfig{ID: fmt.Sprintf("p-%d", i), Service: "ventanilla", Zone: zone, Slots: 6}
		if _, err := cicadareview.StartRunner(store, plain); err != nil {
			return nil, err
		}
		time.Sleep(time.Second / plainRunners)
	}
	for _, name := range []string{"edge-1", "edge-2"} {
		r, err := c.StartRouter(name, &cicadareview.RouterConfig{Zone: zone, StoreAddr: store.Addr(), MemoryMB: 284})
		if err != nil {
			return nil, err
		}
		f.routers = append(f.routers, r)
	}
	return f, c.AwaitReady()
}

// stream has a caller get a stream, with the tries that it has, and returns all that it got.
func (f *fleet) stream(n int) string {
	first := fmt.Sprintf("d%04x", n)
	text := ""
	end := time.Now().Add(deadline)
	for try := 0; ; try++ {
		left := time.Until(end)
		call := &cicadareview.Call{
			ID: fmt.Sprintf("%s%03x", first, try), Method: http.MethodPost, Path: "/dispute/1", Key: apiKey, Body: []byte("prompt"), Deadline: left,
			Headers: map[string]string{
				"Model": "m", "Token-Count": fmt.Sprintf("%d,%d", promptTokens, events*stride), "Deadline-Ms": fmt.Sprint(left.Milliseconds()),
				"Prompt-Prefix": "5c1e07a2:6300," + first + ":2890",
			},
		}
		if got := strings.Count(text, "\n\n"); got > 0 {
			call.Headers["Last-Event-Id"] = fmt.Sprint(got)
			call.Headers["Resumes"] = first + "000"
		}
		// Retries reach other machines.
		a := f.c.Do(f.routers[try%len(f.routers)], call)
		if a.Status == http.StatusOK {
			text += a.Body[:strings.LastIndex(a.Body, "\n\n")+2*min(strings.Count(a.Body, "\n\n"), 1)]
		}
		if a.Status == http.StatusOK && a.Complete || try == len(retryDelays) {
			return text
		}
		time.Sleep(retryDelays[try]/2 + rand.N(retryDelays[try]))
	}
}

func run(c *cicadareview.Case) (bool, error) {
	f, err := start(c)
	if err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var texts [streams]string
	for i := range streams {
		group.Go(func() { texts[i] = f.stream(i) })
	}
	time.Sleep(crashAfter)
	if c.Trouble {
		for _, r := range f.runners {
			r.Crash()
		}
		c.Add("the runners crash")
		time.Sleep(downTime)
		if err := f.startRunners("v2"); err != nil {
			return false, err
		}
	}
	group.Wait()
	joined, whole := 0, 0
	for i, text := range texts {
		if strings.Contains(text, "v1") && strings.Contains(text, "v2") {
			joined++
			c.Add("stream %d holds %d events of v1 and %d of v2", i, strings.Count(text, "v1"), strings.Count(text, "v2"))
		}
		if strings.Count(text, "\n\n") == events {
			whole++
		}
	}
	c.Say("%d of %d streams hold events of two versions; %d have all events", joined, streams, whole)
	return joined > allowed, nil
}

func main() { cicadareview.Main(run) }
