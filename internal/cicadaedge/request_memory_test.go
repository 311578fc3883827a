package cicadaedge_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
)

// Callers send bodies of the allowed size at the same time, with a length and in chunks.
func TestRequestBodiesTakeARoutersMemory(t *testing.T) {
	t.Parallel()
	const (
		callers, bodyBytes = 30, 1 << 20
		memoryLimit        = 40 << 20
	)
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.doc.Version, f.doc.Limits.MaxBodyBytes = 2, bodyBytes
			f.publish()
			r, finish := f.addRunner(nil), make(chan struct{})
			r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				r.runs.Add(1)
				<-finish
				_, _ = io.WriteString(w, "whole") // the caller waits
			})
			n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.MemoryLimitBytes = memoryLimit }))
			send := func(size int) int {
				req, err := request(t.Context(), n, "/once/", nil, strings.Repeat("x", size))
				if err != nil {
					t.Error(err)
					return 0
				}
				if chunked {
					req.ContentLength = -1
				}
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					return 0
				}
				defer func() { _ = resp.Body.Close() }()
				return resp.StatusCode
			}
			var group sync.WaitGroup
			var got outcomes
			for range callers {
				group.Go(func() { got.add("large", response{status: send(bodyBytes)}) })
			}
			eventually(t, "all requests are refused or run", func() bool {
				got.mu.Lock()
				defer got.mu.Unlock()
				return got.by["large"][http.StatusServiceUnavailable]+got.by["large"][0]+int(r.runs.Load()) >= callers
			})
			if held := r.runs.Load() * bodyBytes; held == 0 || held > memoryLimit/4 {
				t.Errorf("bodies of %d bytes are held, %d allowed", held, memoryLimit/4)
			}
			small := make(chan int, 1)
			go func() { small <- send(1 << 10) }()
			close(finish)
			if status := <-small; status != http.StatusOK {
				t.Errorf("a small body: status %d", status)
			}
			group.Wait()
			if status := send(bodyBytes); status != http.StatusOK {
				t.Errorf("a large body after the others: status %d", status)
			}
		})
	}
}
