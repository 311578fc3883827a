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

func TestWholeAnswerAndWhatTheRunnerSees(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(func(w http.ResponseWriter, req *http.Request) {
		r.runs.Add(1)
		body, _ := io.ReadAll(req.Body)
		w.Header().Set("X-Extra", "kept")
		fmt.Fprintf(w, "%s %s %s", req.Method, req.RequestURI, body)
	})
	n := f.ready(f.node("n1"))
	got := call(t, n, "/once/a%2Fb?x=1&y", map[string]string{"X-Patience": "2000", "X-Tokens": "10,5"}, "hello")
	want := reply{status: 200, body: "POST /once/a%2Fb?x=1&y hello"}
	if diff := cmp.Diff([]any{want.status, want.body, "kept"}, []any{got.status, got.body, got.header.Get("X-Extra")}); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	seen := r.request()
	if diff := cmp.Diff([]string{"", "acme", callerHost}, []string{seen.Header.Get("X-Key"), seen.Header.Get("X-Organisation"), seen.Host}); diff != "" {
		t.Errorf("key, organisation and host at the runner (-want +got):\n%s", diff)
	}
	var left int
	if _, err := fmt.Sscan(seen.Header.Get("X-Left"), &left); err != nil || left > 2000 || left < 1500 {
		t.Errorf("the runner was given %q ms of 2000", seen.Header.Get("X-Left"))
	}
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	n := f.ready(f.node("n1"))
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

// TestOnceIsNeverSentTwice breaks the connection after the request was sent.
func TestOnceIsNeverSentTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for range 2 {
		r := f.addRunner(nil)
		r.does(func(http.ResponseWriter, *http.Request) { r.runs.Add(1); cut() })
	}
	n := f.ready(f.node("n1"))
	got := call(t, n, "/once/", nil, "order")
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d promises something that is not known", got.status)
	}
	if runs := f.runners[0].runs.Load() + f.runners[1].runs.Load(); runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

// TestNotRunIsSaidAndTrue lets a runner refuse a request unread.
func TestNotRunIsSaidAndTrue(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(refuses)
	n := f.ready(f.node("n1"))
	got := call(t, n, "/once/", map[string]string{"X-Tokens": "10,5"}, "order")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	eventually(t, "the reservation is given back", func() bool { return n.Accounts()[0].Reserved == 0 })
}

func TestIdempotentGoesToAnotherRunner(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]http.HandlerFunc{
		"refused": refuses,
		"cut":     func(http.ResponseWriter, *http.Request) { cut() },
		"failed":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprintf(w, "%s", "part")
			w.(http.Flusher).Flush()
			cut()
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
			good.does(good.answer("whole"))
			n := f.ready(f.node("n1"))
			for range 6 {
				got := call(t, n, "/again/", nil, "")
				if got.status != http.StatusOK || got.body != "whole" {
					t.Errorf("status %d, body %q", got.status, got.body)
				}
			}
			if bad.request() == nil {
				t.Error("the faulty runner was never asked")
			}
		})
	}
}

// TestBrokenAnswerIsNoSuccess checks that what a runner did not finish is never
// given as whole where it may not run again.
func TestBrokenAnswerIsNoSuccess(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		fmt.Fprintf(w, "%s", "part")
		w.(http.Flusher).Flush()
		cut()
	})
	n := f.ready(f.node("n1"))
	if got := call(t, n, "/once/", nil, ""); got.status != http.StatusBadGateway {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
}

// TestEndedKeptConnections lets the runner close its idle connections: calls
// that may run once go on a new one, since nothing was written on the old.
func TestEndedKeptConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	n := f.ready(f.node("n1"))
	for range 5 {
		if got := call(t, n, "/once/", nil, "order"); got.status != http.StatusOK {
			t.Errorf("status %d: %s", got.status, got.body)
		}
		r.CloseClientConnections()
		time.Sleep(20 * time.Millisecond)
	}
	if got := r.runs.Load(); got != 5 {
		t.Errorf("%d runs of 5 orders", got)
	}
}

// TestCallerThatLeaves checks that the runner is told within half a second.
func TestCallerThatLeaves(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(func(_ http.ResponseWriter, req *http.Request) {
		select {
		case <-req.Context().Done():
		case <-time.After(5 * time.Second):
		}
	})
	n := f.ready(f.node("n1"))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := request(ctx, n, "/once/", nil, "order")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		eventually(t, "the runner has the request", func() bool { return r.request() != nil })
		cancel()
	}()
	if _, err := http.DefaultTransport.RoundTrip(req); err == nil {
		t.Fatal("an answer came")
	}
	select {
	case <-r.ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the runner still works half a second after the caller left")
	}
}

// TestRouteTimeout checks that a request is answered when its time is over.
func TestRouteTimeout(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRunner(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() })
	n := f.ready(f.node("n1"))
	began := time.Now()
	got := call(t, n, "/once/", map[string]string{"X-Patience": "300"}, "order")
	if took := time.Since(began); got.status != http.StatusGatewayTimeout || took > 800*time.Millisecond {
		t.Errorf("status %d after %v", got.status, took)
	}
}

// TestPlannedStop checks that a stop cuts nothing, tells callers and gives units
// back.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 2)
		time.Sleep(time.Second)
		events(w, 2, 4)
	})
	n := f.ready(f.node("n1"))
	done := make(chan reply, 1)
	go func() { done <- call(t, n, "/stream/", map[string]string{"X-Tokens": "100,10"}, "") }()
	eventually(t, "the stream has begun", func() bool { return r.request() != nil })
	stopped := make(chan struct{})
	go func() { n.stop(); close(stopped) }()
	eventually(t, "the node says that it is not ready", func() bool { return !n.Ready() })
	r.does(r.answer("ok"))
	if got := call(t, n, "/again/", nil, ""); got.status != http.StatusOK || !got.closes {
		t.Errorf("while stopping: status %d, connection closed: %v", got.status, got.closes)
	}
	if got := <-done; got.err != nil || !strings.Contains(got.body, "e3") {
		t.Errorf("the stream was cut by the stop: %q, %v", got.body, got.err)
	}
	<-stopped
	if got := drawn(t, f, "acme"); got != 101+2 && got != 103 {
		t.Errorf("%d units are drawn after the stop, 103 were used", got)
	}
}

// TestIdleConnectionsFollowTheConfiguration changes the idle time while the
// router runs.
func TestIdleConnectionsFollowTheConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.does(r.answer("ok"))
	f.doc.Version, f.doc.Limits.IdleTimeout = 2, 300*time.Millisecond
	f.publish()
	n := f.ready(f.node("n1"))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ask := func() time.Duration {
		if _, err := fmt.Fprintf(conn, "GET /again/ HTTP/1.1\r\nHost: %s\r\nX-Id: q\r\nX-Key: k1\r\n\r\n", callerHost); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := io.ReadAll(conn); err != nil {
			t.Fatal(err)
		}
		return time.Since(began)
	}
	if open := ask(); open < 250*time.Millisecond || open > 2*time.Second {
		t.Errorf("an idle connection was open for %v, configured 300 ms", open)
	}
}

// TestEmptyOrdersAreNotRepeated sends empty orders that some HTTP clients repeat by
// themselves when a kept connection breaks.
func TestEmptyOrdersAreNotRepeated(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	n := f.ready(f.node("n1"))
	for _, tt := range []struct{ method, header string }{
		{http.MethodPost, "Idempotency-Key"},
		{http.MethodPost, "X-Idempotency-Key"},
		{http.MethodOptions, "X-Other"},
		{http.MethodGet, "X-Other"},
		{http.MethodHead, "X-Other"},
	} {
		r.does(r.answer("ok"))
		call(t, n, "/once/", nil, "")
		before := r.runs.Load()
		r.does(func(http.ResponseWriter, *http.Request) {
			r.runs.Add(1)
			cut()
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
			t.Errorf("%s with %s: an order ran %d times, status %d, want once and %d", tt.method, tt.header, ran, resp.StatusCode, http.StatusBadGateway)
		}
		if key := r.request().Header.Get(tt.header); key != "k" {
			t.Errorf("%s: the runner saw %s %q, want k", tt.method, tt.header, key)
		}
	}
}

// TestLateSecondAnswer lets a runner send a copy of an answer on a connection that is in
// use again, before the next answer and with its own length.
func TestLateSecondAnswer(t *testing.T) {
	t.Parallel()
	for _, gap := range []time.Duration{0, 20 * time.Millisecond} {
		f := newFleet(t)
		ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		go answerTwice(ln, gap)
		f.store.put(tableRunners, "r1", cicadaplace.Entry{ID: "r1", Service: "svc", Addr: ln.Addr().String(), DataCentre: "p", Slots: 8})
		n := f.node("n1")
		eventually(t, "the node is ready", func() bool { return n.Ready() && len(n.Runners()) == 1 })
		statuses := map[int]int{}
		for i := range 40 {
			id := fmt.Sprintf("late%d", i)
			got := call(t, n, "/once/x", map[string]string{"X-Id": id}, "x")
			statuses[got.status]++
			if got.status == http.StatusOK && got.body != "answer to "+id {
				t.Errorf("the answer to %s is %q", id, got.body)
			}
		}
		if statuses[http.StatusOK] == 0 || statuses[http.StatusBadGateway] == 0 {
			t.Errorf("statuses %v, want answers, and second ones that were met and not given", statuses)
		}
	}
}

// answerTwice answers each request on its connection, and once more when the next one has
// been read.
func answerTwice(ln net.Listener, gap time.Duration) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			last := ""
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				body := "answer to " + req.Header.Get("X-Id")
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sealed: yes\r\nContent-Length: %d\r\n\r\n%s",
					req.Header.Get("X-Id"), len(body), body)
				_, err = conn.Write([]byte(last + answer))
				if err != nil {
					return
				}
				last = answer
				time.Sleep(gap)
			}
		}()
	}
}
