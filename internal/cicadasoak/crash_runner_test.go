package cicadasoak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashAddrVariable makes a process of this test a runner that harmful requests crash. It listens at the
	// address. The other variables are its id, the Unix millisecond of its start and the event after which
	// it crashes, or 0 if it does so before its answer begins.
	crashAddrVariable  = "SOAK_CRASH_ADDRESS"
	crashIDVariable    = "SOAK_CRASH_ID"
	crashBornVariable  = "SOAK_CRASH_BORN"
	crashEventVariable = "SOAK_CRASH_EVENT"
	// crashDelay is the time from the arrival of a harmful request to the crash.
	crashDelay = 60 * time.Millisecond
	// harmfulArrival is the line that a runner process writes for each harmful request.
	harmfulArrival = "harmful request"
	// Sound streams last long enough for each runner to have begun some at any time.
	crashStreamEvents   = 12
	crashStreamInterval = 50 * time.Millisecond
	// harmfulBody and harmfulPart are what crashes a runner.
	harmfulBody = "harmful"
	harmfulPart = "harmful:400"
)

// crashRunner is a runner in a process of its own, which is started again whenever it has ended.
type crashRunner struct {
	fleet *crashFleet
	name  string
	addr  string

	mu    sync.Mutex // guards cmd and ended
	cmd   *exec.Cmd
	ended bool
}

// serveCrashing serves requests until a harmful one ends the process.
func serveCrashing(addr string) error {
	ln, err := listenPatiently(&net.ListenConfig{}, addr)
	if err != nil {
		return err
	}
	id, born := os.Getenv(crashIDVariable), os.Getenv(crashBornVariable)
	crashEvent, err := strconv.Atoi(os.Getenv(crashEventVariable))
	if err != nil {
		return err
	}
	var handler http.HandlerFunc = func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body) // the router may have left
		w.Header().Set("Runner-Id", id)
		switch {
		case req.URL.Path == "/health":
			return
		case req.URL.Path == "/cicadadyke/report":
			fmt.Fprintf(w, "{\"Stage\":\"both\",\"born\":%s}", born)
			return
		case req.Header.Get("Expect-Instance") != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		harmful := string(body) == harmfulBody || strings.Contains(req.Header.Get("Prompt-Prefix"), harmfulPart)
		if harmful {
			fmt.Println(harmfulArrival)
			if crashEvent == 0 {
				time.Sleep(crashDelay)
				os.Exit(2)
			}
		}
		w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "s")
		if !kindOf(req.URL.Path).isStream() {
			time.Sleep(crashDelay)
			fmt.Fprintf(w, "%s", responseBody(req.Header.Get("Request-Id")))
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range crashStreamEvents {
			fmt.Fprintf(w, "%s", streamEvent("x", n+1))
			w.(http.Flusher).Flush()
			if harmful && n+1 == crashEvent {
				time.Sleep(crashDelay)
				os.Exit(2)
			}
			time.Sleep(crashStreamInterval)
		}
	}
	return (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(ln)
}

// listenPatiently listens at an address that another process may still have: the one before, or one that is
// being started and has inherited a listener until it executes.
func listenPatiently(lc *net.ListenConfig, addr string) (net.Listener, error) {
	for end := time.Now().Add(processListenTime); ; time.Sleep(time.Millisecond) {
		ln, err := lc.Listen(context.Background(), "tcp", addr)
		if err == nil || time.Now().After(end) {
			return ln, err
		}
	}
}

// run starts the process again and again until it is stopped.
func (r *crashRunner) run(serving chan<- struct{}) {
	t := r.fleet.tt
	for boot := 0; ; boot++ {
		id := r.name
		if t.otherID {
			id = fmt.Sprintf("%s-%d", r.name, boot)
		}
		born := time.Now().UnixMilli()
		lines, ok := r.start(id, born)
		if !ok {
			return
		}
		r.fleet.store.putRow("servers", id, map[string]any{
			"Service": "svc", "Address": r.addr, "Zone": "z", "Version": "1", "Slots": 64, "State": "ready", "Seq": 1, "born": born,
		})
		if boot == 0 {
			serving <- struct{}{}
		}
		for lines.Scan() {
			if lines.Text() == harmfulArrival {
				r.fleet.recordArrival()
			}
		}
		if !r.hasCrashed() {
			return
		}
		r.fleet.recordCrash()
		if t.otherID {
			time.AfterFunc(entryLife, func() { r.fleet.store.remove("servers", id) })
		}
		time.Sleep(t.pause)
	}
}

// start starts a process. It returns what the process writes.
func (r *crashRunner) start(id string, born int64) (*bufio.Scanner, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil, false
	}
	r.cmd = exec.Command(os.Args[0])
	r.cmd.Env = append(os.Environ(), crashAddrVariable+"="+r.addr, crashIDVariable+"="+id,
		crashBornVariable+"="+strconv.FormatInt(born, 10), crashEventVariable+"="+strconv.Itoa(r.fleet.tt.crashEvent))
	r.cmd.Stderr = os.Stderr
	out, err := r.cmd.StdoutPipe()
	if err == nil {
		err = r.cmd.Start()
	}
	if err != nil {
		r.fleet.t.Error(err)
		return nil, false
	}
	return bufio.NewScanner(out), true
}

// hasCrashed waits for the end of the process, and reports whether it ended by itself.
func (r *crashRunner) hasCrashed() bool {
	_ = r.cmd.Wait() // it was killed, or has crashed
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended
}

func (r *crashRunner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Kill() // it may have ended
	}
}
