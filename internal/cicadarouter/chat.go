package cicadarouter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
)

const (
	// perMessageTokens is what an engine may add for each message.
	perMessageTokens = 8
	// affinityBytes is the part of a prompt that decides which runner may have
	// it cached.
	affinityBytes = 256
)

// chat is a request in the chat-completions form. Fields that the router does
// not know pass through unchanged.
type chat struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int // zero if the caller leaves it to the service
	messages     []json.RawMessage
}

// serveChat answers POST /v1/chat/completions.
func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	r.jobs.Add(1)
	defer r.jobs.Done()
	j := r.newJob(w, req)
	defer r.trails.End(j.trail)
	body, ref := j.readBody()
	if ref == nil {
		ref = j.checkServing()
	}
	if ref != nil {
		j.refuse(ref)
		return
	}
	c, ref := parseChat(body)
	if ref == nil {
		ref = j.admitChat(c, body)
	}
	if ref != nil {
		j.refuse(ref)
		return
	}
	j.serve(func(ctx context.Context) *outcome { return j.runChat(ctx, c) })
}

// checkServing refuses work that the router cannot take now.
func (j *job) checkServing() *cicadarefusal.Refusal {
	switch {
	case j.r.stopping.Load():
		return cicadarefusal.New(cicadarefusal.Stopping, cicadarefusal.NotRun, "the router takes no new work")
	case !j.r.isReady():
		return cicadarefusal.New(cicadarefusal.NotReady, cicadarefusal.NotRun, "neither the platform nor a peer has told the configuration")
	default:
		return nil
	}
}

// readBody reads the request's body within its bounds of size and time.
func (j *job) readBody() ([]byte, *cicadarefusal.Refusal) {
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.req.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, cicadarefusal.New(cicadarefusal.BodyTooLarge, cicadarefusal.NotRun, "over %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, cicadarefusal.New(cicadarefusal.Malformed, cicadarefusal.NotRun, "body not read: %v", err)
	}
	// A caller that leaves is noticed by reading on.
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{})
	return body, nil
}

// parseChat reads a chat-completions request.
func parseChat(body []byte) (*chat, *cicadarefusal.Refusal) {
	malformed := func(format string, args ...any) (*chat, *cicadarefusal.Refusal) {
		return nil, cicadarefusal.New(cicadarefusal.Malformed, cicadarefusal.NotRun, format, args...)
	}
	c := &chat{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return malformed("the body is no JSON object: %v", err)
	}
	var opts struct {
		IncludeUsage bool `json:"include_usage"` // wire-name of the chat-completions form
	}
	var newMax int
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &c.model},
		{"stream", &c.stream},
		{"messages", &c.messages},
		{"max_tokens", &c.maxTokens},
		{"max_completion_tokens", &newMax},
		{"stream_options", &opts},
	} {
		raw, ok := c.fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.into); err != nil {
			return malformed("field %s: %v", f.name, err)
		}
	}
	c.includeUsage = opts.IncludeUsage
	smallest := min(c.maxTokens, newMax)
	c.maxTokens = max(c.maxTokens, newMax)
	switch {
	case c.model == "":
		return malformed("field model is missing")
	case len(c.messages) == 0:
		return malformed("field messages is missing or empty")
	case smallest < 0:
		return malformed("field max_tokens or max_completion_tokens is negative")
	}
	return c, nil
}

// admitChat finds service, organisation and bounds of a chat request.
func (j *job) admitChat(c *chat, body []byte) *cicadarefusal.Refusal {
	svc, ref := j.serviceOf(c.model)
	if ref != nil {
		return ref
	}
	j.upstream, _ = svc.UpstreamForModel(c.model)
	j.trail.Add(&cicadatrail.Received{
		Method: j.req.Method, Path: j.req.URL.Path, DocumentVersion: svc.Version(), Model: c.model,
		HasIdempotencyKey: j.req.Header.Get(headerKey) != "",
	})
	if c.maxTokens == 0 {
		c.maxTokens = j.rules.DefaultMaxTokens
	}
	if c.maxTokens > j.rules.MaxTokens {
		return cicadarefusal.New(cicadarefusal.TooManyTokens, cicadarefusal.NotRun, "%d asked, %d allowed", c.maxTokens, j.rules.MaxTokens)
	}
	for _, m := range c.messages {
		j.promptBound += promptBound(m)
	}
	j.outputBound = cicadabudget.Units(c.maxTokens)
	return j.readKey(body)
}

// promptBound returns the most tokens that a message can be: a token is at least
// one byte of its content. A message with other fields than plain text, such as
// parts or tool calls, is bounded by its whole encoding.
func promptBound(message json.RawMessage) cicadabudget.Units {
	var plain struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	dec := json.NewDecoder(bytes.NewReader(message))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&plain); err != nil {
		return cicadabudget.Units(len(message) + perMessageTokens)
	}
	return cicadabudget.Units(len(plain.Content) + perMessageTokens)
}

// serviceOf finds the service that serves a model and knows the caller's key.
func (j *job) serviceOf(model string) (*cicadaconfig.Service, *cicadarefusal.Refusal) {
	ref := cicadarefusal.New(cicadarefusal.UnknownModel, cicadarefusal.NotRun, "no service serves %q", model)
	for _, svc := range j.r.watcher.Current().Services() {
		if _, ok := svc.UpstreamForModel(model); !ok {
			continue
		}
		if ref = j.authenticate(svc); ref == nil {
			return svc, nil
		}
	}
	return nil, ref
}

// body returns the request as it goes to the engine.
func (c *chat) body() ([]byte, error) {
	out := make(map[string]json.RawMessage, len(c.fields)+2)
	for k, v := range c.fields {
		out[k] = v
	}
	delete(out, "max_completion_tokens")
	limit, err := json.Marshal(c.maxTokens)
	if err != nil {
		return nil, errors.Wrap(err, "encode max_tokens")
	}
	out["max_tokens"] = limit
	if c.stream {
		out["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	data, err := json.Marshal(out)
	return data, errors.Wrap(err, "encode request")
}

// prefix returns a digest of the prompt's beginning.
func (c *chat) prefix() uint64 {
	h := xxhash.New()
	left := affinityBytes
	for _, m := range c.messages {
		n := min(left, len(m))
		_, _ = h.Write(m[:n])
		if left -= n; left == 0 {
			break
		}
	}
	return h.Sum64()
}

// runChat sends the request to engines until one answers.
func (j *job) runChat(ctx context.Context, c *chat) *outcome {
	body, err := c.body()
	a := &attempts{j: j}
	if err != nil {
		return a.giveUp(err)
	}
	return a.run(ctx, c.prefix(), func(ctx context.Context, call *cicadaupstream.Call) (*outcome, cicadaupstream.Failure) {
		call.Method, call.Path, call.Body = http.MethodPost, cicadaupstream.PathChat, body
		if !c.stream {
			call.FirstByteTimeout = time.Until(j.deadline)
		}
		resp, err := j.r.runners.Do(ctx, call)
		if err != nil {
			return j.callFailed(ctx, call, err)
		}
		if resp.StatusCode != http.StatusOK {
			return nil, cicadaupstream.Classify(resp)
		}
		if c.stream {
			return j.streamChat(ctx, c, call, resp)
		}
		return j.wholeChat(ctx, call, resp)
	})
}

// serveModels lists the models of the services that know the caller's key.
func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"` // wire-name of the chat-completions form
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	known := false
	for _, svc := range r.watcher.Current().Services() {
		if _, ok := svc.Authenticate(bearer(req.Header)); !ok {
			continue
		}
		known = true
		for _, u := range svc.Upstreams() {
			for _, m := range u.Models {
				list.Data = append(list.Data, model{ID: m, Object: "model", OwnedBy: svc.Name()})
			}
		}
	}
	if !known {
		cicadarefusal.New(cicadarefusal.UnknownKey, cicadarefusal.NotRun, "no service knows the key").Write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
