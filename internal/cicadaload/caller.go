// Package cicadaload sends requests to routers as callers do, at a given rate
// whatever the answers (open loop), and judges each answer: is it whole, and is
// it the caller's own?
package cicadaload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

// maxReply bounds what is read of an answer, in bytes.
const maxReply = 4 << 20

// Verdict sorts an answer.
type Verdict string

// The verdicts on an answer.
const (
	Complete          Verdict = "whole"   // complete, and the caller's own
	Incorrect         Verdict = "wrong"   // not what was asked for
	Interrupted       Verdict = "cut"     // ended early, and said so
	SilentlyTruncated Verdict = "silent"  // ended early without a word
	Refused           Verdict = "refused" // a problem document
	ConnectionFailed  Verdict = "lost"    // no answer, or part of it: the connection failed
)

type (
	// RequestSpec is one request.
	RequestSpec struct {
		BaseURL        string // of the router
		APIKey         string
		IdempotencyKey string // idempotency key; empty for none
		Model          string
		Tag            string // first word of the prompt; the answer repeats it
		PromptWords    int    // further words of the prompt
		MaxTokens      int
		Stream         bool
		// DirectToEngine sends the request to an engine itself, for comparison.
		DirectToEngine bool
	}

	// Result is what came back.
	Result struct {
		Verdict     Verdict
		Status      int
		RefusalCode string // of a refusal
		RunStatus   string // of a refusal
		RequestID   string
		Replayed    bool
		Streamed    bool
		RetryAfter  time.Duration
		FirstToken  time.Duration // from sending to the first content
		Total       time.Duration
		TokenGaps   []time.Duration // between contents
		Detail      string
	}

	// Caller sends requests.
	Caller struct{ http *http.Client }

	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	requestBody struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"` // wire-name of the chat-completions form
		Messages  []message `json:"messages"`
	}

	contentBody struct {
		Choices []struct {
			Delta   message `json:"delta"`
			Message message `json:"message"`
		} `json:"choices"`
	}

	problemBody struct {
		Code              string `json:"code"`
		Ran               string `json:"ran"`
		Detail            string `json:"detail"`
		RetryAfterSeconds int    `json:"retryAfterSeconds"`
	}
)

// NewCaller returns a caller with up to conns connections to each router.
func NewCaller(conns int, transport *http.Transport) *Caller {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.MaxIdleConnsPerHost = conns
	return &Caller{http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Prompt returns the prompt of a request with a tag.
func Prompt(tag string, words int) string {
	return tag + strings.Repeat(" word", words)
}

// ExpectedResponse returns the whole answer to a request, by the stand-in's rule.
func ExpectedResponse(s *RequestSpec) string {
	prompt := Prompt(s.Tag, s.PromptWords)
	var b strings.Builder
	for i := range cicadastandin.ResponseTokens(prompt, s.MaxTokens) {
		b.WriteString(cicadastandin.Token(s.Tag, i))
	}
	return b.String()
}

// Call sends one request and judges the answer.
func (c *Caller) Call(ctx context.Context, s *RequestSpec) Result {
	begin := time.Now()
	resp, err := c.send(ctx, s)
	if err != nil {
		return Result{Verdict: ConnectionFailed, Detail: err.Error(), Total: time.Since(begin)}
	}
	defer resp.Body.Close()
	res := Result{
		Status:    resp.StatusCode,
		RequestID: resp.Header.Get("X-Request-Id"),
		Replayed:  resp.Header.Get("Idempotent-Replayed") != "",
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		readProblem(resp.Body, &res)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		res.Streamed = true
		readStream(resp.Body, s, begin, &res)
	default:
		readWhole(resp.Body, s, begin, &res)
	}
	res.Total = time.Since(begin)
	return res
}

func (c *Caller) send(ctx context.Context, s *RequestSpec) (*http.Response, error) {
	body, err := json.Marshal(requestBody{
		Model: s.Model, Stream: s.Stream, MaxTokens: s.MaxTokens,
		Messages: []message{{Role: "user", Content: Prompt(s.Tag, s.PromptWords)}},
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.BaseURL+cicadaupstream.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.GetBody = nil // one call is one request: no silent repeat by the transport
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+s.APIKey)
	if s.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", s.IdempotencyKey)
	}
	if s.DirectToEngine {
		req.Header.Set(cicadaupstream.HeaderRequestID, s.Tag)
	}
	return c.http.Do(req)
}

func readProblem(r io.Reader, res *Result) {
	res.Verdict = Refused
	var p problemBody
	if err := json.NewDecoder(io.LimitReader(r, maxReply)).Decode(&p); err != nil {
		res.Detail = "a refusal without a problem document: " + err.Error()
		return
	}
	res.RefusalCode, res.RunStatus, res.Detail = p.Code, p.Ran, p.Detail
	res.RetryAfter = time.Duration(p.RetryAfterSeconds) * time.Second
}

func readStream(r io.Reader, s *RequestSpec, begin time.Time, res *Result) {
	var text strings.Builder
	last := begin
	ended, cut := false, false
	for ev, err := range sse.Read(io.LimitReader(r, maxReply), nil) {
		if err != nil {
			res.Verdict, res.Detail = ConnectionFailed, err.Error()
			return
		}
		if ev.Type == "error" {
			cut = true
			res.Detail = ev.Data
			break
		}
		if ev.Data == cicadaupstream.EndMarker {
			ended = true
			break
		}
		content := contentOf(ev.Data)
		if content == "" {
			continue
		}
		now := time.Now()
		if text.Len() == 0 {
			res.FirstToken = now.Sub(begin)
		} else {
			res.TokenGaps = append(res.TokenGaps, now.Sub(last))
		}
		last = now
		text.WriteString(content)
	}
	judge(text.String(), s, ended, cut, res)
}

func judge(text string, s *RequestSpec, ended, cut bool, res *Result) {
	want := ExpectedResponse(s)
	switch {
	case ended && text == want:
		res.Verdict = Complete
	case ended || !strings.HasPrefix(want, text):
		res.Verdict = Incorrect
		res.Detail = "got " + text
	case cut:
		res.Verdict = Interrupted
	default:
		res.Verdict = SilentlyTruncated
	}
}

func contentOf(data string) string {
	var c contentBody
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Message.Content
}

func readWhole(r io.Reader, s *RequestSpec, begin time.Time, res *Result) {
	data, err := io.ReadAll(io.LimitReader(r, maxReply))
	if err != nil {
		res.Verdict, res.Detail = SilentlyTruncated, err.Error()
		return
	}
	res.FirstToken = time.Since(begin)
	judge(contentOf(string(data)), s, true, false, res)
}
