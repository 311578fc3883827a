package cicadarouter

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
)

const (
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	headerKey   = "Idempotency-Key"
	// headerIdempotent with the value "false" marks a request that must run at
	// most once.
	headerIdempotent = "Cicadadyke-Idempotent"
	headerRequestID  = "X-Request-Id"
)

type (
	// activeRequest is the state of a request that the router is processing.
	activeRequest struct {
		r       *Router
		w       http.ResponseWriter
		httpReq *http.Request
		id      string
		trail   *cicadatrail.Trail

		svc      *cicadaconfig.Service
		org      *cicadadoc.Organisation
		rules    cicadadoc.Rules
		upstream *cicadadoc.Upstream
		budget   string

		atMostOnce  bool   // must run at most once
		keyDigest   string // digest of budget and idempotency key
		fingerprint string
		claimed     bool
		promptBound cicadabudget.Units
		outputBound cicadabudget.Units
		reservation cicadabudget.Reservation
		deadline    time.Time

		body           []byte
		sharedMessages []json.RawMessage // of the prompt, without the last one
		traitList      []cicadaquarantine.Trait
		progress       attemptProgress

		headerSent     bool // the response header has been sent
		bytesSent      int64
		storedResponse *cicadapeer.StoredResponse
	}
)

// newActiveRequest assigns a request ID and starts the request's audit trail.
func (r *Router) newActiveRequest(w http.ResponseWriter, req *http.Request) *activeRequest {
	id := r.routerID().RequestID(r.requestSeq.Add(1))
	w.Header().Set(headerRequestID, id)
	ar := &activeRequest{r: r, w: w, httpReq: req, id: id, trail: cicadatrail.New(id, time.Now())}
	r.trails.Begin(ar.trail)
	r.metrics.Router.Add("requests", 1)
	return ar
}

// refuse records a refusal and sends it, unless the response has begun.
func (ar *activeRequest) refuse(ref *cicadarefusal.Refusal) {
	ar.trail.Add(&cicadatrail.Refused{
		Code: string(ref.Code()), Ran: string(ref.RunStatus()), Detail: ref.Detail(), Remedy: ref.Remedy(),
	})
	ar.r.metrics.Refusals.Add(string(ref.Code()), 1)
	entry := ar.r.cfg.Log.WithField("requestId", ar.id).WithField("code", string(ref.Code())).
		WithField("ran", string(ref.RunStatus()))
	if ar.org != nil {
		entry = entry.WithField("organisation", ar.org.Name).WithField("service", ar.svc.Name())
	}
	entry.Debug(ref.Detail())
	if !ar.headerSent {
		ref.Write(ar.w, ar.id)
	}
}

// authenticate looks up the organisation of the request's API key in a service,
// and its budget.
func (ar *activeRequest) authenticate(svc *cicadaconfig.Service) *cicadarefusal.Refusal {
	key := bearerToken(ar.httpReq.Header)
	if key == "" {
		return cicadarefusal.New(cicadarefusal.MissingKey, cicadarefusal.NotRun, "no Authorization: Bearer header")
	}
	org, ok := svc.Authenticate(key)
	if !ok {
		return cicadarefusal.New(cicadarefusal.UnknownKey, cicadarefusal.NotRun, "service %s does not know the key", svc.Name())
	}
	ar.svc, ar.org, ar.rules = svc, org, svc.Rules()
	ar.trail.SetOwner(org.Name, svc.Name())
	budget, _, ok := svc.BudgetFor(org.Name)
	if !ok {
		return cicadarefusal.New(cicadarefusal.NoBudget, cicadarefusal.NotRun, "organisation %s in service %s", org.Name, svc.Name())
	}
	ar.budget = budget
	ar.deadline = time.Now().Add(time.Duration(ar.rules.RequestDeadline))
	return nil
}

// readIdempotencyKey reads the idempotency key, which is required for a request
// that must run at most once.
func (ar *activeRequest) readIdempotencyKey(body []byte) *cicadarefusal.Refusal {
	if ar.httpReq.Header.Get(headerIdempotent) == "false" {
		ar.atMostOnce = true
	}
	raw := ar.httpReq.Header.Get(headerKey)
	if raw == "" {
		if ar.atMostOnce {
			return cicadarefusal.New(cicadarefusal.KeyRequired, cicadarefusal.NotRun, "%s %s is not idempotent", ar.httpReq.Method, ar.httpReq.URL.Path)
		}
		return nil
	}
	if len(raw) > maxKeyBytes || !isPrintable(raw) {
		return cicadarefusal.New(cicadarefusal.KeyInvalid, cicadarefusal.NotRun, "the key has %d bytes", len(raw))
	}
	ar.keyDigest = digest(keyDigestBytes, ar.budget, raw)
	ar.fingerprint = digest(fingerprintBytes, ar.httpReq.Method, ar.httpReq.URL.RequestURI(), string(body))
	return nil
}

func isPrintable(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

const (
	// keyDigestBytes and fingerprintBytes are digest lengths. Key digests must not
	// collide; fingerprints only detect the accidental reuse of a key.
	keyDigestBytes   = 12
	fingerprintBytes = 6
)

// digest returns a digest of parts. Each part is hashed with its length, so that
// moving bytes between adjacent parts changes the digest.
func digest(length int, parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:length])
}

// runContext returns the context of the request. A request with an idempotency
// key continues when its caller disconnects, as the caller can retry to get the
// response.
func (ar *activeRequest) runContext() (context.Context, context.CancelFunc) {
	parent := ar.httpReq.Context()
	if ar.keyDigest != "" {
		parent = ar.r.ctx
	}
	return context.WithDeadline(parent, ar.deadline)
}

// process admits, runs and settles the request.
func (ar *activeRequest) process(run func(ctx context.Context) *outcome) {
	ctx, cancel := ar.runContext()
	defer cancel()
	if ref := ar.quarantineRefusal(cicadarefusal.NotRun); ref != nil {
		ar.refuse(ref)
		return
	}
	if !ar.r.limits.acquire(ar.svc.Name()+"/"+ar.org.Name, ar.org.Limits, ar.r.fleet.LiveCount()) {
		ar.refuse(cicadarefusal.New(cicadarefusal.OrganisationLimit, cicadarefusal.NotRun,
			"organisation %s reached its limits at this router", ar.org.Name))
		return
	}
	defer ar.r.limits.release(ar.svc.Name() + "/" + ar.org.Name)
	ar.r.retries.deposit(ar.budget, ar.rules.RetryPercent)
	if ar.keyDigest != "" {
		// A request that finds the key claimed asks for the response of this one.
		ar.r.responses.begin(ar.id)
	}
	replayed, ref := ar.claimAndReserve(ctx)
	if ref != nil {
		ar.releaseKey()
		ar.refuse(ref)
	}
	if replayed || ref != nil {
		ar.r.responses.end(ar.id, nil)
		return
	}
	out := run(ctx)
	ar.finish(out)
}

// claimAndReserve claims the request's key and reserves units. It returns replayed as
// true if the caller got the stored response of an earlier request.
func (ar *activeRequest) claimAndReserve(ctx context.Context) (replayed bool, ref *cicadarefusal.Refusal) {
	if replayed, ref = ar.claimKey(ctx); replayed || ref != nil {
		return replayed, ref
	}
	if ref = ar.reserve(ctx); ref != nil || ar.keyDigest == "" || ar.claimed {
		return false, ref
	}
	// The first claim got no result. It is repeated, as the reservation has
	// ensured that a home is available.
	if replayed, ref = ar.claimKey(ctx); replayed || ref != nil {
		ar.releaseReservation()
	}
	return replayed, ref
}

// reserve reserves the most units that the request can use.
func (ar *activeRequest) reserve(ctx context.Context) *cicadarefusal.Refusal {
	units, err := ar.promptBound.Add(ar.outputBound)
	if err != nil {
		return cicadarefusal.New(cicadarefusal.Malformed, cicadarefusal.NotRun, "the request is too large: %v", err)
	}
	begin := time.Now()
	res, err := ar.r.session.Reserve(ctx, ar.budget, units, time.Duration(ar.rules.AdmissionWait))
	ev := &cicadatrail.Reserved{
		Budget: ar.budget, Units: units, PromptBound: ar.promptBound, OutputBound: ar.outputBound,
		Waited: time.Since(begin).Round(time.Microsecond).String(),
	}
	if err == nil {
		ar.reservation = res
		ar.trail.Add(ev)
		return nil
	}
	ev.BudgetStatus = ar.r.session.BudgetStatus(ar.budget)
	ev.Error = err.Error()
	ar.trail.Add(ev)
	return ar.reservationRefusal(err, units)
}

// releaseReservation releases the reservation of a request that did not run.
func (ar *activeRequest) releaseReservation() {
	if _, err := ar.r.session.Settle(ar.reservation, ar.newBill(0, 0, cicadaledger.OutcomeNotRun)); err != nil {
		ar.r.cfg.Log.WithError(err).WithField("requestId", ar.id).Error("unused reservation not released; please report this")
	}
}

// newBill returns the request's bill.
func (ar *activeRequest) newBill(units, withheld cicadabudget.Units, out cicadaledger.Outcome) cicadaledger.Bill {
	return cicadaledger.Bill{
		RequestID: ar.id, Budget: ar.budget, Key: ar.keyDigest, AtMostOnce: ar.atMostOnce, Fingerprint: ar.fingerprint,
		Units: units, Withheld: withheld, Outcome: out,
	}
}

// upstreamHeaders returns the headers that every attempt sends to a runner.
func (ar *activeRequest) upstreamHeaders() http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	if routerID, err := ar.r.routerID().MarshalText(); err == nil {
		h.Set(cicadaupstream.HeaderRouter, string(routerID))
	}
	h.Set("X-Organisation", ar.svc.Name()+"/"+ar.org.Name)
	h.Set(cicadaupstream.HeaderPriority, string(ar.priority()))
	if key := ar.httpReq.Header.Get(headerKey); key != "" {
		h.Set(cicadaupstream.HeaderIdempotencyKey, key)
	}
	return h
}

func (ar *activeRequest) priority() cicadadoc.Priority {
	if ar.org.Priority == "" {
		return cicadadoc.PriorityLive
	}
	return ar.org.Priority
}
