package cicadastore_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/google/go-cmp/cmp"
)

// startRawPlatform returns a client of a platform that answers each call by answer, which is called once the
// header of the call was read.
func startRawPlatform(t *testing.T, answer func(conn *net.TCPConn, req *http.Request)) *cicadastore.Client {
	t.Helper()
	srv, err := cicadastandin.StartRawServer(t.Context(), answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
	})
	c := cicadastore.NewClient(cicadastore.ClientConfig{BaseURL: "http://" + srv.Addr()})
	t.Cleanup(c.Close)
	return c
}

func TestMalformedResponseIsTakenForAnObject(t *testing.T) {
	t.Parallel()
	const (
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		framed  = "Content-Length: 6\r\n\r\nobject"
		chunk   = "6\r\nobject\r\n"
	)
	for _, tt := range []struct {
		name, response string
		wellFormed     bool
	}{
		{"length", "HTTP/1.1 200 OK\r\n" + framed, true},
		{"chunks and a trailer", "HTTP/1.1 200 OK\r\n" + chunked + chunk + "0\r\nX-Note: a\r\n\r\n", true},
		{"status 000", "HTTP/1.1 000 OK\r\n" + framed, false},
		{"version 2.0", "HTTP/2.0 200 OK\r\n" + framed, false},
		{"space in a name", "HTTP/1.1 200 OK\r\nX Note: a\r\n" + framed, false},
		{"space in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nobject", false},
		{"space in the name of the encoding", "HTTP/1.1 200 OK\r\n" + strings.Replace(chunked, ":", " :", 1) + chunk + "0\r\n\r\n", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Note: a\r\n" + framed, false},
		{"encoding in version 1.0", "HTTP/1.0 200 OK\r\n" + chunked + chunk + "0\r\n\r\n", false},
		{"space in the name of a trailer", "HTTP/1.1 200 OK\r\n" + chunked + chunk + "0\r\nX Note: a\r\n\r\n", false},
	} {
		c := startRawPlatform(t, func(conn *net.TCPConn, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body) // it is whole, or the call fails
			fmt.Fprintf(conn, "%s", tt.response)
		})
		got, err := c.GetObject(t.Context(), "o")
		switch {
		case !tt.wellFormed && !errors.Is(err, cicadastore.ErrUnavailable):
			t.Errorf("%s: object %q, error %v", tt.name, got, err)
		case tt.wellFormed:
			if diff := cmp.Diff([]any{"object", nil}, []any{string(got), err}); diff != "" {
				t.Errorf("%s: object and error (-want +got)\n%s", tt.name, diff)
			}
		}
	}
}

// Writing the object takes the error of the connection, and reading the response finds an end in order.
func TestObjectCountsAsStoredByAResponseThatIsBrokenOff(t *testing.T) {
	t.Parallel()
	c := startRawPlatform(t, func(conn *net.TCPConn, _ *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond) // the client has read the response and still sends
		if err := conn.SetLinger(0); err != nil {
			t.Error(err)
		}
	})
	for i := range 20 {
		if err := c.PutObject(t.Context(), "o", make([]byte, 8<<20)); !errors.Is(err, cicadastore.ErrUnavailable) {
			t.Errorf("object %d: error %v", i, err)
		}
	}
}
