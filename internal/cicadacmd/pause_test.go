package cicadacmd_test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/google/go-cmp/cmp"
)

// The router is paused for longer than an engine may be silent, while the engine completes a stream.
func TestPausedRouterResumesStreams(t *testing.T) {
	f := newFleet(t, 1)
	p := f.routers[0]
	f.callUntilComplete(p, "first", "")
	result := make(chan cicadaload.Result, 1)
	go func() { result <- f.call(p, "paused", "") }()
	time.Sleep(60 * time.Millisecond) // shorter than the stream
	for _, sig := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := p.cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		if sig == syscall.SIGSTOP {
			time.Sleep(4 * time.Second)
		}
	}
	res := <-result
	if diff := cmp.Diff([]any{cicadaload.Complete, 0}, []any{res.Verdict, f.streamsResumed(p)}); diff != "" {
		t.Errorf("verdict and resumed streams (-want +got)\n%s", diff)
	}
}

func (f *fleet) streamsResumed(p *process) int {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+p.operators+"/debug/vars", http.NoBody)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer op")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var metrics struct {
		Requests map[string]int `json:"requests"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&metrics); err != nil {
		f.t.Fatalf("metrics, status %d: %v", resp.StatusCode, err)
	}
	return metrics.Requests["streamsResumed"]
}
