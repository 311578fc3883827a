package cicadaedge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const healthPath = "/health"

// RunnerID returns the id that a runner states in its response to a health check.
func (dialect) RunnerID(resp *http.Response) string { return resp.Header.Get("X-Runner-Id") }

// The service has framed all its responses before, so no other connection is open when this one ends.
func TestFirstResponseThatEndsWithItsConnectionIsCut(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		statement string // of whoever has the runner's address
		silent    bool
		complete  bool
	}{
		"by the runner":          {statement: okStatus + "X-Runner-Id: raw1\r\n", complete: true},
		"by another runner":      {statement: okStatus + "X-Runner-Id: raw2\r\n"},
		"without an id":          {statement: okStatus},
		"without any statement":  {silent: true},
		"with status 000":        {statement: "HTTP/1.1 000 OK\r\nX-Runner-Id: raw1\r\n"},
		"with a space in a name": {statement: okStatus + "X-Runner-Id: raw1\r\nX Note: a\r\n"},
		"with encoding in 1.0":   {statement: "HTTP/1.0 200 OK\r\nX-Runner-Id: raw1\r\nTransfer-Encoding: chunked\r\n"},
	} {
		for _, path := range paths {
			t.Run(name+" "+strings.Trim(path, "/"), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.doc.Version, f.doc.Services[0].HealthPath = 2, healthPath
				f.publish()
				f.addRawRunner(func(c *rawConn, req *http.Request) bool {
					id := req.Header.Get("X-Id")
					switch {
					case req.URL.Path == healthPath && !tt.silent:
						c.write(tt.statement + "Content-Length: 0\r\n\r\n")
						return false
					case req.URL.Path == healthPath:
						return true
					case c.runner.runs.Add(1) == 1:
						c.write(answerBytes(id, unframedEvents))
						return false
					}
					c.write(unframedHeader + id + "\r\n\r\n" + unframedEvents)
					return false
				})
				host := f.startHost(false)
				call(t, host, "/once/", nil, "x")
				time.Sleep(50 * time.Millisecond) // its connection has ended, and is not used again
				got := call(t, host, path, nil, "x")
				whole := got.status == http.StatusOK && got.body == unframedEvents && got.err == nil
				if diff := cmp.Diff(tt.complete, whole); diff != "" {
					t.Errorf("complete (-want +got)\n%s%+v", diff, got)
				}
			})
		}
	}
}
