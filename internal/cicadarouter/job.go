package cicadarouter

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
)

const (
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 255
	headerKey    = "Idempotency-Key"
	// headerIdempotent set to false marks a request that may run only once.
	headerIdempotent = "Cicadadyke-Idempotent"
	headerRequestID  = "X-Request-Id"
)

type (
	// job is one request on its way through the router.
	job struct {
		r     *Router
		w     http.ResponseWriter
		req   *http.Request
		id    string
		trail *cicadatrail.Trail

		svc      *cicadaconfig.Service
		org      *cicadadoc.Organisation
		rules    cicadadoc.Rules
		upstream *cicadadoc.Upstream
		budget   string

		once        bool   // may run at most once
		key         string // digest of organisation and idempotency key
		fingerprint string
		claimed     bool
		promptBound cicadabudget.Units
		outputBound cicadabudget.Units
		reservation cicadabudget.Reservation
		deadline    time.Time

		started bool // the answer's header has been sent
		sent    int64
		keep    *cicadapeer.StoredResponse
	}
)

// newJob begins a request's trail and gives it an id.
func (r *Router) newJob(w http.ResponseWriter, req *http.Request) *job {
	id := r.holder().RequestID(r.requests.Add(1))
	w.Header().Set(headerRequestID, id)
	j := &job{r: r, w: w, req: req, id: id, trail: cicadatrail.New(id, time.Now())}
	r.trails.Begin(j.trail)
	r.metrics.Router.Add("requests", 1)
	return j
}

// refuse sends a refusal as the whole answer and records it.
func (j *job) refuse(ref *cicadarefusal.Refusal) {
	j.trail.Add(&cicadatrail.Refused{
		Code: string(ref.Code()), Ran: string(ref.RunStatus()), Detail: ref.Detail(), Remedy: ref.Remedy(),
	})
	j.r.metrics.Refusals.Add(string(ref.Code()), 1)
	entry := j.r.cfg.Log.WithField("requestId", j.id).WithField("code", string(ref.Code())).
		WithField("ran", string(ref.RunStatus()))
	if j.org != nil {
		entry = entry.WithField("organisation", j.org.Name).WithField("service", j.svc.Name())
	}
	entry.Debug(ref.Detail())
	if !j.started {
		ref.Write(j.w, j.id)
	}
}

// authenticate finds the organisation of the request's API key in a service.
func (j *job) authenticate(svc *cicadaconfig.Service) *cicadarefusal.Refusal {
	key := bearer(j.req.Header)
	if key == "" {
		return cicadarefusal.New(cicadarefusal.MissingKey, cicadarefusal.NotRun, "no Authorization: Bearer header")
	}
	org, ok := svc.Authenticate(key)
	if !ok {
		return cicadarefusal.New(cicadarefusal.UnknownKey, cicadarefusal.NotRun, "service %s does not know the key", svc.Name())
	}
	j.svc, j.org, j.rules = svc, org, svc.Rules()
	j.trail.SetOwner(org.Name, svc.Name())
	budget, _, ok := svc.BudgetFor(org.Name)
	if !ok {
		return cicadarefusal.New(cicadarefusal.NoBudget, cicadarefusal.NotRun, "organisation %s in service %s", org.Name, svc.Name())
	}
	j.budget = budget
	j.deadline = time.Now().Add(time.Duration(j.rules.RequestDeadline))
	return nil
}

// readKey takes the idempotency key, and requires one for a call that may run
// at most once.
func (j *job) readKey(body []byte) *cicadarefusal.Refusal {
	if j.req.Header.Get(headerIdempotent) == "false" {
		j.once = true
	}
	raw := j.req.Header.Get(headerKey)
	if raw == "" {
		if j.once {
			return cicadarefusal.New(cicadarefusal.KeyRequired, cicadarefusal.NotRun, "%s %s is not idempotent", j.req.Method, j.req.URL.Path)
		}
		return nil
	}
	if len(raw) > maxKeyLength || !isPrintable(raw) {
		return cicadarefusal.New(cicadarefusal.KeyInvalid, cicadarefusal.NotRun, "the key has %d bytes", len(raw))
	}
	j.key = digest(keyDigestSize, j.budget, raw)
	j.fingerprint = digest(fingerprintSize, j.req.Method, j.req.URL.RequestURI(), string(body))
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
	// keyDigestSize and fingerprintSize are lengths of digests, in bytes. A key
	// must not meet another by chance; a fingerprint finds mistakes only.
	keyDigestSize   = 12
	fingerprintSize = 6
)

// digest returns a digest of parts, with their borders kept.
func digest(size int, parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:size])
}

// context returns the context that the request runs under. A request with a key
// goes on when its caller leaves: the caller will come back for the answer.
func (j *job) context() (context.Context, context.CancelFunc) {
	parent := j.req.Context()
	if j.key != "" {
		parent = j.r.ctx
	}
	return context.WithDeadline(parent, j.deadline)
}

// serve admits and runs the request, and settles it whatever happens.
func (j *job) serve(run func(ctx context.Context) *outcome) {
	ctx, cancel := j.context()
	defer cancel()
	if !j.r.limits.acquire(j.svc.Name()+"/"+j.org.Name, j.org.Limits, j.r.fleet.LiveCount()) {
		j.refuse(cicadarefusal.New(cicadarefusal.OrganisationLimit, cicadarefusal.NotRun,
			"organisation %s reached its limits at this router", j.org.Name))
		return
	}
	defer j.r.limits.release(j.svc.Name() + "/" + j.org.Name)
	j.r.retries.deposit(j.budget, j.rules.RetryPercent)
	replayed, ref := j.claim(ctx)
	if replayed {
		return
	}
	if ref == nil {
		ref = j.reserve(ctx)
	}
	if ref == nil && j.key != "" && !j.claimed {
		// The reservation has made sure of a home that can give a verdict.
		if replayed, ref = j.claim(ctx); replayed || ref != nil {
			j.unreserve()
		}
		if replayed {
			return
		}
	}
	if ref != nil {
		j.withdraw()
		j.refuse(ref)
		return
	}
	if j.key != "" {
		j.r.kept.begin(j.id)
	}
	out := run(ctx)
	j.finish(out)
}

// reserve takes the request's worst case out of the budget.
func (j *job) reserve(ctx context.Context) *cicadarefusal.Refusal {
	units, err := j.promptBound.Add(j.outputBound)
	if err != nil {
		return cicadarefusal.New(cicadarefusal.Malformed, cicadarefusal.NotRun, "the request is too large: %v", err)
	}
	begin := time.Now()
	res, err := j.r.session.Reserve(ctx, j.budget, units, time.Duration(j.rules.AdmissionWait))
	ev := &cicadatrail.Reserved{
		Budget: j.budget, Units: units, PromptBound: j.promptBound, OutputBound: j.outputBound,
		Waited: time.Since(begin).Round(time.Microsecond).String(),
	}
	if err == nil {
		j.reservation = res
		j.trail.Add(ev)
		return nil
	}
	ev.BudgetStatus = j.r.session.BudgetStatus(j.budget)
	ev.Error = err.Error()
	j.trail.Add(ev)
	return j.refusalOf(err, units)
}

// unreserve frees a reservation of which nothing was used.
func (j *job) unreserve() {
	if _, err := j.r.session.Settle(j.reservation, j.bill(0, 0, cicadaledger.OutcomeNotRun)); err != nil {
		j.r.cfg.Log.WithError(err).WithField("requestId", j.id).Error("reservation not freed; please report this")
	}
}

// bill returns the request's bill with the units that it used.
func (j *job) bill(units, withheld cicadabudget.Units, out cicadaledger.Outcome) cicadaledger.Bill {
	return cicadaledger.Bill{
		RequestID: j.id, Budget: j.budget, Key: j.key, AtMostOnce: j.once, Fingerprint: j.fingerprint,
		Units: units, Withheld: withheld, Outcome: out,
	}
}

// headers returns those that every attempt carries to a runner.
func (j *job) headers() http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	if holder, err := j.r.holder().MarshalText(); err == nil {
		h.Set(cicadaupstream.HeaderRouter, string(holder))
	}
	h.Set("X-Organisation", j.svc.Name()+"/"+j.org.Name)
	h.Set(cicadaupstream.HeaderPriority, string(j.priority()))
	if key := j.req.Header.Get(headerKey); key != "" {
		h.Set(cicadaupstream.HeaderIdempotencyKey, key)
	}
	return h
}

func (j *job) priority() cicadadoc.Priority {
	if j.org.Priority == "" {
		return cicadadoc.PriorityLive
	}
	return j.org.Priority
}
