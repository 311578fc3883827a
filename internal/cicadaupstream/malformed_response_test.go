package cicadaupstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
)

func TestMalformedResponseIsTakenForTheRunners(t *testing.T) {
	t.Parallel()
	const (
		body    = `{"running":1}`
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for _, tt := range []struct {
		name, response string
		wellFormed     bool
	}{
		{"length", "HTTP/1.1 200 OK\r\n" + framed, true},
		{"chunks and a trailer", "HTTP/1.1 200 OK\r\n" + chunked + chunk + "0\r\nX-Note: a\r\n\r\n", true},
		{"status 000", "HTTP/1.1 000 OK\r\n" + framed, false},
		{"status 101", "HTTP/1.1 101 OK\r\n" + framed, false},
		{"version 2.0", "HTTP/2.0 200 OK\r\n" + framed, false},
		{"space in a name", "HTTP/1.1 200 OK\r\nX Note: a\r\n" + framed, false},
		{"space before a name", "HTTP/1.1 200 OK\r\nX-Note: a\r\n X-Other: b\r\n" + framed, false},
		{"space in the name of the encoding", "HTTP/1.1 200 OK\r\n" + strings.Replace(chunked, ":", " :", 1) + chunk + "0\r\n\r\n", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Note: a\r\n" + framed, false},
		{"encoding and length in version 1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + framed, false},
		{"space in the name of a trailer", "HTTP/1.1 200 OK\r\n" + chunked + chunk + "0\r\nX Note: a\r\n\r\n", false},
	} {
		addr := startUnreadingRunner(t, tt.response, (*net.TCPConn).CloseWrite)
		var loads int
		client := cicadaupstream.New(cicadaupstream.Config{OnLoad: func(string, cicadaupstream.Load) { loads++ }})
		t.Cleanup(client.Close)
		got, err := client.Do(t.Context(), &cicadaupstream.Call{
			Addr: addr, Method: http.MethodPost, Path: "/", Header: http.Header{}, RequestID: "id", FirstByteTimeout: time.Second,
		})
		var text []byte
		if err == nil {
			text, err = io.ReadAll(got.Body)
			_ = got.Body.Close() // it was read
		}
		if (err == nil) != tt.wellFormed {
			t.Errorf("%s: body %q, error %v", tt.name, text, err)
		}
		if err := client.PollLoad(t.Context(), addr); (err == nil) != tt.wellFormed || (loads > 0) != tt.wellFormed {
			t.Errorf("%s: %d reports of load, error %v", tt.name, loads, err)
		}
	}
}
