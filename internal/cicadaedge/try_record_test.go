package cicadaedge_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// tryLine is one try in the log line of a request.
type tryLine struct {
	Status   int    `json:"status"`
	Framing  string `json:"framing"`
	EndProof string `json:"endProof"`
	Events   int64  `json:"events"`
	Cause    string `json:"cause"`
}

// loggedTries returns the status and the tries in the only request line of a log.
func loggedTries(t *testing.T, logs *logRecorder) (status any, tries []tryLine) {
	t.Helper()
	for _, e := range logs.recorded() {
		if e.Message != "request" {
			continue
		}
		data, err := json.Marshal(e.Fields["tries"])
		if err == nil {
			err = json.Unmarshal(data, &tries)
		}
		if err != nil {
			t.Fatal(err)
		}
		return e.Fields["status"], tries
	}
	t.Fatal("the request has no log line")
	return nil, nil
}

func TestRetriedRequestIsLoggedWithItsTries(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for range 2 {
		f.addRunner(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "2")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte("no"))
		})
	}
	var logs logRecorder
	n := f.waitReady(f.startNode("n1", logs.configure))
	call(t, n, "/again/", nil, "x")
	n.stop()
	status, tries := loggedTries(t, &logs)
	if diff := cmp.Diff(http.StatusInternalServerError, status); diff != "" {
		t.Errorf("status (-want +got)\n%s", diff)
	}
	want := []tryLine{
		{Status: 500, Framing: "length", Cause: "the runner failed with status 500"},
		{Status: 500, Framing: "length", Events: 1},
	}
	if diff := cmp.Diff(want, tries); diff != "" {
		t.Errorf("tries (-want +got)\n%s", diff)
	}
}

func TestResponseThatEndsWithItsConnectionIsLoggedWithItsProof(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addRawRunner(func(c *rawConn, req *http.Request) bool {
		c.write(unframedHeader + req.Header.Get("X-Id") + "\r\n\r\n" + unframedEvents)
		return false
	})
	var logs logRecorder
	n := f.waitReady(f.startNode("n1", logs.configure))
	call(t, n, "/stream/", nil, "x")
	n.stop()
	_, tries := loggedTries(t, &logs)
	if len(tries) != 1 || tries[0].Framing != "connection" || tries[0].EndProof == "" {
		t.Errorf("tries %+v, want one that ended with its connection and why it counts as complete", tries)
	}
}
