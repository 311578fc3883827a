package cicadaplace

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaengine"
)

const (
	// memoryMargin is the share of an engine's memory that is taken to be used as this router
	// expects. The rest is for output tokens, for shared parts of requests that run, and for
	// requests that this router does not see.
	memoryMargin = 0.75
	// ownTokensWeight is the weight of one request in the mean of ownTokens.
	ownTokensWeight = 1.0 / 16
	// secondShare is the share of a prefix's prefill time that a request may wait longer at the second
	// runner than elsewhere, for later requests to find the prefix there.
	secondShare = 0.5
	// minModelRouters is the number of routers from which on the learned models are used. In smaller fleets,
	// which see all requests of a few runners, the constants place as well.
	minModelRouters = 16
	// maxWaiting bounds a reported queue. A longer one is a misreading.
	maxWaiting = 10_000
)

type (
	// Engine describes the engines of a service.
	Engine struct {
		KVTokens int // memory for prompt and output tokens
	}

	// engineState is what is known of the engines of a service.
	engineState struct {
		kvTokens int
		// ownTokens is the mean number of prompt tokens that belong to one request only.
		ownTokens float64
	}

	// view is what a choice knows of a service, for all its runners.
	view struct {
		coefficients cicadaengine.Coefficients
		// observed reports whether the model of the service rests on enough observations. Without them,
		// requests are placed by the constants alone.
		observed    bool
		kvTokens    float64 // 0 if the memory is not to be considered
		ownTokens   float64
		spread      float64 // tokens that the runners prefill for each of this router's
		placesGroup bool
	}
)

// SetEngines sets the engines of the services. Services that are not listed have unbounded memory.
func (b *Balancer) SetEngines(byService map[string]Engine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engines := map[string]*engineState{}
	for name, e := range byService {
		st := b.engines[name]
		if st == nil {
			st = &engineState{}
		}
		st.kvTokens = max(e.KVTokens, 0)
		engines[name] = st
	}
	b.engines = engines
}

// view returns what is known for the choice of a runner.
func (b *Balancer) view(req *Request, now time.Time) view {
	if len(req.Parts) == 0 {
		return view{}
	}
	v := view{coefficients: b.models.Service(req.Service).Coefficients(now), spread: 1, placesGroup: req.PlacesGroup}
	if b.routers > 0 && b.routers < minModelRouters {
		v.coefficients = cicadaengine.Constants()
	}
	v.observed = v.coefficients.Observed()
	if st := b.engines[req.Service]; st != nil && v.observed {
		v.kvTokens, v.ownTokens = float64(st.kvTokens), st.ownTokens
	}
	if req.PlacesGroup {
		// A router that does not place the group can't tell by its own requests what the others have
		// pushed out, since they use the same prefixes again.
		v.spread = float64(groupCount(len(b.services[req.Service])))
	}
	return v
}

// prefixRoom returns the tokens of prompt parts that r has memory for beside its running requests.
func (v *view) prefixRoom(r *Runner, now time.Time) float64 {
	running, _ := r.load(now)
	return v.kvTokens*memoryMargin - float64(running)*v.ownTokens
}

// hasPart reports whether this router has sent r a part that r still has memory for. What was prefilled
// since includes the requests that run.
func (v *view) hasPart(r *Runner, id string, now time.Time) bool {
	use, ok := r.cachedParts.lastUse(id, now)
	return ok && (v.kvTokens == 0 || float64(r.cachedParts.prefilled-use.prefilled)*v.spread <= v.kvTokens*memoryMargin && v.prefixRoom(r, now) > 0)
}

// cachedTokens returns the tokens of the leading shared parts that r is taken to have cached. A preferred
// runner is taken to have all of them: others may have sent them, and all routers send a part to the same
// runner for that reason, also when it has to be prefilled again.
func (v *view) cachedTokens(r *Runner, req *Request, preferred bool, now time.Time) int {
	n := 0
	for i := range len(req.Parts) - 1 {
		if !preferred && !v.hasPart(r, req.Parts[i].ID, now) {
			break
		}
		n += req.Parts[i].Tokens
	}
	return n
}

// knownCached returns the tokens that r is expected to find cached. Unlike cachedTokens, it gives a
// preferred runner no parts that nobody can have sent: the router that places the group has sent all.
func (v *view) knownCached(r *Runner, req *Request, preferred bool, now time.Time) int {
	return v.cachedTokens(r, req, preferred && !v.placesGroup, now)
}

// holdsPrefix reports whether r has memory for the shared parts of a request.
func (v *view) holdsPrefix(r *Runner, req *Request, now time.Time) bool {
	if v.kvTokens == 0 {
		return true
	}
	shared := 0
	for i := range len(req.Parts) - 1 {
		shared += req.Parts[i].Tokens
	}
	return float64(shared) <= v.prefixRoom(r, now)
}

// work returns what r has to do before the first event of a request.
func (r *Runner) work(uncached int, now time.Time) cicadaengine.Work {
	running, waiting := r.load(now)
	return cicadaengine.Work{Tokens: r.pendingTokens + uncached, Running: running, Waiting: waiting, Slots: r.entry.Slots}
}

// overflow returns the second runner for a prefix if the request should take the prefix there: the first
// one has lost to best, which would have to prefill it too. It returns best otherwise.
func (b *Balancer) overflow(best, second *Runner, bestCost float64, req *Request, v *view, now time.Time) *Runner {
	if !v.observed || best == second || v.cachedTokens(best, req, false, now) > 0 {
		return best
	}
	known, assumed := v.cachedTokens(second, req, false, now), v.cachedTokens(second, req, true, now)
	saved := v.coefficients.PrefillMillis(assumed-known) * secondShare
	if assumed > 0 && v.holdsPrefix(second, req, now) && b.cost(second, req, known, v, now)-saved <= bestCost {
		return second
	}
	return best
}

// predict records what is expected of the request at its runner. The models learn from what this router
// knows to be cached, lest they take a prefix that is prefilled again for a slow runner.
func (a *Assignment) predict(req *Request, preferred bool, v *view, now time.Time) {
	if len(req.Parts) == 0 {
		return
	}
	r := a.runner
	a.knownTokens = max(req.Tokens-v.knownCached(r, req, preferred, now), 0)
	work := r.work(0, now)
	work.Tokens = r.pendingKnown
	a.waitMillis = r.model.Millis(&v.coefficients, &work, now)
	work.Tokens += a.knownTokens
	a.prediction, a.predicted = r.model.Predict(&v.coefficients, work, now), true
	r.pendingKnown += a.knownTokens
	if st := a.balancer.engines[req.Service]; st != nil {
		own := float64(req.Parts[len(req.Parts)-1].Tokens)
		if st.ownTokens == 0 {
			st.ownTokens = own
		}
		st.ownTokens += (own - st.ownTokens) * ownTokensWeight
	}
}

// Prediction returns the predicted time to the first event. A request without a prompt has none.
func (a *Assignment) Prediction() (p cicadaengine.Prediction, ok bool) {
	return a.prediction, a.predicted
}

// WaitMillis returns the expected wait for earlier requests at the runner, in milliseconds.
func (a *Assignment) WaitMillis() float64 { return a.waitMillis }

// ObserveFirstEvent records the time from the assignment to the first event of the response. Further
// calls have no effect.
func (a *Assignment) ObserveFirstEvent(took time.Duration, now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if !a.predicted || a.observed {
		return
	}
	a.observed = true
	a.runner.model.ObserveFirstEvent(&a.prediction, took, now)
}

// ReportLoad records a load report of the runner. A report that is older than the last one is ignored.
func (a *Assignment) ReportLoad(l Load, now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	r := a.runner
	if now.Before(r.reportedAt) {
		return
	}
	l.Running, l.Waiting = max(l.Running, 0), min(max(l.Waiting, 0), maxWaiting)
	r.model.ObserveLoad(l.Slowness, now)
	r.reportedLoad, r.reportedAt, r.sinceReport = l, now, 0
}
