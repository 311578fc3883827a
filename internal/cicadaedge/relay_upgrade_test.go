package cicadaedge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// startUnframedRelay starts the peer interface of a router of the build before framed relays. It accepts
// connections with a response header.
func (f *fleet) startUnframedRelay(name, accepted string) {
	f.t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go relayUnframed(conn, accepted)
		}
	}()
	f.store.put("routers", name, map[string]string{"boot": name, "relay": ln.Addr().String(), "place": "p"})
}

// relayUnframed passes on what router and runner send, and closes both connections with either.
func relayUnframed(conn net.Conn, accepted string) {
	defer func() { _ = conn.Close() }() // the other end may have closed it
	br := bufio.NewReader(conn)
	req, err := http.ReadRequest(br)
	if err != nil || req.Method != http.MethodConnect {
		return
	}
	runner, err := (&net.Dialer{}).DialContext(req.Context(), "tcp", req.Host)
	if err != nil {
		return
	}
	defer func() { _ = runner.Close() }()
	if _, err := io.WriteString(conn, accepted+"\r\n"); err != nil {
		return
	}
	go func() { _, _ = io.Copy(runner, br) }()
	_, _ = io.Copy(conn, runner)
}

// A relay of an earlier build does not tell its own end from that of the runner's connection.
func TestEndOfAnUnframedRelayLooksLikeTheEndOfAResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRawRunner(func(c *rawConn, req *http.Request) bool {
		if req.URL.Path == "/once/framed" {
			c.write(answerBytes(req.Header.Get("X-Id"), "whole"))
			return false
		}
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents)
		return false
	})
	var cut runnerCut
	host := f.waitReady(f.startNode("n1", cut.configure))
	f.startUnframedRelay("older", okStatus)
	eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
	cut.begin(cutReset)
	for _, path := range []string{"/once/", "/stream/"} {
		if got := call(t, host, path, nil, "x"); got.status == http.StatusOK && got.err == nil {
			t.Errorf("%s: a response whose end is not known looks complete: %q", path, got.body)
		}
	}
	if got := call(t, host, "/once/framed", nil, "x"); got.body != "whole" {
		t.Errorf("a response with a length: %+v", got)
	}
}

func TestMalformedResponseOfARelayCountsAsItsConsent(t *testing.T) {
	t.Parallel()
	for name, accepted := range map[string]string{
		"version 2.0":                          "HTTP/2.0 200 OK\r\n",
		"control byte in the status line":      "HTTP/1.1 200 O\x00K\r\n",
		"space in a name":                      okStatus + "X Note: a\r\n",
		"space before a name":                  okStatus + "X-Note: a\r\n X-Other: b\r\n",
		"space in a name of an early response": "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + okStatus,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			r := f.addRawRunner(func(c *rawConn, req *http.Request) bool {
				c.runner.runs.Add(1)
				c.write(answerBytes(req.Header.Get("X-Id"), "whole"))
				return false
			})
			var cut runnerCut
			host := f.waitReady(f.startNode("n1", cut.configure))
			f.startUnframedRelay("malformed", accepted)
			eventually(t, "the host knows the other one", func() bool { return host.RouterCount() == 2 })
			cut.begin(cutReset)
			got := call(t, host, "/once/", nil, "x")
			if diff := cmp.Diff([]any{http.StatusServiceUnavailable, int64(0)}, []any{got.status, r.runs.Load()}); diff != "" {
				t.Errorf("status and runs (-want +got)\n%s", diff)
			}
		})
	}
}

// A router of an earlier build takes the orderly end of a relayed connection for the runner's.
func TestRouterOfAnEarlierBuildTakesTheEndOfARelayForTheRunners(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		end      func(f *relayedFleet)
		complete bool
	}{
		"the runner ends": {func(f *relayedFleet) { close(f.finish) }, true},
		"the relay ends": {func(f *relayedFleet) {
			f.relayConns.mu.Lock()
			defer f.relayConns.mu.Unlock()
			for _, conn := range f.relayConns.conns {
				_ = conn.Close()
			}
		}, false},
		"the relay stops": {func(f *relayedFleet) { f.relay.stop() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRelayedFleet(t)
			entry := f.relay.Runners()[0]
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.relay.peerAddr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\nCicadadyke-Runner: %s\r\n\r\n", entry.Addr, entry.Addr, entry.ID)
			br := bufio.NewReader(conn)
			if resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodConnect}); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response of the relay: %v, %v", resp, err)
			}
			fmt.Fprintf(conn, "GET /once/ HTTP/1.1\r\nHost: x\r\nX-Id: q\r\n\r\n")
			<-f.wrote
			time.Sleep(50 * time.Millisecond) // the relay passes it on
			tt.end(f)
			var ended error
			for ended == nil {
				_, ended = br.ReadByte()
			}
			if errors.Is(ended, io.EOF) != tt.complete {
				t.Errorf("the connection ended with %v, the runner ended it: %v", ended, tt.complete)
			}
			if !tt.complete {
				close(f.finish)
			}
		})
	}
}
