package cicadaledger

import (
	"sort"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/pkg/errors"
)

// Errors of the ledger. An ErrCorrupt means that a record breaks an invariant.
var (
	ErrOutOfOrder      = errors.New("exchange out of order")
	ErrInvalidExchange = errors.New("exchange gives up what its holder does not have")
	ErrCorrupt         = errors.New("ledger record breaks an invariant")
)

type (
	// Config sets up an empty partition.
	Config struct {
		ID        PartitionID
		KeyWindow time.Duration // how long request keys are remembered
		// MaxRunTime is the longest time a request may run. A claim that is
		// older and not billed has lost its router.
		MaxRunTime time.Duration
	}

	// Partition is the state of one partition in one region. It is not safe
	// for concurrent use.
	Partition struct {
		cfg         Config
		incarnation uint64
		seq         uint64
		budgets     map[string]*budget
		holders     map[RouterID]*holder
		keys        map[string]*key
		gone        map[RouterID]bool
		staged      []Operation
		now         time.Time
	}

	budget struct {
		allotted cicadabudget.Units
		spent    cicadabudget.Units
		withheld cicadabudget.Units
		held     cicadabudget.Units // sum over holders
		holders  int                // holders with more than zero units
	}

	holder struct {
		seq    uint64
		last   ExchangeResult
		held   map[string]cicadabudget.Units
		billed map[string]cicadabudget.Units // spent and withheld by its bills
		moved  map[uint64]bool               // its loans that took effect
	}

	key struct {
		requestID   string
		fingerprint string
		holder      RouterID
		at          time.Time
		once        bool
		billed      bool
		lost        bool // the router could not learn the outcome
		replays     int
	}

	// Balance are the amounts of one budget in this region.
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
		holders: make(map[RouterID]*holder),
		keys:    make(map[string]*key),
		gone:    make(map[RouterID]bool),
	}
}

// MarkEnded notes that a holder's process has ended for certain. It changes who
// may run a request again, never who holds units.
func (p *Partition) MarkEnded(id RouterID) { p.gone[id] = true }

// HasKey tells whether a request key is in the state.
func (p *Partition) HasKey(name string) bool {
	_, ok := p.keys[name]
	return ok
}

// LoadKey adds a key that was read from its own row.
func (p *Partition) LoadKey(kc KeyCheckpoint) {
	p.keys[kc.Key] = &key{
		requestID: kc.RequestID, fingerprint: kc.Fingerprint, holder: kc.Holder,
		at: kc.UpdatedAt, once: kc.AtMostOnce, billed: kc.Billed, lost: kc.OutcomeUnknown, replays: kc.Reruns,
	}
}

// Seq returns the number of the last batch in the state.
func (p *Partition) Seq() uint64 { return p.seq }

// Incarnation returns the incarnation of the home that wrote the last batch.
func (p *Partition) Incarnation() uint64 { return p.incarnation }

// Balance returns the amounts of one budget.
func (p *Partition) Balance(name string) Balance {
	b := p.peek(name)
	return Balance{
		Budget: name, Allotted: b.allotted, Spent: b.spent, Withheld: b.withheld,
		Held: b.held, Available: b.available(), Holders: b.holders,
	}
}

// Balances returns the amounts of every budget, by name.
func (p *Partition) Balances() []Balance {
	out := make([]Balance, 0, len(p.budgets))
	for name := range p.budgets {
		out = append(out, p.Balance(name))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

// UnitsByHolder returns what each holder holds of a budget.
func (p *Partition) UnitsByHolder(name string) map[RouterID]cicadabudget.Units {
	out := make(map[RouterID]cicadabudget.Units)
	for id, h := range p.holders {
		if h.held[name] > 0 {
			out[id] = h.held[name]
		}
	}
	return out
}

// Holdings lists what a holder holds, by budget.
func (p *Partition) Holdings(id RouterID) []Amount {
	h, ok := p.holders[id]
	if !ok {
		return nil
	}
	return amounts(h.held)
}

// RecoveryOperation returns the step that ends an ended holder's claim on a budget: what it
// lent moves to the borrowers, what it used without a bill is withheld, and the
// rest is given back.
func (p *Partition) RecoveryOperation(id RouterID, name string, used cicadabudget.Units, loans []Loan) Operation {
	h, ok := p.holders[id]
	if !ok {
		return Operation{Holder: id}
	}
	s := Operation{Holder: id, Result: ExchangeResult{Seq: h.seq}, SessionEnded: true}
	left := h.held[name]
	for _, m := range loans {
		if !h.moved[m.ID] && m.Budget == name && m.Units <= left {
			s.Loans = append(s.Loans, m)
			left -= m.Units
		}
	}
	withheld := min(left, max(0, used-h.billed[name]))
	if rest := left - withheld; rest > 0 {
		s.Returns = []Amount{{Budget: name, Units: rest}}
	}
	if withheld > 0 {
		s.Bills = []Bill{{RequestID: id.RequestID(0), Budget: name, Withheld: withheld, Outcome: OutcomeInterrupted}}
	}
	return s
}

// amounts lists a map by budget.
func amounts(m map[string]cicadabudget.Units) []Amount {
	out := make([]Amount, 0, len(m))
	for name, units := range m {
		out = append(out, Amount{Budget: name, Units: units})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

// Holders lists the holders with units or an unclosed session.
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

func (p *Partition) budget(name string) *budget {
	b, ok := p.budgets[name]
	if !ok {
		b = &budget{}
		p.budgets[name] = b
	}
	return b
}

// peek returns a budget for reading. A budget that was never allotted is empty,
// and asking for it leaves nothing behind.
func (p *Partition) peek(name string) *budget {
	if b, ok := p.budgets[name]; ok {
		return b
	}
	return &budget{}
}

func (p *Partition) holder(id RouterID) *holder {
	h, ok := p.holders[id]
	if !ok {
		h = &holder{held: make(map[string]cicadabudget.Units), billed: make(map[string]cicadabudget.Units), moved: make(map[uint64]bool)}
		p.holders[id] = h
	}
	return h
}

func (b *budget) available() cicadabudget.Units {
	return b.allotted - b.spent - b.withheld - b.held
}

// Shortfalls returns by how much the asks of x exceed what is available, for
// each budget that is short.
func (p *Partition) Shortfalls(x *Exchange) []Amount {
	var out []Amount
	for _, a := range x.UnitRequests {
		want := max(a.Min, a.Want)
		if have := p.peek(a.Budget).available(); want > have {
			out = append(out, Amount{Budget: a.Budget, Units: want - have})
		}
	}
	return out
}

// RecordedResult returns the recorded answer if x repeats the holder's last exchange.
// An older or skipped number is ErrOutOfOrder.
func (p *Partition) RecordedResult(x *Exchange) (*ExchangeResult, error) {
	h, ok := p.holders[x.Holder]
	switch {
	case !ok && x.Seq == 1:
		return nil, nil //nolint:nilnil // a first exchange has no answer yet
	case !ok:
		return nil, errors.Wrapf(ErrOutOfOrder, "first exchange of %s has number %d", x.Holder.Host, x.Seq)
	case x.Seq == h.seq && h.seq > 0:
		last := h.last
		return &last, nil
	case x.Seq == h.seq+1:
		return nil, nil //nolint:nilnil // the next exchange has no answer yet
	default:
		return nil, errors.Wrapf(ErrOutOfOrder, "have %d, got %d", h.seq, x.Seq)
	}
}
