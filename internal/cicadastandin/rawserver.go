package cicadastandin

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// RawServer is a server whose responses are written byte by byte. Close ends it.
type RawServer struct {
	ln      net.Listener
	serving sync.WaitGroup
}

// StartRawServer starts a server on a loopback address. It calls serve for the first request of each connection,
// once the header was read, and closes the connection afterwards.
func StartRawServer(ctx context.Context, serve func(conn *net.TCPConn, req *http.Request)) (*RawServer, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &RawServer{ln: ln}
	s.serving.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.serving.Go(func() {
				defer func() { _ = conn.Close() }() // serve may have closed it
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn.(*net.TCPConn), req)
				}
			})
		}
	})
	return s, nil
}

// Addr returns the address of the server.
func (s *RawServer) Addr() string { return s.ln.Addr().String() }

// Close closes the listener and waits until all calls of serve have returned.
func (s *RawServer) Close() error {
	err := s.ln.Close()
	s.serving.Wait()
	return err
}
