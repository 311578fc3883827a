package cicadaledger

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

type (
	// Checkpoint is the whole state of a partition after batch Seq.
	Checkpoint struct {
		Incarnation uint64             `cbor:"1,keyasint"`
		Seq         uint64             `cbor:"2,keyasint"`
		Time        time.Time          `cbor:"3,keyasint"`
		Budgets     []BudgetCheckpoint `cbor:"4,keyasint"`
		Holders     []HolderCheckpoint `cbor:"5,keyasint"`
		Keys        []KeyCheckpoint    `cbor:"6,keyasint"`
	}

	// BudgetCheckpoint is one budget of a checkpoint.
	BudgetCheckpoint struct {
		Budget   string             `cbor:"1,keyasint"`
		Allotted cicadabudget.Units `cbor:"2,keyasint"`
		Spent    cicadabudget.Units `cbor:"3,keyasint"`
		Withheld cicadabudget.Units `cbor:"4,keyasint"`
	}

	// HolderCheckpoint is one holder of a checkpoint.
	HolderCheckpoint struct {
		Holder       RouterID       `cbor:"1,keyasint"`
		LastResult   ExchangeResult `cbor:"2,keyasint"`
		Held         []Amount       `cbor:"3,keyasint"`
		Billed       []Amount       `cbor:"4,keyasint"`
		AppliedLoans []uint64       `cbor:"5,keyasint,omitempty"`
	}

	// KeyCheckpoint is one request key of a checkpoint.
	KeyCheckpoint struct {
		Key            string    `cbor:"1,keyasint"`
		RequestID      string    `cbor:"2,keyasint"`
		Fingerprint    string    `cbor:"3,keyasint"`
		Holder         RouterID  `cbor:"4,keyasint"`
		UpdatedAt      time.Time `cbor:"5,keyasint"`
		AtMostOnce     bool      `cbor:"6,keyasint"`
		Billed         bool      `cbor:"7,keyasint"`
		Reruns         int       `cbor:"8,keyasint"`
		OutcomeUnknown bool      `cbor:"9,keyasint"`
	}
)

// Apply adds a batch that was read from the log, or committed without having
// been staged. Batches come in the order of their numbers.
func (p *Partition) Apply(b *Batch) error {
	if b.Seq != p.seq+1 || b.Incarnation < p.incarnation || len(p.staged) > 0 {
		return errors.Wrapf(ErrCorrupt, "batch %d of incarnation %d after %d of %d",
			b.Seq, b.Incarnation, p.seq, p.incarnation)
	}
	p.seq = b.Seq
	p.incarnation = b.Incarnation
	p.now = b.Time
	for _, a := range b.Allotments {
		p.budget(a.Budget).allotted += a.Units
	}
	for i := range b.Operations {
		if err := p.applyStep(&b.Operations[i], b.Time); err != nil {
			return err
		}
	}
	p.expireKeys()
	return nil
}

// Stage decides x and applies the step ahead of its commit. The answer may be
// told only once the batch that Cut returns is committed; if that fails, the
// whole partition has to be dropped and read again. IsDry tells whether a budget
// has nothing left to allot.
func (p *Partition) Stage(x *Exchange, isDry func(budget string) bool, now time.Time) (ExchangeResult, error) {
	if err := p.check(x); err != nil {
		return ExchangeResult{}, err
	}
	return p.StageOperation(p.Decide(x, isDry, now), now)
}

// check refuses an exchange that gives up more than its holder has.
func (p *Partition) check(x *Exchange) error {
	left := make(map[string]cicadabudget.Units)
	if h, ok := p.holders[x.Holder]; ok {
		maps.Copy(left, h.held)
	}
	take := func(budget string, units cicadabudget.Units) error {
		rest, err := left[budget].Sub(units)
		if err != nil {
			return errors.Wrapf(ErrInvalidExchange, "%s gives up %d of %s and holds %d",
				x.Holder.Host, units, budget, left[budget])
		}
		left[budget] = rest
		return nil
	}
	if err := p.checkMoves(x, left); err != nil {
		return err
	}
	for _, r := range x.Returns {
		if err := take(r.Budget, r.Units); err != nil {
			return err
		}
	}
	for _, b := range x.Bills {
		total, err := b.Units.Add(b.Withheld)
		if err != nil {
			return errors.Wrapf(ErrInvalidExchange, "bill of %s: %v", b.RequestID, err)
		}
		if err := take(b.Budget, total); err != nil {
			return err
		}
	}
	return nil
}

// checkMoves refuses loans that their lender cannot cover, and works their effect
// into what the holder of x has left.
func (p *Partition) checkMoves(x *Exchange, left map[string]cicadabudget.Units) error {
	lent := make(map[RouterID]map[string]cicadabudget.Units)
	for i := range x.Loans {
		m := &x.Loans[i]
		from, ok := p.holders[m.From]
		if !ok || from.moved[m.ID] {
			continue
		}
		if lent[m.From] == nil {
			lent[m.From] = make(map[string]cicadabudget.Units)
		}
		lent[m.From][m.Budget] += m.Units
		party := m.From == x.Holder || m.To == x.Holder
		if m.Units <= 0 || !party || m.From == m.To || lent[m.From][m.Budget] > from.held[m.Budget] {
			return errors.Wrapf(ErrInvalidExchange, "loan of %d of %s by %s", m.Units, m.Budget, m.From.Host)
		}
		if m.To == x.Holder {
			left[m.Budget] += m.Units
		} else {
			left[m.Budget] -= m.Units
		}
	}
	return nil
}

// StageOperation applies a step that the home made itself, such as the return of a
// dead holder's units.
func (p *Partition) StageOperation(s Operation, now time.Time) (ExchangeResult, error) {
	if err := p.applyStep(&s, now); err != nil {
		return ExchangeResult{}, err
	}
	p.staged = append(p.staged, s)
	return s.Result, nil
}

// SealBatch returns the staged steps as the next batch, or nil if there are none.
func (p *Partition) SealBatch(incarnation uint64, now time.Time) *Batch {
	if len(p.staged) == 0 {
		return nil
	}
	p.seq++
	p.incarnation = incarnation
	p.now = now
	b := &Batch{Partition: p.cfg.ID, Incarnation: incarnation, Seq: p.seq, Time: now, Operations: p.staged}
	p.staged = nil
	p.expireKeys()
	return b
}

// AllotmentBatch returns a batch that raises allotments. It takes effect by Apply,
// after its commit.
func (p *Partition) AllotmentBatch(incarnation uint64, allots []Amount, now time.Time) *Batch {
	return &Batch{Partition: p.cfg.ID, Incarnation: incarnation, Seq: p.seq + 1, Time: now, Allotments: allots}
}

func (p *Partition) applyStep(s *Operation, at time.Time) error {
	h := p.holder(s.Holder)
	for i := range s.Loans {
		if err := p.applyMove(&s.Loans[i]); err != nil {
			return err
		}
	}
	for _, r := range s.Returns {
		if err := p.move(h, r.Budget, -r.Units); err != nil {
			return errors.Wrapf(err, "return by %s", s.Holder.Host)
		}
	}
	for i := range s.Bills {
		if err := p.applyBill(h, &s.Bills[i], s.Holder, at); err != nil {
			return err
		}
	}
	for _, c := range s.Claims {
		p.applyClaim(c, s.Holder, at)
	}
	for _, g := range s.Result.Grants {
		if err := p.move(h, g.Budget, g.Units); err != nil {
			return errors.Wrapf(err, "grant to %s", s.Holder.Host)
		}
	}
	h.seq = s.Result.Seq
	h.last = s.Result
	if s.SessionEnded && len(h.held) == 0 {
		delete(p.holders, s.Holder)
	}
	return nil
}

// applyMove moves lent units, once. A lender that is not there any more has had
// its loans recorded when its session ended.
func (p *Partition) applyMove(m *Loan) error {
	from, ok := p.holders[m.From]
	if !ok || from.moved[m.ID] {
		return nil
	}
	from.moved[m.ID] = true
	if err := p.move(from, m.Budget, -m.Units); err != nil {
		return errors.Wrapf(err, "loan by %s", m.From.Host)
	}
	return errors.Wrapf(p.move(p.holder(m.To), m.Budget, m.Units), "loan to %s", m.To.Host)
}

func (p *Partition) applyClaim(c Claim, by RouterID, at time.Time) {
	k, ok := p.keys[c.Key]
	switch {
	case !ok:
		p.keys[c.Key] = &key{requestID: c.RequestID, fingerprint: c.Fingerprint, holder: by, at: at, once: c.AtMostOnce}
	case k.billed:
		k.replays++
		k.at = at
	default:
		k.requestID, k.holder, k.at = c.RequestID, by, at
	}
}

func (p *Partition) applyBill(h *holder, bill *Bill, by RouterID, at time.Time) error {
	if bill.Voided {
		return nil
	}
	total, err := bill.Units.Add(bill.Withheld)
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "bill of %s: %v", bill.RequestID, err)
	}
	if err := p.move(h, bill.Budget, -total); err != nil {
		return errors.Wrapf(err, "bill of %s", bill.RequestID)
	}
	if total > 0 {
		h.billed[bill.Budget] += total
	}
	b := p.budget(bill.Budget)
	b.spent += bill.Units
	b.withheld += bill.Withheld
	if bill.Key != "" {
		p.applyBilledKey(bill, by, at)
	}
	return nil
}

func (p *Partition) applyBilledKey(bill *Bill, by RouterID, at time.Time) {
	k, ok := p.keys[bill.Key]
	if bill.clearsClaim() {
		if ok && !k.billed && k.requestID == bill.RequestID {
			delete(p.keys, bill.Key)
		}
		return
	}
	if !ok {
		k = &key{}
		p.keys[bill.Key] = k
	}
	k.requestID, k.holder, k.at = bill.RequestID, by, at
	k.fingerprint = bill.Fingerprint
	k.once = k.once || bill.AtMostOnce
	k.billed = bill.Outcome != OutcomeUnknown
	k.lost = !k.billed
}

// move changes what a holder has of a budget by units, which may be negative.
func (p *Partition) move(h *holder, name string, units cicadabudget.Units) error {
	b := p.peek(name)
	before := h.held[name]
	after := before + units
	if after < 0 || units > b.available() {
		return errors.Wrapf(ErrCorrupt, "budget %s: holder has %d, available %d, change %d",
			name, before, b.available(), units)
	}
	b.held += units
	h.held[name] = after
	if after == 0 {
		delete(h.held, name)
	}
	switch {
	case before == 0 && after > 0:
		b.holders++
	case before > 0 && after == 0:
		b.holders--
	}
	return nil
}

func (p *Partition) expireKeys() {
	if len(p.keys) == 0 || p.seq%keyExpiryBatches != 0 {
		return
	}
	for name, k := range p.keys {
		if p.now.Sub(k.at) > p.cfg.KeyWindow {
			delete(p.keys, name)
		}
	}
}

// keyExpiryBatches is the number of batches between two searches for old keys.
const keyExpiryBatches = 64

// Checkpoint returns the whole state.
func (p *Partition) Checkpoint() *Checkpoint {
	c := &Checkpoint{Incarnation: p.incarnation, Seq: p.seq, Time: p.now}
	for _, f := range p.Balances() {
		c.Budgets = append(c.Budgets, BudgetCheckpoint{
			Budget: f.Budget, Allotted: f.Allotted, Spent: f.Spent, Withheld: f.Withheld,
		})
	}
	for _, id := range p.Holders() {
		h := p.holders[id]
		c.Holders = append(c.Holders, HolderCheckpoint{
			Holder: id, LastResult: h.last, Held: amounts(h.held), Billed: amounts(h.billed),
			AppliedLoans: slices.Sorted(maps.Keys(h.moved)),
		})
	}
	for name, k := range p.keys {
		c.Keys = append(c.Keys, KeyCheckpoint{
			Key: name, RequestID: k.requestID, Fingerprint: k.fingerprint, Holder: k.holder,
			UpdatedAt: k.at, AtMostOnce: k.once, Billed: k.billed, OutcomeUnknown: k.lost, Reruns: k.replays,
		})
	}
	return c
}

// Restore returns the partition that c was taken of.
func Restore(cfg Config, c *Checkpoint) (*Partition, error) {
	p := New(cfg)
	p.incarnation, p.seq, p.now = c.Incarnation, c.Seq, c.Time
	for _, bc := range c.Budgets {
		b := p.budget(bc.Budget)
		b.allotted, b.spent, b.withheld = bc.Allotted, bc.Spent, bc.Withheld
	}
	for _, hc := range c.Holders {
		h := p.holder(hc.Holder)
		h.seq, h.last = hc.LastResult.Seq, hc.LastResult
		for _, a := range hc.Billed {
			h.billed[a.Budget] = a.Units
		}
		for _, id := range hc.AppliedLoans {
			h.moved[id] = true
		}
		for _, a := range hc.Held {
			if err := p.move(h, a.Budget, a.Units); err != nil {
				return nil, errors.Wrap(err, "restore checkpoint")
			}
		}
	}
	for _, kc := range c.Keys {
		p.LoadKey(kc)
	}
	return p, nil
}

// EncodeCheckpoint returns c in the form kept in the object store.
func EncodeCheckpoint(c *Checkpoint) ([]byte, error) {
	data, err := encoding.Marshal(c)
	return data, errors.Wrap(err, "encode checkpoint")
}

// DecodeCheckpoint reads what EncodeCheckpoint wrote.
func DecodeCheckpoint(data []byte) (*Checkpoint, error) {
	var c Checkpoint
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode checkpoint")
	}
	return &c, nil
}
