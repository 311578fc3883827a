// Package cicadaroute chooses the runner for a request.
//
// A runner's load is estimated from its last report, corrected by what this
// router has started and finished there since: reports are old, and routers
// that all trust the same old report would all choose the same runner. Of two
// runners drawn at random the less loaded one is taken.
//
// The package does no input or output; the time and the random source are
// given. A Table is not safe for concurrent use.
package cicadaroute

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of a choice.
var (
	ErrNoRunner = errors.New("no runner takes work")
	ErrBusy     = errors.New("every runner is at its limit")
)

const (
	// subsetSize bounds the runners of one upstream that a router uses, and
	// with it the load reports that it reads.
	subsetSize = 32
	// failuresToEject is the number of failures in a row after which a runner
	// is left out for a while.
	failuresToEject = 3
	ejectFirst      = time.Second
	ejectLongest    = 30 * time.Second
	// maxEjectedShare bounds the share of an upstream's runners left out.
	maxEjectedShare = 0.5
	// slowStart is the time in which a returned runner's share grows to full.
	slowStart = 10 * time.Second
	// queueFactor is the load, as a multiple of capacity, up to which an
	// engine is given work to queue.
	queueFactor = 2.0
	// reportLife is the age after which a load report says nothing.
	reportLife = 10 * time.Second
)

type (
	// Runner is one runner as the document declares it.
	Runner struct {
		Name       string
		Address    string
		DataCentre string
		Capacity   int
		Draining   bool
		// ReportsLoad tells that the runner can be asked for its load.
		ReportsLoad bool
	}

	// LoadReport is a runner's word on its load.
	LoadReport struct {
		Running  int
		Waiting  int
		Draining bool
	}

	// Request is what a choice depends on.
	Request struct {
		Upstream   string
		DataCentre string // of the router
		LocalFirst bool
		// FreeSlotOnly requests are not put into a runner's queue: they wait for
		// the live ones.
		FreeSlotOnly bool
		// Tried are addresses that failed for this request.
		Tried []string
		// PrefixHash is a digest of the beginning of the prompt; zero for none.
		PrefixHash uint64
	}

	// Candidate is one runner as it looked when the choice was made.
	Candidate struct {
		Name       string  `json:"name"`
		DataCentre string  `json:"place"`
		Load       float64 `json:"load"` // estimated requests for each slot
		InFlight   int     `json:"inFlight"`
		// ReportAge is -1 without a report.
		ReportAgeMillis int64  `json:"reportAgeMillis"`
		ExclusionReason string `json:"leftOut,omitempty"`
	}

	// Table holds the runners of all upstreams.
	Table struct {
		self      string
		rng       *rand.Rand
		upstreams map[string][]*runner
		byAddr    map[string]*runner
	}

	runner struct {
		Runner
		inFlight     int
		report       LoadReport
		reportedAt   time.Time
		atReport     int // own requests in flight when the report came
		leaving      bool
		failures     int
		ejections    int
		ejectedUntil time.Time
		startedAt    time.Time // of the slow start
	}
)

// NewTable returns a table without runners. Self names the router, which
// decides the subset of runners that it uses.
func NewTable(self string, seed uint64) *Table {
	return &Table{
		self:      self,
		rng:       rand.New(rand.NewPCG(seed, xxhash.Sum64String(self))),
		upstreams: make(map[string][]*runner),
		byAddr:    make(map[string]*runner),
	}
}

// SetUpstream replaces the runners of an upstream. Runners that stay keep
// their state; a runner once heard to be leaving stays so while it is listed.
func (t *Table) SetUpstream(name string, runners []Runner) {
	kept := make(map[string]*runner)
	for _, r := range t.upstreams[name] {
		kept[r.Address] = r
		delete(t.byAddr, r.Address)
	}
	list := make([]*runner, 0, min(len(runners), subsetSize))
	for _, spec := range t.subset(runners) {
		r, ok := kept[spec.Address]
		if !ok {
			r = &runner{}
		}
		r.Runner = spec
		r.leaving = r.leaving || spec.Draining
		list = append(list, r)
		t.byAddr[spec.Address] = r
	}
	t.upstreams[name] = list
}

// RemoveUpstream forgets an upstream.
func (t *Table) RemoveUpstream(name string) {
	t.SetUpstream(name, nil)
	delete(t.upstreams, name)
}

// Upstreams lists the names of the upstreams.
func (t *Table) Upstreams() []string {
	out := make([]string, 0, len(t.upstreams))
	for name := range t.upstreams {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// ReportingRunners lists the runners in use that can be asked for their load.
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

// subset picks the runners that this router uses, by rendezvous hashing.
func (t *Table) subset(runners []Runner) []Runner {
	if len(runners) <= subsetSize {
		return runners
	}
	out := append([]Runner(nil), runners...)
	weight := func(r Runner) uint64 { return xxhash.Sum64String(t.self + "/" + r.Address) }
	sort.Slice(out, func(i, j int) bool { return weight(out[i]) > weight(out[j]) })
	return out[:subsetSize]
}

// RequestStarted notes that a request was sent to a runner.
func (t *Table) RequestStarted(addr string) {
	if r, ok := t.byAddr[addr]; ok {
		r.inFlight++
	}
}

// RequestFinished notes the end of a request, and whether the runner failed it.
func (t *Table) RequestFinished(addr string, failed bool, now time.Time) {
	r, ok := t.byAddr[addr]
	if !ok {
		return
	}
	r.inFlight = max(0, r.inFlight-1)
	if !failed {
		r.failures = 0
		if r.ejections > 0 && now.Sub(r.startedAt) > slowStart {
			r.ejections = 0
		}
		return
	}
	r.failures++
	if r.failures >= failuresToEject {
		r.failures = 0
		d := min(ejectLongest, ejectFirst<<min(r.ejections, 5))
		r.ejections++
		r.ejectedUntil = now.Add(d)
		r.startedAt = r.ejectedUntil
	}
}

// UpdateLoad takes a runner's load report.
func (t *Table) UpdateLoad(addr string, rep LoadReport, now time.Time) {
	r, ok := t.byAddr[addr]
	if !ok {
		return
	}
	r.report = rep
	r.reportedAt = now
	r.atReport = r.inFlight
	r.leaving = r.leaving || rep.Draining
}

// MarkDraining notes that a runner takes no new work any more. It reports
// whether that is news.
func (t *Table) MarkDraining(addr string) bool {
	r, ok := t.byAddr[addr]
	if !ok || r.leaving {
		return false
	}
	r.leaving = true
	return true
}

// DrainingRunners lists the runners that take no new work.
func (t *Table) DrainingRunners() []string {
	var out []string
	for addr, r := range t.byAddr {
		if r.leaving {
			out = append(out, addr)
		}
	}
	sort.Strings(out)
	return out
}

// load estimates the requests at a runner for each of its slots.
func (r *runner) load(now time.Time) float64 {
	n := r.inFlight
	if !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < reportLife {
		n = max(n, r.report.Running+r.report.Waiting+r.inFlight-r.atReport)
	}
	load := float64(n) / float64(max(1, r.Capacity))
	if since := now.Sub(r.startedAt); !r.startedAt.IsZero() && since < slowStart {
		load += 1 - since.Seconds()/slowStart.Seconds()
	}
	return load
}
