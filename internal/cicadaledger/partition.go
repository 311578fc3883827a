package cicadaledger

import (
	"sort"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/pkg/errors"
)

// Errors of the ledger. ErrCorrupt means that a record violates an invariant.
var (
	ErrOutOfOrder      = errors.New("exchange out of order")
	ErrInvalidExchange = errors.New("exchange gives up more units than its holder has")
	ErrCorrupt         = errors.New("ledger record violates an invariant")
)

type (
	// Config configures a partition.
	Config struct {
		ID        PartitionID
		KeyWindow time.Duration // how long request keys are remembered
		// MaxRunTime is the longest time that a request may run. An older claim
		// without a bill belongs to a router that failed.
		MaxRunTime time.Duration
	}

	// Partition is the state of one partition in one region. It is not safe for
	// concurrent use.
	Partition struct {
		cfg         Config
		incarnation uint64
		seq         uint64
		budgets     map[string]*budget
		holders     map[RouterID]*holderState
		keys        map[string]*key
		ended       map[RouterID]bool
		staged      []Operation
		now         time.Time
	}

	budget struct {
		allotted cicadabudget.Units
		spent    cicadabudget.Units
		withheld cicadabudget.Units
		held     cicadabudget.Units // sum over all holders
		holders  int                // holders with more than zero units
	}

	holderState struct {
		seq          uint64
		lastResult   ExchangeResult
		held         map[string]cicadabudget.Units
		billed       map[string]cicadabudget.Units // units spent and withheld by its bills
		appliedLoans map[uint64]bool               // IDs of its loans that took effect
	}

	key struct {
		requestID      string
		fingerprint    string
		holder         RouterID
		updatedAt      time.Time
		atMostOnce     bool
		billed         bool
		outcomeUnknown bool // the router could not determine the outcome
		reruns         int
	}

	// Balance contains the amounts of one budget in this region.
	Balance struct {
		Budget    string             `json:"budget"`
		Allotted  cicadabudget.Units `json:"allotted"`
		Spent     cicadabudget.Units `json:"spent"`
		Withheld  cicadabudget.Units `json:"withheld"`
		Held      cicadabudget.Units `json:"held"`
		Available cicadabudget.Units `json:"available"`
		Holders   int                `json:"holders"`
	}
)

// New returns an empty partition.
func New(cfg Config) *Partition {
	return &Partition{
		cfg:     cfg,
		budgets: make(map[string]*budget),
		holders: make(map[RouterID]*holderState),
		keys:    make(map[string]*key),
		ended:   make(map[RouterID]bool),
	}
}

// MarkEnded records that a holder's process is known to have ended. It affects
// which requests may run again, but not which units the holder has.
func (p *Partition) MarkEnded(id RouterID) { p.ended[id] = true }

// HasKey reports whether the state contains a request key.
func (p *Partition) HasKey(name string) bool {
	_, ok := p.keys[name]
	return ok
}

// LoadKey adds a key that was read from a checkpoint or from the key's own row.
func (p *Partition) LoadKey(kc KeyCheckpoint) {
	p.keys[kc.Key] = &key{
		requestID: kc.RequestID, fingerprint: kc.Fingerprint, holder: kc.Holder,
		updatedAt: kc.UpdatedAt, atMostOnce: kc.AtMostOnce, billed: kc.Billed, outcomeUnknown: kc.OutcomeUnknown, reruns: kc.Reruns,
	}
}

// Seq returns the number of the last applied batch.
func (p *Partition) Seq() uint64 { return p.seq }

// Incarnation returns the incarnation of the home that wrote the last batch.
func (p *Partition) Incarnation() uint64 { return p.incarnation }

// Balance returns the amounts of one budget.
func (p *Partition) Balance(name string) Balance {
	b := p.lookupBudget(name)
	return Balance{
		Budget: name, Allotted: b.allotted, Spent: b.spent, Withheld: b.withheld,
		Held: b.held, Available: b.available(), Holders: b.holders,
	}
}

// Balances returns the amounts of all budgets, sorted by name.
func (p *Partition) Balances() []Balance {
	out := make([]Balance, 0, len(p.budgets))
	for name := range p.budgets {
		out = append(out, p.Balance(name))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

// UnitsByHolder returns the units of a budget that each holder has.
func (p *Partition) UnitsByHolder(name string) map[RouterID]cicadabudget.Units {
	out := make(map[RouterID]cicadabudget.Units)
	for id, h := range p.holders {
		if h.held[name] > 0 {
			out[id] = h.held[name]
		}
	}
	return out
}

// Holdings returns the units that a holder has, sorted by budget.
func (p *Partition) Holdings(id RouterID) []Amount {
	h, ok := p.holders[id]
	if !ok {
		return nil
	}
	return amounts(h.held)
}

// RecoveryOperation returns the operation that recovers an ended holder's units of
// a budget. Units that it lent move to the borrowers, units that it used without a
// bill are withheld, and the rest is returned.
func (p *Partition) RecoveryOperation(id RouterID, name string, used cicadabudget.Units, loans []Loan) Operation {
	h, ok := p.holders[id]
	if !ok {
		return Operation{Holder: id}
	}
	op := Operation{Holder: id, Result: ExchangeResult{Seq: h.seq}, SessionEnded: true}
	left := h.held[name]
	for _, m := range loans {
		if !h.appliedLoans[m.ID] && m.Budget == name && m.Units <= left {
			op.Loans = append(op.Loans, m)
			left -= m.Units
		}
	}
	withheld := min(left, max(0, used-h.billed[name]))
	if rest := left - withheld; rest > 0 {
		op.Returns = []Amount{{Budget: name, Units: rest}}
	}
	if withheld > 0 {
		op.Bills = []Bill{{RequestID: id.RequestID(0), Budget: name, Withheld: withheld, Outcome: OutcomeInterrupted}}
	}
	return op
}

// amounts converts a map to a list sorted by budget.
func amounts(m map[string]cicadabudget.Units) []Amount {
	out := make([]Amount, 0, len(m))
	for name, units := range m {
		out = append(out, Amount{Budget: name, Units: units})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

// Holders returns the holders that have units or an open session.
func (p *Partition) Holders() []RouterID {
	out := make([]RouterID, 0, len(p.holders))
	for id := range p.holders {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Host != out[j].Host {
			return out[i].Host < out[j].Host
		}
		return out[i].Incarnation < out[j].Incarnation
	})
	return out
}

func (p *Partition) ensureBudget(name string) *budget {
	b, ok := p.budgets[name]
	if !ok {
		b = &budget{}
		p.budgets[name] = b
	}
	return b
}

// lookupBudget returns a budget for reading. For an unknown budget it returns an
// empty one without adding it to the partition.
func (p *Partition) lookupBudget(name string) *budget {
	if b, ok := p.budgets[name]; ok {
		return b
	}
	return &budget{}
}

func (p *Partition) ensureHolder(id RouterID) *holderState {
	h, ok := p.holders[id]
	if !ok {
		h = &holderState{held: make(map[string]cicadabudget.Units), billed: make(map[string]cicadabudget.Units), appliedLoans: make(map[uint64]bool)}
		p.holders[id] = h
	}
	return h
}

func (b *budget) available() cicadabudget.Units {
	return b.allotted - b.spent - b.withheld - b.held
}

// Shortfalls returns, for each unit request of x that exceeds the available units,
// the number of missing units.
func (p *Partition) Shortfalls(x *Exchange) []Amount {
	var out []Amount
	for _, a := range x.UnitRequests {
		want := max(a.Min, a.Want)
		if have := p.lookupBudget(a.Budget).available(); want > have {
			out = append(out, Amount{Budget: a.Budget, Units: want - have})
		}
	}
	return out
}

// RecordedResult returns the recorded result if x repeats the holder's last
// exchange, and nil if x is the next exchange. For an older number, or one that
// skips others, it returns ErrOutOfOrder.
func (p *Partition) RecordedResult(x *Exchange) (*ExchangeResult, error) {
	h, ok := p.holders[x.Holder]
	switch {
	case !ok && x.Seq == 1:
		return nil, nil //nolint:nilnil // a first exchange has no result yet
	case !ok:
		return nil, errors.Wrapf(ErrOutOfOrder, "first exchange of router %s has number %d, want 1", x.Holder.Host, x.Seq)
	case x.Seq == h.seq && h.seq > 0:
		last := h.lastResult
		return &last, nil
	case x.Seq == h.seq+1:
		return nil, nil //nolint:nilnil // the next exchange has no result yet
	default:
		return nil, errors.Wrapf(ErrOutOfOrder, "last exchange has number %d, got number %d", h.seq, x.Seq)
	}
}
