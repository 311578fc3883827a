package cicadaingress_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadaingress"
	"github.com/google/go-cmp/cmp"
)

var testLimits = cicadaingress.Limits{
	HeaderLines: 256, HeaderBytes: 64 << 10, EmptyBytes: 16, ExtensionBytes: 16 << 10, TrailerBytes: 4 << 10, MessageBytes: 1 << 20,
}

// The fuzz target runs its seed corpus in each test run. For a longer search:
//
// go test -fuzz FuzzScanner -fuzztime 10m ./internal/cicadaingress

// FuzzScanner compares where the scanner and net/http see the ends of requests. A difference would let a client
// hide a request header in what the scanner takes for a body, or close connections of ordinary callers.
func FuzzScanner(f *testing.F) {
	get := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, s := range []string{
		get, get + get, "GET / HTTP/1.0\n\n", "\r\n" + get, post + "Content-Length: 3\r\n\r\nabc" + get, post + "content-length:\t3 \n\nabc" + get,
		post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + get, post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		post + "Content-Length:\r\n 3\r\n\r\nabc", post + "Content-Length: +3\r\n\r\nabc", post + "Content-Length: 99999999999999999999\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get, post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		post + "Transfer-Encoding: Chunked\r\nContent-Length: 1\r\n\r\n3;x=y\r\nabc\r\n00\r\nX: y\r\n\r\n" + get,
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc" + get, post + "X: y\r\n z\r\n\r\n" + get,
		post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", post + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nx",
		post + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\nx", post + "Upgrade: u\r\nConnection: upgrade\r\n\r\nx",
		post + "Content-Length: " + strings.Repeat(" ", 200) + "3\r\n\r\nabc", post + strings.Repeat("x:\r\n", 300) + "\r\n", strings.Repeat("\r\n", 20),
		post + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 20_000) + "\r\n", "\x00\xff\n\n",
	} {
		for _, step := range []uint8{1, 2, 7, 255} {
			f.Add([]byte(s), step)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, step uint8) {
		sent := bytes.Clone(data)
		defer func() {
			if diff := cmp.Diff(sent, data); diff != "" {
				t.Errorf("bytes that net/http reads (-sent +got)\n%s", diff)
			}
		}()
		s := cicadaingress.NewScanner(&testLimits)
		in := bytes.NewReader(data)
		r := bufio.NewReader(in)
		for from := 0; ; {
			req, err := http.ReadRequest(r)
			if err == nil && req.ProtoMajor == 1 && req.Method != http.MethodConnect && req.Header["Upgrade"] == nil {
				_, err = io.Copy(io.Discard, req.Body)
			} else if err == nil {
				err = io.EOF // it is not followed by requests
			}
			if err != nil {
				scan(s, data[from:], int(step))
				return
			}
			to := len(data) - in.Len() - r.Buffered()
			if limit := scan(s, data[from:to], int(step)); limit != cicadaingress.Within {
				return
			}
			if !s.AtStart() {
				t.Fatalf("net/http ends a request after %d bytes, the scanner does not: %q", to, data[:to])
			}
			if to > from+1 {
				again := cicadaingress.NewScanner(&testLimits)
				if limit := scan(again, data[from:to-1], int(step)); limit == cicadaingress.Within && again.AtStart() {
					t.Fatalf("the scanner ends a request before %d bytes, net/http does not: %q", to, data[:to])
				}
			}
			from = to
		}
	})
}

func scan(s *cicadaingress.Scanner, p []byte, step int) cicadaingress.Limit {
	for n := max(step, 1); len(p) > 0; {
		if limit := s.Scan(p[:min(n, len(p))]); limit != cicadaingress.Within {
			return limit
		}
		p = p[min(n, len(p)):]
	}
	return cicadaingress.Within
}

// Guards against limits that count the wrong bytes: each is reached by one more than it allows, however the bytes
// are divided.
func TestLimits(t *testing.T) {
	post := "POST / HTTP/1.1\r\n"
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	sized := func(n int) string {
		return post + "X: " + strings.Repeat("x", n-len(post)-len("X: \r\n\r\n")) + "\r\n\r\n"
	}
	for _, c := range []struct {
		limit        cicadaingress.Limit
		within, over string
	}{
		{cicadaingress.HeaderLines, post + strings.Repeat("x:\r\n", 256) + "\r\n", post + strings.Repeat("x:\r\n", 257) + "\r\n"},
		{cicadaingress.HeaderBytes, sized(64 << 10), sized(64<<10 + 1)},
		{cicadaingress.EmptyBytes, strings.Repeat("\r\n", 8) + post, strings.Repeat("\r\n", 9) + post},
		{cicadaingress.ExtensionBytes, chunked + "1;" + strings.Repeat("x", 16<<10-2) + "\r\n", chunked + "1;" + strings.Repeat("x", 16<<10) + "\r\n"},
		{cicadaingress.TrailerBytes, chunked + "0\r\n" + strings.Repeat("x:\r\n", 255) + "\r\n", chunked + "0\r\n" + strings.Repeat("x:\r\n", 257)},
		{cicadaingress.FramingLine, post + "Content-Length: " + strings.Repeat("0", 100) + "1\r\n", post + "Content-Length: " + strings.Repeat("0", 120) + "1\r\n"},
	} {
		for _, step := range []int{1, 3, 4096, 1 << 20} {
			got := fmt.Sprint(
				scan(cicadaingress.NewScanner(&testLimits), []byte(c.within), step), scan(cicadaingress.NewScanner(&testLimits), []byte(c.over), step))
			if diff := cmp.Diff(fmt.Sprint(cicadaingress.Within, c.limit), got); diff != "" {
				t.Errorf("%s, %d bytes at a time (-want +got)\n%s", c.limit, step, diff)
			}
		}
	}
}
