// Package cicadaupstream is the client for runners: model engines with the
// chat-completions API and server-sent events, and plain HTTP services.
//
// It never retries a request by itself. Its errors distinguish whether the runner
// can have received any byte of the request, which determines whether the router
// may retry it.
package cicadaupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/pkg/errors"
)

// Headers that routers and runners exchange.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderRouter         = "X-Router"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLoadRunning    = "X-Load-Running"
	HeaderLoadWaiting    = "X-Load-Waiting"
	HeaderDraining       = "X-Leaving"
	// HeaderNotRun in a response states that the runner did not run the request.
	HeaderNotRun = "X-Not-Run"
)

// Paths of the model engine API.
const (
	PathChat     = "/v1/chat/completions"
	PathRequests = "/v1/requests/"
	PathLoad     = "/v1/load"
	PathUsage    = "/v1/usage"
	PathFences   = "/v1/fences/"
)

const (
	// maxIdleConnsPerRunner is the maximum number of idle connections to one runner.
	maxIdleConnsPerRunner = 64
	idleTimeout           = 30 * time.Second
	// controlTimeout is the maximum time for load polls, cancels, fences and usage
	// queries.
	controlTimeout = time.Second
	// maxErrorBodyBytes is the number of bytes read from a runner's error response.
	maxErrorBodyBytes = 4 << 10
	// maxControlBodyBytes is the maximum size of a response to a control call.
	maxControlBodyBytes = 1 << 20
	maxHeaderBytes      = 64 << 10
)

type (
	// Failure is why an attempt got no complete response. It is one of *NotSentError,
	// *RefusedError, *NoResponseError, *ResponseError and *RejectedError.
	Failure interface {
		error
		isFailure()
	}

	// NotSentError means that no byte of the request was sent.
	NotSentError struct{ cause error }

	// RefusedError means that the runner did not run the request, and stated so.
	RefusedError struct {
		Status   int
		Draining bool
	}

	// NoResponseError means that the request was sent and no response header arrived
	// in time or before the connection ended.
	NoResponseError struct{ cause error }

	// ResponseError means that the response began and was not usable: it was
	// interrupted, malformed, too large, or had a 5xx status.
	ResponseError struct{ cause error }

	// RejectedError means that the runner responded with a status below 500 other
	// than success.
	RejectedError struct {
		Status int
		Body   []byte
	}

	// Call is one attempt of a request.
	Call struct {
		Addr      string
		Method    string
		Path      string
		RawQuery  string
		Header    http.Header
		Body      []byte
		RequestID string
		Attempt   int
		// FirstByteTimeout is the maximum wait for the response header.
		FirstByteTimeout time.Duration
	}

	// Load is a runner's load report.
	Load struct {
		Running  int  `json:"running"`
		Waiting  int  `json:"waiting"`
		Draining bool `json:"leaving"`
	}

	// Record is an engine's record of a request.
	Record struct {
		RequestID        string `json:"requestID"`
		Attempt          int    `json:"attempt"`
		State            string `json:"state"` // running, whole or cancelled
		PromptTokens     int64  `json:"promptTokens"`
		CompletionTokens int64  `json:"completionTokens"`
	}

	// RouterUsage contains the prompt and completion tokens of all requests of a
	// router process for an organisation at an engine, and the number of those
	// requests that are running.
	RouterUsage struct {
		Tokens  int64 `json:"tokens"`
		Running int   `json:"running"`
	}

	// Config configures a Client.
	Config struct {
		// OnLoad is called with each load report from response headers or polls.
		OnLoad func(addr string, load Load)
	}

	// Client calls runners. Close closes its idle connections.
	Client struct {
		cfg     Config
		http    *http.Client
		control *http.Client // for load polls, cancels, fences and usage queries
		kept    keptConnections
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

// New returns a client. The timeouts of a request close a connection that does not
// respond, and the next request opens a new one.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: newHTTPClient(), control: newHTTPClient()}
}

func newHTTPClient() *http.Client {
	transport := &http.Transport{
		DialContext:            cicadanet.CheckEnds(cicadapeer.NewDialer().DialContext),
		MaxIdleConnsPerHost:    maxIdleConnsPerRunner,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &http.Client{
		Transport:     cicadanet.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Do sends a call and returns the response once its header has arrived. The caller
// must close the body. Cancelling ctx closes the connection.
func (c *Client) Do(ctx context.Context, call *Call) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var (
		sent     atomic.Bool
		connInfo httptrace.GotConnInfo
	)
	trace := &httptrace.ClientTrace{
		GotConn:          func(info httptrace.GotConnInfo) { connInfo = info },
		WroteHeaderField: func(string, []string) { sent.Store(true) },
		WroteHeaders:     func() { sent.Store(true) },
	}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		cancel(nil)
		return nil, &NotSentError{cause: err}
	}
	req.Close = !c.kept.mayKeep(call.Addr)
	timer := cicadanet.NewSilenceTimer(call.FirstByteTimeout, func() bool {
		cancel(errFirstByteTimeout)
		return true
	})
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
	if err := c.kept.check(call, &connInfo, resp); err != nil {
		cancel(nil)
		// What follows on the connection cannot be assigned to a call. A connection that is closed
		// already is no error.
		_ = resp.Body.Close()
		_ = connInfo.Conn.Close()
		return nil, NewResponseError(err)
	}
	c.reportLoad(call.Addr, resp.Header)
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

var errFirstByteTimeout = errors.New("no answer within the first-byte deadline")

// replayedMethods are the methods that http.Transport takes for idempotent.
var replayedMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

func newRequest(ctx context.Context, call *Call) (*http.Request, error) {
	target := "http://" + call.Addr + call.Path
	if call.RawQuery != "" {
		target += "?" + call.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// The transport resends a request with an idempotent method or an Idempotency-Key
	// header, if it has GetBody or no body. GetBody is removed, requests with one of
	// replayedMethods get an empty body that the transport does not recognise as such,
	// and the header is written in lower case, which it does not recognise either.
	req.GetBody = nil
	switch {
	case len(call.Body) > 0:
	case slices.Contains(replayedMethods, call.Method):
		req.Body = io.NopCloser(bytes.NewReader(nil))
	default:
		req.Body = http.NoBody
	}
	for k, v := range call.Header {
		if k == HeaderIdempotencyKey {
			k = strings.ToLower(k)
		}
		req.Header[k] = v
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	return req, nil
}

// cancelBody cancels the request's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *cancelBody) Close() error {
	b.cancel(nil)
	return b.ReadCloser.Close()
}

func (c *Client) reportLoad(addr string, h http.Header) {
	if c.cfg.OnLoad == nil || (h.Get(HeaderLoadRunning) == "" && h.Get(HeaderDraining) == "") {
		return
	}
	running, _ := strconv.Atoi(h.Get(HeaderLoadRunning))
	waiting, _ := strconv.Atoi(h.Get(HeaderLoadWaiting))
	c.cfg.OnLoad(addr, Load{Running: running, Waiting: waiting, Draining: h.Get(HeaderDraining) != ""})
}

// Classify returns the Failure for an unsuccessful response, and closes its body.
func Classify(resp *http.Response) Failure {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if resp.Header.Get(HeaderNotRun) != "" {
		return &RefusedError{Status: resp.StatusCode, Draining: resp.Header.Get(HeaderDraining) != ""}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return &ResponseError{cause: errors.Errorf("status %d", resp.StatusCode)}
	}
	return &RejectedError{Status: resp.StatusCode, Body: body}
}

// PollLoad requests a runner's load and passes it to OnLoad.
func (c *Client) PollLoad(ctx context.Context, addr string) error {
	var load Load
	if err := c.controlCall(ctx, http.MethodGet, "http://"+addr+PathLoad, &load); err != nil {
		return err
	}
	if c.cfg.OnLoad != nil {
		c.cfg.OnLoad(addr, load)
	}
	return nil
}

// Cancel cancels a request at its engine and returns the engine's record of it.
func (c *Client) Cancel(ctx context.Context, addr, requestID string) (Record, error) {
	var rec Record
	err := c.controlCall(ctx, http.MethodDelete, "http://"+addr+PathRequests+requestID, &rec)
	return rec, err
}

// Usage returns an engine's RouterUsage for a router process and an organisation.
func (c *Client) Usage(ctx context.Context, addr, router, organisation string) (RouterUsage, error) {
	q := url.Values{"router": {router}, "organisation": {organisation}}
	var usage RouterUsage
	err := c.controlCall(ctx, http.MethodGet, "http://"+addr+PathUsage+"?"+q.Encode(), &usage)
	return usage, err
}

// Fence makes an engine refuse all further requests of a router process.
func (c *Client) Fence(ctx context.Context, addr, router string) error {
	var empty struct{}
	return c.controlCall(ctx, http.MethodPut, "http://"+addr+PathFences+url.PathEscape(router), &empty)
}

func (c *Client) controlCall(ctx context.Context, method, target string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return errors.Wrap(err, "runner")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("runner: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBodyBytes))
	if err != nil {
		return errors.Wrap(err, "runner")
	}
	return errors.Wrap(json.Unmarshal(data, out), "runner")
}

// NewResponseError returns a ResponseError with a cause.
func NewResponseError(cause error) *ResponseError { return &ResponseError{cause: cause} }
