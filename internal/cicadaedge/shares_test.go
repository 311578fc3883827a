package cicadaedge_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The rows of other routers cannot be read, such as those of a later build.
func TestRoutersWithUnreadableRowsHaveNoShare(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	r := f.addRunner(nil)
	r.setHandler(r.respondWith("ok"))
	n1 := f.waitReady(f.startNode("n1"))
	f.waitReady(f.startNode("n2"))
	eventually(t, "both routers are known", func() bool { return n1.RouterCount() == 2 })
	for name, row := range map[string]string{
		"n2": `{"boot":7}`, "n3": `{"boot":"b","relay":"127.0.0.1:1","limits":"none"}`, "n4": "{broken", "n5": "null", "n6": "",
	} {
		f.store.putRaw("routers", name, []byte(row))
	}
	f.store.put("routers", "n7", map[string]string{"boot": "b", "relay": "127.0.0.1:1"})
	time.Sleep(2 * time.Second) // the rows are read within that time
	if diff := cmp.Diff(7, n1.RouterCount()); diff != "" {
		t.Errorf("routers (-want +got)\n%s", diff)
	}
	f.store.remove("routers", "n4")
	eventually(t, "the router without a row is gone", func() bool { return n1.RouterCount() == 6 })
	if got := call(t, n1, "/again/", nil, ""); got.status != 200 {
		t.Errorf("status %d, want 200", got.status)
	}
}
