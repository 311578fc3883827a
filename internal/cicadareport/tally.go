package cicadareport

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Messages of the log lines that are read.
const (
	messageRequest = "request"
	messageHeld    = "units held"
	messageMoved   = "units moved"
	messageStart   = "start"
	// answered is the outcome of a request that was served.
	answered = "answered"
)

type (
	// Summary adds up log lines.
	Summary struct {
		cfg      Config
		steps    map[int64]*step // by time since the epoch, in steps
		hosts    map[string]*hostState
		limits   map[string]int64 // newest bound of each organisation's budget
		causes   map[string]*cause
		requests int

		unread      []SkippedLine
		unreadCount int
	}

	// step is what happened in one step of time.
	step struct {
		outcomes map[string]int
		drawn    map[string]drawn // by organisation, the newest that a line says
		held     held             // by all processes
		ended    int64            // spent by processes that have ended
	}

	// drawn is what all routers have drawn of a budget, at a version of its row.
	drawn struct {
		units   int64
		version uint64
	}

	// hostState is the newest that a host has said.
	hostState struct {
		step  int64
		held  held
		ended int64 // spent by earlier processes
	}

	// cause is why requests were not answered.
	cause struct {
		count    int
		routes   map[string]int
		orgs     map[string]int
		examples []string
	}

	// Row is one step of time. Shares are of all budgets together.
	Row struct {
		At       time.Time
		Outcomes map[string]int
		Drawn    float64 // from the store, by all routers
		Used     float64 // by requests that have ended
		Free     float64 // held by routers, and not reserved
		Locked   float64 // part of Free that a successor takes over
		Reserved float64 // by requests in progress
		// Unaccounted is drawn, and neither used nor held by a process that lives. Lines on
		// what is held are up to a second old, so that it may be slightly below zero.
		Unaccounted float64
	}

	// Cause is why requests were not answered.
	Cause struct {
		Outcome       string
		Count         int
		Routes        map[string]int
		Organisations map[string]int
		Examples      []string // ids of requests
	}
)

// New returns an empty tally.
func New(cfg Config) *Summary {
	return &Summary{cfg: cfg, steps: map[int64]*step{}, hosts: map[string]*hostState{}, limits: map[string]int64{}, causes: map[string]*cause{}}
}

// Requests is the number of requests that were read.
func (t *Summary) Requests() int { return t.requests }

// Skipped returns the first lines that could not be read, and the number of all.
func (t *Summary) Skipped() ([]SkippedLine, int) { return t.unread, t.unreadCount }

func (t *Summary) add(host string, l *line) {
	at := l.Timestamp.UnixNano() / int64(t.cfg.Interval)
	switch l.Message {
	case messageRequest:
		t.requests++
		t.at(at).outcomes[l.Fields.Outcome]++
		if l.Fields.Outcome != answered {
			t.addCause(&l.Fields)
		}
	case messageMoved:
		t.limits[l.Fields.Organisation] = max(t.limits[l.Fields.Organisation], l.Fields.Limit)
		pools := t.at(at).drawn
		if l.Fields.Version >= pools[l.Fields.Organisation].version {
			pools[l.Fields.Organisation] = drawn{units: l.Fields.DrawnByAll, version: l.Fields.Version}
		}
	case messageHeld:
		t.carry(host, at).held = l.Fields.held
	case messageStart:
		h := t.carry(host, at)
		h.ended += h.held.Spent
		h.held = held{}
	}
}

func (t *Summary) at(n int64) *step {
	s := t.steps[n]
	if s == nil {
		s = &step{outcomes: map[string]int{}, drawn: map[string]drawn{}}
		t.steps[n] = s
	}
	return s
}

// carry adds what a host last said to the steps since then, and returns its state. A
// host whose clock steps back adds nothing twice.
func (t *Summary) carry(host string, to int64) *hostState {
	t.at(to)
	h := t.hosts[host]
	if h == nil {
		h = &hostState{step: to}
		t.hosts[host] = h
	}
	for ; h.step < to; h.step++ {
		s := t.at(h.step)
		s.held.add(&h.held)
		s.ended += h.ended
	}
	return h
}

func (h *held) add(o *held) {
	h.Free += o.Free
	h.Dormant += o.Dormant
	h.Reserved += o.Reserved
	h.Spent += o.Spent
}

func (t *Summary) addCause(f *fields) {
	c := t.causes[f.Outcome]
	if c == nil {
		c = &cause{routes: map[string]int{}, orgs: map[string]int{}}
		t.causes[f.Outcome] = c
	}
	c.count++
	c.routes[f.Route]++
	c.orgs[f.Organisation]++
	if len(c.examples) < t.cfg.MaxExamples {
		c.examples = append(c.examples, f.RequestID)
	}
}

// Rows returns the steps of time in their order. Budgets are counted at their newest
// bounds.
func (t *Summary) Rows() []Row {
	if len(t.steps) == 0 {
		return nil
	}
	last := slices.Max(slices.Collect(maps.Keys(t.steps)))
	for host := range t.hosts {
		t.carry(host, last+1)
	}
	delete(t.steps, last+1)
	var all int64
	for _, n := range t.limits {
		all += n
	}
	share := func(n int64) float64 { return float64(n) / float64(max(all, 1)) }
	var out []Row
	var sum int64
	byOrg := map[string]drawn{}
	for _, n := range slices.Sorted(maps.Keys(t.steps)) {
		s := t.steps[n]
		for org, d := range s.drawn {
			if d.version >= byOrg[org].version {
				sum += d.units - byOrg[org].units
				byOrg[org] = d
			}
		}
		used := s.held.Spent + s.ended
		out = append(out, Row{
			At: time.Unix(0, n*int64(t.cfg.Interval)).UTC(), Outcomes: s.outcomes,
			Drawn: share(sum), Used: share(used), Free: share(s.held.Free), Locked: share(s.held.Dormant),
			Reserved: share(s.held.Reserved), Unaccounted: share(sum - used - s.held.Free - s.held.Reserved),
		})
	}
	return out
}

// Causes returns why requests were not answered, the most frequent first.
func (t *Summary) Causes() []Cause {
	var out []Cause
	for outcome, c := range t.causes {
		out = append(out, Cause{Outcome: outcome, Count: c.count, Routes: c.routes, Organisations: c.orgs, Examples: c.examples})
	}
	slices.SortFunc(out, func(x, y Cause) int {
		if x.Count != y.Count {
			return y.Count - x.Count
		}
		return strings.Compare(x.Outcome, y.Outcome)
	})
	return out
}
