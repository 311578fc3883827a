package cicadaedge_test

import (
	"bufio"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	responseFields = "X-Id: ID\r\nX-Sealed: yes\r\nContent-Type: text/event-stream\r\n"
	okStatus       = "HTTP/1.1 200 OK\r\n"
	okHeader       = okStatus + responseFields // without its framing
	oneEvent       = "id: 1\ndata: a\n\n"
	framedEvent    = "Content-Length: 15\r\n\r\n" + oneEvent
)

// chunkedResponse is a response up to the last chunk.
var chunkedResponse = okHeader + chunkedEncoding + chunk(oneEvent)

// malformedResponses are responses of a runner to the request ID.
var malformedResponses = map[string]string{
	"status 000":                             "HTTP/1.1 000 OK\r\n" + responseFields + framedEvent,
	"status 099":                             "HTTP/1.1 099 OK\r\n" + responseFields + framedEvent,
	"status 600":                             "HTTP/1.1 600 OK\r\n" + responseFields + framedEvent,
	"status 999":                             "HTTP/1.1 999 OK\r\n" + responseFields + framedEvent,
	"status of another protocol":             "HTTP/1.1 101 OK\r\n" + responseFields + framedEvent,
	"status with a sign":                     "HTTP/1.1 +20 OK\r\n" + responseFields + framedEvent,
	"status of two digits":                   "HTTP/1.1 20 OK\r\n" + responseFields + framedEvent,
	"status of four digits":                  "HTTP/1.1 2000 OK\r\n" + responseFields + framedEvent,
	"status 000 after early hints":           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + responseFields + framedEvent,
	"no status":                              "HTTP/1.1\r\n" + responseFields + framedEvent,
	"control byte in the status line":        "HTTP/1.1 200 O\x00K\r\n" + responseFields + framedEvent,
	"another protocol":                       "HTTX/1.1 200 OK\r\n" + responseFields + framedEvent,
	"version 0.9":                            "HTTP/0.9 200 OK\r\n" + responseFields + framedEvent,
	"version 2.0":                            "HTTP/2.0 200 OK\r\n" + responseFields + framedEvent,
	"space in a name":                        okHeader + "X Note: a\r\n" + framedEvent,
	"space before a colon":                   okHeader + "X-Note : a\r\n" + framedEvent,
	"space before a name":                    okHeader + " X-Note: a\r\n" + framedEvent,
	"space before the first name":            okStatus + " X-Note: a\r\n" + responseFields + framedEvent,
	"space in the name of the length":        okHeader + "Content-Length : 3\r\n\r\n" + oneEvent,
	"space before the name of the length":    okHeader + " Content-Length: 3\r\n\r\n" + oneEvent,
	"space in the name of another length":    okHeader + "Content-Length : 3\r\n" + framedEvent,
	"space in the name of the encoding":      okHeader + "Transfer-Encoding : chunked\r\n\r\n" + chunk(oneEvent) + lastChunk,
	"space before the name of the encoding":  okHeader + " Transfer-Encoding: chunked\r\n\r\n" + chunk(oneEvent) + lastChunk,
	"space in a name of early hints":         "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + okHeader + framedEvent,
	"tab in a name":                          okHeader + "X\tNote: a\r\n" + framedEvent,
	"byte 0x00 in a name":                    okHeader + "X\x00Note: a\r\n" + framedEvent,
	"byte 0x01 in a name":                    okHeader + "X\x01Note: a\r\n" + framedEvent,
	"byte 0x7f in a name":                    okHeader + "X\x7fNote: a\r\n" + framedEvent,
	"carriage return in a name":              okHeader + "X\rNote: a\r\n" + framedEvent,
	"line feed in a name":                    okHeader + "X\nNote: a\r\n" + framedEvent,
	"empty name":                             okHeader + ": a\r\n" + framedEvent,
	"no colon":                               okHeader + "X-Note\r\n" + framedEvent,
	"control byte in a value":                okHeader + "X-Note: a\x01b\r\n" + framedEvent,
	"encoding in version 1.0":                "HTTP/1.0 200 OK\r\n" + responseFields + "Transfer-Encoding: chunked\r\n\r\n" + chunk(oneEvent) + lastChunk,
	"unknown encoding":                       okHeader + "Transfer-Encoding: gzip\r\n\r\n" + oneEvent,
	"two encodings":                          okHeader + "Transfer-Encoding: gzip\r\n" + chunkedEncoding + chunk(oneEvent) + lastChunk,
	"two lengths":                            okHeader + "Content-Length: 3\r\n" + framedEvent,
	"length with a sign":                     okHeader + "Content-Length: +15\r\n\r\n" + oneEvent,
	"empty length":                           okHeader + "Content-Length:\r\n\r\n" + oneEvent,
	"length that overflows":                  okHeader + "Content-Length: 9223372036854775808\r\n\r\n" + oneEvent,
	"no chunk size":                          okHeader + chunkedEncoding + "\r\n" + oneEvent,
	"chunk size that is no number":           okHeader + chunkedEncoding + "-f\r\n" + oneEvent + "\r\n" + lastChunk,
	"chunk size that overflows":              okHeader + chunkedEncoding + "1000000000000000f\r\n" + oneEvent + "\r\n" + lastChunk,
	"space before a chunk size":              okHeader + chunkedEncoding + " f\r\n" + oneEvent + "\r\n" + lastChunk,
	"chunk size with a line feed only":       okHeader + chunkedEncoding + "f\n" + oneEvent + "\r\n" + lastChunk,
	"chunk longer than its size":             okHeader + chunkedEncoding + "e\r\n" + oneEvent + "\r\n" + lastChunk,
	"chunk shorter than its size":            okHeader + chunkedEncoding + "10\r\n" + oneEvent + "\r\n" + lastChunk,
	"chunk without a line end":               okHeader + chunkedEncoding + "f\r\n" + oneEvent + lastChunk,
	"space in the name of a trailer":         chunkedResponse + "0\r\nX Note: a\r\n\r\n",
	"space before the colon of a trailer":    chunkedResponse + "0\r\nX-Note : a\r\n\r\n",
	"space before the first trailer":         chunkedResponse + "0\r\n X-Note: a\r\n\r\n",
	"control byte in the name of a trailer":  chunkedResponse + "0\r\nX\x01Note: a\r\n\r\n",
	"control byte in the value of a trailer": chunkedResponse + "0\r\nX-Note: a\x01\r\n\r\n",
	"trailer without a colon":                chunkedResponse + "0\r\nX-Note\r\n\r\n",
	"trailers cut":                           chunkedResponse + "0\r\nX-Note: a\r\n",
}

// wellFormedResponses are unusual ones.
var wellFormedResponses = map[string]string{
	"no reason":       "HTTP/1.1 200\r\n" + responseFields + framedEvent,
	"empty reason":    "HTTP/1.1 200 \r\n" + responseFields + framedEvent,
	"foreign reason":  "HTTP/1.1 200 \xe9t\xe9\tOK\r\n" + responseFields + framedEvent,
	"early hints":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + responseFields + framedEvent,
	"line feeds only": strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+responseFields+framedEvent, "\r", ""),
	"unusual names":   okHeader + "x!#$%&'*+-.^_`|~09: a\r\nX-Empty:\r\n" + framedEvent,
	"unusual value":   okHeader + "X-Note:\t\xe9t\xe9 : a \t\r\n" + framedEvent,
	"chunks":          okHeader + "transfer-encoding: Chunked\r\n\r\nF;x=y \r\n" + oneEvent + "\r\n00\r\n\r\n",
	"encoding first":  okHeader + "Content-Length: 3\r\n" + chunkedEncoding + chunk(oneEvent) + lastChunk,
	"equal lengths":   okHeader + "Content-Length: 15\r\n" + framedEvent,
	"trailers":        okHeader + "Trailer: X-Note\r\n" + chunkedEncoding + chunk(oneEvent) + "0\r\nX-Note: a\r\nX-Other: b\r\n\r\n",
	"version 1.0":     "HTTP/1.0 200 OK\r\n" + responseFields + framedEvent,
}

// responseCaller sends requests to a router whose only runner answers with the bytes that are set.
type responseCaller struct {
	t        *testing.T
	node     *node
	path     string
	response atomic.Pointer[string]
	runs     atomic.Int64
}

// forEachWay runs test for each kind of route, with the runner reached directly and through another router.
func forEachWay(t *testing.T, test func(c *responseCaller)) {
	t.Parallel()
	for _, path := range paths {
		for way, relayed := range ways {
			t.Run(strings.Trim(path, "/")+" "+way, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				c := &responseCaller{t: t, path: path}
				f.addRawRunner(func(conn *rawConn, req *http.Request) bool {
					c.runs.Add(1)
					conn.write(strings.ReplaceAll(*c.response.Load(), "ID", req.Header.Get("X-Id")))
					return false
				})
				c.node = f.startHost(relayed)
				test(c)
			})
		}
	}
}

// call returns what the caller receives if the runner answers with a response.
func (c *responseCaller) call(name, text string) response {
	c.t.Helper()
	c.response.Store(&text)
	runs := c.runs.Load()
	received, err := rawCall(c.t, c.node.addr, c.path, "1.1", "X-Tokens: 8,8\r\nConnection: close\r\n")
	if c.runs.Load() == runs {
		c.t.Fatalf("%s: the request was not sent to the runner, and the caller received %q", name, received)
	}
	eventually(c.t, name+": the reservation is settled", func() bool { return c.node.Accounts()[0].Reserved == 0 })
	if err != nil {
		return response{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(received)), nil)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func TestMalformedResponseReachesTheCaller(t *testing.T) {
	forEachWay(t, func(c *responseCaller) {
		for _, name := range slices.Sorted(maps.Keys(malformedResponses)) {
			got := c.call(name, malformedResponses[name])
			if got.err == nil && (got.status != http.StatusBadGateway || got.header.Get("X-Sealed") != "") {
				c.t.Errorf("%s: the caller received status %d, header %v, body %q", name, got.status, got.header, got.body)
			}
		}
	})
}

func TestWellFormedResponseIsRejected(t *testing.T) {
	forEachWay(t, func(c *responseCaller) {
		for _, name := range slices.Sorted(maps.Keys(wellFormedResponses)) {
			got := c.call(name, wellFormedResponses[name])
			want := []any{http.StatusOK, "yes", oneEvent, nil}
			if diff := cmp.Diff(want, []any{got.status, got.header.Get("X-Sealed"), got.body, got.err}); diff != "" {
				c.t.Errorf("%s: status, seal, body and error (-want +got)\n%s", name, diff)
			}
		}
	})
}

func TestMalformedResponseOnAKeptConnectionReachesTheCaller(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var onKept atomic.Int64
	f.addRawRunner(func(c *rawConn, req *http.Request) bool {
		id := req.Header.Get("X-Id")
		if c.count == 1 {
			c.write(answerBytes(id, "whole"))
			return true
		}
		onKept.Add(1)
		c.write(strings.ReplaceAll(malformedResponses["space in a name"], "ID", id))
		return true
	})
	n := f.waitReady(f.startNode("n1"))
	for i := range 6 {
		got := call(t, n, "/once/", nil, "x")
		if got.status == http.StatusOK && got.body != "whole" {
			t.Errorf("call %d: the caller received body %q, header %v", i, got.body, got.header)
		}
	}
	if onKept.Load() == 0 {
		t.Error("no connection was kept")
	}
}
