package cicadaedge

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadalimit"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// repeatShare is the part of the time left after which a call that may be
	// repeated is given to another runner.
	repeatShare = 0.5
	// firstEventFactor and pauseFactor, times the route's objectives, are how
	// long a resumable stream may stay silent before another runner continues it.
	firstEventFactor = 2
	pauseFactor      = 2
	// headroom is kept from a runner's time so that its own answer at the limit
	// arrives before this router's.
	headroom = 5 * time.Millisecond
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

type (
	// exchange sends a request to runners until one answers.
	exchange struct {
		*request
		tried []string
		// stream state
		begun     bool // the answer's header has been sent to the caller
		lastEvent string
		last      *result // of the attempt before
		paid      bool    // the next attempt has been taken from the retry budget
		// moved tells the same of an attempt that was ended for its silence.
		moved atomic.Bool
	}

	// attempt is one send to one runner.
	attempt struct {
		ticket *placement
		resp   *http.Response
		answer ResponseInfo
		cancel context.CancelCauseFunc
	}

	// sendError is a failure before an answer began.
	sendError struct {
		cause error
		sent  bool // some bytes of the request may have reached the runner
	}
)

var (
	errSilent  = errors.New("the runner was silent for too long")
	errForeign = errors.New("the answer belongs to another request")
	errNoSeal  = errors.New("the runner does not stand for the answer")
)

// Error returns the cause.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// run sends the request and forwards the answer. Another runner is tried where
// the request has not run, or where it may run again.
func (x *exchange) run(ctx context.Context) result {
	for {
		res, again := x.try(ctx)
		if !again {
			return res
		}
		if x.r.Context().Err() != nil {
			return result{left: true}
		}
		if moved := x.moved.Swap(false); x.attempts > 0 && !x.paid && !moved && !x.mayRepeat() {
			return res
		}
		x.paid = false
		x.last = &res
	}
}

// mayRepeat tells whether the request may be sent once more: within the route's
// number of runners, and from the retry budget.
func (x *exchange) mayRepeat() bool {
	return x.attempts < x.route.MaxRunners && time.Until(x.deadline) > headroom &&
		x.rt.retries.Allow(x.service.Name, time.Now())
}

// try makes one attempt. It returns the result and whether another runner may
// be tried instead.
func (x *exchange) try(ctx context.Context) (result, bool) {
	now := time.Now()
	if left := x.deadline.Sub(now); left <= headroom {
		return x.timedOut(), false
	}
	ticket, err := x.rt.desks.choose(ctx, &cicadaplace.Request{
		Service: x.service.Name, Parts: x.demand.PromptParts, Tokens: int(x.demand.PromptTokens), Tried: x.tried,
		Priority: x.priority(),
	}, x.deadline)
	if err != nil {
		return x.noRunner(err), false
	}
	x.runner, x.cost, x.cached = ticket.Runner().ID(), ticket.EstimateMillis(), ticket.CachedTokens()
	x.rate, x.limited = x.rt.limits.Rate(ticket.Runner().Key())
	x.tried = append(x.tried, x.runner)
	a, err := x.send(ctx, ticket)
	if err != nil {
		return x.sendFailed(ticket, err)
	}
	defer a.close()
	return x.take(a)
}

// noRunner is the result where no runner is left: that of the attempt before,
// if there was one.
func (x *exchange) noRunner(err error) result {
	if x.last != nil {
		return *x.last
	}
	var limited *cicadaplace.RateLimitedError
	if errors.As(err, &limited) {
		d := cicadalimit.Class{Service: x.service.Name, Priority: x.priority()}
		return refuse(RefuseRateLimited, x.rt.limits.RetryAfter(d, limited.Rate, time.Now()), err.Error())
	}
	return refuse(RefuseNoRunner, later, err.Error())
}

func (x *exchange) outOfTime(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(x.deadline)
}

func (x *exchange) timedOut() result {
	if x.begun {
		return result{cut: context.DeadlineExceeded}
	}
	if x.ran {
		return refuse(FailedTimeout, 0, "no runner answered within the time limit")
	}
	return refuse(RefuseTooLate, soon, "the time limit passed before the request was sent")
}

// send sends the request and returns once the answer's header is there.
func (x *exchange) send(ctx context.Context, ticket *placement) (*attempt, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, watch := x.watchConn(ctx, ticket, cancel)
	defer watch.stop()
	req, err := x.outgoing(ctx, ticket)
	if err != nil {
		cancel(nil)
		return nil, &sendError{cause: err}
	}
	silence := x.endWhenSilent(x.silence(), x.attempts+1, cancel)
	resp, sent, err := x.rt.upstreams.do( //nolint:bodyclose // attempt.close closes it
		ticket.Runner(), x.service, req, x.body)
	silence.stop()
	if sent {
		x.attempts++
	}
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		cancel(nil)
		return nil, &sendError{cause: err, sent: sent}
	}
	a := &attempt{ticket: ticket, resp: resp, cancel: cancel, answer: x.rt.cfg.Dialect.ParseResponse(resp)}
	if a.answer.Load != nil {
		ticket.ReportLoad(*a.answer.Load, time.Now())
	}
	x.heard(a)
	return a, nil
}

// silence is how long the runner may take until its answer begins, where another
// one may be tried.
func (x *exchange) silence() time.Duration {
	left := time.Until(x.deadline)
	if x.route.Kind == cicadadeploy.KindStream {
		return min(firstEventFactor*x.route.LatencyObjective, left)
	}
	return time.Duration(repeatShare * float64(left))
}

func (x *exchange) outgoing(ctx context.Context, ticket *placement) (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: ticket.Runner().Addr(), Opaque: x.r.RequestURI}
	req := &http.Request{
		Method: x.r.Method, URL: target, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: x.r.Header.Clone(), ContentLength: int64(len(x.body)),
	}
	if !strings.HasPrefix(x.r.RequestURI, "/") || strings.HasPrefix(x.r.RequestURI, "//") {
		return nil, errors.Errorf("the request target %q is not a path", x.r.RequestURI)
	}
	for _, name := range strings.Split(req.Header.Get("Connection"), ",") {
		req.Header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// Keeps the transport from naming itself.
		req.Header["User-Agent"] = []string{""}
	}
	x.rt.cfg.Dialect.StripRouterHeaders(req.Header)
	m := &RunnerHeaders{RunnerID: ticket.Runner().ID(), Remaining: time.Until(x.deadline) - headroom, Priority: x.priority(), LastEventID: x.lastEvent}
	if x.org != nil {
		m.Organisation = x.org.Name
	}
	x.rt.cfg.Dialect.SetRunnerHeaders(req.Header, m)
	return req.WithContext(ctx), nil
}

func (x *exchange) priority() int {
	if x.org != nil && x.org.Priority != nil {
		return *x.org.Priority
	}
	return x.route.Priority
}

// sendFailed sorts a failure before an answer began.
func (x *exchange) sendFailed(ticket *placement, err error) (result, bool) {
	x.cause = err
	var failed *sendError
	if !errors.As(err, &failed) {
		failed = &sendError{cause: err, sent: true}
	}
	if x.r.Context().Err() != nil {
		x.rt.desks.end(ticket, cicadaplace.CallerCancelled)
		return result{left: true}, false
	}
	if !failed.sent {
		res := cicadaplace.ConnectFailed
		if errors.Is(err, errLimited) || errors.Is(err, errLeaving) {
			res = cicadaplace.NotSent
		}
		x.ended(ticket, res, err)
		if x.begun {
			return result{cut: err}, true
		}
		return refuse(RefuseNoRunner, soon, "the runner was not reached: "+err.Error()), true
	}
	x.ran = true
	x.ended(ticket, cicadaplace.Failed, err)
	if x.begun {
		return result{cut: err}, true
	}
	if x.outOfTime(err) {
		return x.timedOut(), false
	}
	return refuse(FailedUpstream, 0, "the runner gave no answer: "+err.Error()), x.route.CanRunAgain()
}

// ended gives the ticket back and logs if the runner is left out from now on.
func (x *exchange) ended(ticket *placement, res cicadaplace.Result, cause error) {
	if d := x.rt.desks.end(ticket, res); d > 0 {
		x.rt.cfg.Log.WithField("runner", ticket.Runner().ID()).WithField("requestId", x.demand.ID).
			WithField("forMillis", d.Milliseconds()).WithError(cause).Info("runner left out after failures")
	}
}

// take looks at an answer's header and forwards the answer if it is one.
func (x *exchange) take(a *attempt) (result, bool) {
	status := a.resp.StatusCode
	if a.answer.NotRun {
		return x.notRun(a)
	}
	x.ran = true
	switch {
	case a.answer.RequestID != x.demand.ID:
		return x.unusable(a, errForeign)
	case !a.answer.Sealed && status < http.StatusBadRequest:
		return x.unusable(a, errNoSeal)
	case x.begun && status != http.StatusOK:
		return x.unusable(a, errors.Errorf("the runner did not resume: status %d", status))
	case status >= http.StatusInternalServerError && x.route.CanRunAgain() && x.mayRepeat():
		x.paid = true
		x.cause = errors.Errorf("the runner failed with status %d", status)
		x.ended(a.ticket, cicadaplace.Failed, x.cause)
		return refuse(FailedUpstream, 0, x.cause.Error()), true
	}
	if x.route.Kind == cicadadeploy.KindStream && status == http.StatusOK {
		return x.stream(a)
	}
	return x.whole(a)
}

// notRun sorts a runner's word that it did not run the request.
func (x *exchange) notRun(a *attempt) (result, bool) {
	x.cause = errors.Errorf("the runner refused with status %d", a.resp.StatusCode)
	res := cicadaplace.Refused
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		res = cicadaplace.Misdirected
	}
	x.ended(a.ticket, res, x.cause)
	if x.begun {
		return result{cut: x.cause}, true
	}
	if x.ran {
		return refuse(FailedUpstream, 0, x.cause.Error()), true
	}
	return refuse(RefuseNotRun, soon, x.cause.Error()), true
}

// unusable sorts an answer that cannot be given to the caller.
func (x *exchange) unusable(a *attempt, cause error) (result, bool) {
	x.cause = cause
	x.ended(a.ticket, cicadaplace.Failed, cause)
	if x.begun {
		return result{cut: cause}, true
	}
	return refuse(FailedUpstream, 0, cause.Error()), x.route.CanRunAgain()
}

// whole forwards an answer that is no stream. One with a length is read before
// it is forwarded, so that a broken one can be asked for again.
func (x *exchange) whole(a *attempt) (result, bool) {
	body, err := x.rt.held.readAll(a.resp)
	defer x.rt.held.release(&body)
	if err == nil && a.resp.ContentLength >= 0 && int64(body.length) != a.resp.ContentLength && x.r.Method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		if x.r.Context().Err() != nil {
			x.rt.desks.end(a.ticket, cicadaplace.CallerCancelled)
			return result{left: true}, false
		}
		if x.outOfTime(err) {
			x.ended(a.ticket, cicadaplace.Failed, err)
			return x.timedOut(), false
		}
		return x.unusable(a, err)
	}
	x.firstAt = time.Now()
	x.judge(a)
	x.begin(a, int64(body.length))
	if err := body.writeTo(x.w); err != nil {
		return result{left: true}, false
	}
	x.delivered = 1
	return result{}, false
}

// judge ends the ticket of an answer that came whole.
func (x *exchange) judge(a *attempt) {
	res := cicadaplace.Answered
	if a.resp.StatusCode >= http.StatusInternalServerError {
		res = cicadaplace.Failed
	}
	x.ended(a.ticket, res, errors.Errorf("status %d", a.resp.StatusCode))
}

// begin sends the answer's header to the caller; length is -1 if unknown.
func (x *exchange) begin(a *attempt, length int64) {
	h := x.w.Header()
	for name, list := range a.resp.Header {
		h[name] = list
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if x.rt.stopping.Load() {
		h.Set("Connection", "close")
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := a.resp.Header[name]; !ok {
			h[name] = nil // keeps the server from adding one
		}
	}
	if length >= 0 {
		h.Set("Content-Length", itoa(length))
	}
	x.begun = true
	x.w.WriteHeader(a.resp.StatusCode)
}

func (a *attempt) close() {
	a.cancel(nil)
	a.resp.Body.Close()
}
