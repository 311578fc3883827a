// Command 2 shows that a tenant's requests run beyond its prepaid total: what runs for callers that leave
// before the answer has begun to arrive at the router is not counted.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadyke/cicadadyke/review/cicadareview"
)

const (
	prepaid      = 400_000
	promptTokens = 17_020
	maxOutput    = 120
	stride       = 3 // output tokens in an event
	// prefillTime is how long the engine reads a prompt. With its end the run begins.
	prefillTime   = 336 * time.Millisecond
	eventInterval = 25 * time.Millisecond
	// maxGap is after which gap a caller leaves: eight pauses of 400 ms, or four objectives of 800 ms.
	maxGap   = 3200 * time.Millisecond
	deadline = 12 * time.Second
	// freezeTime is the longest freeze of the site.
	freezeTime = 4 * time.Second
	// batch is the number of requests at the first moment, followUps that of the later ones.
	batch     = 16
	followUps = 24
	apiKey    = "key-of-the-tenant"
	zone      = "salle-levis"
)

// engine records which requests it got and ran.
type engine struct {
	c *cicadareview.Case

	mu      sync.Mutex // guards the fields below
	arrived int
	ran     map[string]bool
}

func (e *engine) arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

func (e *engine) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ran)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	e.arrived++
	e.mu.Unlock()
	e.c.Add("request %s reaches the engine", id)
	select {
	case <-time.After(prefillTime):
	case <-r.Context().Done():
		e.c.Add("request %s is dropped before its run", id)
		return
	}
	e.mu.Lock()
	e.ran[id] = true
	e.mu.Unlock()
	e.c.Add("the engine runs %s", id)
	w.Header().Set("Response-Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range maxOutput / stride {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, id)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			e.c.Add("the run of %s ends, its connection is closed", id)
			return
		}
	}
}

func deployment() *cicadareview.Deployment {
	return &cicadareview.Deployment{
		Version: 1,
		Routes: []cicadareview.Route{{
			Name: "batch-recon", Host: cicadareview.Host, Prefix: "/recon/", Kind: "streaming", Service: "cicada-pool", DeadlineMs: 12000,
			LatencyTargetMs: 800, GapTargetMs: 400, Priority: 1, MaxAttempts: 1, Affinity: true,
		}},
		Services: []cicadareview.Service{{
			Name: "cicada-pool", HealthPath: "/health", MaxConns: 370, Engine: &cicadareview.Engine{Slots: 64, KvCapacity: 534_721, Stride: stride},
		}},
		Limits:  cicadareview.StandardLimits(),
		Tenants: []cicadareview.Tenant{{Name: "canton", ApiKeys: []string{apiKey}, Prepaid: prepaid}},
	}
}

// start starts the store, an engine and two routers.
func start(c *cicadareview.Case) (*engine, []*cicadareview.Router, error) {
	store, err := cicadareview.NewStore()
	if err != nil {
		return nil, nil, err
	}
	if err := store.Put("op", "config", deployment()); err != nil {
		return nil, nil, err
	}
	e := &engine{c: c, ran: map[string]bool{}}
	runner := &cicadareview.RunnerConfig{ID: "i-1", Service: "cicada-pool", Zone: zone, Slots: 64, Serve: e.serve}
	if _, err := cicadareview.StartRunner(store, runner); err != nil {
		return nil, nil, err
	}
	var routers []*cicadareview.Router
	for _, name := range []string{"edge-1", "edge-2"} {
		r, err := c.StartRouter(name, &cicadareview.RouterConfig{Zone: zone, StoreAddr: store.Addr(), MemoryMB: 284})
		if err != nil {
			return nil, nil, err
		}
		routers = append(routers, r)
	}
	return e, routers, c.AwaitReady()
}

func call(id string) *cicadareview.Call {
	return &cicadareview.Call{
		ID: id, Method: http.MethodPost, Path: "/recon/1", Key: apiKey, Body: []byte("prompt"), Deadline: deadline, MaxGap: maxGap,
		Headers: map[string]string{
			"Model": "m", "Token-Count": fmt.Sprintf("%d,%d", promptTokens, maxOutput), "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()),
			"Prompt-Prefix": "5c1e07a2:13300," + id + ":3720",
		},
	}
}

func run(c *cicadareview.Case) (bool, error) {
	e, routers, err := start(c)
	if err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	delivered := 0
	send := func(id string) {
		a := c.Do(routers[0], call(id))
		mu.Lock()
		defer mu.Unlock()
		delivered += a.Events() * stride
	}
	for i := range batch {
		group.Go(func() { send(fmt.Sprintf("a%07x", i)) })
	}
	for end := time.Now().Add(maxGap); e.arrivals() < batch && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Say("%d of %d requests have reached the engine, %d run", e.arrivals(), batch, e.runs())
	if c.Trouble {
		if err := c.Signal(routers[0], syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.Sleep(freezeTime)
		if err := c.Signal(routers[0], syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	group.Wait()
	time.Sleep(time.Second)
	for i := range followUps {
		send(fmt.Sprintf("b%07x", i))
	}
	used := e.runs()*promptTokens + delivered
	c.Say("%d requests ran, %d tokens of prompts and %d delivered tokens: %d of %d prepaid", e.runs(), e.runs()*promptTokens, delivered, used, prepaid)
	return used > prepaid, nil
}

func main() { cicadareview.Main(run) }
