package cicadaedge

import (
	"context"
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
	// stallRetryShare is the share of the remaining time after which a request that may run more
	// than once is retried at another runner.
	stallRetryShare = 0.5
	// A resumable stream is continued at another runner if it sends nothing for
	// firstEventStallFactor times the route's latency objective before its first event, or for
	// eventGapStallFactor times its event interval objective between two events.
	firstEventStallFactor = 2
	eventGapStallFactor   = 2
	// deadlineHeadroom is subtracted from the time given to a runner, so that a response at its
	// deadline arrives before this router's own deadline.
	deadlineHeadroom = 5 * time.Millisecond
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

type (
	// exchange sends a request to one runner after another until one of them answers it.
	exchange struct {
		*request
		tried []string
		conn  *countedConn // of the last attempt; nil if it is not known
		// state of a stream
		headerSent   bool   // the response header was sent to the caller
		unframed     bool   // the response ends with the caller's connection
		mediaType    string // of the response header that was sent
		lastEventID  string
		previous     *result // result of the previous attempt
		retryCounted bool    // the next attempt is already counted in the retry budget
		// stallRetry is set if the attempt was cancelled as stalled. Its retry is already counted
		// too.
		stallRetry atomic.Bool
	}

	// attempt is one request sent to one runner.
	attempt struct {
		placement *placement
		resp      *http.Response
		info      ResponseInfo
		cancel    context.CancelCauseFunc
		conn      *countedConn // that the response came on; nil if it is not known
		spare     *spareLease
		eventSent bool // an event was forwarded
	}

	// sendError is a failure before a response was received.
	sendError struct {
		cause error
		sent  bool // some bytes of the request may have reached the runner
	}
)

var (
	errStalled      = errors.New("the runner was silent for too long")
	errOtherRequest = errors.New("the answer belongs to another request")
	errNotSealed    = errors.New("the runner does not stand for the answer")
)

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// run sends the request and forwards the response. It tries another runner if the request was not
// run or may run again.
func (x *exchange) run(ctx context.Context) result {
	for {
		res, retry := x.try(ctx)
		if !retry {
			return res
		}
		if x.r.Context().Err() != nil {
			return result{callerGone: true}
		}
		if stallRetry := x.stallRetry.Swap(false); x.attempts > 0 && !x.retryCounted && !stallRetry && !x.allowRetry() {
			return res
		}
		x.retryCounted = false
		x.previous = &res
	}
}

// allowRetry reports whether the request may be sent once more, within the route's maximum of
// runners and the retry budget.
func (x *exchange) allowRetry() bool {
	return x.attempts < x.route.MaxRunners && time.Until(x.deadline) > deadlineHeadroom &&
		x.rt.retries.Allow(x.service.Name, time.Now())
}

// try makes one attempt. It returns the result and whether another runner may be tried.
func (x *exchange) try(ctx context.Context) (result, bool) {
	now := time.Now()
	if remaining := x.deadline.Sub(now); remaining <= deadlineHeadroom || x.rt.requests.Err() != nil {
		return x.timeoutResult(), false
	}
	if f := x.quarantineRefusal(); f != nil {
		if x.previous != nil && x.mayHaveRun {
			return *x.previous, false
		}
		return result{refusal: f}, false
	}
	p, err := x.chooseWithRoom(ctx, &cicadaplace.Request{
		Service: x.service.Name, Parts: x.info.PromptParts, Tokens: int(x.info.PromptTokens), Tried: x.tried,
		Priority: x.priority(), Homes: x.homes(), SoftwareVersion: x.requiredVersion(), Resumable: x.isResumable(),
	})
	if err != nil {
		return x.noRunnerResult(err), false
	}
	x.runnerID, x.estimateMillis, x.cachedTokens = p.Runner().ID(), p.EstimateMillis(), p.CachedTokens()
	x.runnerRate, x.runnerLimited = x.rt.limits.Rate(p.Runner().Key(), now)
	x.tried = append(x.tried, x.runnerID)
	x.headerAt, x.answerRecorded = time.Time{}, false
	if x.sentAt.IsZero() {
		x.sentAt = time.Now()
	}
	x.beginTry(x.runnerID)
	x.firstEvent.predict(p)
	eventsBefore := x.eventsSent
	res, retry := x.sendTo(ctx, p)
	x.endTry(eventsBefore, &res)
	return res, retry
}

// sendTo sends the request to a runner and handles its response.
func (x *exchange) sendTo(ctx context.Context, p *placement) (result, bool) {
	a, err := x.send(ctx, p)
	if err != nil {
		return x.handleSendError(p, err)
	}
	defer a.close()
	return x.handleResponse(a)
}

// noRunnerResult returns the result if no runner is left: that of the previous attempt, if there
// was one.
func (x *exchange) noRunnerResult(err error) result {
	var paused *cicadaplace.PausedError
	isPaused := errors.As(err, &paused)
	if x.previous != nil {
		if f := x.previous.refusal; isPaused && f != nil && f.kind == RefuseNotRun {
			f.retryAfter = max(f.retryAfter, paused.RetryAfter)
		}
		return *x.previous
	}
	if isPaused {
		return refuse(RefuseNoRunner, max(paused.RetryAfter, retrySoon), err.Error())
	}
	var noRoom *cicadaplace.NoRoomError
	if errors.As(err, &noRoom) {
		return refuse(RefuseNoRunner, retryAfterReturn, err.Error())
	}
	var limited *cicadaplace.RateLimitedError
	if errors.As(err, &limited) {
		class := cicadalimit.Class{Service: x.service.Name, Priority: x.priority()}
		return refuse(RefuseRateLimited, x.rt.limits.RetryAfter(class, limited.Rate, time.Now()), err.Error())
	}
	if version := x.requiredVersion(); version != "" && !x.rt.balancer.Serves(x.service.Name, version, time.Now()) {
		return refuse(RefuseNoRunner, 0, "no runner is left of the software version that began the stream")
	}
	return refuse(RefuseNoRunner, retryLater, err.Error())
}

func (x *exchange) isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errStopping) || !time.Now().Before(x.deadline)
}

// timeoutResult returns the result of a request that ends at its deadline or in a planned stop.
func (x *exchange) timeoutResult() result {
	if err := context.Cause(x.rt.requests); err != nil {
		return x.stopResult(err)
	}
	if x.headerSent {
		return result{abortErr: context.DeadlineExceeded}
	}
	if x.mayHaveRun {
		return refuse(FailedTimeout, 0, "no runner answered within the time limit")
	}
	return refuse(RefuseTooLate, retrySoon, "the time limit passed before the request was sent")
}

// stopResult returns the result of a request that a planned stop ends.
func (x *exchange) stopResult(err error) result {
	switch {
	case x.headerSent:
		return result{abortErr: err}
	case x.mayHaveRun:
		return refuse(FailedTimeout, 0, "the router stopped before the runner answered")
	default:
		return refuse(RefuseStopping, retrySoon, "the router stopped before the request was sent")
	}
}

// send sends the request and returns when the response header has arrived.
func (x *exchange) send(ctx context.Context, p *placement) (*attempt, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, connMonitor := x.monitorConnWait(ctx, p, cancel)
	defer connMonitor.stop()
	req, err := x.buildRequest(ctx, p)
	if err != nil {
		cancel(nil)
		return nil, &sendError{cause: err}
	}
	spare := x.rt.transports.leaseSpare(ctx, p.Runner(), x.service.Name, x.isSuspected())
	stall := x.startStallTimer(x.firstByteTimeout(), x.attempts+1, cancel)
	trip, err := x.rt.transports.roundTrip(p.Runner(), x.service, req, x.body) //nolint:bodyclose // attempt.close closes it
	x.stopStallTimer(stall)
	if trip.sent {
		x.attempts++
	}
	x.conn = trip.conn
	if x.relay = ""; trip.conn != nil {
		x.relay = trip.conn.relay
	}
	x.currentTry().Sent, x.currentTry().Relay = trip.sent, x.relay
	if cause := context.Cause(ctx); cause != nil {
		// A response that arrives as the attempt is cancelled is returned, and cannot be read.
		if err == nil {
			_ = trip.resp.Body.Close() // its connection has ended
		}
		err = cause
	}
	if err != nil {
		cancel(nil)
		spare.end()
		return nil, &sendError{cause: err, sent: trip.sent}
	}
	x.headerAt = time.Now()
	x.rt.recordAlive(p.Runner(), trip.conn)
	x.currentTry().Status, x.currentTry().Framing = trip.resp.StatusCode, framing(trip.resp)
	a := &attempt{
		placement: p, resp: trip.resp, cancel: cancel, info: x.rt.cfg.Dialect.ParseResponse(trip.resp), conn: trip.conn, spare: spare,
	}
	spare.responseBegins(a)
	x.retireUncertain(a, trip.conn)
	if a.info.Load != nil {
		p.ReportLoad(*a.info.Load, time.Now())
	}
	x.recordRateLimit(a)
	x.recordBrittle(a)
	x.recordAvailability(a)
	return a, nil
}

// retireUncertain retires the connection of a response that does not have the id of the request. If
// the response belongs to an earlier request, the one to this request is still to come. If it is a
// refusal without an id, a copy of it could not be told from the refusal of the next request.
func (x *exchange) retireUncertain(a *attempt, conn *countedConn) {
	if a.info.RequestID == x.info.ID || conn == nil {
		return
	}
	if err := conn.retire(); err != nil {
		x.rt.cfg.Log.WithField("requestId", x.info.ID).WithError(err).Debug("failed to close a connection to a runner")
	}
}

// firstByteTimeout returns how long to wait for the response header before another runner is
// tried, if that is allowed.
func (x *exchange) firstByteTimeout() time.Duration {
	remaining := time.Until(x.deadline)
	if x.route.Kind == cicadadeploy.KindStream {
		return min(firstEventStallFactor*x.route.LatencyObjective, remaining)
	}
	return time.Duration(stallRetryShare * float64(remaining))
}

func (x *exchange) buildRequest(ctx context.Context, p *placement) (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: p.Runner().Addr(), Opaque: x.r.RequestURI}
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
	for _, name := range hopByHopHeaders {
		req.Header.Del(name)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// Prevents the transport from setting its own User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	x.rt.cfg.Dialect.StripRouterHeaders(req.Header)
	headers := &RunnerHeaders{RunnerID: p.Runner().ID(), Remaining: time.Until(x.deadline) - deadlineHeadroom, Priority: x.priority(), LastEventID: x.lastEventID}
	if x.org != nil {
		headers.Organisation = x.org.Name
	}
	x.rt.cfg.Dialect.SetRunnerHeaders(req.Header, headers)
	return req.WithContext(ctx), nil
}

// homes returns the sets of regions in which the request may run.
func (x *exchange) homes() [][]string {
	var homes [][]string
	if len(x.route.HomeRegions) > 0 {
		homes = append(homes, x.route.HomeRegions)
	}
	if x.org != nil && len(x.org.HomeRegions) > 0 {
		homes = append(homes, x.org.HomeRegions)
	}
	return homes
}

func (x *exchange) priority() int {
	if x.org != nil && x.org.Priority != nil {
		return *x.org.Priority
	}
	return x.route.Priority
}

// handleSendError handles a failure before a response was received.
func (x *exchange) handleSendError(p *placement, err error) (result, bool) {
	x.cause = err
	var failed *sendError
	if !errors.As(err, &failed) {
		failed = &sendError{cause: err, sent: true}
	}
	x.mayHaveRun = x.mayHaveRun || failed.sent
	if x.r.Context().Err() != nil {
		x.rt.placementClient.finish(p, cicadaplace.CallerCancelled)
		if failed.sent {
			x.abandon(p)
		}
		return result{callerGone: true}, false
	}
	if !failed.sent {
		res := cicadaplace.ConnectFailed
		if becameUnavailable(err) {
			res = cicadaplace.NotSent
		}
		x.finishAttempt(p, res, err)
		if x.headerSent {
			return result{abortErr: err}, true
		}
		return refuse(RefuseNoRunner, retrySoon, "the runner was not reached: "+err.Error()), true
	}
	x.finishAttempt(p, cicadaplace.Failed, err)
	if x.isTimeout(err) || errors.Is(err, errStalled) {
		x.abandon(p)
	} else {
		x.checkRunner(p, err)
	}
	if x.headerSent {
		return result{abortErr: err}, true
	}
	if x.isTimeout(err) {
		return x.timeoutResult(), false
	}
	return refuse(FailedUpstream, 0, "the runner gave no answer: "+err.Error()), x.route.CanRunAgain()
}

// finishAttempt finishes the placement of an attempt and logs if this result ejects the runner.
func (x *exchange) finishAttempt(p *placement, res cicadaplace.Result, cause error) {
	if ejection := x.rt.placementClient.finish(p, res); ejection > 0 {
		x.rt.cfg.Log.WithField("runner", p.Runner().ID()).WithField("requestId", x.info.ID).
			WithField("forMillis", ejection.Milliseconds()).WithError(cause).Info("runner ejected after failures")
	}
}

func (a *attempt) close() {
	a.cancel(nil)
	a.resp.Body.Close()
	if a.conn != nil {
		a.conn.idleAt.set(time.Now())
		a.conn.users.Add(-1) // it is closed unless it is idle now
	}
	a.spare.end()
}
