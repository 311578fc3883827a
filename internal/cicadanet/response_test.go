package cicadanet_test

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/google/go-cmp/cmp"
)

func TestResponseChecker(t *testing.T) {
	t.Parallel()
	const (
		header = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
		none   = ""
	)
	for _, tt := range []struct{ name, response, err string }{
		{"body", header + "\x00", none},
		{"version 1.0", "HTTP/1.0 200 OK\r\n\r\n", none},
		{"no reason", "HTTP/1.1 599\r\n\r\n", none},
		{"line feeds only", "HTTP/1.1 200\nX: y\n\n\x00", none},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199\r\nX: y\r\n\r\n" + header + "\x00", none},
		{"status 000", "HTTP/1.1 000 OK\r\n", "malformed response: status 000"},
		{"status 099", "HTTP/1.1 099 OK\r\n", "malformed response: status 099"},
		{"status 101", "HTTP/1.1 101 OK\r\n", "malformed response: status 101"},
		{"status 600", "HTTP/1.1 600 OK\r\n", "malformed response: status 600"},
		{"status 000 after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n", "malformed response: status 000"},
		{"sign", "HTTP/1.1 +20 OK\r\n", "malformed response: byte '+' at offset 9 of the status line"},
		{"two digits", "HTTP/1.1 20 OK\r\n", "malformed response: byte ' ' at offset 11 of the status line"},
		{"four digits", "HTTP/1.1 2000 OK\r\n", "malformed response: byte '0' after the status code"},
		{"two spaces", "HTTP/1.1  200 OK\r\n", "malformed response: byte ' ' at offset 9 of the status line"},
		{"empty line first", "\r\n" + header, "malformed response: byte '\\r' at offset 0 of the status line"},
		{"version 2.0", "HTTP/2.0 200 OK\r\n", "malformed response: byte '2' at offset 5 of the status line"},
		{"control byte", "HTTP/1.1 200 O\x00K\r\n", "malformed response: byte '\\x00' in the status line"},
		{"carriage return", "HTTP/1.1 200 O\rK\r\n", "malformed response: byte 'K' in the status line"},
		{"unusual names", "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~09AZ:y\r\nX:\r\n\r\n\x00", none},
		{"space before a name", "HTTP/1.1 200 OK\r\nX: y\r\n Z: y\r\n", "malformed response: a field line begins with whitespace"},
		{"tab before a name", "HTTP/1.1 200 OK\r\nX: y\r\n\tZ: y\r\n", "malformed response: a field line begins with whitespace"},
		{"space in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\n", "malformed response: byte ' ' in the name of a field"},
		{"space before a colon", "HTTP/1.1 200 OK\r\nX : z\r\n", "malformed response: byte ' ' in the name of a field"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: z\r\n", "malformed response: byte '\\x01' in the name of a field"},
		{"control byte first in a name", "HTTP/1.1 200 OK\r\n\x7fX: z\r\n", "malformed response: byte '\\x7f' in the name of a field"},
		{"empty name", "HTTP/1.1 200 OK\r\n: z\r\n", "malformed response: byte ':' in the name of a field"},
		{"no colon", "HTTP/1.1 200 OK\r\nX\r\n", "malformed response: byte '\\r' in the name of a field"},
		{"encoding in version 1.0", "HTTP/1.0 200 OK\r\nTransfer-encoding: chunked\r\n", "malformed response: an encoded response of version 1.0"},
		{"encoding in version 1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\x00", none},
		{"other names in version 1.0", "HTTP/1.0 200 OK\r\nTransfer: a\r\nTransfer-Encodings: a\r\nX-Transfer-Encoding: a\r\n\r\n\x00", none},
		{"carriage return at the end", "HTTP/1.1 200 OK\r\nX: y\r\n\rx", "malformed response: byte 'x' after a carriage return"},
	} {
		for _, size := range []int{1, len(tt.response)} {
			var c cicadanet.ResponseChecker
			got := none
			for part := range slices.Chunk([]byte(tt.response), size) {
				if err := c.Check(part); err != nil {
					got = err.Error()
					break
				}
			}
			if diff := cmp.Diff(tt.err, got); diff != "" {
				t.Errorf("%s, %d bytes at a time (-want +got)\n%s", tt.name, size, diff)
			}
		}
	}
}

func TestResponseCheckerExpectsAResponseToEachRequest(t *testing.T) {
	t.Parallel()
	var c cicadanet.ResponseChecker
	if err := c.Check([]byte("HTTP/1.1 200 OK\r\n\r\nbody")); err != nil {
		t.Fatal(err)
	}
	c.Expect()
	if err := c.Check([]byte("HTTP/1.1 000 OK\r\n")); err == nil {
		t.Error("the second response was not checked")
	}
}

// FuzzResponseChecker compares where the checker and net/http see the end of a header. A difference would let
// fields pass unchecked, or reject bodies.
func FuzzResponseChecker(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody", "HTTP/1.0 404 \nX:\n\nbody", "HTTP/1.1 204\r\n\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n\n",
		"HTTP/1.1 200 OK\r\n\r\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n", "HTTP/1.1 200 OK\r\nX y: z\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: \r\n\r\n", "HTTP/1.1 200 OK\n \n\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil || resp.StatusCode < http.StatusOK {
			return
		}
		_ = resp.Body.Close() // its bytes are part of data
		header := data[:headerLength(data)]
		var c cicadanet.ResponseChecker
		if c.Check(header) != nil {
			return
		}
		if err := c.Check([]byte{0}); err != nil {
			t.Errorf("the checker expects more of the header %q: %v", header, err)
		}
		var early cicadanet.ResponseChecker
		if err := early.Check(header[:len(header)-1]); err != nil || early.Check([]byte{0}) == nil {
			t.Errorf("the header %q ends early: %v", header, err)
		}
	})
}

// headerLength returns the length of the header that net/http reads: up to the first empty line.
func headerLength(data []byte) int {
	length := 0
	for line := range bytes.Lines(data) {
		length += len(line)
		if text := bytes.TrimSuffix(line, []byte("\n")); len(bytes.TrimSuffix(text, []byte("\r"))) == 0 {
			break
		}
	}
	return length
}
