package cicadaedge_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// soundAnswerInterval makes a whole answer last longer than the user timeout of the connection.
	soundAnswerInterval = 40 * time.Millisecond
	// maxRunnerSilence is how long a runner that does not read may be silent before it is given up.
	maxRunnerSilence = 2800 * time.Millisecond
)

// The kernel gives up a connection whose window is full, though the runner answers.
func TestSoundRunnerThatReadsTheRequestLastIsCutOff(t *testing.T) {
	t.Parallel()
	var want strings.Builder
	for i := range longAnswerEvents {
		want.WriteString(answerEvent(i))
	}
	for _, path := range []string{"/once/", "/stream/", "/resume/"} {
		for framing, chunked := range map[string]bool{"unframed": false, "chunked": true} {
			for way, relayed := range map[string]bool{"direct": false, "through another router": true} {
				t.Run(strings.Join([]string{strings.Trim(path, "/"), framing, way}, " "), func(t *testing.T) {
					t.Parallel()
					n := startUnreading(t, relayed, func(conn *net.TCPConn, req *http.Request) {
						writeAnswer(conn, req, chunked, longAnswerEvents, soundAnswerInterval)
						_, _ = io.Copy(io.Discard, req.Body) // the router may have closed the connection after the last chunk
					})
					for i, r := range callAtOnce(t, n, path) {
						if diff := cmp.Diff([]any{http.StatusOK, want.String(), nil}, []any{r.status, r.body, r.err}); diff != "" {
							t.Errorf("call %d: status, body and error (-want +got)\n%s", i, diff)
						}
					}
				})
			}
		}
	}
}

func TestSilentRunnerThatReadsNothingIsNotGivenUp(t *testing.T) {
	t.Parallel()
	for name, events := range map[string]int{"from the begin": -1, "in its answer": brokenOffEvents} {
		for way, relayed := range map[string]bool{"direct": false, "through another router": true} {
			t.Run(name+" "+way, func(t *testing.T) {
				t.Parallel()
				silent := make(chan time.Time, unreadBodyCalls)
				n := startUnreading(t, relayed, func(conn *net.TCPConn, req *http.Request) {
					if events >= 0 {
						writeAnswer(conn, req, false, events, 5*time.Millisecond)
					}
					silent <- time.Now()
					time.Sleep(3 * time.Second)
				})
				got := make(chan response, 1)
				go func() { got <- call(t, n, "/stream/", nil, strings.Repeat("x", unreadBodyBytes)) }()
				since := <-silent
				if r := <-got; r.status == http.StatusOK && r.err == nil {
					t.Errorf("%d events look complete", strings.Count(r.body, "id:"))
				}
				if d := time.Since(since); d > maxRunnerSilence {
					t.Errorf("given up after %v, want %v at most", d, maxRunnerSilence)
				} else {
					t.Logf("given up after %v", d)
				}
			})
		}
	}
}
