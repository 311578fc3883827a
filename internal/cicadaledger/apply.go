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
	// Checkpoint is the complete state of a partition after batch Seq.
	Checkpoint struct {
		Incarnation uint64             `cbor:"1,keyasint"`
		Seq         uint64             `cbor:"2,keyasint"`
		Time        time.Time          `cbor:"3,keyasint"`
		Budgets     []BudgetCheckpoint `cbor:"4,keyasint"`
		Holders     []HolderCheckpoint `cbor:"5,keyasint"`
		Keys        []KeyCheckpoint    `cbor:"6,keyasint"`
	}

	// BudgetCheckpoint is the state of one budget in a checkpoint.
	BudgetCheckpoint struct {
		Budget   string             `cbor:"1,keyasint"`
		Allotted cicadabudget.Units `cbor:"2,keyasint"`
		Spent    cicadabudget.Units `cbor:"3,keyasint"`
		Withheld cicadabudget.Units `cbor:"4,keyasint"`
	}

	// HolderCheckpoint is the state of one holder in a checkpoint.
	HolderCheckpoint struct {
		Holder       RouterID       `cbor:"1,keyasint"`
		LastResult   ExchangeResult `cbor:"2,keyasint"`
		Held         []Amount       `cbor:"3,keyasint"`
		Billed       []Amount       `cbor:"4,keyasint"`
		AppliedLoans []uint64       `cbor:"5,keyasint,omitempty"`
	}

	// KeyCheckpoint is the state of one request key in a checkpoint.
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

// Apply applies a batch that was read from the log, or that was committed
// without being staged. Batches must be applied in the order of their numbers.
func (p *Partition) Apply(b *Batch) error {
	if b.Seq != p.seq+1 || b.Incarnation < p.incarnation || len(p.staged) > 0 {
		return errors.Wrapf(ErrCorrupt, "batch %d (incarnation %d) cannot be applied after batch %d (incarnation %d)",
			b.Seq, b.Incarnation, p.seq, p.incarnation)
	}
	p.seq = b.Seq
	p.incarnation = b.Incarnation
	p.now = b.Time
	for _, a := range b.Allotments {
		p.ensureBudget(a.Budget).allotted += a.Units
	}
	for i := range b.Operations {
		if err := p.applyOperation(&b.Operations[i], b.Time); err != nil {
			return err
		}
	}
	p.expireKeys()
	return nil
}

// Stage decides x and applies the operation before it is committed. The result
// must not be sent before the batch returned by SealBatch is committed. If that
// commit fails, the partition must be dropped and read again. isFullyAllotted
// reports whether nothing of a budget is left to allot.
func (p *Partition) Stage(x *Exchange, isFullyAllotted func(budget string) bool, now time.Time) (ExchangeResult, error) {
	if err := p.checkExchange(x); err != nil {
		return ExchangeResult{}, err
	}
	return p.StageOperation(p.Decide(x, isFullyAllotted, now), now)
}

// checkExchange rejects an exchange that gives up more units than its holder has.
func (p *Partition) checkExchange(x *Exchange) error {
	remaining := make(map[string]cicadabudget.Units)
	if h, ok := p.holders[x.Holder]; ok {
		maps.Copy(remaining, h.held)
	}
	deduct := func(budget string, units cicadabudget.Units) error {
		rest, err := remaining[budget].Sub(units)
		if err != nil {
			return errors.Wrapf(ErrInvalidExchange, "router %s gives up %d units of budget %s and holds %d",
				x.Holder.Host, units, budget, remaining[budget])
		}
		remaining[budget] = rest
		return nil
	}
	if err := p.checkLoans(x, remaining); err != nil {
		return err
	}
	for _, r := range x.Returns {
		if err := deduct(r.Budget, r.Units); err != nil {
			return err
		}
	}
	for _, b := range x.Bills {
		total, err := b.Units.Add(b.Withheld)
		if err != nil {
			return errors.Wrapf(ErrInvalidExchange, "bill for request %s: %v", b.RequestID, err)
		}
		if err := deduct(b.Budget, total); err != nil {
			return err
		}
	}
	return nil
}

// checkLoans rejects loans that their lender cannot cover, and adds their effect
// to the remaining units of the holder of x.
func (p *Partition) checkLoans(x *Exchange, remaining map[string]cicadabudget.Units) error {
	lent := make(map[RouterID]map[string]cicadabudget.Units)
	for i := range x.Loans {
		loan := &x.Loans[i]
		lender, ok := p.holders[loan.From]
		if !ok || lender.appliedLoans[loan.ID] {
			continue
		}
		if lent[loan.From] == nil {
			lent[loan.From] = make(map[string]cicadabudget.Units)
		}
		lent[loan.From][loan.Budget] += loan.Units
		involved := loan.From == x.Holder || loan.To == x.Holder
		if loan.Units <= 0 || !involved || loan.From == loan.To || lent[loan.From][loan.Budget] > lender.held[loan.Budget] {
			return errors.Wrapf(ErrInvalidExchange, "loan of %d units of budget %s by router %s", loan.Units, loan.Budget, loan.From.Host)
		}
		if loan.To == x.Holder {
			remaining[loan.Budget] += loan.Units
		} else {
			remaining[loan.Budget] -= loan.Units
		}
	}
	return nil
}

// StageOperation stages an operation that the home created itself, such as the
// recovery of units from an ended router process.
func (p *Partition) StageOperation(op Operation, now time.Time) (ExchangeResult, error) {
	if err := p.applyOperation(&op, now); err != nil {
		return ExchangeResult{}, err
	}
	p.staged = append(p.staged, op)
	return op.Result, nil
}

// SealBatch returns the staged operations as the next batch, or nil if there are
// none.
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

// AllotmentBatch returns a batch that raises allotments. The caller applies it
// with Apply after committing it.
func (p *Partition) AllotmentBatch(incarnation uint64, allots []Amount, now time.Time) *Batch {
	return &Batch{Partition: p.cfg.ID, Incarnation: incarnation, Seq: p.seq + 1, Time: now, Allotments: allots}
}

func (p *Partition) applyOperation(op *Operation, at time.Time) error {
	h := p.ensureHolder(op.Holder)
	for i := range op.Loans {
		if err := p.applyLoan(&op.Loans[i]); err != nil {
			return err
		}
	}
	for _, r := range op.Returns {
		if err := p.adjustHeld(h, r.Budget, -r.Units); err != nil {
			return errors.Wrapf(err, "return of units by router %s", op.Holder.Host)
		}
	}
	for i := range op.Bills {
		if err := p.applyBill(h, &op.Bills[i], op.Holder, at); err != nil {
			return err
		}
	}
	for _, c := range op.Claims {
		p.applyClaim(c, op.Holder, at)
	}
	for _, g := range op.Result.Grants {
		if err := p.adjustHeld(h, g.Budget, g.Units); err != nil {
			return errors.Wrapf(err, "grant of units to router %s", op.Holder.Host)
		}
	}
	h.seq = op.Result.Seq
	h.lastResult = op.Result
	if op.SessionEnded && len(h.held) == 0 {
		delete(p.holders, op.Holder)
	}
	return nil
}

// applyLoan moves lent units from the lender to the borrower, once for each loan.
// If the lender is unknown, its loans were recorded when its session ended.
func (p *Partition) applyLoan(loan *Loan) error {
	lender, ok := p.holders[loan.From]
	if !ok || lender.appliedLoans[loan.ID] {
		return nil
	}
	lender.appliedLoans[loan.ID] = true
	if err := p.adjustHeld(lender, loan.Budget, -loan.Units); err != nil {
		return errors.Wrapf(err, "loan by router %s", loan.From.Host)
	}
	return errors.Wrapf(p.adjustHeld(p.ensureHolder(loan.To), loan.Budget, loan.Units), "loan to router %s", loan.To.Host)
}

func (p *Partition) applyClaim(c Claim, holderID RouterID, at time.Time) {
	k, ok := p.keys[c.Key]
	switch {
	case !ok:
		p.keys[c.Key] = &key{requestID: c.RequestID, fingerprint: c.Fingerprint, holder: holderID, updatedAt: at, atMostOnce: c.AtMostOnce}
	case k.billed:
		k.reruns++
		k.updatedAt = at
	default:
		k.requestID, k.holder, k.updatedAt = c.RequestID, holderID, at
	}
}

func (p *Partition) applyBill(h *holderState, bill *Bill, holderID RouterID, at time.Time) error {
	if bill.Voided {
		return nil
	}
	total, err := bill.Units.Add(bill.Withheld)
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "bill for request %s: %v", bill.RequestID, err)
	}
	if err := p.adjustHeld(h, bill.Budget, -total); err != nil {
		return errors.Wrapf(err, "bill for request %s", bill.RequestID)
	}
	if total > 0 {
		h.billed[bill.Budget] += total
	}
	b := p.ensureBudget(bill.Budget)
	b.spent += bill.Units
	b.withheld += bill.Withheld
	if bill.Key != "" {
		p.recordBilledKey(bill, holderID, at)
	}
	return nil
}

func (p *Partition) recordBilledKey(bill *Bill, holderID RouterID, at time.Time) {
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
	k.requestID, k.holder, k.updatedAt = bill.RequestID, holderID, at
	k.fingerprint = bill.Fingerprint
	k.atMostOnce = k.atMostOnce || bill.AtMostOnce
	k.billed = bill.Outcome != OutcomeUnknown
	k.outcomeUnknown = !k.billed
}

// adjustHeld adds units, which may be negative, to what a holder has of a budget.
func (p *Partition) adjustHeld(h *holderState, name string, units cicadabudget.Units) error {
	b := p.lookupBudget(name)
	before := h.held[name]
	after := before + units
	if after < 0 || units > b.available() {
		return errors.Wrapf(ErrCorrupt, "budget %s: holder has %d units, %d are available, change is %d",
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
		if p.now.Sub(k.updatedAt) > p.cfg.KeyWindow {
			delete(p.keys, name)
		}
	}
}

// keyExpiryBatches is the number of batches after which expired keys are removed.
const keyExpiryBatches = 64

// Checkpoint returns the complete state of the partition.
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
			Holder: id, LastResult: h.lastResult, Held: amounts(h.held), Billed: amounts(h.billed),
			AppliedLoans: slices.Sorted(maps.Keys(h.appliedLoans)),
		})
	}
	for name, k := range p.keys {
		c.Keys = append(c.Keys, KeyCheckpoint{
			Key: name, RequestID: k.requestID, Fingerprint: k.fingerprint, Holder: k.holder,
			UpdatedAt: k.updatedAt, AtMostOnce: k.atMostOnce, Billed: k.billed, OutcomeUnknown: k.outcomeUnknown, Reruns: k.reruns,
		})
	}
	return c
}

// Restore returns a partition with the state in c.
func Restore(cfg Config, c *Checkpoint) (*Partition, error) {
	p := New(cfg)
	p.incarnation, p.seq, p.now = c.Incarnation, c.Seq, c.Time
	for _, bc := range c.Budgets {
		b := p.ensureBudget(bc.Budget)
		b.allotted, b.spent, b.withheld = bc.Allotted, bc.Spent, bc.Withheld
	}
	for _, hc := range c.Holders {
		h := p.ensureHolder(hc.Holder)
		h.seq, h.lastResult = hc.LastResult.Seq, hc.LastResult
		for _, a := range hc.Billed {
			h.billed[a.Budget] = a.Units
		}
		for _, id := range hc.AppliedLoans {
			h.appliedLoans[id] = true
		}
		for _, a := range hc.Held {
			if err := p.adjustHeld(h, a.Budget, a.Units); err != nil {
				return nil, errors.Wrap(err, "restore checkpoint")
			}
		}
	}
	for _, kc := range c.Keys {
		p.LoadKey(kc)
	}
	return p, nil
}

// EncodeCheckpoint encodes c for the object store.
func EncodeCheckpoint(c *Checkpoint) ([]byte, error) {
	data, err := encMode.Marshal(c)
	return data, errors.Wrap(err, "encode checkpoint")
}

// DecodeCheckpoint decodes the output of EncodeCheckpoint.
func DecodeCheckpoint(data []byte) (*Checkpoint, error) {
	var c Checkpoint
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode checkpoint")
	}
	return &c, nil
}
