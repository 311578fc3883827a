package cicadastandin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

// maxPlatformBody is the maximum size of a request body for the platform, in bytes.
const maxPlatformBody = 64 << 20

// Handler returns the handler for the platform's HTTP API, for PUT /control/faults,
// which sets the faults, and for GET /debug/vars, which returns the counters.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cicadastore.PathGet, serveJSON(func(ctx context.Context, refs *[]cicadastore.Ref) (any, error) {
		return p.Get(ctx, *refs...)
	}))
	mux.HandleFunc("POST "+cicadastore.PathScan, serveJSON(func(ctx context.Context, req *cicadastore.ScanRequest) (any, error) {
		return p.Scan(ctx, *req)
	}))
	mux.HandleFunc("POST "+cicadastore.PathCommit, serveJSON(func(ctx context.Context, txn *cicadastore.Txn) (any, error) {
		return p.Commit(ctx, *txn)
	}))
	mux.HandleFunc("POST "+cicadastore.PathHosts, serveJSON(func(ctx context.Context, h *cicadastore.Host) (any, error) {
		return struct{}{}, p.Announce(ctx, *h)
	}))
	mux.HandleFunc("GET "+cicadastore.PathHosts, func(w http.ResponseWriter, r *http.Request) {
		hosts, err := p.Hosts(r.Context())
		writeResponse(w, hosts, err)
	})
	mux.HandleFunc("PUT "+cicadastore.PathObjects+"{name...}", p.serveObjectPut)
	mux.HandleFunc("GET "+cicadastore.PathObjects+"{name...}", p.serveObjectGet)
	mux.HandleFunc("PUT /control/faults", serveJSON(func(_ context.Context, f *PlatformFaults) (any, error) {
		p.SetFaults(*f)
		return struct{}{}, nil
	}))
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, p.counters.String())
	})
	return mux
}

func (p *Platform) serveObjectPut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResponse(w, struct{}{}, p.PutObject(r.Context(), objectName(r), data))
}

func (p *Platform) serveObjectGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.GetObject(r.Context(), objectName(r))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func objectName(r *http.Request) string {
	name, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), cicadastore.PathObjects))
	if err != nil {
		return r.PathValue("name")
	}
	return name
}

func serveJSON[T any](f func(context.Context, *T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlatformBody)).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r.Context(), &in)
		writeResponse(w, out, err)
	}
}

func writeResponse(w http.ResponseWriter, out any, err error) {
	status, body := http.StatusOK, out
	var conflict *cicadastore.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		status, body = http.StatusConflict, map[string][]cicadastore.Row{"failed": conflict.Failed}
	case errors.Is(err, cicadastore.ErrThrottled):
		status, body = http.StatusTooManyRequests, nil
	case errors.Is(err, cicadastore.ErrNotFound):
		status, body = http.StatusNotFound, nil
	default:
		status, body = http.StatusServiceUnavailable, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
