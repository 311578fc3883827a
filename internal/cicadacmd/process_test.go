package cicadacmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
)

// fleet is a set of separate processes: stand-ins and routers.
type fleet struct {
	t        *testing.T
	binary   string
	platform string
	document string
	routers  []*process
}

type process struct {
	name, callers, operators string
	cmd                      *exec.Cmd
	log                      *bytes.Buffer
}

// firstPort and portCount define a range of ports below the ephemeral ones and those of the soak.
const firstPort, portCount = 12_000, 8_000

// portsTried counts the ports that freeAddr has tried, beginning at a random one.
var portsTried atomic.Int64

var portOffset = rand.Int64N(portCount)

// freeAddr returns a loopback address with an unused port, and no address twice. The port is not
// ephemeral, so that no outgoing connection takes it before it is used.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		addr := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+(portOffset+portsTried.Add(1))%portCount, 10))
		ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", addr)
		if err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no free port found in 1000 attempts")
	return ""
}

// buildBinary builds the program and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "cicadadyke")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func newFleet(t *testing.T, routers int) *fleet {
	t.Helper()
	f := &fleet{t: t, binary: buildBinary(t), platform: freeAddr(t)}
	f.writeDocument()
	f.start("standin", "standin", "--platform", f.platform, "--pace", "5ms", "--host-lag", "200ms", f.document)
	f.waitFor("the platform", func() bool {
		_, err := net.Dial("tcp", f.platform)
		return err == nil
	})
	for i := range routers {
		f.startRouter(fmt.Sprintf("r%d", i+1))
	}
	f.run("apply", "--wait", "20s", "--operator-token", "op", "--platform", "http://"+f.platform, f.document)
	return f
}

// writeDocument writes a copy of the example document in which the runners have unused
// addresses.
func (f *fleet) writeDocument() {
	text, err := os.ReadFile(examples + "/qc-est/redacteur.yaml")
	if err != nil {
		f.t.Fatal(err)
	}
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if before, rest, ok := strings.Cut(line, "address: "); ok {
			_, after, _ := strings.Cut(rest, ",")
			lines[i] = before + "address: " + freeAddr(f.t) + "," + after
		}
	}
	f.document = filepath.Join(f.t.TempDir(), "redacteur.yaml")
	if err := os.WriteFile(f.document, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) start(name string, args ...string) *process {
	f.t.Helper()
	p := &process{name: name, cmd: exec.CommandContext(f.t.Context(), f.binary, args...), log: &bytes.Buffer{}}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", p.name, p.log)
		}
	})
	return p
}

func (f *fleet) startRouter(name string) *process {
	f.t.Helper()
	callers, operators := freeAddr(f.t), freeAddr(f.t)
	p := f.start(name, "router", "--name", name, "--place", "salle-levis", "--region", "qc-est",
		"--listen", callers, "--operators", operators, "--peers", freeAddr(f.t),
		"--platform", "http://"+f.platform, "--peer-key", "a key of the test fleet", "--operator-token", "op")
	p.callers, p.operators = callers, operators
	f.routers = append(f.routers, p)
	return p
}

func (f *fleet) run(args ...string) string {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
	defer cancel()
	out, err := exec.CommandContext(ctx, f.binary, args...).CombinedOutput()
	if err != nil {
		f.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

func (f *fleet) waitFor(condition string, ok func() bool) {
	f.t.Helper()
	for start := time.Now(); time.Since(start) < 40*time.Second; {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for: %s", condition)
}

func (f *fleet) call(p *process, tag, key string) cicadaload.Result {
	f.t.Helper()
	c := cicadaload.NewCaller(1, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	return c.Call(ctx, &cicadaload.RequestSpec{
		BaseURL: "http://" + p.callers, APIKey: "demo-key-menages-rive-sud", Model: "redacteur-7b",
		Tag: tag, IdempotencyKey: key, PromptWords: 3, MaxTokens: 30, Stream: true,
	})
}

// callUntilComplete repeats a call until it gets a complete response.
func (f *fleet) callUntilComplete(p *process, tag, key string) cicadaload.Result {
	f.t.Helper()
	var res cicadaload.Result
	f.waitFor("a complete response to "+tag, func() bool {
		res = f.call(p, tag, key)
		return res.Verdict == cicadaload.Complete
	})
	return res
}

// spent returns the spent units of a budget as the top verb shows them.
func (f *fleet) spent(budget string) int64 {
	f.t.Helper()
	out := f.run("top", "--json", "--operator-token", "op", "--platform", "http://"+f.platform)
	var overview struct {
		Budgets []struct {
			Budget string `json:"budget"`
			Spent  int64  `json:"spent"`
		} `json:"budgets"`
	}
	if i := strings.IndexByte(out, '{'); i >= 0 {
		out = out[i:]
	}
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&overview); err != nil {
		f.t.Fatalf("%v in\n%s", err, out)
	}
	for _, b := range overview.Budgets {
		if b.Budget == budget {
			return b.Spent
		}
	}
	f.t.Fatalf("no budget %s in\n%s", budget, out)
	return 0
}

// TestProcessesEndToEnd sends requests to separate router processes, kills one of them
// with SIGKILL, and checks that the others still serve and bill requests.
func TestProcessesEndToEnd(t *testing.T) {
	f := newFleet(t, 3)
	const budget = "redacteur/menages-rive-sud-2026"
	res := f.callUntilComplete(f.routers[0], "first", "")
	f.run("explain", "--operator-token", "op", "--platform", "http://"+f.platform, res.RequestID)
	before := f.spent(budget)
	if before == 0 {
		t.Error("no units were spent after a complete response")
	}
	if err := f.routers[0].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	f.callUntilComplete(f.routers[1], "second", "")
	f.callUntilComplete(f.routers[2], "third", "")
	f.waitFor("an increase of the spent units", func() bool {
		return f.spent(budget) > before
	})
}

// TestPlannedStopOfAProcess stops a router with SIGTERM and checks that it exits with
// 0, returns its units, and does not interrupt a stream that has begun.
func TestPlannedStopOfAProcess(t *testing.T) {
	f := newFleet(t, 2)
	stopping := f.routers[1]
	f.callUntilComplete(stopping, "first", "")
	result := make(chan cicadaload.Result, 1)
	go func() { result <- f.call(stopping, "second", "") }()
	time.Sleep(60 * time.Millisecond) // shorter than the stream
	if err := stopping.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if res := <-result; res.Verdict != cicadaload.Complete && res.RefusalCode != "stopping" && res.Status != 0 {
		t.Errorf("the stream was interrupted: %+v", res)
	}
	if err := stopping.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	f.waitFor("the return of all units of r2", func() bool {
		f.callUntilComplete(f.routers[0], "third", "")
		resp := f.run("state", "--operator-token", "op", f.routers[0].operators)
		return !strings.Contains(resp, `"holder": "r2-`)
	})
}

// TestPausedRouterComesBack pauses two of three routers with SIGSTOP while they are
// homes of budgets, so that the third takes over, and resumes them with SIGCONT. All
// three have to serve callers again, although the store rejects what the paused homes
// commit from their outdated state.
func TestPausedRouterComesBack(t *testing.T) {
	f := newFleet(t, 3)
	for _, p := range f.routers {
		f.callUntilComplete(p, "before-"+p.name, "")
	}
	for _, p := range f.routers[:2] {
		if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		f.callUntilComplete(f.routers[2], fmt.Sprintf("paused-%d", i), "")
	}
	for _, p := range f.routers[:2] {
		if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range f.routers {
		f.callUntilComplete(p, "after-"+p.name, "key-"+p.name)
	}
	resp, err := http.Get("http://" + f.routers[0].callers + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Errorf("readiness of the paused router: status %d, want 204", resp.StatusCode)
	}
}

// TestReloadSignalDoesNotEndAPlannedStop sends SIGHUP to a node during its graceful
// shutdown and checks that the signal does not terminate the process early.
func TestReloadSignalDoesNotEndAPlannedStop(t *testing.T) {
	f := &fleet{t: t, binary: buildBinary(t)}
	ready := freeAddr(t)
	path := filepath.Join(t.TempDir(), "node.yaml")
	settings := fmt.Sprintf("NodeName: n\nZone: z\nListen: {Front: %q, Ready: %q}\nLimits: {MemoryMb: 100}\n"+
		"Bounds: {GraceS: 2, ConfigMs: 2000, BudgetWindowS: 10}\nPlatform: {Address: %q}\n", freeAddr(t), ready, freeAddr(t))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	node := f.start("node", "node", "--settings", path)
	f.waitFor("the node to listen", func() bool {
		resp, err := http.Get("http://" + ready + "/metrics")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil
	})
	start := time.Now()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := node.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err := node.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if took := time.Since(start); took < time.Second {
		t.Errorf("the node stopped after %v, without waiting for its requests", took)
	}
}
