// Command 1 shows that streams end as complete before their last event: they go through another router,
// which is killed, and come without length or chunks.
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
	promptTokens  = 1460
	events        = 57
	stride        = 3 // output tokens in an event
	eventInterval = 50 * time.Millisecond
	deadline      = 15 * time.Second
	streams       = 3
	// hangTime is how long the connections of the first router to the runner hang. It asks another router
	// after 100 ms.
	hangTime = 60 * time.Millisecond
	// streamInterval is the time from there to the next stream.
	streamInterval = 100 * time.Millisecond
	// killDelay is the time from the last stream to the kill.
	killDelay = time.Second
	apiKey    = "key-of-the-tenant"
	zone      = "sala-norte"
)

// engine records which streams it made.
type engine struct {
	c *cicadareview.Case

	mu   sync.Mutex     // guards made
	made map[string]int // number of events, by request
}

// serve answers without length or chunks: the answer ends with its connection.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	e.c.Add("request %s reaches the engine and runs", id)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the end of the answer
	head := "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, id); err != nil {
		return
	}
	for i := range events {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", i+1, id); err != nil {
			e.c.Add("the connection of %s broke after event %d", id, i)
			return
		}
		e.mu.Lock()
		e.made[id] = i + 1
		e.mu.Unlock()
		time.Sleep(eventInterval)
	}
	e.c.Add("the engine has made all events of %s", id)
}

func deployment() *cicadareview.Deployment {
	return &cicadareview.Deployment{
		Version: 1,
		Routes: []cicadareview.Route{{
			Name: "memo-draft", Host: cicadareview.Host, Prefix: "/memo/", Kind: "streaming", Service: "cicada-pool", DeadlineMs: 15000,
			LatencyTargetMs: 600, GapTargetMs: 400, Priority: 2, MaxAttempts: 1, Affinity: true,
		}},
		Services: []cicadareview.Service{{
			Name: "cicada-pool", HealthPath: "/health", MaxConns: 370, Engine: &cicadareview.Engine{Slots: 64, KvCapacity: 534_721, Stride: stride},
		}},
		Limits:  cicadareview.StandardLimits(),
		Tenants: []cicadareview.Tenant{{Name: "canton", ApiKeys: []string{apiKey}, Prepaid: 4_000_000}},
	}
}

// start starts the store, an engine and two routers.
func start(c *cicadareview.Case) (*cicadareview.QueueListener, []*cicadareview.Router, error) {
	store, err := cicadareview.NewStore()
	if err != nil {
		return nil, nil, err
	}
	if err := store.Put("op", "config", deployment()); err != nil {
		return nil, nil, err
	}
	ln, err := cicadareview.NewQueueListener()
	if err != nil {
		return nil, nil, err
	}
	e := &engine{c: c, made: map[string]int{}}
	if _, err := cicadareview.StartRunner(store, &cicadareview.RunnerConfig{
		ID: "i-1", Service: "cicada-pool", Zone: zone, Slots: 64, Serve: e.serve, Listener: ln,
	}); err != nil {
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
	return ln, routers, c.AwaitReady()
}

func call(id string) *cicadareview.Call {
	return &cicadareview.Call{
		ID: id, Method: http.MethodPost, Path: "/memo/1", Key: apiKey, Body: []byte("prompt"), Deadline: deadline,
		Headers: map[string]string{
			"Model": "m", "Token-Count": fmt.Sprintf("%d,%d", promptTokens, events*stride), "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()),
			"Prompt-Prefix": "5c1e07a2:350," + id + ":1110",
		},
	}
}

func run(c *cicadareview.Case) (bool, error) {
	ln, routers, err := start(c)
	if err != nil {
		return false, err
	}
	// The first request of a tenant may wait for its tokens.
	if a := c.Do(routers[0], call("warm-up")); a.Events() != events {
		return false, fmt.Errorf("the first stream has %d events: %w", a.Events(), a.Err)
	}
	time.Sleep(time.Second)
	var group sync.WaitGroup
	answers := make([]*cicadareview.Answer, streams)
	for i := range streams {
		if c.Trouble {
			if err := ln.Hang(); err != nil {
				return false, err
			}
			c.Add("connections of %s to the runner hang", routers[0].Name)
		}
		group.Go(func() { answers[i] = c.Do(routers[0], call(fmt.Sprintf("c%07x", i))) })
		time.Sleep(hangTime)
		ln.Release()
		time.Sleep(streamInterval)
	}
	if c.Trouble {
		time.Sleep(killDelay)
		if err := c.Signal(routers[1], syscall.SIGKILL); err != nil {
			return false, err
		}
	}
	group.Wait()
	short := 0
	for _, a := range answers {
		if a.Status == http.StatusOK && a.Complete && a.Events() < events {
			short++
		}
	}
	c.Say("%d of %d streams ended as complete before their last event", short, streams)
	return short > 0, nil
}

func main() { cicadareview.Main(run) }
