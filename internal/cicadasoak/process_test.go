package cicadasoak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// processAddrVariable makes a process of this test a runner that listens at the address.
	processAddrVariable = "SOAK_RUNNER_ADDRESS"
	processEvents       = 40
	processInterval     = 50 * time.Millisecond
	// processListenTime bounds the wait for an address that the process before has.
	processListenTime = 5 * time.Second
	// processID is the id of each process, which it states at processHealthPath.
	processID         = "i-0"
	processHealthPath = "/health"
)

func TestMain(m *testing.M) {
	if addr := os.Getenv(processAddrVariable); addr != "" {
		fmt.Fprintln(os.Stderr, serveUnframed(addr))
		os.Exit(1)
	}
	if addr := os.Getenv(crashAddrVariable); addr != "" {
		fmt.Fprintln(os.Stderr, serveCrashing(addr))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// serveUnframed serves requests with responses that end with their connections.
func serveUnframed(addr string) error {
	ln, err := listenPatiently(&net.ListenConfig{}, addr)
	if err != nil {
		return err
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go serveUnframedConn(conn)
	}
}

func serveUnframedConn(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the router may have closed it
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if req.URL.Path == processHealthPath {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRunner-Id: %s\r\nContent-Length: 0\r\n\r\n", processID)
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n", req.Header.Get("Request-Id"))
	for n := range processEvents {
		fmt.Fprintf(conn, "%s", streamEvent("x", n+1))
		time.Sleep(processInterval)
	}
}

// startProcess starts a runner process.
func startProcess(t *testing.T, addr string) *exec.Cmd {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), processAddrVariable+"="+addr)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd
}

// callProcess returns the body of a response, and whether it looks complete. No other request has the same path: one
// that is at several crashes is put into quarantine.
func (s *soak) callProcess(prefix, id string) (string, bool) {
	target := "http://" + s.routers[0].callerAddr + prefix + url.PathEscape(id)
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, target, http.NoBody)
	if err != nil {
		return err.Error(), false
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err == nil && resp.StatusCode == http.StatusOK
}

// The process is there again before the router can find its address empty. It may state its id, which is that
// of the process before.
func TestRestartedRunnerProcessCompletesItsResponses(t *testing.T) {
	binary := buildRouter(t)
	for name, healthPath := range map[string]string{"no statement": "", "the successor states the same id": processHealthPath} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRestartedProcess(t, binary, healthPath)
		})
	}
}

func checkRestartedProcess(t *testing.T, binary, healthPath string) {
	t.Helper()
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	kinds := []string{"idempotent", "non_idempotent", "streaming", "resumable"}
	var routes []any
	for _, k := range kinds {
		route := map[string]any{
			"Name": k, "Host": host, "Prefix": "/" + k + "/", "Kind": k, "DeadlineMs": 10_000, "LatencyTargetMs": 2000, "GapTargetMs": 1000,
			"Service": "svc", "MaxAttempts": 2,
		}
		if k == "resumable" {
			route["Kind"], route["CanResume"] = "streaming", true
		}
		routes = append(routes, route)
	}
	s.store.putRow("op", "config", map[string]any{
		"Version": 1, "Routes": routes, "Services": []any{map[string]any{"Name": "svc", "MaxConns": 200, "HealthPath": healthPath}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	})
	addr := freeAddr(t)
	s.store.putRow("servers", processID, map[string]any{
		"Service": "svc", "Address": addr, "Zone": "z", "Version": "1", "Slots": 32, "State": "ready", "Seq": 1,
	})
	process := startProcess(t, addr)
	s.addRouter(binary, t.TempDir())
	whole := func() bool {
		body, complete := s.callProcess("/streaming/", "ready")
		return complete && strings.Count(body, "\n\n") == processEvents
	}
	for end := time.Now().Add(15 * time.Second); !whole(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no whole response within 15 s")
		}
	}
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond} {
			var calls sync.WaitGroup
			for _, k := range kinds {
				for i := range 6 {
					calls.Go(func() {
						body, complete := s.callProcess("/"+k+"/", fmt.Sprint(sig, pause, k, i))
						events := strings.Count(body, "\n\n")
						if complete && events != processEvents {
							t.Errorf("%v, again after %v, %s: %d events look complete", sig, pause, k, events)
						}
						if events == 0 && !strings.Contains(body, "may not be complete") {
							t.Errorf("%v, again after %v, %s: nothing came of the runner: %s", sig, pause, k, body)
						}
					})
				}
			}
			time.Sleep(processEvents * processInterval / 2)
			if err := process.Process.Signal(sig); err != nil {
				t.Error(err)
			}
			time.Sleep(pause)
			next := startProcess(t, addr)
			_ = process.Wait() // it was ended
			process = next
			calls.Wait()
			time.Sleep(2 * time.Second) // the runner is used again
		}
	}
	_ = process.Process.Kill()
	_ = process.Wait()
}
