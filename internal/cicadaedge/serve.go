package cicadaedge

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadaresume"
	"github.com/pkg/errors"
)

const (
	// defaultRequestTimeout applies if neither the caller nor the route sets a timeout.
	defaultRequestTimeout = 30 * time.Second
	// maxDrawWait bounds the wait for units from the store. It is several times the usual response
	// time of the store, and shorter than callers wait for a response.
	maxDrawWait = 350 * time.Millisecond
	// maxReleaseWait bounds the wait for locked units. It is shorter than a retry by the caller
	// would take.
	maxReleaseWait = time.Second
	// filesPerRequest is the number of file descriptors that a request may need: the caller's
	// connection, the runner's connection, and as many again for idle connections.
	filesPerRequest = 4
	// Delays after which a refused caller is told to retry: retrySoon if the cause passes within a
	// draw or a runner's response, retryAfterReturn if other routers are about to return units,
	// and retryLater if an outage has to end first. Outages last seconds, and callers retry within
	// a third of their timeout.
	retrySoon        = 200 * time.Millisecond
	retryAfterReturn = time.Second
	retryLater       = 2 * time.Second
)

type (
	// request is the state of one request from its arrival until its units are settled.
	request struct {
		rt          *Router
		w           http.ResponseWriter
		r           *http.Request
		info        RequestInfo
		deployment  *cicadadeploy.Snapshot
		route       *cicadadeploy.Route
		service     *cicadadeploy.Service
		org         *cicadadeploy.Organisation
		body        []byte
		bodyCounted int // bytes that count against the memory for request bodies
		bodyHeld    int // the other ones, which count against the memory for callers
		arrivedAt   time.Time
		deadline    time.Time

		reserved       cicadabudget.Units
		used           cicadabudget.Units // what counts of reserved, once the request has ended
		hasReservation bool
		eventsSent     int64                  // number of events sent to the caller
		mayHaveRun     bool                   // a runner may have worked on the request
		attempts       int                    // number of times that the request was sent to a runner
		answerRecorded bool                   // the quarantine knows that the request was answered
		requestTrait   cicadaquarantine.Trait // see hash; empty until it is needed
		streamID       cicadaresume.StreamID  // of the stream, or of the one that the caller takes up
		// origin is where the stream began that the caller takes up; nil if it takes up none.
		origin *cicadaresume.Origin

		requestRecord
	}

	// result is the outcome of a request. At most one field is set; none is if the response was
	// forwarded completely.
	result struct {
		refusal *refusal
		// abortErr is why a response was aborted after its header had been sent.
		abortErr error
		// callerGone is set if the caller has disconnected.
		callerGone bool
	}
)

// ServeHTTP serves a request of a caller.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{rt: rt, w: w, r: r, arrivedAt: time.Now(), deployment: rt.deployment.Load()}
	if rt.closesConnection(r) {
		w.Header().Set("Connection", "close")
	}
	rt.cfg.Metrics.InFlight.Add(1)
	defer rt.cfg.Metrics.InFlight.Add(-1)
	res := q.serve()
	status := q.status
	if res.refusal != nil {
		status = rt.writeRefusal(w, q.info.ID, res.refusal)
	}
	rt.logRequest(q, &res, status)
	if res.abortErr != nil || res.callerGone {
		// Closes the connection without a proper end of the response.
		panic(http.ErrAbortHandler)
	}
}

func refuse(kind RefusalKind, retryAfter time.Duration, detail string) result {
	return result{refusal: &refusal{kind: kind, retryAfter: retryAfter, detail: detail}}
}

func (q *request) serve() result {
	n := q.rt.cfg.Metrics.InFlight.Value()
	if q.rt.cfg.MaxOpenFiles > 0 && n > int64(q.rt.cfg.MaxOpenFiles/filesPerRequest) && !q.rt.callerGuard.InterruptBody() {
		return refuse(RefuseBusy, retrySoon, "this router has as many requests as its descriptors allow")
	}
	if f := q.resolve(); f != nil {
		return result{refusal: f}
	}
	defer q.releaseBody()
	if f := q.readBody(); f != nil {
		return result{refusal: f}
	}
	q.bodyWait = time.Since(q.arrivedAt)
	if f := q.quarantineRefusal(); f != nil {
		return result{refusal: f}
	}
	ctx, cancel := q.context()
	defer cancel(nil)
	if f := q.findOrigin(ctx); f != nil {
		return result{refusal: f}
	}
	q.rt.retries.CountRequest(q.service.Name, q.arrivedAt)
	if f := q.reserve(ctx); f != nil {
		return result{refusal: f}
	}
	x := &exchange{request: q}
	if q.isTakenUp() {
		x.lastEventID = q.info.LastEventID
	}
	res := x.run(ctx)
	q.recordStreamEnd(&res)
	q.settle()
	return res
}

// context returns a context that ends with the caller, the deadline, or a planned stop of the router.
func (q *request) context() (context.Context, context.CancelCauseFunc) {
	ctx, cancelDeadline := context.WithDeadline(q.r.Context(), q.deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(q.rt.requests, func() { cancel(errStopping) })
	return ctx, func(cause error) {
		stop()
		cancel(cause)
		cancelDeadline()
	}
}

// resolve determines the route, organisation and deadline of the request, or returns a refusal.
func (q *request) resolve() *refusal {
	var err error
	q.info, err = q.rt.cfg.Dialect.ParseRequest(q.r.Header)
	if q.deployment == nil {
		return &refusal{kind: RefuseNoDeployment, retryAfter: retryLater, detail: "no configuration has been read yet"}
	}
	if !q.rt.quarantineLoaded.Load() {
		return &refusal{kind: RefuseNoDeployment, retryAfter: retrySoon, detail: "it is not known yet which requests are in quarantine"}
	}
	if err != nil {
		return &refusal{kind: RefuseMalformed, detail: err.Error()}
	}
	if q.info.ID == "" {
		return &refusal{kind: RefuseMalformed, detail: "the request has no id"}
	}
	if headerBytes(q.r) > q.deployment.Limits().MaxHeaderBytes && q.deployment.Limits().MaxHeaderBytes > 0 {
		return &refusal{kind: RefuseHeaderSize, detail: "the header is larger than the configuration allows"}
	}
	q.route = q.deployment.Route(q.r.Host, q.r.URL.EscapedPath())
	if q.route == nil {
		return q.rt.refuseIfCurrent(RefuseNoRoute, "no route for this host and path")
	}
	if q.org = q.deployment.OrganisationByKey(q.info.APIKey); q.org == nil && q.deployment.RequiresKey() && !q.route.Public {
		return q.rt.refuseIfCurrent(RefuseUnknownKey, "the key is not known")
	}
	q.setService(q.route.SelectService(q.info.ID))
	q.deadline = q.arrivedAt.Add(requestTimeout(q.info.Timeout, q.route.Timeout))
	return nil
}

func requestTimeout(caller, route time.Duration) time.Duration {
	switch {
	case caller > 0 && route > 0:
		return min(caller, route)
	case caller > 0 || route > 0:
		return max(caller, route)
	default:
		return defaultRequestTimeout
	}
}

// refuseIfCurrent returns a refusal with a permanent kind if the configuration is recent enough to
// prove it, and a temporary refusal otherwise.
func (rt *Router) refuseIfCurrent(kind RefusalKind, detail string) *refusal {
	settings := rt.settings.Load()
	if age := rt.deploymentAge(time.Now()); age > settings.ConfigDeadline+settings.ConfigDeadlineExtension {
		return &refusal{kind: RefuseNoDeployment, retryAfter: retryLater, detail: "the configuration in force is " + age.String() + " old"}
	}
	return &refusal{kind: kind, detail: detail}
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, list := range r.Header {
		for _, v := range list {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body, so that it can be sent with its length and sent again in a retry.
func (q *request) readBody() *refusal {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return nil
	}
	limit := q.deployment.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if q.r.ContentLength > limit {
		q.w.Header().Set("Connection", "close")
		return &refusal{kind: RefuseBodySize, detail: "the body is larger than the configuration allows"}
	}
	if !q.reserveUncounted() {
		q.w.Header().Set("Connection", "close")
		return &refusal{kind: RefuseBusy, retryAfter: retryAfterReturn, detail: errBuffersFull.Error()}
	}
	rc := http.NewResponseController(q.w)
	if err := rc.SetReadDeadline(q.deadline); err != nil {
		q.rt.cfg.Log.WithError(err).Warn("failed to set the read deadline")
	}
	body, counted, err := q.rt.requestBuffers.readRequest(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength)
	q.bodyCounted = counted
	if err == nil {
		// The connection may stay open after the deadline of this request.
		if err := rc.SetReadDeadline(time.Time{}); err != nil {
			q.rt.cfg.Log.WithError(err).Warn("failed to clear the read deadline")
		}
		q.body = body
		return nil
	}
	q.cause = err
	q.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{kind: RefuseBodySize, detail: "the body is larger than the configuration allows"}
	}
	if errors.Is(err, errBuffersFull) {
		return &refusal{kind: RefuseBusy, retryAfter: retryAfterReturn, detail: err.Error()}
	}
	return &refusal{kind: RefuseSlowBody, retryAfter: retrySoon, detail: "the body did not arrive whole: " + err.Error()}
}

// defaultBodyBytes bounds the request body if the configuration sets no limit.
const defaultBodyBytes = 4 << 20

// reserve reserves, in the organisation's account, the largest number of units that the request
// may use.
func (q *request) reserve(ctx context.Context) *refusal {
	need := cicadabudget.Units(q.info.PromptTokens + q.info.MaxOutputTokens)
	if q.org == nil || q.org.Prepaid == nil || need == 0 {
		return nil
	}
	decision, waiter, shortage := q.rt.accounts.Reserve(q.org.Name, need, q.arrivedAt)
	switch decision {
	case cicadabudget.Granted:
	case cicadabudget.Exhausted:
		return exhaustedRefusal(&shortage)
	case cicadabudget.Queued:
		queuedAt := time.Now()
		f := q.awaitUnits(ctx, waiter, &shortage)
		q.unitsWait = time.Since(queuedAt)
		if f != nil {
			return f
		}
	}
	q.reserved, q.hasReservation = need, true
	return nil
}

// awaitUnits waits for units: for a draw or a loan while the store or a lender can be asked, and
// for locked units that are released soon. If neither suffices, the caller is told when to retry.
func (q *request) awaitUnits(ctx context.Context, waiter *cicadabudget.Waiter, shortage *cicadabudget.Shortage) *refusal {
	q.rt.poolSyncer.wake()
	q.rt.borrower.wake()
	if q.rt.poolSyncer.reachable() || q.rt.accounts.Borrows(q.org.Name) {
		q.waitFor(ctx, waiter, maxDrawWait)
	}
	for end := time.Now().Add(maxReleaseWait); ; {
		release := q.rt.accounts.ReleaseIn(q.org.Name, waiter, time.Now())
		if release <= 0 || release > time.Until(end) || !q.waitFor(ctx, waiter, release) {
			break
		}
	}
	unitsUnavailable := &refusal{kind: RefuseUnitsUnavailable, retryAfter: retryLater, detail: shortageDetail(shortage)}
	if release := q.rt.accounts.ReleaseIn(q.org.Name, waiter, time.Now()); release > 0 {
		unitsUnavailable.retryAfter = release
	}
	if q.rt.accounts.ServeOrCancel(q.org.Name, waiter, time.Now()) {
		return unitsUnavailable
	}
	if !waiter.Granted() {
		if q.rt.accounts.Transient(q.org.Name, time.Now()) {
			unitsUnavailable.retryAfter = retryAfterReturn
			return unitsUnavailable
		}
		return &refusal{kind: RefuseBudgetExhausted, detail: "the organisation's budget does not cover the request at its largest"}
	}
	return nil
}

// waitFor waits for units for a limited time. It returns false if the waiter or ctx has ended, and
// true if the time has passed or no source of units can be asked.
func (q *request) waitFor(ctx context.Context, waiter *cicadabudget.Waiter, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-waiter.Ready():
		return false
	case <-ctx.Done():
		return false
	case <-waiter.SourceUnavailable():
		return true
	case <-timer.C:
		q.rt.accounts.ServeWaiters(q.org.Name, time.Now())
		return true
	}
}

// shortageDetail describes the state of the budget for a request that got no units in time.
func shortageDetail(shortage *cicadabudget.Shortage) string {
	return fmt.Sprintf("of the organisation's units %d are free here, %d of them dormant for %d ms, %s, and no more came in time",
		shortage.Free, shortage.Locked, shortage.ReleaseIn.Milliseconds(), poolDetail(shortage))
}

// poolDetail describes what is known of the units left in the pool.
func poolDetail(shortage *cicadabudget.Shortage) string {
	if !shortage.PoolKnown {
		return "what is left undrawn has not been read"
	}
	return fmt.Sprintf("%d were left undrawn %d ms ago", shortage.Remaining, shortage.PoolAge.Milliseconds())
}

func exhaustedRefusal(shortage *cicadabudget.Shortage) *refusal {
	if shortage.Transient {
		return &refusal{kind: RefuseUnitsUnavailable, retryAfter: retryAfterReturn, detail: shortageDetail(shortage)}
	}
	return &refusal{kind: RefuseBudgetExhausted, detail: "the organisation's budget does not cover the request at its largest: " + poolDetail(shortage)}
}

// settle ends the reservation. The prompt is counted once if the request may have run, and the
// delivered output is counted.
func (q *request) settle() {
	if !q.hasReservation {
		return
	}
	if q.mayHaveRun {
		q.used = cicadabudget.Units(q.info.PromptTokens + min(q.info.MaxOutputTokens, q.eventsSent*q.tokensPerEvent()))
	}
	q.rt.accounts.Settle(q.org.Name, q.reserved, q.used, time.Now())
}

func (q *request) tokensPerEvent() int64 {
	if q.service.Engine == nil {
		return 1
	}
	return int64(q.service.Engine.TokensPerEvent)
}
