package cicadanet_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/google/go-cmp/cmp"
)

// newTLSClient returns a client with a Transport that trusts srv.
func newTLSClient(t *testing.T, srv *httptest.Server) *http.Client {
	t.Helper()
	inner := srv.Client().Transport.(*http.Transport)
	inner.DialContext = (&net.Dialer{}).DialContext
	transport := cicadanet.NewTransport(inner)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func TestTLSHandshakeIsTakenForAResponse(t *testing.T) {
	t.Parallel()
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "whole") }))
	t.Cleanup(srv.Close)
	client := newTLSClient(t, srv)
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

func TestMalformedResponseOverTLSIsTaken(t *testing.T) {
	t.Parallel()
	srv := httptest.NewTLSServer(nil)
	t.Cleanup(srv.Close)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := tls.NewListener(ln, srv.TLS).Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 2\r\n\r\n{}")
		}
		_ = conn.Close() // the response was written
	}()
	t.Cleanup(func() {
		_ = ln.Close() // ends Accept
		<-done
	})
	resp, err := newTLSClient(t, srv).Get("https://" + ln.Addr().String())
	if err == nil {
		_ = resp.Body.Close() // it is not read
	}
	want := fmt.Sprintf("Get %q: malformed response: byte ' ' in the name of a field", "https://"+ln.Addr().String())
	if diff := cmp.Diff(want, fmt.Sprint(err)); diff != "" {
		t.Errorf("error (-want +got)\n%s", diff)
	}
}

func TestUntrustedCertificateIsAccepted(t *testing.T) {
	t.Parallel()
	srv := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(srv.Close)
	transport := cicadanet.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
	t.Cleanup(transport.CloseIdleConnections)
	resp, err := (&http.Client{Transport: transport}).Get(srv.URL)
	if err == nil {
		_ = resp.Body.Close() // it is not read
		t.Error("a server without a trusted certificate was accepted")
	}
}
