// Command 7 checks that a request that crashes the runners that run it is kept away from runners after some
// crashes. See claim.txt.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/review/cicadacase"
)

const (
	routers = 3
	runners = 4
	slots   = 6
	// Sound requests are sent at intervals of soundInterval, and the deadly one comes again at intervals of
	// deadlyInterval, to one router after the other.
	soundInterval  = 30 * time.Millisecond
	deadlyInterval = 700 * time.Millisecond
	deadlyTime     = 25 * time.Second
	workTime       = 20 * time.Millisecond
	// downTime is how long a runner is gone after a crash.
	downTime = 2 * time.Second
	// The requests that reach runners are counted from contactTime after the third crash on.
	contactTime = 3 * time.Second
	crashes     = 3
	allowed     = 3
	timeLimit   = 1500 * time.Millisecond
	deadlyPath  = "/status/deadly"
	host        = "case.example"
	key         = "key-a"
)

type (
	// server is a stand-in for a runner of a plain service.
	server struct {
		id     string
		judge  *judge
		runner *cicadacase.Runner
	}

	// judge counts the crashes and the deadly requests that reach runners too late.
	judge struct {
		rec    *cicadacase.Record
		deadly bool // the request does crash its runners

		mu      sync.Mutex // guards the fields below
		crashes []time.Time
		late    map[string]bool // ids of the requests
		sound   map[int]int     // sound requests by status; 0 for none
	}
)

func main() { cicadacase.Main(run) }

func run(rec *cicadacase.Record, trouble bool) (bool, error) {
	store, err := cicadacase.NewStore()
	if err != nil {
		return false, err
	}
	if err := store.Put("op", "config", config()); err != nil {
		return false, err
	}
	j := &judge{rec: rec, deadly: trouble, late: map[string]bool{}, sound: map[int]int{}}
	for i := range runners {
		s := &server{id: fmt.Sprintf("i-%08d", i+1), judge: j}
		if s.runner, err = cicadacase.StartRunner(cicadacase.RunnerConfig{
			Store: store, ID: s.id, Service: "desk", Version: "v1", Slots: slots, Handler: s,
		}); err != nil {
			return false, err
		}
	}
	d, err := cicadacase.StartDeployment(cicadacase.Program(), store, routers, cicadacase.NodeLimits{MemoryMb: 134, MaxFds: 4100})
	if err != nil {
		return false, err
	}
	defer d.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { j.sendSound(ctx, d) })
	time.Sleep(contactTime)
	end := time.Now().Add(deadlyTime)
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("deadly-%03d", i)
		n := d.Nodes[i%routers]
		rec.Printf("%s is sent to %s and answered with status %d", id, n.Name, send(n, deadlyPath, id))
		time.Sleep(deadlyInterval)
	}
	stop()
	group.Wait()
	return j.result()
}

func config() cicadacase.Config {
	return cicadacase.Config{
		Version: 7,
		Routes: []cicadacase.RouteConfig{{
			Name: "r-status", Host: host, Prefix: "/status/", Kind: "idempotent", DeadlineMs: int(timeLimit.Milliseconds()), LatencyTargetMs: 300,
			Service: "desk", MaxAttempts: 2,
		}},
		Services: []cicadacase.ServiceConfig{{Name: "desk", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}},
		Limits:   cicadacase.DefaultLimits(),
		Tenants:  []cicadacase.TenantConfig{{Name: "tenant-a", APIKeys: []string{key}}},
	}
}

func (j *judge) sendSound(ctx context.Context, d *cicadacase.Deployment) {
	var group sync.WaitGroup
	ticker := time.NewTicker(soundInterval)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		group.Go(func() {
			id := fmt.Sprintf("sound-%05d", i)
			status := send(d.Nodes[i%routers], "/status/"+id, id)
			j.mu.Lock()
			defer j.mu.Unlock()
			j.sound[status]++
		})
		<-ticker.C
	}
	group.Wait()
}

// result reports whether the deadly request has reached runners more often than allowed.
func (j *judge) result() (bool, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rec.Printf("sound requests by status: %v", j.sound)
	j.rec.Printf("%d crashes; from %v after the third one, %d deadly requests have reached runners; %d are allowed",
		len(j.crashes), contactTime, len(j.late), allowed)
	if j.sound[http.StatusOK] == 0 || j.deadly && len(j.crashes) == 0 {
		return false, fmt.Errorf("%d crashes, sound requests by status: %v", len(j.crashes), j.sound)
	}
	return len(j.late) > allowed, nil
}

// send sends one request and reads its answer. It returns 0 if there was no whole answer.
func send(n *cicadacase.Node, path, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Front+path, http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// ServeHTTP serves a request, or crashes when it begins to run the deadly one.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Runner-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Request-Id")
	if r.URL.Path == deadlyPath && s.judge.crash(s.id, id) {
		s.runner.Crash()
		time.AfterFunc(downTime, func() {
			if err := s.runner.Restart("v1"); err != nil {
				s.judge.rec.Printf("%s does not start again: %v", s.id, err)
			}
		})
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workTime)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-"+id)
	fmt.Fprintf(w, "status of %s", r.URL.Path)
}

// crash records that the deadly request has reached a runner, and reports whether that crashes.
func (j *judge) crash(runner, id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rec.Printf("%s reaches runner %s", id, runner)
	if !j.deadly {
		return false
	}
	now := time.Now()
	if len(j.crashes) >= crashes && now.Sub(j.crashes[crashes-1]) > contactTime {
		j.late[id] = true
	}
	j.crashes = append(j.crashes, now)
	return true
}
