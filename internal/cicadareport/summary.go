package cicadareport

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Messages of the log lines that are evaluated.
const (
	messageRequest    = "request"
	messageUnitsHeld  = "units held"
	messageUnitsMoved = "units moved"
	messageStart      = "start"
	// outcomeAnswered is the outcome of a request that was served.
	outcomeAnswered = "answered"
)

type (
	// Summary aggregates the log lines of routers.
	Summary struct {
		cfg       Config
		intervals map[int64]*interval // by index: Unix time divided by Config.Interval
		hosts     map[string]*hostState
		limits    map[string]int64 // largest logged limit of each organisation's budget
		causes    map[string]*cause
		requests  int

		skipped      []SkippedLine
		skippedCount int
	}

	// interval holds the totals of one interval of time.
	interval struct {
		outcomes     map[string]int
		drawn        map[string]drawnUnits // by organisation, the latest version that was logged
		held         heldUnits             // by all running processes
		spentByEnded int64                 // spent by processes that have ended
	}

	// drawnUnits is the number of units that all routers have drawn from a budget, at a version of its row.
	drawnUnits struct {
		units   int64
		version uint64
	}

	// hostState is the latest logged state of a host.
	hostState struct {
		nextInterval int64 // first interval that the state is not yet added to
		held         heldUnits
		spentByEnded int64 // spent by earlier processes of the host
	}

	// cause counts the requests with one outcome other than answered.
	cause struct {
		count    int
		routes   map[string]int
		orgs     map[string]int
		examples []string
	}

	// Row is one row of the report. The unit amounts are shares of the limits of all budgets together.
	Row struct {
		At       time.Time
		Outcomes map[string]int
		Drawn    float64 // drawn from the store by all routers
		Used     float64 // used by requests that have ended
		Free     float64 // held by routers and not reserved
		Locked   float64 // part of Free that is locked, so that a later process on the same host can take it over
		Reserved float64 // reserved by requests in progress
		// Unaccounted is drawn, but neither used nor held by a running process. It may be slightly
		// below zero, because the logged holdings are up to one second old.
		Unaccounted float64
	}

	// Cause describes the requests with one outcome other than answered.
	Cause struct {
		Outcome       string
		Count         int
		Routes        map[string]int
		Organisations map[string]int
		Examples      []string // request IDs
	}
)

// New returns an empty Summary.
func New(cfg Config) *Summary {
	return &Summary{cfg: cfg, intervals: map[int64]*interval{}, hosts: map[string]*hostState{}, limits: map[string]int64{}, causes: map[string]*cause{}}
}

// Requests returns the number of requests in the logs.
func (s *Summary) Requests() int { return s.requests }

// Skipped returns the first lines that could not be parsed, and the total number of such lines.
func (s *Summary) Skipped() ([]SkippedLine, int) { return s.skipped, s.skippedCount }

func (s *Summary) add(host string, l *logLine) {
	index := l.Timestamp.UnixNano() / int64(s.cfg.Interval)
	switch l.Message {
	case messageRequest:
		s.requests++
		s.interval(index).outcomes[l.Fields.Outcome]++
		if l.Fields.Outcome != outcomeAnswered {
			s.addCause(&l.Fields)
		}
	case messageUnitsMoved:
		s.limits[l.Fields.Organisation] = max(s.limits[l.Fields.Organisation], l.Fields.Limit)
		drawn := s.interval(index).drawn
		if l.Fields.Version >= drawn[l.Fields.Organisation].version {
			drawn[l.Fields.Organisation] = drawnUnits{units: l.Fields.DrawnByAll, version: l.Fields.Version}
		}
	case messageUnitsHeld:
		s.accountUntil(host, index).held = l.Fields.heldUnits
	case messageStart:
		h := s.accountUntil(host, index)
		h.spentByEnded += h.held.Spent
		h.held = heldUnits{}
	}
}

// interval returns the interval with the given index. It creates the interval if necessary.
func (s *Summary) interval(index int64) *interval {
	current := s.intervals[index]
	if current == nil {
		current = &interval{outcomes: map[string]int{}, drawn: map[string]drawnUnits{}}
		s.intervals[index] = current
	}
	return current
}

// accountUntil adds the latest state of a host to the intervals before index that lack it, and returns
// the state. If the host's clock is set back, no interval is counted twice.
func (s *Summary) accountUntil(host string, index int64) *hostState {
	s.interval(index)
	h := s.hosts[host]
	if h == nil {
		h = &hostState{nextInterval: index}
		s.hosts[host] = h
	}
	for ; h.nextInterval < index; h.nextInterval++ {
		current := s.interval(h.nextInterval)
		current.held.add(&h.held)
		current.spentByEnded += h.spentByEnded
	}
	return h
}

func (h *heldUnits) add(other *heldUnits) {
	h.Free += other.Free
	h.Locked += other.Locked
	h.Reserved += other.Reserved
	h.Spent += other.Spent
}

func (s *Summary) addCause(f *logFields) {
	c := s.causes[f.Outcome]
	if c == nil {
		c = &cause{routes: map[string]int{}, orgs: map[string]int{}}
		s.causes[f.Outcome] = c
	}
	c.count++
	c.routes[f.Route]++
	c.orgs[f.Organisation]++
	if len(c.examples) < s.cfg.MaxExamples {
		c.examples = append(c.examples, f.RequestID)
	}
}

// Rows returns the rows of the report, ordered by time. Shares refer to the largest logged limits of the
// budgets.
func (s *Summary) Rows() []Row {
	if len(s.intervals) == 0 {
		return nil
	}
	lastIndex := slices.Max(slices.Collect(maps.Keys(s.intervals)))
	for host := range s.hosts {
		s.accountUntil(host, lastIndex+1)
	}
	delete(s.intervals, lastIndex+1)
	var totalLimit int64
	for _, n := range s.limits {
		totalLimit += n
	}
	share := func(n int64) float64 { return float64(n) / float64(max(totalLimit, 1)) }
	var out []Row
	var totalDrawn int64
	drawnByOrg := map[string]drawnUnits{}
	for _, index := range slices.Sorted(maps.Keys(s.intervals)) {
		current := s.intervals[index]
		for org, d := range current.drawn {
			if d.version >= drawnByOrg[org].version {
				totalDrawn += d.units - drawnByOrg[org].units
				drawnByOrg[org] = d
			}
		}
		used := current.held.Spent + current.spentByEnded
		out = append(out, Row{
			At: time.Unix(0, index*int64(s.cfg.Interval)).UTC(), Outcomes: current.outcomes,
			Drawn: share(totalDrawn), Used: share(used), Free: share(current.held.Free), Locked: share(current.held.Locked),
			Reserved: share(current.held.Reserved), Unaccounted: share(totalDrawn - used - current.held.Free - current.held.Reserved),
		})
	}
	return out
}

// Causes returns the outcomes of requests that were not answered, most frequent first.
func (s *Summary) Causes() []Cause {
	var out []Cause
	for outcome, c := range s.causes {
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
