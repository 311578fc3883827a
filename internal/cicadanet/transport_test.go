package cicadanet_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/google/go-cmp/cmp"
)

func TestTransportOverTLS(t *testing.T) {
	t.Parallel()
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "whole") }))
	t.Cleanup(srv.Close)
	inner := srv.Client().Transport.(*http.Transport)
	inner.DialContext = (&net.Dialer{}).DialContext
	client := &http.Client{Transport: cicadanet.NewTransport(inner)}
	for range 2 { // the second request uses the connection of the first
		resp, err := client.Get(srv.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // it was read
		if diff := cmp.Diff([]any{"whole", nil}, []any{string(body), err}); diff != "" {
			t.Errorf("body and error (-want +got)\n%s", diff)
		}
	}
}
