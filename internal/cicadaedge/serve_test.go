package cicadaedge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

func TestCompleteResponseAndRequestHeadersAtTheRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(func(w http.ResponseWriter, req *http.Request) {
		r.runs.Add(1)
		body, _ := io.ReadAll(req.Body)
		w.Header().Set("X-Extra", "kept")
		fmt.Fprintf(w, "%s %s %s", req.Method, req.RequestURI, body)
	})
	n := f.waitReady(f.startNode("n1"))
	got := call(t, n, "/once/a%2Fb?x=1&y", map[string]string{"X-Patience": "2000", "X-Tokens": "10,5"}, "hello")
	want := response{status: 200, body: "POST /once/a%2Fb?x=1&y hello"}
	if diff := cmp.Diff([]any{want.status, want.body, "kept"}, []any{got.status, got.body, got.header.Get("X-Extra")}); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	seen := r.lastRequest()
	if diff := cmp.Diff([]string{"", "acme", callerHost}, []string{seen.Header.Get("X-Key"), seen.Header.Get("X-Organisation"), seen.Host}); diff != "" {
		t.Errorf("key, organisation and host at the runner (-want +got):\n%s", diff)
	}
	var remaining int
	if _, err := fmt.Sscan(seen.Header.Get("X-Left"), &remaining); err != nil || remaining > 2000 || remaining < 1500 {
		t.Errorf("the runner was given %q ms, want 1500 to 2000", seen.Header.Get("X-Left"))
	}
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n := f.waitReady(f.startNode("n1"))
	for _, tt := range []struct {
		name, path string
		header     map[string]string
		body       string
		want       int
	}{
		{"no route", "/other/", nil, "", http.StatusNotFound},
		{"unknown key", "/once/", map[string]string{"X-Key": "k9"}, "", http.StatusUnauthorized},
		{"large body", "/once/", nil, strings.Repeat("x", 1<<16+1), http.StatusRequestEntityTooLarge},
		{"no id", "/once/", map[string]string{"X-Id": ""}, "", http.StatusBadRequest},
		{"malformed tokens", "/once/", map[string]string{"X-Tokens": "many"}, "", http.StatusBadRequest},
		{"over the budget", "/once/", map[string]string{"X-Tokens": "100001,0"}, "", http.StatusPaymentRequired},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := call(t, n, tt.path, tt.header, tt.body); got.status != tt.want {
				t.Errorf("status %d, want %d: %s", got.status, tt.want, got.body)
			}
		})
	}
	if got := r.runs.Load(); got != 0 {
		t.Errorf("%d refused requests ran", got)
	}
}

// TestOnceIsNeverSentTwice closes the connection after the request was sent. The request may have
// run and must not be sent again.
func TestOnceIsNeverSentTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for range 2 {
		r := f.addRunner(nil)
		r.setHandler(func(http.ResponseWriter, *http.Request) { r.runs.Add(1); abortConnection() })
	}
	n := f.waitReady(f.startNode("n1"))
	got := call(t, n, "/once/", nil, "order")
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502, since the request may have run", got.status)
	}
	if runs := f.runners[0].runs.Load() + f.runners[1].runs.Load(); runs != 1 {
		t.Errorf("the request ran %d times, want 1", runs)
	}
}

// TestNotRunIsSaidAndTrue makes a runner refuse a request without running it. The caller must be
// told so, and the reservation must be returned.
func TestNotRunIsSaidAndTrue(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuseNotRun)
	n := f.waitReady(f.startNode("n1"))
	got := call(t, n, "/once/", map[string]string{"X-Tokens": "10,5"}, "order")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 503 with a Retry-After", got.status, got.header.Get("Retry-After"))
	}
	eventually(t, "the reservation is returned", func() bool { return n.Accounts()[0].Reserved == 0 })
}

// TestIdempotentGoesToAnotherRunner makes one of two runners refuse, fail or send a response that
// must not be forwarded. An idempotent request must then be answered by the other runner.
func TestIdempotentGoesToAnotherRunner(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]http.HandlerFunc{
		"refused": refuseNotRun,
		"cut":     func(http.ResponseWriter, *http.Request) { abortConnection() },
		"failed":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprintf(w, "%s", "part")
			w.(http.Flusher).Flush()
			abortConnection()
		},
		"foreign": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Id", "another")
			fmt.Fprintf(w, "%s", "another caller's answer")
		},
		"unsealed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Del("X-Sealed")
			fmt.Fprintf(w, "%s", "made up")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			bad, good := f.addRunner(fault), f.addRunner(nil)
			good.setHandler(good.respondWith("whole"))
			n := f.waitReady(f.startNode("n1"))
			for range 6 {
				got := call(t, n, "/again/", nil, "")
				if got.status != http.StatusOK || got.body != "whole" {
					t.Errorf("status %d, body %q", got.status, got.body)
				}
			}
			if bad.lastRequest() == nil {
				t.Error("the faulty runner got no request")
			}
		})
	}
}

// TestBrokenAnswerIsNoSuccess checks that an incomplete response is never forwarded as complete on
// a route that does not allow a retry.
func TestBrokenAnswerIsNoSuccess(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		fmt.Fprintf(w, "%s", "part")
		w.(http.Flusher).Flush()
		abortConnection()
	})
	n := f.waitReady(f.startNode("n1"))
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusBadGateway {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
}

// TestEndedKeptConnections makes the runner close its idle connections. Requests that must not run
// twice are sent on a new connection, since nothing was written on the closed one.
func TestEndedKeptConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n := f.waitReady(f.startNode("n1"))
	for range 5 {
		if got := call(t, n, "/once/", nil, "order"); got.status != http.StatusOK {
			t.Errorf("status %d: %s", got.status, got.body)
		}
		r.CloseClientConnections()
		time.Sleep(20 * time.Millisecond)
	}
	if got := r.runs.Load(); got != 5 {
		t.Errorf("%d runs of 5 requests", got)
	}
}

// TestCallerThatLeaves checks that the request at the runner is cancelled within half a second
// after the caller has disconnected.
func TestCallerThatLeaves(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(func(_ http.ResponseWriter, req *http.Request) {
		select {
		case <-req.Context().Done():
		case <-time.After(5 * time.Second):
		}
	})
	n := f.waitReady(f.startNode("n1"))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := request(ctx, n, "/once/", nil, "order")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		eventually(t, "the runner has the request", func() bool { return r.lastRequest() != nil })
		cancel()
	}()
	if _, err := http.DefaultTransport.RoundTrip(req); err == nil {
		t.Fatal("the caller got a response after disconnecting")
	}
	select {
	case <-r.cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the request at the runner was not cancelled within half a second after the caller disconnected")
	}
}

// TestRouteTimeout checks that a request is answered when its timeout expires.
func TestRouteTimeout(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() })
	n := f.waitReady(f.startNode("n1"))
	startedAt := time.Now()
	got := call(t, n, "/once/", map[string]string{"X-Patience": "300"}, "order")
	if took := time.Since(startedAt); got.status != http.StatusGatewayTimeout || took > 800*time.Millisecond {
		t.Errorf("status %d after %v", got.status, took)
	}
}

// TestPlannedStop checks that a planned stop aborts no request, asks callers to close their
// connections and returns units.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 2)
		time.Sleep(time.Second)
		writeEvents(w, 2, 4)
	})
	n := f.waitReady(f.startNode("n1"))
	done := make(chan response, 1)
	go func() { done <- call(t, n, "/stream/", map[string]string{"X-Tokens": "100,10"}, "") }()
	eventually(t, "the stream has started", func() bool { return r.lastRequest() != nil })
	stopped := make(chan struct{})
	go func() { n.stop(); close(stopped) }()
	eventually(t, "the node is not ready", func() bool { return !n.Ready() })
	r.setHandler(r.respondWith("ok"))
	if got := call(t, n, "/again/", nil, ""); got.status != http.StatusOK || !got.connectionClose {
		t.Errorf("while stopping: status %d, connection closed: %v", got.status, got.connectionClose)
	}
	if got := <-done; got.err != nil || !strings.Contains(got.body, "e3") {
		t.Errorf("the stop aborted the stream: body %q, error %v", got.body, got.err)
	}
	<-stopped
	if got := drawnUnits(t, f, "acme"); got != 101+2 && got != 103 {
		t.Errorf("%d units are drawn after the stop, want the 103 used", got)
	}
}

// TestIdleTimeoutFollowsTheConfiguration sets an idle timeout in the configuration. It must apply
// instead of the default of the router's HTTP server.
func TestIdleTimeoutFollowsTheConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	f.doc.Version, f.doc.Limits.IdleTimeout = 2, 300*time.Millisecond
	f.publish()
	n := f.waitReady(f.startNode("n1"))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ask := func() time.Duration {
		if _, err := fmt.Fprintf(conn, "GET /again/ HTTP/1.1\r\nHost: %s\r\nX-Id: q\r\nX-Key: k1\r\n\r\n", callerHost); err != nil {
			t.Fatal(err)
		}
		startedAt := time.Now()
		if _, err := io.ReadAll(conn); err != nil {
			t.Fatal(err)
		}
		return time.Since(startedAt)
	}
	if open := ask(); open < 250*time.Millisecond || open > 2*time.Second {
		t.Errorf("an idle connection stayed open for %v, configured 300 ms", open)
	}
}

// TestEmptyOrdersAreNotRepeated sends empty requests of the kind that http.Transport resends by
// itself when a reused connection breaks. Each of them must run only once.
func TestEmptyOrdersAreNotRepeated(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	n := f.waitReady(f.startNode("n1"))
	for _, tt := range []struct{ method, header string }{
		{http.MethodPost, "Idempotency-Key"},
		{http.MethodPost, "X-Idempotency-Key"},
		{http.MethodOptions, "X-Other"},
		{http.MethodGet, "X-Other"},
		{http.MethodHead, "X-Other"},
		{http.MethodTrace, "X-Other"},
	} {
		r.setHandler(r.respondWith("ok"))
		call(t, n, "/once/", nil, "")
		before := r.runs.Load()
		r.setHandler(func(http.ResponseWriter, *http.Request) {
			r.runs.Add(1)
			abortConnection()
		})
		req, err := request(t.Context(), n, "/once/", map[string]string{tt.header: "k"}, "")
		if err != nil {
			t.Fatal(err)
		}
		req.Method = tt.method
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if ran := r.runs.Load() - before; ran != 1 || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%s with %s: the request ran %d times, status %d, want one run and %d", tt.method, tt.header, ran, resp.StatusCode, http.StatusBadGateway)
		}
		if key := r.lastRequest().Header.Get(tt.header); key != "k" {
			t.Errorf("%s: the runner got %s %q, want k", tt.method, tt.header, key)
		}
	}
}

// TestLateSecondAnswer makes a runner send a duplicate of an earlier response on a reused
// connection, before the next response and with its own length. No caller may get the response to
// another request.
func TestLateSecondAnswer(t *testing.T) {
	t.Parallel()
	for _, interval := range []time.Duration{0, 20 * time.Millisecond} {
		f := newFleet(t)
		ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		go respondTwice(ln, interval)
		f.store.put(tableRunners, "r1", cicadaplace.Entry{ID: "r1", Service: "svc", Addr: ln.Addr().String(), DataCentre: "p", Slots: 8})
		n := f.startNode("n1")
		eventually(t, "the node is ready", func() bool { return n.Ready() && len(n.Runners()) == 1 })
		statuses := map[int]int{}
		for i := range 40 {
			id := fmt.Sprintf("late%d", i)
			got := call(t, n, "/once/x", map[string]string{"X-Id": id}, "x")
			statuses[got.status]++
			if got.status == http.StatusOK && got.body != "answer to "+id {
				t.Errorf("the response to %s is %q", id, got.body)
			}
		}
		if statuses[http.StatusOK] == 0 || statuses[http.StatusBadGateway] == 0 {
			t.Errorf("statuses %v, want some 200, and some 502 for duplicate responses", statuses)
		}
	}
}

// respondTwice responds to each request on a connection, and repeats the response when the next
// request has been read.
func respondTwice(ln net.Listener, interval time.Duration) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			previous := ""
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				body := "answer to " + req.Header.Get("X-Id")
				resp := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sealed: yes\r\nContent-Length: %d\r\n\r\n%s",
					req.Header.Get("X-Id"), len(body), body)
				_, err = conn.Write([]byte(previous + resp))
				if err != nil {
					return
				}
				previous = resp
				time.Sleep(interval)
			}
		}()
	}
}
