package cicadaedge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The end of a connection whose response is not read yet is behind the bytes that are on their way.
func TestEndOfARunnerBehindABusyConnectionLooksLikeTheEndOfItsResponse(t *testing.T) {
	t.Parallel()
	const floodHeader = "X-Flood"
	f := newFleet(t)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := replacedRunner{&endedRunner{killableListener: &killableListener{Listener: ln}, wrote: make(chan struct{}, 10), ended: make(chan struct{})}}
	f.addRawRunnerOn(r, func(c *rawConn, req *http.Request) bool {
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents[:len(unframedEvents)/2])
		r.wrote <- struct{}{}
		event := []byte("data: " + strings.Repeat("x", 4000) + "\n\n")
		for req.Header.Get(floodHeader) != "" {
			if _, err := c.Write(event); err != nil {
				return false
			}
		}
		<-r.ended
		return false
	})
	host := f.startHost(false)
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", host.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }() // it reads nothing
	fmt.Fprintf(caller, "GET /stream/ HTTP/1.1\r\nHost: %s\r\nX-Id: flood\r\nX-Key: k1\r\n%s: 1\r\n\r\n", callerHost, floodHeader)
	<-r.wrote
	time.Sleep(time.Second) // until all buffers are full
	got := make(chan response, 1)
	go func() { got <- call(t, host, "/once/", nil, "x") }()
	<-r.wrote
	replacements["listener goes on in another process"](t, r)
	if res := <-got; res.status == http.StatusOK && res.err == nil {
		t.Errorf("part of a response looks complete: %q", res.body)
	}
}

// The connections of a process that is gone end one after the other, while its successor accepts others.
func TestConnectionToTheSuccessorLooksLikeOneToTheRunner(t *testing.T) {
	t.Parallel()
	for _, path := range paths {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			const refuseHeader = "X-Refuse"
			f := newFleet(t)
			ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			r := &killableListener{Listener: ln}
			answering, ended := make(chan net.Conn, 10), make(chan struct{})
			f.addRawRunnerOn(r, func(c *rawConn, req *http.Request) bool {
				if req.Header.Get(refuseHeader) != "" || req.Header.Get("X-After") != "" {
					c.write(refusalBytes(req.Header.Get("X-Id")))
					return true
				}
				c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents[:len(unframedEvents)/2])
				answering <- c.Conn
				<-ended
				return false
			})
			host := f.startHost(false)
			got := make(chan response, 1)
			go func() { got <- call(t, host, path, nil, "x") }()
			conn := <-answering
			r.mu.Lock()
			before := r.conns
			r.conns = nil
			r.mu.Unlock()
			_ = conn.(*net.TCPConn).CloseWrite()
			call(t, host, "/once/", map[string]string{refuseHeader: "1"}, "x")
			for _, c := range before {
				_ = c.CloseWrite()
			}
			close(ended)
			if res := <-got; res.status == http.StatusOK && res.err == nil {
				t.Errorf("part of a response looks complete: %q", res.body)
			}
		})
	}
}
