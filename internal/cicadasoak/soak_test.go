// Package cicadasoak_test runs routers as processes, brings faults about from outside and
// checks the promises by what callers and runners see. The promises have the users' names.
package cicadasoak_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	host     = "svc.example"
	key      = "k"
	tokensIn = 20
	prepaid  = 15_000
	// rest is the quiet at the end after which requests must be served.
	rest = 6 * time.Second
	// startTime is how long a process may take until it stops as planned on a signal.
	startTime = time.Second
	// firstPort and ports are a range below that of outgoing connections.
	firstPort, ports = 20_000, 12_000
	// reviveGap lies between two looks at the processes.
	reviveGap = 200 * time.Millisecond
)

var (
	seedFlag    = flag.Uint64("soak-seed", 1, "first seed of the soak")
	seedsFlag   = flag.Int("soak-seeds", 1, "number of seeds")
	spanFlag    = flag.Duration("soak-span", 20*time.Second, "time of faults for each seed")
	keepFlag    = flag.Bool("soak-keep", false, "keep the logs of seeds that pass, too")
	routersFlag = flag.Int("soak-routers", 6, "number of router processes")
)

type (
	soak struct {
		t       *testing.T
		rnd     *rand.Rand // of the driver of faults alone
		store   *store
		judge   *judge
		runners []*runner
		routers []*router
		ids     atomic.Int64
		seed    uint64
		// mannered counts the faults, a half of which are bad manners of runners.
		mannered int
		faults   sync.WaitGroup
	}

	// router is a router process and its successors.
	router struct {
		name, front, settings, binary, log string

		mu    sync.Mutex // guards the fields below, and is held through a fault
		cmd   *exec.Cmd
		since time.Time     // of the start
		ended chan struct{} // closed after the end
		err   error         // of the end
		until time.Time     // of the end
	}
)

// freeAddr returns a loopback address that nobody listens on, with a port that no outgoing
// connection takes while a router is down.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(ports)))
		ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", addr)
		if err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

func (s *soak) addRouter(binary, dir string) {
	name := fmt.Sprintf("n%d", len(s.routers))
	r := &router{
		name: name, front: freeAddr(s.t), binary: binary,
		settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf("NodeName: %s\nIp: 127.0.0.1\nZone: z\nListen: {Front: %q, Ready: %q, Control: %q}\nBootstrap: true\n"+
		"BeatIntervalMs: 1200\nLimits: {MemoryMb: 134, MaxFds: 2000}\nPlatform: {Address: %q}\n"+
		"Bounds: {GraceS: 6, ConfigMs: 2000, StretchMs: 5000, BudgetWindowS: 10, RetryBudgetRatio: 0.2, RetrySlack: 56}\n",
		name, r.front, freeAddr(s.t), freeAddr(s.t), s.store.addr())
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.routers = append(s.routers, r)
	s.start(r)
	s.t.Cleanup(func() {
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		<-r.ended
	})
}

func (s *soak) start(r *router) {
	out, err := os.OpenFile(r.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer func() { _ = out.Close() }()
	r.since = time.Now()
	r.cmd = exec.Command(r.binary, "node", "--settings", r.settings)
	r.cmd.Stdout, r.cmd.Stderr = out, out
	if err := r.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	cmd, ended := r.cmd, make(chan struct{})
	r.ended = ended
	go func() {
		defer close(ended)
		r.err = cmd.Wait()
		r.until = time.Now()
	}()
}

// revive starts a process that ended by itself again, as the platform does. A signal ends
// one that is only just starting.
func (s *soak) revive(r *router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
	default:
		return
	}
	if r.until.Sub(r.since) > startTime {
		s.judge.broken("ENDED: %s ended by itself: %v", r.name, r.err)
	}
	s.start(r)
	s.judge.trouble(r.name, r.since, false)
	s.judge.count("revived", 1)
}

func (s *soak) configure() {
	route := func(k kind, name string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": strings.TrimSuffix(k.path(), "x"), "Kind": name, "DeadlineMs": 4000,
			"LatencyTargetMs": 500, "GapTargetMs": 300, "Service": "svc", "MaxAttempts": attempts,
		}
	}
	s.store.put("op", "config", map[string]any{
		"Version":  1,
		"Routes":   []any{route(once, "non_idempotent", 2), route(again, "idempotent", 3), route(stream, "streaming", 2)},
		"Services": []any{map[string]any{"Name": "svc", "MaxConns": 200}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
		"Tenants":  []any{map[string]any{"Name": "acme", "ApiKeys": []string{key}, "Prepaid": prepaid}},
	})
}

// call sends one request to a router and judges the answer.
func (s *soak) call(ctx context.Context, client *http.Client, r *router, k kind) int {
	id := fmt.Sprintf("%d-%d", s.seed, s.ids.Add(1))
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+k.path(), strings.NewReader("order"))
	if err != nil {
		s.t.Error(err)
		return 0
	}
	req.Host, req.GetBody = host, nil
	for name, value := range map[string]string{
		"Request-Id": id, "Authorization": "Token " + key, "Deadline-Ms": "3000", "X-Router": r.name,
	} {
		req.Header.Set(name, value)
	}
	if k == stream {
		req.Header.Set("Token-Count", strconv.Itoa(tokensIn)+","+strconv.Itoa(streamEvents))
	}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		s.judge.answered(id, k, 0, "", err)
		if ctx.Err() == nil { // the caller still waits
			s.judge.unanswered(id, r.name, began)
		}
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s.judge.answered(id, k, resp.StatusCode, string(body), err)
	return resp.StatusCode
}

// press calls routers at random on kept connections until ctx ends.
func (s *soak) press(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(s.seed, uint64(100+n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		s.call(ctx, client, s.routers[rnd.IntN(len(s.routers))], kind(rnd.IntN(int(kinds))))
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

func (s *soak) millis(from, to int) time.Duration {
	return time.Duration(from+s.rnd.IntN(to-from)) * time.Millisecond
}

// fault begins one fault, which may overlap with others.
func (s *soak) fault() {
	r, u := s.routers[s.rnd.IntN(len(s.routers))], s.runners[s.rnd.IntN(len(s.runners))]
	other := s.runners[1+s.rnd.IntN(len(s.runners)-1)]
	d, gap := s.millis(200, 4000), s.millis(0, 1000)
	limit := float64(s.rnd.IntN(30)) / 10
	// Each bad manner has its turn in each seed.
	s.mannered++
	m, tr := manner(1+s.mannered/2%(int(manners)-1)), trouble(s.rnd.IntN(int(slow)+1))
	do := []func(){
		func() { s.restart(r, syscall.SIGKILL, gap) },
		func() { s.restart(r, syscall.SIGTERM, gap) },
		func() { s.freeze(r, d) },
		func() { s.signal(r, syscall.SIGHUP) },
		func() {
			s.store.set(tr)
			time.Sleep(d)
			s.store.set(sound)
		},
		func() { other.name(&limit) },
		func() { other.name(nil) },
	}[s.rnd.IntN(7)]
	if s.mannered%2 == 0 {
		do = func() {
			u.behave(m)
			time.Sleep(d)
			u.behave(answers)
		}
	}
	s.faults.Add(1)
	go func() {
		defer s.faults.Done()
		do()
	}()
}

func (s *soak) signal(r *router, sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(sig) // the process may have ended
}

func (s *soak) restart(r *router, sig syscall.Signal, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := time.Now()
	_ = r.cmd.Process.Signal(sig) // the process may have ended
	<-r.ended
	err := r.err
	if sig == syscall.SIGTERM && err != nil && from.Sub(r.since) > startTime {
		s.judge.broken("STOP: %s ended with %v", r.name, err)
	}
	time.Sleep(gap)
	s.start(r)
	s.judge.trouble(r.name, from, sig == syscall.SIGTERM && err == nil)
	s.judge.count("restarts", 1)
}

func (s *soak) freeze(r *router, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := time.Now()
	_ = r.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = r.cmd.Process.Signal(syscall.SIGCONT)
	if from.Sub(r.since) < startTime {
		r.since = time.Now() // it goes on starting
	}
	s.judge.trouble(r.name, from, false)
	s.judge.count("freezes", 1)
}

func (s *soak) run(binary string) {
	s.configure()
	for i := range 4 {
		s.runners = append(s.runners, newRunner(s.t, fmt.Sprintf("i-%d", i), s.judge, s.store))
	}
	dir := s.t.TempDir()
	for range *routersFlag {
		s.addRouter(binary, dir)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	s.awaitService(client)
	ctx, stop := context.WithCancel(s.t.Context())
	var callers sync.WaitGroup
	for n := range 3 * len(s.routers) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.press(ctx, n)
		}()
	}
	for _, r := range s.routers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for ; ctx.Err() == nil; time.Sleep(reviveGap) {
				s.revive(r)
			}
		}()
	}
	// The first runner has one limit all the time, the others come and go.
	lasting := 1.0
	s.runners[0].name(&lasting)
	for end := time.Now().Add(*spanFlag); time.Now().Before(end); time.Sleep(s.millis(100, 900)) {
		s.fault()
	}
	s.faults.Wait()
	for _, u := range s.runners {
		u.name(nil)
		u.behave(answers)
	}
	time.Sleep(rest)
	stop()
	callers.Wait()
	s.awaitService(client)
	s.judge.report(s.t)
	if s.t.Failed() || *keepFlag {
		s.keepLogs(dir)
	}
}

// awaitService waits until each router serves.
func (s *soak) awaitService(client *http.Client) {
	for _, r := range s.routers {
		served := func() bool { return s.call(s.t.Context(), client, r, again) == http.StatusOK }
		for end := time.Now().Add(10 * time.Second); !served(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				s.t.Errorf("RECOVER: %s does not serve", r.name)
				return
			}
		}
	}
}

// keepLogs copies the routers' logs to where they outlive the test.
func (s *soak) keepLogs(dir string) {
	kept, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", s.seed))
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(dir))
	}
	s.t.Logf("logs of seed %d: %s %v", s.seed, kept, err)
}

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cicadadyke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for i := range *seedsFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			j := newJudge()
			s := &soak{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), judge: j, store: newStore(t, seed), seed: seed}
			s.run(binary)
		})
	}
}
