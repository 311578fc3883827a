package cicadacmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
)

// fleet is a fleet of real processes: stand-ins and routers.
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

// freeAddr returns a loopback address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// buildBinary builds the program.
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
	f.await("the platform", func() bool {
		_, err := net.Dial("tcp", f.platform)
		return err == nil
	})
	for i := range routers {
		f.startRouter(fmt.Sprintf("r%d", i+1))
	}
	f.run("apply", "--wait", "20s", "--operator-token", "op", "--platform", "http://"+f.platform, f.document)
	return f
}

// writeDocument is the example with its runners on free addresses.
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

func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for begin := time.Now(); time.Since(begin) < 40*time.Second; {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("never: %s", what)
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

// callUntilWhole repeats a call as its refusals say.
func (f *fleet) callUntilWhole(p *process, tag, key string) cicadaload.Result {
	f.t.Helper()
	var res cicadaload.Result
	f.await("a whole answer to "+tag, func() bool {
		res = f.call(p, tag, key)
		return res.Verdict == cicadaload.Complete
	})
	return res
}

// spent returns what the platform's record says of a budget.
func (f *fleet) spent(budget string) int64 {
	f.t.Helper()
	out := f.run("top", "--json", "--operator-token", "op", "--platform", "http://"+f.platform)
	var view struct {
		Budgets []struct {
			Budget string `json:"budget"`
			Spent  int64  `json:"spent"`
		} `json:"budgets"`
	}
	if i := strings.IndexByte(out, '{'); i >= 0 {
		out = out[i:]
	}
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&view); err != nil {
		f.t.Fatalf("%v in\n%s", err, out)
	}
	for _, b := range view.Budgets {
		if b.Budget == budget {
			return b.Spent
		}
	}
	f.t.Fatalf("no budget %s in\n%s", budget, out)
	return 0
}

// TestProcessesEndToEnd serves requests by separate processes, kills a router
// without warning, and goes on with the others.
func TestProcessesEndToEnd(t *testing.T) {
	f := newFleet(t, 3)
	const budget = "redacteur/menages-rive-sud-2026"
	res := f.callUntilWhole(f.routers[0], "first", "")
	f.run("explain", "--operator-token", "op", "--platform", "http://"+f.platform, res.RequestID)
	before := f.spent(budget)
	if before == 0 {
		t.Error("nothing was spent after a whole answer")
	}
	if err := f.routers[0].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	f.callUntilWhole(f.routers[1], "second", "")
	f.callUntilWhole(f.routers[2], "third", "")
	f.await("a larger spend", func() bool {
		return f.spent(budget) > before
	})
}

// TestPlannedStopOfAProcess ends a router by SIGTERM: it exits with 0, returns
// its units, and its caller's stream is whole.
func TestPlannedStopOfAProcess(t *testing.T) {
	f := newFleet(t, 2)
	leaving := f.routers[1]
	f.callUntilWhole(leaving, "first", "")
	result := make(chan cicadaload.Result, 1)
	go func() { result <- f.call(leaving, "second", "") }()
	time.Sleep(60 * time.Millisecond) // the stream lasts longer than this
	if err := leaving.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if res := <-result; res.Verdict != cicadaload.Complete && res.RefusalCode != "stopping" && res.Status != 0 {
		t.Errorf("the stream was cut: %+v", res)
	}
	if err := leaving.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	f.await("all units returned", func() bool {
		f.callUntilWhole(f.routers[0], "third", "")
		resp := f.run("state", "--operator-token", "op", f.routers[0].operators)
		return !strings.Contains(resp, `"holder": "r2-`)
	})
}

// TestPausedRouterComesBack stops a router's process by SIGSTOP while it is the
// home of a budget, lets another take over, and lets it go on: its callers are
// served again, and nothing that it does in between counts.
func TestPausedRouterComesBack(t *testing.T) {
	f := newFleet(t, 3)
	for _, p := range f.routers {
		f.callUntilWhole(p, "before-"+p.name, "")
	}
	for _, p := range f.routers[:2] {
		if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		f.callUntilWhole(f.routers[2], fmt.Sprintf("paused-%d", i), "")
	}
	for _, p := range f.routers[:2] {
		if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range f.routers {
		f.callUntilWhole(p, "after-"+p.name, "key-"+p.name)
	}
	resp, err := http.Get("http://" + f.routers[0].callers + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Errorf("the router that was paused is not ready: status %d", resp.StatusCode)
	}
}

// TestReloadSignalDoesNotEndAPlannedStop sends SIGHUP to a node that is stopping.
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
	f.await("the node listens", func() bool {
		resp, err := http.Get("http://" + ready + "/metrics")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil
	})
	began := time.Now()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := node.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err := node.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if took := time.Since(began); took < time.Second {
		t.Errorf("the stop ended after %v, before its requests could", took)
	}
}
