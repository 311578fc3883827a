package cicadarouter_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/google/go-cmp/cmp"
)

// Guards against a callers' listener without the limits for uncontrolled clients: net/http has none for lines.
func TestHeaderLinesAreBounded(t *testing.T) {
	r := newEnvironment(t, nil).Routers()[0]
	status := func(lines int) int {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.Host().CallerAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("x:\r\n", lines)+"\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}
	if diff := cmp.Diff([]int{http.StatusNoContent, http.StatusRequestHeaderFieldsTooLarge}, []int{status(100), status(300)}); diff != "" {
		t.Errorf("statuses (-want +got)\n%s", diff)
	}
	if n := cicadarouter.CounterValue(r.Metrics().Ingress, "headerLines"); n != 1 {
		t.Errorf("the counter headerLines is %d, not 1", n)
	}
}
