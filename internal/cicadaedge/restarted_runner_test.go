package cicadaedge_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/google/go-cmp/cmp"
)

// idleConns is the number of idle connections to the runner beside the one that breaks.
const idleConns = 3

// The runner's address accepts connections all the time, so that a dial shows nothing.
func TestRunnerThatIsBackAtOnceHasNotCrashed(t *testing.T) {
	t.Parallel()
	closeAll := func(t *testing.T, conns []net.Conn, reset bool) {
		t.Helper()
		for _, conn := range conns {
			if reset {
				if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
					t.Error(err)
				}
			}
			_ = conn.Close() // the router may have closed it
		}
	}
	for name, tt := range map[string]struct {
		end  func(t *testing.T, conns []net.Conn) // the last connection is the one in use
		born int64                                // of the entry that follows; zero for none
		want int64
	}{
		"the process ends":                   {end: func(t *testing.T, conns []net.Conn) { closeAll(t, conns, false) }, want: 1},
		"the network resets all connections": {end: func(t *testing.T, conns []net.Conn) { closeAll(t, conns, true) }},
		"the runner breaks off an answer":    {end: func(t *testing.T, conns []net.Conn) { closeAll(t, conns[idleConns:], false) }},
		"the runner breaks off an answer and closes an idle connection": {
			end: func(t *testing.T, conns []net.Conn) { closeAll(t, conns[idleConns-1:], false) },
		},
		"the entry of its next start arrives": {end: func(t *testing.T, conns []net.Conn) { closeAll(t, conns[idleConns:], false) }, born: 2, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var warm sync.WaitGroup
			warm.Add(idleConns + 1)
			conns := make(chan net.Conn, idleConns+1)
			last := make(chan net.Conn, 1)
			r := f.addRawRunnerOn(ln, func(c *rawConn, req *http.Request) bool {
				if req.URL.Path == "/again/" {
					conns <- c.Conn
					warm.Done()
					warm.Wait() // each request has a connection of its own
					c.write(answerBytes(req.Header.Get("X-Id"), "x"))
					return true
				}
				last <- c.Conn
				time.Sleep(time.Second)
				return true
			})
			metrics := cicadaedge.NewMetrics()
			n := f.waitReady(f.startNode("n1", func(cfg *cicadaedge.Config) { cfg.Metrics = metrics }))
			var calls sync.WaitGroup
			for range idleConns + 1 {
				calls.Go(func() { call(t, n, "/again/", nil, "x") })
			}
			calls.Wait()
			time.Sleep(50 * time.Millisecond) // the connections do not end as those of responses
			calls.Go(func() { call(t, n, "/once/", nil, "harmful") })
			var open []net.Conn
			inUse := <-last
			for range idleConns + 1 {
				if conn := <-conns; conn != inUse {
					open = append(open, conn)
				}
			}
			tt.end(t, append(open, inUse))
			if tt.born > 0 {
				time.Sleep(100 * time.Millisecond)
				f.store.put(tableRunners, r.id, cicadaplace.Entry{
					ID: r.id, Service: "svc", Addr: ln.Addr().String(), DataCentre: "p", Slots: 8, SoftwareVersion: "v1", StartMillis: tt.born,
				})
			}
			calls.Wait()
			time.Sleep(600 * time.Millisecond) // until the runner was checked and its entry was read
			if diff := cmp.Diff(tt.want, metrics.Crashes.Value()); diff != "" {
				t.Errorf("crashes (-want +got):\n%s", diff)
			}
		})
	}
}
