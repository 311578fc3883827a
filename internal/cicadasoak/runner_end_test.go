package cicadasoak_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// maxRestartTime is how long it takes at most until another process accepts connections at the address
	// of a runner that has ended.
	maxRestartTime = 30 * time.Millisecond
	// entryLife is how long the entry of a process that has ended stays.
	entryLife = 300 * time.Millisecond
	// segmentBytes and receiveBytes are those of a link between hosts, which holds less than loopback.
	segmentBytes = 1400
	receiveBytes = 32 << 10
)

// Accept waits for the next connection.
func (l *runnerListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil {
		l.runner.mu.Lock()
		defer l.runner.mu.Unlock()
		l.runner.conns[conn] = true
	}
	return conn, err
}

// Close ends the wait for connections. The listener is closed by kill.
func (l *runnerListener) Close() error { return l.SetDeadline(time.Now()) }

// narrowSocket sets the buffers of a listener and its connections.
func narrowSocket(_, _ string, conn syscall.RawConn) error {
	var optErr error
	err := conn.Control(func(fd uintptr) {
		optErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
		)
	})
	return errors.Join(err, optErr)
}

// start makes the runner accept connections.
func (r *runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln == nil {
		ln, err := listenPatiently(&net.ListenConfig{Control: narrowSocket}, r.addr)
		if err != nil {
			r.t.Error(err)
			return
		}
		r.ln = ln.(*net.TCPListener)
	}
	_ = r.ln.SetDeadline(time.Time{}) // a listener that has failed is reported by Serve
	r.server, r.served = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}, make(chan struct{})
	srv, ln, served := r.server, &runnerListener{r.ln, r}, r.served
	go func() {
		defer close(served)
		_ = srv.Serve(ln) // ends with the runner
	}()
}

// kill ends all connections, as the kernel does for a killed process, and the listener before them, unless
// another process holds it.
func (r *runner) kill(closeListener bool) {
	r.mu.Lock()
	if closeListener && r.ln != nil {
		_ = r.ln.Close() // no request uses it
		r.ln = nil
	}
	server, served := r.server, r.served
	r.mu.Unlock()
	_ = server.Close() // its connections end below
	<-served
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close() // it may have ended
	}
	r.conns = map[net.Conn]bool{}
}

// fault puts the runner into a mode for some time.
func (r *runner) fault(mode runnerMode, d time.Duration) {
	switch mode {
	case runnerCrashes:
		r.restart(d, true)
	case runnerRestarts:
		r.restart(d%maxRestartTime, true)
	case runnerIsReplaced:
		r.restart(0, false)
	default:
		r.setMode(mode)
		time.Sleep(d)
		r.setMode(runnerHealthy)
	}
}

// restart ends the runner's process and starts another one some time later.
func (r *runner) restart(delay time.Duration, closeListener bool) {
	r.crash.Lock() // another fault may have killed it
	defer r.crash.Unlock()
	r.kill(closeListener)
	time.Sleep(delay)
	r.mu.Lock()
	ended, limit := r.id, r.limit
	r.boots++
	r.id = fmt.Sprintf("%s-%d", r.name, r.boots)
	r.mu.Unlock()
	r.setLimit(limit) // routers learn that of the next process anew
	r.start()
	r.register()
	time.Sleep(entryLife)
	r.store.remove("servers", ended)
}

func (r *runner) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// register writes the runner's entry.
func (r *runner) register() {
	r.store.putRow("servers", r.currentID(), map[string]any{
		"Service": "svc", "Address": r.addr, "Zone": "z", "Version": "1", "Slots": 16, "State": "ready", "Seq": 1,
	})
}

// answerFirst sends a response that ends with its connection before it reads the request's body. Then it
// resets the connection, closes it with a long body unread, which resets it too, or reads the body and closes
// it.
func (r *runner) answerFirst(w http.ResponseWriter, req *http.Request, id string) {
	r.mu.Lock()
	reset, closes := r.rnd.IntN(3) == 0, req.ContentLength >= longBodyBytes && r.rnd.IntN(2) == 0
	r.mu.Unlock()
	conn, br, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\n", rawHeader(w, req))
	parts := rawBody(req, id)
	for i, part := range parts {
		if (reset || closes) && i == (len(parts)+1)/2 {
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		_, _ = fmt.Fprintf(conn, "%s", part)
		time.Sleep(eventInterval)
	}
	_, _ = io.CopyN(io.Discard, br, req.ContentLength)
}
