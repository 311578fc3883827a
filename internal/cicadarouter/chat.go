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
	// messageOverheadTokens is the most tokens that an engine adds per message.
	messageOverheadTokens = 8
	// affinityPrefixBytes is the length of the prompt prefix that is hashed to
	// choose a runner that may have the prompt cached.
	affinityPrefixBytes = 256
)

// chatRequest is a request in the chat-completions format. Unknown fields are
// forwarded unchanged.
type chatRequest struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int // zero selects the default of the service
	messages     []json.RawMessage
}

// serveChat handles POST /v1/chat/completions.
func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	r.activeRequests.Add(1)
	defer r.activeRequests.Done()
	ar := r.newActiveRequest(w, req)
	defer r.trails.End(ar.trail)
	body, ref := ar.readBody()
	if ref == nil {
		ref = ar.checkAccepting()
	}
	if ref != nil {
		ar.refuse(ref)
		return
	}
	c, ref := parseChat(body)
	if ref == nil {
		ref = ar.admitChat(c, body)
	}
	if ref != nil {
		ar.refuse(ref)
		return
	}
	ar.process(func(ctx context.Context) *outcome { return ar.runChat(ctx, c) })
}

// checkAccepting refuses the request while the router is stopping or has no
// configuration.
func (ar *activeRequest) checkAccepting() *cicadarefusal.Refusal {
	switch {
	case ar.r.stopping.Load():
		return cicadarefusal.New(cicadarefusal.Stopping, cicadarefusal.NotRun, "the router takes no new work")
	case !ar.r.isReady():
		return cicadarefusal.New(cicadarefusal.NotReady, cicadarefusal.NotRun, "the router has not read the configuration yet, or what other routers know of crashes")
	default:
		return nil
	}
}

// readBody reads the request body, limited by MaxBodyBytes and bodyTimeout.
func (ar *activeRequest) readBody() ([]byte, *cicadarefusal.Refusal) {
	_ = http.NewResponseController(ar.w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(ar.w, ar.httpReq.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, cicadarefusal.New(cicadarefusal.BodyTooLarge, cicadarefusal.NotRun, "over %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, cicadarefusal.New(cicadarefusal.Malformed, cicadarefusal.NotRun, "body not read: %v", err)
	}
	// The server detects a disconnected caller by continuing to read, which an
	// expired read deadline would prevent.
	_ = http.NewResponseController(ar.w).SetReadDeadline(time.Time{})
	ar.body = body
	return body, nil
}

// parseChat parses and validates a chat-completions request.
func parseChat(body []byte) (*chatRequest, *cicadarefusal.Refusal) {
	malformed := func(format string, args ...any) (*chatRequest, *cicadarefusal.Refusal) {
		return nil, cicadarefusal.New(cicadarefusal.Malformed, cicadarefusal.NotRun, format, args...)
	}
	c := &chatRequest{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return malformed("the body is no JSON object: %v", err)
	}
	var opts struct {
		IncludeUsage bool `json:"include_usage"` // wire-name of the chat-completions format
	}
	var maxCompletionTokens int
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &c.model},
		{"stream", &c.stream},
		{"messages", &c.messages},
		{"max_tokens", &c.maxTokens},
		{"max_completion_tokens", &maxCompletionTokens},
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
	smallest := min(c.maxTokens, maxCompletionTokens)
	c.maxTokens = max(c.maxTokens, maxCompletionTokens)
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

// admitChat determines the service, organisation and token bounds of a chat
// request.
func (ar *activeRequest) admitChat(c *chatRequest, body []byte) *cicadarefusal.Refusal {
	svc, ref := ar.findService(c.model)
	if ref != nil {
		return ref
	}
	ar.upstream, _ = svc.UpstreamForModel(c.model)
	ar.trail.Add(&cicadatrail.Received{
		Method: ar.httpReq.Method, Path: ar.httpReq.URL.Path, DocumentVersion: svc.Version(), Model: c.model,
		HasIdempotencyKey: ar.httpReq.Header.Get(headerKey) != "",
	})
	if c.maxTokens == 0 {
		c.maxTokens = ar.rules.DefaultMaxTokens
	}
	if c.maxTokens > ar.rules.MaxTokens {
		return cicadarefusal.New(cicadarefusal.TooManyTokens, cicadarefusal.NotRun, "%d asked, %d allowed", c.maxTokens, ar.rules.MaxTokens)
	}
	for _, m := range c.messages {
		ar.promptBound += promptBound(m)
	}
	ar.setMessages(c.messages)
	ar.outputBound = cicadabudget.Units(c.maxTokens)
	return ar.readIdempotencyKey(body)
}

// promptBound returns an upper bound of a message's tokens. Each token is at least
// one byte of the content. For a message with fields other than plain text, such
// as parts or tool calls, the bound is the length of its encoding.
func promptBound(message json.RawMessage) cicadabudget.Units {
	var plain struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	dec := json.NewDecoder(bytes.NewReader(message))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&plain); err != nil {
		return cicadabudget.Units(len(message) + messageOverheadTokens)
	}
	return cicadabudget.Units(len(plain.Content) + messageOverheadTokens)
}

// findService returns the service that serves a model and has the caller's API key.
func (ar *activeRequest) findService(model string) (*cicadaconfig.Service, *cicadarefusal.Refusal) {
	ref := cicadarefusal.New(cicadarefusal.UnknownModel, cicadarefusal.NotRun, "no service serves %q", model)
	for _, svc := range ar.r.watcher.Current().Services() {
		if _, ok := svc.UpstreamForModel(model); !ok {
			continue
		}
		if ref = ar.authenticate(svc); ref == nil {
			return svc, nil
		}
	}
	return nil, ref
}

// encode returns the request body for the engine.
func (c *chatRequest) encode() ([]byte, error) {
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

// prefixHash returns a hash of the first affinityPrefixBytes of the messages.
func (c *chatRequest) prefixHash() uint64 {
	h := xxhash.New()
	remaining := affinityPrefixBytes
	for _, m := range c.messages {
		n := min(remaining, len(m))
		_, _ = h.Write(m[:n])
		if remaining -= n; remaining == 0 {
			break
		}
	}
	return h.Sum64()
}

// runChat makes attempts at engines until one yields an outcome.
func (ar *activeRequest) runChat(ctx context.Context, c *chatRequest) *outcome {
	body, err := c.encode()
	s := &attemptSequence{ar: ar}
	if err != nil {
		return s.failedOutcome(err)
	}
	return s.run(ctx, c.prefixHash(), func(ctx context.Context, call *cicadaupstream.Call) (*outcome, cicadaupstream.Failure) {
		call.Method, call.Path, call.Body = http.MethodPost, cicadaupstream.PathChat, body
		if !c.stream {
			call.FirstByteTimeout = time.Until(ar.deadline)
		}
		resp, err := ar.r.upstreamClient.Do(ctx, call)
		if err != nil {
			return ar.classifyCallError(ctx, call, err)
		}
		ar.answerBegins()
		if resp.StatusCode != http.StatusOK {
			return nil, cicadaupstream.Classify(resp)
		}
		if c.stream {
			return ar.streamChat(ctx, c, call, resp)
		}
		return ar.forwardChat(ctx, call, resp)
	})
}

// serveModels lists the models of the services that have the caller's API key.
func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"` // wire-name of the chat-completions format
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	known := false
	for _, svc := range r.watcher.Current().Services() {
		if _, ok := svc.Authenticate(bearerToken(req.Header)); !ok {
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
