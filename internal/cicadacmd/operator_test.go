package cicadacmd_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadacmd"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/google/go-cmp/cmp"
)

// startRawRouter answers all calls of operators with a text, and returns its address.
func startRawRouter(t *testing.T, response string) string {
	t.Helper()
	srv, err := cicadastandin.StartRawServer(t.Context(), func(conn *net.TCPConn, _ *http.Request) { fmt.Fprintf(conn, "%s", response) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
	})
	return srv.Addr()
}

func TestMalformedResponseIsPrintedAsState(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		response string
		want     int
	}{
		"well-formed":                       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", cicadacmd.ExitOK},
		"status 000":                        {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", cicadacmd.ExitUnavailable},
		"space in a name":                   {"HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 2\r\n\r\n{}", cicadacmd.ExitUnavailable},
		"space in the name of the encoding": {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", cicadacmd.ExitUnavailable},
		"space in the name of a trailer":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Note: a\r\n\r\n", cicadacmd.ExitUnavailable},
	} {
		got, out, errOut := run(t.Context(), "state", "--operator-token", "op", startRawRouter(t, tt.response))
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: exit code (-want +got)\n%s%q %q", name, diff, out, errOut)
		}
	}
}
