// Package cicadaload is an open-loop load generator: it sends requests to routers
// at a fixed rate, independent of the responses. It checks that each response is
// complete and belongs to its request.
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

// maxResponseBytes limits the bytes read of a response.
const maxResponseBytes = 4 << 20

// Verdict classifies a response.
type Verdict string

// Values of Verdict.
const (
	Complete          Verdict = "whole"   // complete, with the expected text
	Incorrect         Verdict = "wrong"   // with text other than expected
	Interrupted       Verdict = "cut"     // ended early with an error event
	SilentlyTruncated Verdict = "silent"  // ended early without an error event; also a JSON body that cannot be read completely
	Refused           Verdict = "refused" // status other than 200, usually with a problem document
	ConnectionFailed  Verdict = "lost"    // the connection failed before the response or during a stream
)

type (
	// RequestSpec describes one request.
	RequestSpec struct {
		BaseURL        string // base URL of the router
		APIKey         string
		IdempotencyKey string // empty for none
		Model          string
		Tag            string // first word of the prompt; repeated in the response
		PromptWords    int    // number of further words of the prompt
		MaxTokens      int
		Stream         bool
		// DirectToEngine means that BaseURL is that of an engine. It serves to
		// compare the engine with a router.
		DirectToEngine bool
	}

	// Result describes the response to one request.
	Result struct {
		Verdict     Verdict
		Status      int
		RefusalCode string // set if Verdict is Refused
		RunStatus   string // set if Verdict is Refused
		RequestID   string
		Replayed    bool
		Streamed    bool
		RetryAfter  time.Duration
		FirstToken  time.Duration // from sending the request to the first token, or to the end of a JSON body
		Total       time.Duration
		TokenGaps   []time.Duration // between consecutive tokens
		Detail      string
	}

	// Caller sends requests over HTTP.
	Caller struct{ client *http.Client }

	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	requestBody struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"` // wire-name of the chat-completions format
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
		RunStatus         string `json:"ran"`
		Detail            string `json:"detail"`
		RetryAfterSeconds int    `json:"retryAfterSeconds"`
	}
)

// NewCaller returns a caller that keeps up to conns idle connections to each router.
// It modifies transport, which may be nil.
func NewCaller(conns int, transport *http.Transport) *Caller {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.MaxIdleConnsPerHost = conns
	return &Caller{client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Prompt returns the prompt for a tag and a number of further words.
func Prompt(tag string, words int) string {
	return tag + strings.Repeat(" word", words)
}

// ExpectedResponse returns the text that the stand-in engine generates for a request.
func ExpectedResponse(s *RequestSpec) string {
	prompt := Prompt(s.Tag, s.PromptWords)
	var b strings.Builder
	for i := range cicadastandin.ResponseTokens(prompt, s.MaxTokens) {
		b.WriteString(cicadastandin.Token(s.Tag, i))
	}
	return b.String()
}

// Call sends one request and classifies the response.
func (c *Caller) Call(ctx context.Context, s *RequestSpec) Result {
	start := time.Now()
	resp, err := c.send(ctx, s)
	if err != nil {
		return Result{Verdict: ConnectionFailed, Detail: err.Error(), Total: time.Since(start)}
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
		readStream(resp.Body, s, start, &res)
	default:
		readJSON(resp.Body, s, start, &res)
	}
	res.Total = time.Since(start)
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
		return nil, errors.Wrap(err, "create request")
	}
	req.GetBody = nil // prevents retries by the transport, so that one call sends one request
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+s.APIKey)
	if s.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", s.IdempotencyKey)
	}
	if s.DirectToEngine {
		req.Header.Set(cicadaupstream.HeaderRequestID, s.Tag)
	}
	return c.client.Do(req)
}

func readProblem(r io.Reader, res *Result) {
	res.Verdict = Refused
	var p problemBody
	if err := json.NewDecoder(io.LimitReader(r, maxResponseBytes)).Decode(&p); err != nil {
		res.Detail = "refusal without a valid problem document: " + err.Error()
		return
	}
	res.RefusalCode, res.RunStatus, res.Detail = p.Code, p.RunStatus, p.Detail
	res.RetryAfter = time.Duration(p.RetryAfterSeconds) * time.Second
}

func readStream(r io.Reader, s *RequestSpec, start time.Time, res *Result) {
	var text strings.Builder
	last := start
	ended, errorEvent := false, false
	for ev, err := range sse.Read(io.LimitReader(r, maxResponseBytes), nil) {
		if err != nil {
			res.Verdict, res.Detail = ConnectionFailed, err.Error()
			return
		}
		if ev.Type == "error" {
			errorEvent = true
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
			res.FirstToken = now.Sub(start)
		} else {
			res.TokenGaps = append(res.TokenGaps, now.Sub(last))
		}
		last = now
		text.WriteString(content)
	}
	checkText(text.String(), s, ended, errorEvent, res)
}

func checkText(text string, s *RequestSpec, ended, errorEvent bool, res *Result) {
	want := ExpectedResponse(s)
	switch {
	case ended && text == want:
		res.Verdict = Complete
	case ended || !strings.HasPrefix(want, text):
		res.Verdict = Incorrect
		res.Detail = "got text " + text
	case errorEvent:
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

func readJSON(r io.Reader, s *RequestSpec, start time.Time, res *Result) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err != nil {
		res.Verdict, res.Detail = SilentlyTruncated, err.Error()
		return
	}
	res.FirstToken = time.Since(start)
	checkText(contentOf(string(data)), s, true, false, res)
}
