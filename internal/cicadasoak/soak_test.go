// Package cicadasoak_test runs routers as separate processes, injects faults from outside and
// checks the system's guarantees against what callers and runners observe. The prefixes of the
// violations, such as MIXED and TWICE, are the users' names of the guarantees.
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
	host          = "svc.example"
	apiKey        = "k"
	abundantKey   = "a" // of an organisation whose budget lasts
	promptTokens  = 20
	prepaidTokens = 15_000
	// recoveryTime is the time without faults at the end, after which all routers must serve.
	recoveryTime = 6 * time.Second
	// startupTime is the time that a new process may take until it handles signals: before, a
	// signal may end it abruptly.
	startupTime = time.Second
	// firstPort and portCount define a range of ports below the ephemeral ports.
	firstPort, portCount = 20_000, 12_000
	// exitPollInterval is the interval between checks for exited processes.
	exitPollInterval = 200 * time.Millisecond
	// One of longBodyShare requests has a body of longBodyBytes, which is more than the buffers of a connection
	// to a runner hold.
	longBodyShare = 8
	longBodyBytes = 512 << 10
	// maxSeeds is the number of routers whose addresses the settings of a router name.
	maxSeeds = 3
)

var (
	longBody = strings.Repeat("x", longBodyBytes)

	firstSeedFlag     = flag.Uint64("soak-seed", 1, "first seed of the soak")
	seedCountFlag     = flag.Int("soak-seeds", 1, "number of seeds")
	faultDurationFlag = flag.Duration("soak-span", 20*time.Second, "duration of the fault injection for each seed")
	keepLogsFlag      = flag.Bool("soak-keep", false, "keep the logs of passing seeds too")
	routerCountFlag   = flag.Int("soak-routers", 6, "number of router processes")
	callerCountFlag   = flag.Int("soak-callers", 3, "number of callers for each router process")

	// usedPorts holds the ports that freeAddr has returned, which their users may not have opened yet.
	usedPorts sync.Map
)

type (
	soak struct {
		t         *testing.T
		faultRand *rand.Rand // only for fault injection
		store     *store
		verifier  *verifier
		runners   []*runner
		routers   []*router
		lastID    atomic.Int64
		seed      uint64
		// faultCount counts the injected faults. Every second one changes a runner's mode.
		faultCount   int
		activeFaults sync.WaitGroup
		// storeAddrs holds the addresses at which the first routers reach the store, if not at its own.
		storeAddrs []string
		// limits replaces the routers' memory and descriptors in their settings, if set.
		limits string
		// repeats replaces the rule on repeats in the routers' settings, if set.
		repeats *repeatRule
	}

	// router is a router process with its later restarts.
	router struct {
		name, callerAddr, readyAddr, peerAddr, settingsFile, binary, logFile string

		mu        sync.Mutex // guards the fields below, held during a fault
		cmd       *exec.Cmd
		startedAt time.Time
		exited    chan struct{} // closed after the exit
		exitErr   error
		exitedAt  time.Time
	}
)

// freeAddr returns an unused loopback address, a new one each time. Its port is not ephemeral, so that no outgoing
// connection takes it while a router is down.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		port := firstPort + rand.IntN(portCount)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", addr)
		if err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no free port found in 1000 attempts")
	return ""
}

func (s *soak) addRouter(binary, dir string) {
	name := fmt.Sprintf("n%d", len(s.routers))
	r := &router{
		name: name, callerAddr: freeAddr(s.t), readyAddr: freeAddr(s.t), peerAddr: freeAddr(s.t), binary: binary,
		settingsFile: filepath.Join(dir, name+".yaml"), logFile: filepath.Join(dir, name+".log"),
	}
	var seeds []string
	for _, other := range s.routers[:min(len(s.routers), maxSeeds)] {
		seeds = append(seeds, other.peerAddr)
	}
	repeats := repeatRule{ratio: retryRatio, slack: retrySlack}
	if s.repeats != nil {
		repeats = *s.repeats
	}
	storeAddr := s.store.addr()
	if n := len(s.routers); n < len(s.storeAddrs) {
		storeAddr = s.storeAddrs[n]
	}
	limits := "{MemoryMb: 134, MaxFds: 2000}"
	if s.limits != "" {
		limits = s.limits
	}
	text := fmt.Sprintf("NodeName: %s\nIp: 127.0.0.1\nZone: z\nListen: {Front: %q, Ready: %q, Control: %q}\nBootstrap: true\nSeeds: [%s]\n"+
		"BeatIntervalMs: 1200\nLimits: %s\nPlatform: {Address: %q}\n"+
		"Bounds: {GraceS: 6, ConfigMs: 2000, StretchMs: 5000, BudgetWindowS: %g, RetryBudgetRatio: %g, RetrySlack: %d}\n",
		name, r.callerAddr, r.readyAddr, r.peerAddr, strings.Join(seeds, ", "), limits, storeAddr, retryWindow.Seconds(), repeats.ratio, repeats.slack)
	if err := os.WriteFile(r.settingsFile, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.routers = append(s.routers, r)
	s.start(r)
	s.t.Cleanup(func() {
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		<-r.exited
	})
}

func (s *soak) start(r *router) {
	out, err := os.OpenFile(r.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer func() { _ = out.Close() }()
	r.startedAt = time.Now()
	r.cmd = exec.Command(r.binary, "node", "--settings", r.settingsFile)
	r.cmd.Stdout, r.cmd.Stderr = out, out
	if err := r.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	cmd, exited := r.cmd, make(chan struct{})
	r.exited = exited
	go func() {
		defer close(exited)
		r.exitErr = cmd.Wait()
		r.exitedAt = time.Now()
	}()
}

// restartIfExited restarts a process that has exited on its own, as the platform does. Such an
// exit is a violation, except during startup, when a signal ends the process.
func (s *soak) restartIfExited(r *router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.exited:
	default:
		return
	}
	if r.exitedAt.Sub(r.startedAt) > startupTime {
		s.verifier.addViolation("ENDED: router %s exited on its own: %v", r.name, r.exitErr)
	}
	s.start(r)
	s.verifier.recordDisruption(r.name, r.startedAt, false)
	s.verifier.addCount("revived", 1)
}

func (s *soak) writeConfig() {
	route := func(k kind, name string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": strings.TrimSuffix(k.path(), "x"), "Kind": name, "DeadlineMs": 4000,
			"LatencyTargetMs": 500, "GapTargetMs": 300, "Service": "svc", "MaxAttempts": attempts,
		}
	}
	resumableRoute := route(resumable, "streaming", 3)
	resumableRoute["CanResume"] = true
	s.store.putRow("op", "config", map[string]any{
		"Version": 1,
		"Routes": []any{
			route(atMostOnce, "non_idempotent", 2), route(idempotent, "idempotent", 3), route(streaming, "streaming", 2), resumableRoute,
		},
		"Services": []any{map[string]any{"Name": "svc", "MaxConns": 200}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
		"Tenants": []any{
			map[string]any{"Name": "acme", "ApiKeys": []string{apiKey}, "Prepaid": prepaidTokens},
			map[string]any{"Name": "abundant", "ApiKeys": []string{abundantKey}, "Prepaid": 1000 * prepaidTokens},
		},
	})
}

// sendRequest sends one request to a router, records the response and returns its status, or 0.
func (s *soak) sendRequest(ctx context.Context, client *http.Client, r *router, key string, requestKind kind) int {
	n := s.lastID.Add(1)
	id, body := fmt.Sprintf("%d-%d", s.seed, n), "order"
	if n%longBodyShare == 0 {
		body = longBody
	}
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddr+requestKind.path(), strings.NewReader(body))
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
	if requestKind.isStream() {
		req.Header.Set("Token-Count", strconv.Itoa(promptTokens)+","+strconv.Itoa(requestKind.events()))
	}
	startedAt := time.Now()
	s.verifier.recordRequest(id, key, startedAt)
	resp, err := client.Do(req)
	if err != nil {
		s.verifier.recordResponse(id, requestKind, 0, "", err)
		if ctx.Err() == nil { // not a time-out of the caller
			s.verifier.recordUnanswered(id, r.name, startedAt)
		}
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	s.verifier.recordResponse(id, requestKind, resp.StatusCode, string(answer), err)
	return resp.StatusCode
}

// generateLoad sends requests to random routers over persistent connections until ctx ends.
func (s *soak) generateLoad(ctx context.Context, callerIndex int) {
	rnd := rand.New(rand.NewPCG(s.seed, uint64(100+callerIndex)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	key := []string{apiKey, abundantKey}[callerIndex%2]
	for ctx.Err() == nil {
		s.sendRequest(ctx, client, s.routers[rnd.IntN(len(s.routers))], key, kind(rnd.IntN(int(kindCount))))
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

func (s *soak) randomMillis(from, to int) time.Duration {
	return time.Duration(from+s.faultRand.IntN(to-from)) * time.Millisecond
}

// startFault starts a random fault, which may overlap with others.
func (s *soak) startFault() {
	r, faultyRunner := s.routers[s.faultRand.IntN(len(s.routers))], s.runners[s.faultRand.IntN(len(s.runners))]
	limitedRunner := s.runners[1+s.faultRand.IntN(len(s.runners)-1)]
	duration, restartDelay := s.randomMillis(200, 4000), s.randomMillis(0, 1000)
	limit := float64(s.faultRand.IntN(30)) / 10
	// The runner modes take turns, so that each seed covers all of them.
	s.faultCount++
	runnerFault, storeFault := runnerMode(1+s.faultCount/2%(int(runnerModeCount)-1)), storeMode(s.faultRand.IntN(int(storeSlow)+1))
	inject := []func(){
		func() { s.restart(r, syscall.SIGKILL, restartDelay) },
		func() { s.restart(r, syscall.SIGTERM, restartDelay) },
		func() { s.freeze(r, duration) },
		func() { s.signal(r, syscall.SIGHUP) },
		func() {
			s.store.setMode(storeFault)
			time.Sleep(duration)
			s.store.setMode(storeHealthy)
		},
		func() { limitedRunner.setLimit(&limit) },
		func() { limitedRunner.setLimit(nil) },
	}[s.faultRand.IntN(7)]
	if s.faultCount%2 == 0 {
		inject = func() {
			faultyRunner.fault(runnerFault, duration)
		}
	}
	s.activeFaults.Add(1)
	go func() {
		defer s.activeFaults.Done()
		inject()
	}()
}

func (s *soak) signal(r *router, sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(sig) // fails if the process has exited
}

func (s *soak) restart(r *router, sig syscall.Signal, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := time.Now()
	_ = r.cmd.Process.Signal(sig) // fails if the process has exited
	<-r.exited
	err := r.exitErr
	if sig == syscall.SIGTERM && err != nil && from.Sub(r.startedAt) > startupTime {
		s.verifier.addViolation("STOP: router %s exited on SIGTERM with an error: %v", r.name, err)
	}
	time.Sleep(delay)
	s.start(r)
	s.verifier.recordDisruption(r.name, from, sig == syscall.SIGTERM && err == nil)
	s.verifier.addCount("restarts", 1)
}

func (s *soak) freeze(r *router, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := time.Now()
	_ = r.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = r.cmd.Process.Signal(syscall.SIGCONT)
	if from.Sub(r.startedAt) < startupTime {
		r.startedAt = time.Now() // its startup continues now
	}
	s.verifier.recordDisruption(r.name, from, false)
	s.verifier.addCount("freezes", 1)
}

func (s *soak) run(binary string) {
	s.writeConfig()
	for i := range 4 {
		s.runners = append(s.runners, newRunner(s.t, fmt.Sprintf("i-%d", i), s.verifier, s.store))
	}
	dir := s.t.TempDir()
	for range *routerCountFlag {
		s.addRouter(binary, dir)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	s.awaitServing(client)
	ctx, stop := context.WithCancel(s.t.Context())
	var callers sync.WaitGroup
	for n := range *callerCountFlag * len(s.routers) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.generateLoad(ctx, n)
		}()
	}
	for _, r := range s.routers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for ; ctx.Err() == nil; time.Sleep(exitPollInterval) {
				s.restartIfExited(r)
			}
		}()
	}
	// The first runner keeps one limit, those of the others are set and removed by faults.
	permanentLimit := 1.0
	s.runners[0].setLimit(&permanentLimit)
	for end := time.Now().Add(*faultDurationFlag); time.Now().Before(end); time.Sleep(s.randomMillis(100, 900)) {
		s.startFault()
	}
	s.activeFaults.Wait()
	for _, u := range s.runners {
		u.setLimit(nil)
	}
	time.Sleep(recoveryTime)
	stop()
	callers.Wait()
	s.awaitServing(client)
	s.verifier.report(s.t)
	if s.t.Failed() || *keepLogsFlag {
		s.saveLogs(dir)
	}
}

// awaitServing waits until every router serves requests.
func (s *soak) awaitServing(client *http.Client) {
	for _, r := range s.routers {
		isServing := func() bool { return s.sendRequest(s.t.Context(), client, r, apiKey, idempotent) == http.StatusOK }
		for end := time.Now().Add(10 * time.Second); !isServing(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				s.t.Errorf("RECOVER: router %s does not serve requests within 10 s", r.name)
				return
			}
		}
	}
}

// saveLogs copies the routers' logs to a directory that remains after the test.
func (s *soak) saveLogs(dir string) {
	savedDir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", s.seed))
	if err == nil {
		err = os.CopyFS(savedDir, os.DirFS(dir))
	}
	s.t.Logf("logs of seed %d: %s %v", s.seed, savedDir, err)
}

func TestSoak(t *testing.T) {
	binary := buildRouter(t)
	for i := range *seedCountFlag {
		seed := *firstSeedFlag + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			v := newVerifier()
			s := &soak{t: t, faultRand: rand.New(rand.NewPCG(seed, 1)), verifier: v, store: newStore(t, seed), seed: seed}
			s.run(binary)
		})
	}
}
