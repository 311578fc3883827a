// Package cicadalog writes log lines without ever blocking who logs.
package cicadalog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPending bounds the lines not yet written, in bytes; lines beyond it are
	// dropped and counted.
	maxPending = 256 << 10
	// flushEvery is how long lines are gathered, so that a busy process makes few
	// system calls.
	flushEvery = 200 * time.Millisecond
)

// Writer gathers lines and writes them from its own goroutine. Close writes what
// is left.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex // guards the fields below
	pending []byte
	closed  bool

	wake chan struct{}
	done chan struct{}
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails and never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := w.closed || len(w.pending)+len(line) > maxPending
	if full {
		w.dropped.Add(1)
		w.mu.Unlock()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	w.mu.Unlock()
	return len(line), nil
}

// Dropped returns the number of lines that did not fit.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is left and ends the goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushEvery)
		w.flush()
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		// There is nowhere left to say so but the counter.
		w.dropped.Add(1)
	}
}
