package cicadalog_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadalog"
	"github.com/google/go-cmp/cmp"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex // guards buf
	buf     bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// TestBlockedOutputDoesNotBlockWrite checks that Write drops lines instead of waiting
// when the output blocks and the buffer is full.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := cicadalog.NewWriter(out)
	line := bytes.Repeat([]byte("x"), 1000)
	start := time.Now()
	for range 2000 {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("writing 2000 lines took %v, want at most 1 s", elapsed)
	}
	if w.Dropped() == 0 {
		t.Error("no lines were dropped, so the buffer is not limited")
	}
	close(out.release)
	w.Close()
}

func TestCloseFlushesPendingLines(t *testing.T) {
	var out bytes.Buffer
	w := cicadalog.NewWriter(&out)
	for _, line := range []string{"a\n", "b\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	w.Close()
	if diff := cmp.Diff("a\nb\n", out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
	if _, err := w.Write([]byte("late\n")); err != nil || w.Dropped() != 1 {
		t.Errorf("write after Close: got error %v and %d dropped lines, want no error and 1 dropped", err, w.Dropped())
	}
}
