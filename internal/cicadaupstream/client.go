// Package cicadaupstream speaks to runners: model engines in the
// chat-completions form with server-sent events, and plain HTTP services.
//
// It never repeats a request by itself. A failure tells whether any byte of the
// request can have reached the runner, which decides what the router may do.
package cicadaupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/pkg/errors"
)

// Headers between router and runner.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderRouter         = "X-Router"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLoadRunning    = "X-Load-Running"
	HeaderLoadWaiting    = "X-Load-Waiting"
	HeaderDraining       = "X-Leaving"
	// HeaderNotRun is a runner's word that it refused the request unread.
	HeaderNotRun = "X-Not-Run"
)

// Paths of a model engine.
const (
	PathChat     = "/v1/chat/completions"
	PathRequests = "/v1/requests/"
	PathLoad     = "/v1/load"
	PathUsage    = "/v1/usage"
	PathFences   = "/v1/fences/"
)

const (
	// idlePerRunner bounds the idle connections to one runner.
	idlePerRunner = 64
	idleTimeout   = 30 * time.Second
	// controlTimeout bounds load reports, cancels and questions of use.
	controlTimeout = time.Second
	// maxErrorBody bounds what is read of a runner's error, in bytes.
	maxErrorBody = 4 << 10
	// maxControlBody bounds an answer to a control call, in bytes.
	maxControlBody = 1 << 20
	maxHeader      = 64 << 10
)

type (
	// Failure is why an attempt gave no whole answer. It is one of *NotSentError,
	// *RefusedError, *SilentError, *BrokenError and *RejectedError.
	Failure interface {
		error
		isFailure()
	}

	// NotSentError means that no byte of the request left this host.
	NotSentError struct{ cause error }

	// RefusedError means that the runner says it did not run the request.
	RefusedError struct {
		Status   int
		Draining bool
	}

	// NoResponseError means that the request was sent and nothing came back in time,
	// or the connection ended before an answer began.
	NoResponseError struct{ cause error }

	// ResponseError means that the answer began and did not come to its end.
	ResponseError struct{ cause error }

	// RejectedError means that the runner answered with an error of the request.
	RejectedError struct {
		Status int
		Body   []byte
	}

	// Call is one attempt.
	Call struct {
		Addr      string
		Method    string
		Path      string
		RawQuery  string
		Header    http.Header
		Body      []byte
		RequestID string
		Attempt   int
		// FirstByteTimeout bounds the wait for the answer's header.
		FirstByteTimeout time.Duration
	}

	// Load is a runner's report.
	Load struct {
		Running  int  `json:"running"`
		Waiting  int  `json:"waiting"`
		Draining bool `json:"leaving"`
	}

	// Record is what an engine knows of a request.
	Record struct {
		RequestID        string `json:"requestID"`
		Attempt          int    `json:"attempt"`
		State            string `json:"state"` // running, whole or cancelled
		PromptTokens     int64  `json:"promptTokens"`
		CompletionTokens int64  `json:"completionTokens"`
	}

	// RouterUsage is what an engine ran for a router and an organisation.
	RouterUsage struct {
		Tokens  int64 `json:"tokens"`
		Running int   `json:"running"`
	}

	// Config sets up a Client.
	Config struct {
		// OnLoad is called with each load report, from a header or a poll.
		OnLoad func(addr string, load Load)
	}

	// Client calls runners. Its connections end at Close.
	Client struct {
		cfg  Config
		http *http.Client
	}
)

func (e *NotSentError) Error() string    { return "not sent: " + e.cause.Error() }
func (e *RefusedError) Error() string    { return "refused with status " + strconv.Itoa(e.Status) }
func (e *NoResponseError) Error() string { return "no answer: " + e.cause.Error() }
func (e *ResponseError) Error() string   { return "answer broken off: " + e.cause.Error() }
func (e *RejectedError) Error() string   { return "rejected with status " + strconv.Itoa(e.Status) }

func (*NotSentError) isFailure()    {}
func (*RefusedError) isFailure()    {}
func (*NoResponseError) isFailure() {}
func (*ResponseError) isFailure()   {}
func (*RejectedError) isFailure()   {}

// New returns a client. A connection that stays silent is ended by the
// request's own timeouts, and the next request opens a new one.
func New(cfg Config) *Client {
	dialer := cicadapeer.NewDialer()
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idlePerRunner,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
	return &Client{cfg: cfg, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a call and returns the response once its header is there. The caller
// closes the body; ending ctx ends the connection.
func (c *Client) Do(ctx context.Context, call *Call) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
		WroteHeaders:     func() { sent.Store(true) },
	}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		cancel(nil)
		return nil, &NotSentError{cause: err}
	}
	timer := time.AfterFunc(call.FirstByteTimeout, func() { cancel(errFirstByte) })
	resp, err := c.http.Do(req)
	timer.Stop()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		cancel(nil)
		if sent.Load() {
			return nil, &NoResponseError{cause: err}
		}
		return nil, &NotSentError{cause: err}
	}
	c.readLoad(call.Addr, resp.Header)
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

var errFirstByte = errors.New("no answer within the first-byte deadline")

func newRequest(ctx context.Context, call *Call) (*http.Request, error) {
	target := "http://" + call.Addr + call.Path
	if call.RawQuery != "" {
		target += "?" + call.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport cannot send the request a second time, nor a GET
	// whose body it takes for one.
	req.GetBody = nil
	switch {
	case len(call.Body) > 0:
	case call.Method == http.MethodGet || call.Method == http.MethodHead || call.Method == http.MethodOptions:
		req.Body = io.NopCloser(bytes.NewReader(nil))
	default:
		req.Body = http.NoBody
	}
	for k, v := range call.Header {
		req.Header[k] = v
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	return req, nil
}

// cancelBody ends the request's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *cancelBody) Close() error {
	b.cancel(nil)
	return b.ReadCloser.Close()
}

func (c *Client) readLoad(addr string, h http.Header) {
	if c.cfg.OnLoad == nil || (h.Get(HeaderLoadRunning) == "" && h.Get(HeaderDraining) == "") {
		return
	}
	running, _ := strconv.Atoi(h.Get(HeaderLoadRunning))
	waiting, _ := strconv.Atoi(h.Get(HeaderLoadWaiting))
	c.cfg.OnLoad(addr, Load{Running: running, Waiting: waiting, Draining: h.Get(HeaderDraining) != ""})
}

// Classify turns an answer that is no success into a Failure, and closes it.
func Classify(resp *http.Response) Failure {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if resp.Header.Get(HeaderNotRun) != "" {
		return &RefusedError{Status: resp.StatusCode, Draining: resp.Header.Get(HeaderDraining) != ""}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return &ResponseError{cause: errors.Errorf("status %d", resp.StatusCode)}
	}
	return &RejectedError{Status: resp.StatusCode, Body: body}
}

// PollLoad asks a runner for its load.
func (c *Client) PollLoad(ctx context.Context, addr string) error {
	var load Load
	if err := c.control(ctx, http.MethodGet, "http://"+addr+PathLoad, &load); err != nil {
		return err
	}
	if c.cfg.OnLoad != nil {
		c.cfg.OnLoad(addr, load)
	}
	return nil
}

// Cancel ends a request at its engine and returns what it used.
func (c *Client) Cancel(ctx context.Context, addr, requestID string) (Record, error) {
	var rec Record
	err := c.control(ctx, http.MethodDelete, "http://"+addr+PathRequests+requestID, &rec)
	return rec, err
}

// Usage asks an engine what it ran for a router process and an organisation.
func (c *Client) Usage(ctx context.Context, addr, router, organisation string) (RouterUsage, error) {
	q := url.Values{"router": {router}, "organisation": {organisation}}
	var use RouterUsage
	err := c.control(ctx, http.MethodGet, "http://"+addr+PathUsage+"?"+q.Encode(), &use)
	return use, err
}

// Fence makes an engine refuse whatever a router process still sends.
func (c *Client) Fence(ctx context.Context, addr, router string) error {
	var done struct{}
	return c.control(ctx, http.MethodPut, "http://"+addr+PathFences+url.PathEscape(router), &done)
}

func (c *Client) control(ctx context.Context, method, target string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "runner")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("runner: status %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxControlBody)).Decode(out), "runner")
}

// NewResponseError returns a BrokenError with a cause.
func NewResponseError(cause error) *ResponseError { return &ResponseError{cause: cause} }
