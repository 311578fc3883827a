package cicadaledger

import (
	"sort"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/pkg/errors"
)

// Errors of the ledger. An ErrCorrupt means that a record breaks an invariant.
var (
	ErrOutOfOrder  = errors.New("exchange out of order")
	ErrBadExchange = errors.New("exchange gives up what its holder does not have")
	ErrCorrupt     = errors.New("ledger record breaks an invariant")
)

const (
	// maxReplays bounds how often a billed idempotent request may run again
	// for a caller that lost its answer.
	maxReplays = 3
	// scarceShare divides what is available among the holders of a budget.
	scarceShare = 2
)

type (
	// Config sets up an empty partition.
	Config struct {
		ID        PartitionID
		KeyWindow time.Duration // how long request keys are remembered
		// RunWindow is the longest time a request may run. A claim that is
		// older and not billed has lost its router.
		RunWindow time.Duration
	}

	// Partition is the state of one partition in one region. It is not safe
	// for concurrent use.
	Partition struct {
		cfg         Config
		incarnation uint64
		seq         uint64
		budgets     map[string]*budget
		holders     map[Holder]*holder
		keys        map[string]*key
		gone        map[Holder]bool
		staged      []Step
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
		last   Answer
		held   map[string]cicadabudget.Units
		billed map[string]cicadabudget.Units // spent and withheld by its bills
		moved  map[uint64]bool               // its loans that took effect
	}

	key struct {
		requestID   string
		fingerprint string
		holder      Holder
		at          time.Time
		once        bool
		billed      bool
		lost        bool // the router could not learn the outcome
		replays     int
	}

	// Figures are the amounts of one budget in this region.
	Figures struct {
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
		holders: make(map[Holder]*holder),
		keys:    make(map[string]*key),
		gone:    make(map[Holder]bool),
	}
}

// MarkGone notes that a holder's process has ended for certain. It changes who
// may run a request again, never who holds units.
func (p *Partition) MarkGone(id Holder) { p.gone[id] = true }

// KnowsKey tells whether a request key is in the state.
func (p *Partition) KnowsKey(name string) bool {
	_, ok := p.keys[name]
	return ok
}

// LoadKey adds a key that was read from its own row.
func (p *Partition) LoadKey(kc KeyCheckpoint) {
	p.keys[kc.Key] = &key{
		requestID: kc.RequestID, fingerprint: kc.Fingerprint, holder: kc.Holder,
		at: kc.At, once: kc.Once, billed: kc.Billed, lost: kc.Lost, replays: kc.Replays,
	}
}

// Seq returns the number of the last batch in the state.
func (p *Partition) Seq() uint64 { return p.seq }

// Incarnation returns the incarnation of the home that wrote the last batch.
func (p *Partition) Incarnation() uint64 { return p.incarnation }

// Figures returns the amounts of one budget.
func (p *Partition) Figures(name string) Figures {
	b := p.peek(name)
	return Figures{
		Budget: name, Allotted: b.allotted, Spent: b.spent, Withheld: b.withheld,
		Held: b.held, Available: b.available(), Holders: b.holders,
	}
}

// AllFigures returns the amounts of every budget, by name.
func (p *Partition) AllFigures() []Figures {
	out := make([]Figures, 0, len(p.budgets))
	for name := range p.budgets {
		out = append(out, p.Figures(name))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	return out
}

// HeldBy returns what each holder holds of a budget.
func (p *Partition) HeldBy(name string) map[Holder]cicadabudget.Units {
	out := make(map[Holder]cicadabudget.Units)
	for id, h := range p.holders {
		if h.held[name] > 0 {
			out[id] = h.held[name]
		}
	}
	return out
}

// Holdings lists what a holder holds, by budget.
func (p *Partition) Holdings(id Holder) []Amount {
	h, ok := p.holders[id]
	if !ok {
		return nil
	}
	return amounts(h.held)
}

// EndStep returns the step that ends an ended holder's claim on a budget: what it
// lent moves to the borrowers, what it used without a bill is withheld, and the
// rest is given back.
func (p *Partition) EndStep(id Holder, name string, used cicadabudget.Units, loans []Move) Step {
	h, ok := p.holders[id]
	if !ok {
		return Step{Holder: id}
	}
	s := Step{Holder: id, Answer: Answer{Seq: h.seq}, Gone: true}
	left := h.held[name]
	for _, m := range loans {
		if !h.moved[m.ID] && m.Budget == name && m.Units <= left {
			s.Moves = append(s.Moves, m)
			left -= m.Units
		}
	}
	withheld := min(left, max(0, used-h.billed[name]))
	if rest := left - withheld; rest > 0 {
		s.Returns = []Amount{{Budget: name, Units: rest}}
	}
	if withheld > 0 {
		s.Bills = []Bill{{RequestID: id.RequestID(0), Budget: name, Withheld: withheld, Outcome: OutcomeCut}}
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
func (p *Partition) Holders() []Holder {
	out := make([]Holder, 0, len(p.holders))
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

func (p *Partition) holder(id Holder) *holder {
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

// Shortfall returns by how much the asks of x exceed what is available, for
// each budget that is short.
func (p *Partition) Shortfall(x *Exchange) []Amount {
	var out []Amount
	for _, a := range x.Asks {
		want := max(a.Min, a.Want)
		if have := p.peek(a.Budget).available(); want > have {
			out = append(out, Amount{Budget: a.Budget, Units: want - have})
		}
	}
	return out
}

// Known returns the recorded answer if x repeats the holder's last exchange.
// An older or skipped number is ErrOutOfOrder.
func (p *Partition) Known(x *Exchange) (*Answer, error) {
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

// Decide works out the effect of x on the present state. It changes nothing:
// the step takes effect by Apply with its batch.
func (p *Partition) Decide(x *Exchange, isDry func(budget string) bool, now time.Time) Step {
	s := Step{Holder: x.Holder, Returns: x.Returns, Moves: x.Moves, Answer: Answer{Seq: x.Seq}, Gone: x.Closing}
	freed := make(map[string]cicadabudget.Units)
	for _, r := range x.Returns {
		freed[r.Budget] += r.Units
	}
	seen := make(map[string]string)
	for _, b := range x.Bills {
		b = p.decideBill(b, seen)
		if b.Voided {
			s.Answer.Credits = append(s.Answer.Credits, Amount{Budget: b.Budget, Units: b.Units + b.Withheld})
		}
		s.Bills = append(s.Bills, b)
	}
	claimed := make(map[string]*key)
	for _, c := range x.Claims {
		v := p.decideClaim(c, x.Holder, claimed, now)
		s.Answer.Verdicts = append(s.Answer.Verdicts, v)
		if v.State == KeyGranted {
			s.Claims = append(s.Claims, c)
		}
	}
	p.decideGrants(x, freed, isDry, &s.Answer)
	return s
}

func (p *Partition) decideBill(b Bill, seen map[string]string) Bill {
	if b.Key == "" || b.clearsClaim() {
		return b
	}
	first := seen[b.Key]
	if k, ok := p.keys[b.Key]; ok && k.billed {
		first = k.requestID
	}
	if first == "" {
		seen[b.Key] = b.RequestID
		return b
	}
	b.Voided = true
	b.FirstRequestID = first
	return b
}

func (p *Partition) decideClaim(c Claim, by Holder, claimed map[string]*key, now time.Time) Verdict {
	k := claimed[c.Key]
	if k == nil {
		k = p.keys[c.Key]
	}
	granted := Verdict{State: KeyGranted}
	if k == nil {
		claimed[c.Key] = &key{requestID: c.RequestID, fingerprint: c.Fingerprint, holder: by, once: c.Once, at: now}
		return granted
	}
	v := Verdict{Key: c.Key, RequestID: k.requestID, Holder: k.holder, State: KeyRunning}
	lost := k.lost || now.Sub(k.at) > p.cfg.RunWindow || p.gone[k.holder]
	switch {
	case k.requestID == c.RequestID:
		return granted
	case k.fingerprint != c.Fingerprint:
		v.State = KeyMismatch
	case k.billed && c.Rerun && !k.once && k.replays < maxReplays:
		return granted
	case k.billed:
		v.State = KeyBilled
	case lost && k.once:
		v.State = KeyUnknown
	case lost:
		return granted
	}
	return v
}

// Look tells what the ledger knows of a claim, without recording it.
func (p *Partition) Look(c Claim, by Holder, now time.Time) Verdict {
	return p.decideClaim(c, by, make(map[string]*key), now)
}

// NoteRerun counts a run, at no charge, of a request that is billed already.
func (p *Partition) NoteRerun(name string) {
	if k, ok := p.keys[name]; ok {
		k.replays++
	}
}

// IsBilled tells whether a request key has its bill.
func (p *Partition) IsBilled(name string) bool {
	k, ok := p.keys[name]
	return ok && k.billed
}

func (p *Partition) decideGrants(
	x *Exchange, freed map[string]cicadabudget.Units, isDry func(budget string) bool, a *Answer,
) {
	granted := make(map[string]cicadabudget.Units)
	for _, ask := range x.Asks {
		b := p.peek(ask.Budget)
		available := b.available() + freed[ask.Budget] - granted[ask.Budget]
		dry := isDry(ask.Budget)
		units := grant(ask, available, b.holders, dry)
		if units > 0 {
			granted[ask.Budget] += units
			a.Grants = append(a.Grants, Amount{Budget: ask.Budget, Units: units})
		}
		if units >= max(ask.Min, ask.Want) || (units > 0 && units >= ask.Min && !dry) {
			continue
		}
		var own cicadabudget.Units
		if h, ok := p.holders[x.Holder]; ok {
			own = h.held[ask.Budget]
		}
		a.Scarce = append(a.Scarce, Shortage{
			Budget:        ask.Budget,
			Remaining:     b.allotted - b.spent - b.withheld,
			HeldElsewhere: b.held - own,
			Final:         dry,
		})
	}
}

// grant shares what is available. While more can be allotted an ask is met as
// far as possible. Once the budget is dry a router gets a share, and near the
// end just what the waiting request lacks, so that the last units are not held
// by one router while another refuses.
func grant(ask Ask, available cicadabudget.Units, holders int, dry bool) cicadabudget.Units {
	want := max(ask.Min, ask.Want)
	if available <= 0 || ask.Min > available {
		return 0
	}
	if !dry {
		return min(want, available)
	}
	share := available / cicadabudget.Units(scarceShare*max(holders, 1))
	return max(ask.Min, min(share, want))
}
