package cicadarouter

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
)

// servePlain answers /services/{service}/{path}: a call of a plain service.
func (r *Router) servePlain(w http.ResponseWriter, req *http.Request) {
	r.jobs.Add(1)
	defer r.jobs.Done()
	j := r.newJob(w, req)
	defer r.trails.End(j.trail)
	body, ref := j.readBody()
	if ref == nil {
		ref = j.checkServing()
	}
	if ref == nil {
		ref = j.admitPlain(body)
	}
	if ref != nil {
		j.refuse(ref)
		return
	}
	j.serve(func(ctx context.Context) *outcome { return j.runPlain(ctx, body) })
}

func (j *job) admitPlain(body []byte) *cicadarefusal.Refusal {
	name := j.req.PathValue("service")
	svc, ok := j.r.watcher.Current().Service(name)
	if !ok {
		return cicadarefusal.New(cicadarefusal.UnknownService, cicadarefusal.NotRun, "%q", name)
	}
	if ref := j.authenticate(svc); ref != nil {
		return ref
	}
	if j.upstream, ok = svc.PlainUpstream(); !ok {
		return cicadarefusal.New(cicadarefusal.UnknownService, cicadarefusal.NotRun, "service %q has no plain upstream", name)
	}
	j.trail.Add(&cicadatrail.Received{
		Method: j.req.Method, Path: j.req.URL.Path, DocumentVersion: svc.Version(), HasIdempotencyKey: j.req.Header.Get(headerKey) != "",
	})
	j.once = isOnce(j.upstream, j.req.Method, "/"+j.req.PathValue("path"))
	j.outputBound = j.upstream.UnitsPerCall
	return j.readKey(body)
}

// isOnce tells whether the document lists a call as not idempotent.
func isOnce(u *cicadadoc.Upstream, method, path string) bool {
	for _, call := range u.NonIdempotent {
		m, prefix, _ := strings.Cut(call, " ")
		if m == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (j *job) runPlain(ctx context.Context, body []byte) *outcome {
	a := &attempts{j: j}
	return a.run(ctx, 0, func(ctx context.Context, call *cicadaupstream.Call) (*outcome, cicadaupstream.Failure) {
		call.Method = j.req.Method
		call.Path = "/" + j.req.PathValue("path")
		call.RawQuery = j.req.URL.RawQuery
		call.Body = body
		for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
			if v := j.req.Header.Get(name); v != "" {
				call.Header.Set(name, v)
			}
		}
		resp, err := j.r.runners.Do(ctx, call)
		if err != nil {
			return j.callFailed(ctx, call, err)
		}
		if resp.Header.Get(cicadaupstream.HeaderNotRun) != "" || (resp.StatusCode >= http.StatusInternalServerError && !j.once) {
			return nil, cicadaupstream.Classify(resp)
		}
		return j.plainAnswer(resp, call)
	})
}

// plainAnswer passes a service's answer on. Errors of the request are answers
// too, and are charged like others: the service did its work.
func (j *job) plainAnswer(resp *http.Response, call *cicadaupstream.Call) (*outcome, cicadaupstream.Failure) {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil || len(data) > maxAnswer {
		return nil, cicadaupstream.NewResponseError(errors.Errorf("answer of %d bytes: %v", len(data), err))
	}
	j.trail.Add(&cicadatrail.Attempt{Number: call.Attempt, Runner: call.Addr, Outcome: resp.Status})
	return &outcome{
		bill: j.bill(j.upstream.UnitsPerCall, 0, cicadaledger.OutcomeComplete),
		end:  func() { _ = j.send(resp.StatusCode, resp.Header.Get("Content-Type"), data) },
	}, nil
}
