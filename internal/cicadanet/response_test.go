package cicadanet_test

import (
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
		{"two blanks", "HTTP/1.1  200 OK\r\n", "malformed response: byte ' ' at offset 9 of the status line"},
		{"empty line first", "\r\n" + header, "malformed response: byte '\\r' at offset 0 of the status line"},
		{"version 2.0", "HTTP/2.0 200 OK\r\n", "malformed response: byte '2' at offset 5 of the status line"},
		{"control byte", "HTTP/1.1 200 O\x00K\r\n", "malformed response: byte '\\x00' in the status line"},
		{"carriage return", "HTTP/1.1 200 O\rK\r\n", "malformed response: byte 'K' in the status line"},
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
