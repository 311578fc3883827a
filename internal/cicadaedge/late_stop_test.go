package cicadaedge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/google/go-cmp/cmp"
)

// lateCaller is a caller that sends one request some time after a planned stop has begun.
type lateCaller struct {
	path     string
	sendAt   time.Duration // after the begin of the stop
	duration time.Duration // of the run
	opened   string        // "kept", "before" or "late": when its connection was opened
}

// lateAnswer is what the caller got. A status of 0 means that the connection ended without an answer.
type lateAnswer struct {
	status int
	whole  bool
	ran    bool
}

func (c *lateCaller) request(id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: k1\r\nX-Patience: 5000\r\nX-Run: %d\r\nContent-Length: 0\r\n\r\n",
		c.path, callerHost, id, c.duration.Milliseconds())
}

// exchange sends a request on a connection and reads the answer.
func (c *lateCaller) exchange(conn net.Conn, r *bufio.Reader, id string) lateAnswer {
	if _, err := io.WriteString(conn, c.request(id)); err != nil {
		return lateAnswer{}
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return lateAnswer{}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return lateAnswer{status: resp.StatusCode, whole: err == nil}
}

func TestRequestsLateInAPlannedStopEndWithoutAnAnswer(t *testing.T) {
	t.Parallel()
	const stopTimeout = 6 * time.Second
	f := newFleet(t)
	var mu sync.Mutex
	ran := map[string]bool{}
	f.addRunner(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		ran[req.Header.Get("X-Id")] = true
		mu.Unlock()
		var millis int
		_, _ = fmt.Sscan(req.Header.Get("X-Run"), &millis)
		select {
		case <-time.After(time.Duration(millis) * time.Millisecond):
		case <-req.Context().Done():
		}
		_, _ = io.WriteString(w, "whole") // the caller may have left
	})
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.StopTimeout = stopTimeout }))
	var callers []lateCaller
	for _, path := range []string{"/once/", "/again/"} {
		for _, opened := range []string{"kept", "before", "late"} {
			for sendAt := time.Duration(0); sendAt < stopTimeout; sendAt += 400 * time.Millisecond {
				for _, duration := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
					callers = append(callers, lateCaller{path: path, sendAt: sendAt, duration: duration, opened: opened})
				}
			}
		}
	}
	var begun, done sync.WaitGroup
	stopping := make(chan struct{})
	var stoppedAt time.Time
	for i, c := range callers {
		begun.Add(1)
		done.Go(func() {
			id := fmt.Sprintf("late%d", i)
			conn := openLate(t, n, &c, begun.Done, stopping, &stoppedAt)
			if conn == nil {
				return // refused, or closed unused
			}
			defer func() { _ = conn.Close() }()
			// The process ends half a second before it would be killed, and its connections with it.
			if err := conn.SetDeadline(stoppedAt.Add(stopTimeout - 400*time.Millisecond)); err != nil {
				t.Error(err)
			}
			got := c.exchange(conn, bufio.NewReader(conn), id)
			mu.Lock()
			got.ran = ran[id]
			mu.Unlock()
			switch {
			case got.status == 0 && got.ran:
				t.Errorf("%+v: passed on and ended without an answer", c)
			case got.status != 0 && !got.whole:
				t.Errorf("%+v: the answer is not whole", c)
			case got.status == http.StatusServiceUnavailable && got.ran:
				t.Errorf("%+v: refused as not run, and ran", c)
			case c.sendAt > 3*time.Second && got.ran && got.status != http.StatusOK:
				t.Errorf("%+v: passed on although it could not end in time, status %d", c, got.status)
			}
		})
	}
	begun.Wait()
	stoppedAt = time.Now()
	close(stopping)
	n.stop()
	done.Wait()
}

// openLate opens the connection of a caller and waits until it is to send its request. It returns nil if
// the router no longer accepts connections or has closed this one.
func openLate(t *testing.T, n *node, c *lateCaller, begun func(), stopping chan struct{}, stoppedAt *time.Time) net.Conn {
	t.Helper()
	open := func() net.Conn {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", n.addr)
		if err != nil {
			return nil
		}
		return conn
	}
	var conn net.Conn
	switch c.opened {
	case "kept":
		conn = open()
		first := *c
		first.duration = 0
		if got := first.exchange(conn, bufio.NewReader(conn), fmt.Sprintf("first%p", c)); got.status != http.StatusOK {
			t.Errorf("first request on a connection: %+v", got)
		}
	case "before":
		conn = open()
	}
	begun()
	<-stopping
	time.Sleep(time.Until(stoppedAt.Add(c.sendAt)))
	if conn == nil {
		conn = open()
	}
	return conn
}

func TestRequestInProgressAtTheEndOfAPlannedStopGetsNoAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	began := make(chan struct{}, 2)
	f.addRunner(func(_ http.ResponseWriter, req *http.Request) {
		began <- struct{}{}
		<-req.Context().Done()
	})
	metrics := cicadaedge.NewMetrics()
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.StopTimeout, cfg.Metrics = 2*time.Second, metrics }))
	answers := make(chan response, 2)
	for _, path := range []string{"/once/", "/stream/"} {
		go func() { answers <- call(t, n, path, map[string]string{"X-Patience": "5000"}, "") }()
	}
	for range 2 {
		<-began
	}
	n.stop()
	if inFlight := metrics.InFlight.Value(); inFlight > 0 {
		t.Fatalf("%d requests have no answer as the process ends", inFlight)
	}
	for range 2 {
		got := <-answers
		if diff := cmp.Diff(http.StatusGatewayTimeout, got.status); diff != "" || got.err != nil {
			t.Errorf("answer to a request that may have run (-want +got), error %v:\n%s", got.err, diff)
		}
	}
}
