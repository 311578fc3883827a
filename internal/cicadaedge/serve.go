package cicadaedge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/pkg/errors"
)

const (
	// defaultPatience is used where neither caller nor route bound the wait.
	defaultPatience = 30 * time.Second
	// drawWait bounds the wait for units from the store: several of its usual
	// answer times, and less than callers wait for an answer in time.
	drawWait = 350 * time.Millisecond
	// releaseWait is how long a request waits for dormant units: less than it
	// would take to come back.
	releaseWait = time.Second
	// filesPerRequest is the descriptors that a request may need: its caller's
	// connection, its runner's, and as much again for idle ones.
	filesPerRequest = 4
	// soon, later are when a refused caller is told to come back: soon if the
	// cause passes within a draw or a runner's answer, later if an outage has to
	// end first: outages last seconds, and callers come back within a third of their time.
	// giveBack is the same where other routers are about to give units back.
	soon     = 200 * time.Millisecond
	giveBack = time.Second
	later    = 2 * time.Second
)

type (
	// request is one request from its arrival to its settlement.
	request struct {
		rt       *Router
		w        http.ResponseWriter
		r        *http.Request
		demand   RequestInfo
		deploy   *cicadadeploy.Snapshot
		route    *cicadadeploy.Route
		service  *cicadadeploy.Service
		org      *cicadadeploy.Organisation
		body     []byte
		arrived  time.Time
		deadline time.Time

		reserved  cicadabudget.Units
		budgeted  bool
		delivered int64 // events
		ran       bool  // a runner may have worked on it

		// What the log line says.
		attempts int
		runner   string
		cost     float64
		cached   int
		rate     float64 // that the runner was known to name, if limited
		limited  bool
		firstAt  time.Time
		eventAt  time.Time // of the last event
		// longestPause lies between two events of a stream.
		longestPause time.Duration
		cause        error
	}

	// result is how a request ended: exactly one of its fields is set, or none
	// if the answer was forwarded whole.
	result struct {
		refusal *refusal
		// cut is why an answer that had begun was broken off.
		cut error
		// left tells that the caller is gone.
		left bool
	}
)

// ServeHTTP serves one request of a caller.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{rt: rt, w: w, r: r, arrived: time.Now(), deploy: rt.deploy.Load()}
	if rt.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	rt.cfg.Metrics.InFlight.Add(1)
	defer rt.cfg.Metrics.InFlight.Add(-1)
	res := q.serve()
	status := http.StatusOK
	if res.refusal != nil {
		status = rt.writeRefusal(w, q.demand.ID, res.refusal)
	}
	rt.logRequest(q, &res, status)
	if res.cut != nil || res.left {
		// Ends the connection without the answer's end.
		panic(http.ErrAbortHandler)
	}
}

func refuse(k RefusalKind, after time.Duration, detail string) result {
	return result{refusal: &refusal{kind: k, after: after, detail: detail}}
}

func (q *request) serve() result {
	if n := q.rt.cfg.Metrics.InFlight.Value(); q.rt.cfg.MaxOpenFiles > 0 && n > int64(q.rt.cfg.MaxOpenFiles/filesPerRequest) {
		return refuse(RefuseBusy, soon, "this router has as many requests as its descriptors allow")
	}
	if f := q.identify(); f != nil {
		return result{refusal: f}
	}
	if f := q.readBody(); f != nil {
		return result{refusal: f}
	}
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	q.rt.retries.CountRequest(q.service.Name, q.arrived)
	if f := q.reserve(ctx); f != nil {
		return result{refusal: f}
	}
	res := (&exchange{request: q}).run(ctx)
	q.settle()
	return res
}

// identify finds route, organisation and time limit, or says why there is none.
func (q *request) identify() *refusal {
	var err error
	q.demand, err = q.rt.cfg.Dialect.ParseRequest(q.r.Header)
	if q.deploy == nil {
		return &refusal{kind: RefuseNoDeployment, after: later, detail: "no configuration has been read yet"}
	}
	if err != nil {
		return &refusal{kind: RefuseMalformed, detail: err.Error()}
	}
	if q.demand.ID == "" {
		return &refusal{kind: RefuseMalformed, detail: "the request has no id"}
	}
	if headerBytes(q.r) > q.deploy.Limits().MaxHeaderBytes && q.deploy.Limits().MaxHeaderBytes > 0 {
		return &refusal{kind: RefuseHeaderSize, detail: "the header is larger than the configuration allows"}
	}
	q.route = q.deploy.Route(q.r.Host, q.r.URL.EscapedPath())
	if q.route == nil {
		return q.rt.denied(RefuseNoRoute, "no route for this host and path")
	}
	if q.org = q.deploy.OrganisationByKey(q.demand.APIKey); q.org == nil && q.deploy.RequiresKey() && !q.route.Public {
		return q.rt.denied(RefuseUnknownKey, "the key is not known")
	}
	name := q.route.SelectService(q.demand.ID)
	if q.service = q.deploy.Service(name); q.service == nil {
		q.service = &cicadadeploy.Service{Name: name}
	}
	q.deadline = q.arrived.Add(patience(q.demand.Timeout, q.route.Timeout))
	return nil
}

func patience(caller, route time.Duration) time.Duration {
	switch {
	case caller > 0 && route > 0:
		return min(caller, route)
	case caller > 0 || route > 0:
		return max(caller, route)
	default:
		return defaultPatience
	}
}

// denied refuses for good, if the configuration that says so is current.
func (rt *Router) denied(k RefusalKind, detail string) *refusal {
	bounds := rt.bounds.Load()
	if age := rt.deployAge(time.Now()); age > bounds.ConfigDeadline+bounds.ConfigDeadlineExtension {
		return &refusal{kind: RefuseNoDeployment, after: later, detail: "the configuration in force is " + age.String() + " old"}
	}
	return &refusal{kind: k, detail: detail}
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

// readBody reads the whole body, so that it can be sent with its length and, if
// need be, again.
func (q *request) readBody() *refusal {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return nil
	}
	limit := q.deploy.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if q.r.ContentLength > limit {
		q.w.Header().Set("Connection", "close")
		return &refusal{kind: RefuseBodySize, detail: "the body is larger than the configuration allows"}
	}
	rc := http.NewResponseController(q.w)
	if err := rc.SetReadDeadline(q.deadline); err != nil {
		q.rt.cfg.Log.WithError(err).Warn("read deadline not set")
	}
	body, err := readAll(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength)
	if err == nil {
		// The connection may stay open past this request's deadline.
		if err := rc.SetReadDeadline(time.Time{}); err != nil {
			q.rt.cfg.Log.WithError(err).Warn("read deadline not cleared")
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
	return &refusal{kind: RefuseSlowBody, after: soon, detail: "the body did not arrive whole: " + err.Error()}
}

// defaultBodyBytes bounds a body where the configuration does not.
const defaultBodyBytes = 4 << 20

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// reserve takes the request's worst case from its organisation's account.
func (q *request) reserve(ctx context.Context) *refusal {
	need := cicadabudget.Units(q.demand.PromptTokens + q.demand.MaxOutputTokens)
	if q.org == nil || q.org.Prepaid == nil || need == 0 {
		return nil
	}
	verdict, wait, short := q.rt.accounts.Reserve(q.org.Name, need, q.arrived)
	switch verdict {
	case cicadabudget.Granted:
	case cicadabudget.Exhausted:
		return dryRefusal(&short)
	case cicadabudget.Queued:
		if f := q.await(ctx, wait, &short); f != nil {
			return f
		}
	}
	q.reserved, q.budgeted = need, true
	return nil
}

// await waits for units: for a draw while the store answers, and for dormant
// units that are released soon. Else the caller is told when to come back.
func (q *request) await(ctx context.Context, wait *cicadabudget.Waiter, short *cicadabudget.Shortage) *refusal {
	q.rt.bank.wake()
	q.rt.borrower.wake()
	if q.rt.bank.reachable() || q.rt.accounts.Borrows(q.org.Name) {
		q.waitFor(ctx, wait, drawWait)
	}
	for until := time.Now().Add(releaseWait); ; {
		release := q.rt.accounts.ReleaseIn(q.org.Name, wait, time.Now())
		if release <= 0 || release > time.Until(until) || !q.waitFor(ctx, wait, release) {
			break
		}
	}
	unsure := &refusal{kind: RefuseUnitsUnavailable, after: later, detail: unsureDetail(short)}
	if release := q.rt.accounts.ReleaseIn(q.org.Name, wait, time.Now()); release > 0 {
		unsure.after = release
	}
	if q.rt.accounts.ServeOrCancel(q.org.Name, wait, time.Now()) {
		return unsure
	}
	if !wait.Granted() {
		if q.rt.accounts.Transient(q.org.Name, time.Now()) {
			unsure.after = giveBack
			return unsure
		}
		return &refusal{kind: RefuseBudgetExhausted, detail: "the organisation's budget does not cover the request at its largest"}
	}
	return nil
}

// waitFor waits for units for some time. It tells whether it waited in vain.
func (q *request) waitFor(ctx context.Context, wait *cicadabudget.Waiter, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-wait.Ready():
		return false
	case <-ctx.Done():
		return false
	case <-wait.SourceUnavailable():
		return true
	case <-timer.C:
		q.rt.accounts.ServeWaiters(q.org.Name, time.Now())
		return true
	}
}

// unsureDetail tells what a request that got no units in time was decided on.
func unsureDetail(short *cicadabudget.Shortage) string {
	return fmt.Sprintf("of the organisation's units %d are free here, %d of them dormant for %d ms, %s, and no more came in time",
		short.Free, short.Locked, short.ReleaseIn.Milliseconds(), poolDetail(short))
}

// poolDetail tells what is known of what all routers have left.
func poolDetail(short *cicadabudget.Shortage) string {
	if !short.PoolKnown {
		return "what is left undrawn has not been read"
	}
	return fmt.Sprintf("%d were left undrawn %d ms ago", short.Remaining, short.PoolAge.Milliseconds())
}

func dryRefusal(short *cicadabudget.Shortage) *refusal {
	if short.Transient {
		return &refusal{kind: RefuseUnitsUnavailable, after: giveBack, detail: unsureDetail(short)}
	}
	return &refusal{kind: RefuseBudgetExhausted, detail: "the organisation's budget does not cover the request at its largest: " + poolDetail(short)}
}

// settle ends the reservation: the prompt counts once if the request may have
// run, and the output that was delivered counts.
func (q *request) settle() {
	if !q.budgeted {
		return
	}
	var used int64
	if q.ran {
		used = q.demand.PromptTokens + min(q.demand.MaxOutputTokens, q.delivered*q.tokensPerEvent())
	}
	q.rt.accounts.Settle(q.org.Name, q.reserved, cicadabudget.Units(used), time.Now())
}

func (q *request) tokensPerEvent() int64 {
	if q.service.Engine == nil {
		return 1
	}
	return int64(q.service.Engine.TokensPerEvent)
}
