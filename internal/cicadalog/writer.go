// Package cicadalog provides an asynchronous log writer that never blocks the caller.
package cicadalog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes limits the buffered lines. Further lines are dropped and
	// counted.
	maxPendingBytes = 256 << 10
	// flushDelay is how long lines are buffered before they are written, which
	// limits the number of system calls.
	flushDelay = 200 * time.Millisecond
)

// Writer buffers lines and writes them in the background. Close flushes it.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex // guards the fields below
	pending []byte
	closed  bool

	flushRequested chan struct{}
	done           chan struct{}
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, flushRequested: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full or the writer is closed.
// It never returns an error and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := w.closed || len(w.pending)+len(line) > maxPendingBytes
	if full {
		w.dropped.Add(1)
		w.mu.Unlock()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.flushRequested <- struct{}{}:
	default:
	}
	w.mu.Unlock()
	return len(line), nil
}

// Dropped returns the number of dropped lines and failed writes.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.flushRequested)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.flushRequested {
		time.Sleep(flushDelay)
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
		// The log output itself failed, so the failure can only be counted.
		w.dropped.Add(1)
	}
}
