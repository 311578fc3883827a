// Package cicadaroute chooses the runner for a request.
//
// A runner's load is estimated from its last load report, corrected by the
// requests that this router has started and finished there since. Without the
// correction, all routers that got the same stale report would choose the same
// runner. Of two randomly sampled runners, the one with the lower load is chosen.
//
// The package does no I/O; the caller passes the time and the random seed. A Table
// is not safe for concurrent use.
package cicadaroute

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors returned by Choose.
var (
	ErrNoRunner = errors.New("no eligible runner in the upstream")
	ErrBusy     = errors.New("all eligible runners of the upstream are at their load limit")
)

const (
	// maxRunnersPerUpstream limits the runners of an upstream that a router
	// uses, and so the load reports that it has to request.
	maxRunnersPerUpstream = 32
	// failuresToEject is the number of consecutive failures after which a
	// runner is ejected for a while.
	failuresToEject = 3
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second
	// maxEjectedShare is the share of an upstream's runners above which
	// ejections are ignored.
	maxEjectedShare = 0.5
	// slowStartDuration is the time after an ejection during which a runner's
	// share of the requests grows to its full value.
	slowStartDuration = 10 * time.Second
	// maxQueueLoad is the load, as a multiple of a runner's capacity, up to
	// which the runner gets requests to queue.
	maxQueueLoad = 2.0
	// loadReportTTL is the age at which a load report is no longer used.
	loadReportTTL = 10 * time.Second
)

type (
	// Runner is a runner as declared in the configuration document.
	Runner struct {
		Name       string
		Address    string
		DataCentre string
		Capacity   int
		Draining   bool
		// ReportsLoad means that the runner can be queried for its load.
		ReportsLoad bool
	}

	// LoadReport is the load that a runner reports.
	LoadReport struct {
		Running  int
		Waiting  int
		Draining bool
	}

	// Request contains the properties of a request that determine the choice.
	Request struct {
		Upstream   string
		DataCentre string // of the router
		LocalFirst bool
		// FreeSlotOnly excludes runners without a free slot. It is set for batch
		// requests, which must not queue in front of live ones.
		FreeSlotOnly bool
		// Tried contains the addresses of runners that failed this request.
		Tried []string
		// PrefixHash is a hash of the beginning of the prompt, or zero.
		PrefixHash uint64
	}

	// Candidate is the state of a runner when the choice was made.
	Candidate struct {
		Name       string  `json:"name"`
		DataCentre string  `json:"place"`
		Load       float64 `json:"load"` // estimated requests for each slot
		InFlight   int     `json:"inFlight"`
		// ReportAgeMillis is -1 if there is no load report.
		ReportAgeMillis int64  `json:"reportAgeMillis"`
		ExclusionReason string `json:"leftOut,omitempty"`
	}

	// Table holds the runners of all upstreams.
	Table struct {
		routerName string
		rng        *rand.Rand
		upstreams  map[string][]*runner
		byAddr     map[string]*runner
	}

	runner struct {
		Runner
		inFlight         int
		report           LoadReport
		reportedAt       time.Time
		inFlightAtReport int // own requests in flight when the report arrived
		draining         bool
		failures         int
		ejections        int
		ejectedUntil     time.Time
		slowStartAt      time.Time // start of the slow start phase
	}
)

// NewTable returns a table without runners. The subset of runners that a router
// uses depends on routerName.
func NewTable(routerName string, seed uint64) *Table {
	return &Table{
		routerName: routerName,
		rng:        rand.New(rand.NewPCG(seed, xxhash.Sum64String(routerName))),
		upstreams:  make(map[string][]*runner),
		byAddr:     make(map[string]*runner),
	}
}

// SetUpstream replaces the runners of an upstream. Runners that remain listed keep
// their state; in particular, a draining runner stays draining.
func (t *Table) SetUpstream(name string, runners []Runner) {
	existing := make(map[string]*runner)
	for _, r := range t.upstreams[name] {
		existing[r.Address] = r
		delete(t.byAddr, r.Address)
	}
	list := make([]*runner, 0, min(len(runners), maxRunnersPerUpstream))
	for _, spec := range t.subset(runners) {
		r, ok := existing[spec.Address]
		if !ok {
			r = &runner{}
		}
		r.Runner = spec
		r.draining = r.draining || spec.Draining
		list = append(list, r)
		t.byAddr[spec.Address] = r
	}
	t.upstreams[name] = list
}

// RemoveUpstream removes an upstream and its runners.
func (t *Table) RemoveUpstream(name string) {
	t.SetUpstream(name, nil)
	delete(t.upstreams, name)
}

// Upstreams returns the sorted names of the upstreams.
func (t *Table) Upstreams() []string {
	out := make([]string, 0, len(t.upstreams))
	for name := range t.upstreams {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// ReportingRunners returns the sorted addresses of the runners in use that report
// their load.
func (t *Table) ReportingRunners() []string {
	out := make([]string, 0, len(t.byAddr))
	for addr, r := range t.byAddr {
		if r.ReportsLoad {
			out = append(out, addr)
		}
	}
	sort.Strings(out)
	return out
}

// OtherRunners returns the addresses of at most n runners in use, chosen at random, without the one at addr.
func (t *Table) OtherRunners(addr string, n int) []string {
	var out []string
	for other := range t.byAddr {
		if other != addr {
			out = append(out, other)
		}
	}
	sort.Strings(out)
	t.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// subset selects the runners that this router uses, by rendezvous hashing.
func (t *Table) subset(runners []Runner) []Runner {
	if len(runners) <= maxRunnersPerUpstream {
		return runners
	}
	out := append([]Runner(nil), runners...)
	weight := func(r Runner) uint64 { return xxhash.Sum64String(t.routerName + "/" + r.Address) }
	sort.Slice(out, func(i, j int) bool { return weight(out[i]) > weight(out[j]) })
	return out[:maxRunnersPerUpstream]
}

// RequestStarted records that a request was sent to a runner.
func (t *Table) RequestStarted(addr string) {
	if r, ok := t.byAddr[addr]; ok {
		r.inFlight++
	}
}

// RequestFinished records the end of a request, and whether the runner failed.
func (t *Table) RequestFinished(addr string, failed bool, now time.Time) {
	r, ok := t.byAddr[addr]
	if !ok {
		return
	}
	r.inFlight = max(0, r.inFlight-1)
	if !failed {
		r.failures = 0
		if r.ejections > 0 && now.Sub(r.slowStartAt) > slowStartDuration {
			r.ejections = 0
		}
		return
	}
	r.failures++
	if r.failures >= failuresToEject {
		r.failures = 0
		d := min(maxEjectionTime, minEjectionTime<<min(r.ejections, 5))
		r.ejections++
		r.ejectedUntil = now.Add(d)
		r.slowStartAt = r.ejectedUntil
	}
}

// UpdateLoad records a runner's load report.
func (t *Table) UpdateLoad(addr string, rep LoadReport, now time.Time) {
	r, ok := t.byAddr[addr]
	if !ok {
		return
	}
	r.report = rep
	r.reportedAt = now
	r.inFlightAtReport = r.inFlight
	r.draining = r.draining || rep.Draining
}

// MarkDraining records that a runner accepts no new requests. It reports whether
// the runner was not yet marked.
func (t *Table) MarkDraining(addr string) bool {
	r, ok := t.byAddr[addr]
	if !ok || r.draining {
		return false
	}
	r.draining = true
	return true
}

// DrainingRunners returns the sorted addresses of the runners that accept no new
// requests.
func (t *Table) DrainingRunners() []string {
	var out []string
	for addr, r := range t.byAddr {
		if r.draining {
			out = append(out, addr)
		}
	}
	sort.Strings(out)
	return out
}

// load estimates the number of requests at a runner for each of its slots.
func (r *runner) load(now time.Time) float64 {
	n := r.inFlight
	if !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < loadReportTTL {
		n = max(n, r.report.Running+r.report.Waiting+r.inFlight-r.inFlightAtReport)
	}
	load := float64(n) / float64(max(1, r.Capacity))
	if since := now.Sub(r.slowStartAt); !r.slowStartAt.IsZero() && since < slowStartDuration {
		load += 1 - since.Seconds()/slowStartDuration.Seconds()
	}
	return load
}
