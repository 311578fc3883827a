package cicadaedge_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

// TestEntriesThatNameNoUsableRunner guards against an entry of another writer that takes a runner out of use
// or fills the log: it is written again and read again all the time.
func TestEntriesThatNameNoUsableRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	var mu sync.Mutex
	logged := map[string]int{}
	n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) {
		cfg.Log = &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(e.Message, "no usable runner") {
				logged[e.Fields.Get("runner").(string)]++
			}
			return nil
		})}
	}))
	malformed := map[string]string{
		"bytes": "\x00\xff", "broken": "{broken", "empty": "", "list": "[]", "text": `"ready"`, "type": `{"ID":"type","Slots":"many"}`,
	}
	for range 3 {
		for id, value := range malformed {
			f.store.putRaw(tableRunners, id, []byte(value))
		}
		// The address is that of the usable runner.
		f.store.put(tableRunners, "service", cicadaplace.Entry{
			ID: "service", Service: "unknown", Addr: r.Listener.Addr().String(), DataCentre: "p", Slots: 8, SoftwareVersion: "v1",
		})
		time.Sleep(storeCallPeriod)
		f.store.mu.Lock()
		f.store.historyLost = true // the table is read again as a whole
		f.store.mu.Unlock()
		time.Sleep(storeCallPeriod)
		if diff := cmp.Diff(map[string]int{"ok": 5}, callAll(t, n, 5)); diff != "" {
			t.Errorf("responses beside entries of another writer (-want +got):\n%s", diff)
		}
	}
	f.store.putRaw(tableRunners, "broken", []byte("another"))
	f.putEntry(r, false)
	want := map[string]int{"bytes": 1, "broken": 2, "empty": 1, "list": 1, "text": 1, "type": 1, "service": 1}
	eventually(t, "the change of an entry is logged", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return logged["broken"] > 1
	})
	mu.Lock()
	defer mu.Unlock()
	if diff := cmp.Diff(want, logged); diff != "" {
		t.Errorf("log lines by entry (-want +got):\n%s", diff)
	}
}
