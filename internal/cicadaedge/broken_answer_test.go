package cicadaedge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestErrorOfTheNextRunnerInAStream breaks a resumable stream off. The next runner answers with
// something that does not continue it.
func TestErrorOfTheNextRunnerInAStream(t *testing.T) {
	t.Parallel()
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Sealed: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	for name, next := range map[string]func(id string) string{
		"failure": func(id string) string {
			return "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + id + "\r\nX-Sealed: yes\r\nContent-Length: 5\r\n\r\nerror"
		},
		"refusal": refusalBytes,
		"not found": func(id string) string {
			return "HTTP/1.1 404 Not Found\r\nX-Id: " + id + "\r\nX-Sealed: yes\r\nContent-Length: 5\r\n\r\nerror"
		},
		"no answer":  func(string) string { return "" },
		"other text": func(id string) string { return answerBytes(id, `{"error":"cannot resume"}`) },
		"empty":      func(id string) string { return answerBytes(id, "") },
		"half a head": func(id string) string { return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Sea" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			for range 2 {
				f.addRawRunner(func(c *rawConn, req *http.Request) bool {
					id := req.Header.Get("X-Id")
					if req.Header.Get("X-After") == "" {
						c.write(head(id) + chunk(events))
						return false
					}
					c.write(next(id))
					return false
				})
			}
			n := f.waitReady(f.startNode("n1"))
			got := call(t, n, "/resume/", nil, "")
			if got.err == nil {
				t.Errorf("the stream ended as complete: %q", got.body)
			}
			if diff := cmp.Diff(events, got.body); diff != "" {
				t.Errorf("events of the first runner (-want +got):\n%s", diff)
			}
		})
	}
}
