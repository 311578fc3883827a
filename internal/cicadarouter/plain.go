package cicadarouter

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
)

// servePlain handles /services/{service}/{path...}, a request to a plain HTTP service.
func (r *Router) servePlain(w http.ResponseWriter, req *http.Request) {
	r.activeRequests.Add(1)
	defer r.activeRequests.Done()
	ar := r.newActiveRequest(w, req)
	defer r.trails.End(ar.trail)
	body, ref := ar.readBody()
	if ref == nil {
		ref = ar.checkAccepting()
	}
	if ref == nil {
		ref = ar.admitPlain(body)
	}
	if ref != nil {
		ar.refuse(ref)
		return
	}
	ar.process(func(ctx context.Context) *outcome { return ar.runPlain(ctx, body) })
}

func (ar *activeRequest) admitPlain(body []byte) *cicadarefusal.Refusal {
	name := ar.httpReq.PathValue("service")
	svc, ok := ar.r.watcher.Current().Service(name)
	if !ok {
		return cicadarefusal.New(cicadarefusal.UnknownService, cicadarefusal.NotRun, "%q", name)
	}
	if ref := ar.authenticate(svc); ref != nil {
		return ref
	}
	if ar.upstream, ok = svc.PlainUpstream(); !ok {
		return cicadarefusal.New(cicadarefusal.UnknownService, cicadarefusal.NotRun, "service %q has no plain upstream", name)
	}
	ar.trail.Add(&cicadatrail.Received{
		Method: ar.httpReq.Method, Path: ar.httpReq.URL.Path, DocumentVersion: svc.Version(), HasIdempotencyKey: ar.httpReq.Header.Get(headerKey) != "",
	})
	ar.atMostOnce = isNonIdempotent(ar.upstream, ar.httpReq.Method, "/"+ar.httpReq.PathValue("path"))
	ar.outputBound = ar.upstream.UnitsPerCall
	return ar.readIdempotencyKey(body)
}

// isNonIdempotent reports whether the service document lists a call as not
// idempotent.
func isNonIdempotent(u *cicadadoc.Upstream, method, path string) bool {
	for _, call := range u.NonIdempotent {
		m, prefix, _ := strings.Cut(call, " ")
		if m == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (ar *activeRequest) runPlain(ctx context.Context, body []byte) *outcome {
	s := &attemptSequence{ar: ar}
	return s.run(ctx, 0, func(ctx context.Context, call *cicadaupstream.Call) (*outcome, cicadaupstream.Failure) {
		call.Method = ar.httpReq.Method
		call.Path = "/" + ar.httpReq.PathValue("path")
		call.RawQuery = ar.httpReq.URL.RawQuery
		call.Body = body
		for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
			if v := ar.httpReq.Header.Get(name); v != "" {
				call.Header.Set(name, v)
			}
		}
		witness := ar.r.dialWitness(ctx, call.Addr)
		defer closeWitness(witness)
		resp, err := ar.r.upstreamClient.Do(ctx, call)
		if err != nil {
			return ar.classifyCallError(ctx, call, err)
		}
		ar.answerBegins()
		if resp.Header.Get(cicadaupstream.HeaderNotRun) != "" || (resp.StatusCode >= http.StatusInternalServerError && !ar.atMostOnce) {
			return nil, cicadaupstream.Classify(resp)
		}
		return ar.forwardPlain(resp, call, witness)
	})
}

// forwardPlain forwards the response of a service. Error statuses are forwarded and
// charged like successful responses, as the service processed the request.
func (ar *activeRequest) forwardPlain(resp *http.Response, call *cicadaupstream.Call, witness net.Conn) (*outcome, cicadaupstream.Failure) {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(data) > maxResponseBytes {
		return nil, cicadaupstream.NewResponseError(errors.Errorf("answer of %d bytes: %v", len(data), err))
	}
	if err := ar.confirmEnd(resp, call.Addr, witness); err != nil {
		return nil, cicadaupstream.NewResponseError(err)
	}
	ar.trail.Add(&cicadatrail.Attempt{Number: call.Attempt, Runner: call.Addr, Outcome: resp.Status})
	return &outcome{
		bill:           ar.newBill(ar.upstream.UnitsPerCall, 0, cicadaledger.OutcomeComplete),
		finishResponse: func() { _ = ar.send(resp.StatusCode, resp.Header.Get("Content-Type"), data) },
	}, nil
}
