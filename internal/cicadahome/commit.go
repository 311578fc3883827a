package cicadahome

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

// dryFor is how long a budget found fully allotted is not looked at again. A
// top-up is noticed after at most this time.
const dryFor = 300 * time.Millisecond

// errFenced is returned when another process is the home by now.
var errFenced = errors.New("superseded by another home")

// errEnding is returned when the home ends before an outcome is known.
var errEnding = errors.New("home is ending")

// served is one exchange with the answer to send after the commit.
type served struct {
	sub    *submission
	answer cicadaledger.ExchangeResult
}

// serve allots, stages, commits and answers.
func (h *Home) serve(subs []*submission) {
	now := time.Now()
	h.allot(subs, now)
	if err := h.loadOnceKeys(subs); err != nil {
		for _, s := range subs {
			s.fail(cicadapeer.FaultUnavailable, "")
		}
		return
	}
	answers := h.stage(subs, now)
	err := h.commitStaged(now)
	for _, a := range answers {
		mine := h.part(a.sub.item.Partition) != nil
		switch {
		case err != nil:
			a.sub.fail(cicadapeer.FaultUnavailable, "")
		case !mine:
			a.sub.fail(cicadapeer.FaultNotHome, "")
		default:
			h.recallShort(a)
			answer := a.answer
			a.sub.send(cicadapeer.ItemReply{Result: &answer})
		}
	}
}

// stage decides each exchange. A repeated one gets its recorded answer.
func (h *Home) stage(subs []*submission, now time.Time) []served {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []served
	for _, s := range subs {
		o, ok := h.parts[s.item.Partition]
		if !ok {
			s.fail(cicadapeer.FaultNotHome, "")
			continue
		}
		known, err := o.ledger.RecordedResult(&s.item.Exchange)
		if err != nil {
			go h.refuseOutOfOrder(s, o.version)
			continue
		}
		if known != nil {
			out = append(out, served{sub: s, answer: *known})
			continue
		}
		answer, err := o.ledger.Stage(&s.item.Exchange, func(budget string) bool { return o.isDry(budget, now) }, now)
		if err != nil {
			h.cfg.Log.WithError(err).Error("exchange refused")
			h.cfg.Counts.Add("exchangesBad", 1)
			s.fail(cicadapeer.FaultInvalid, "")
			continue
		}
		endClaims(o, &s.item.Exchange)
		out = append(out, served{sub: s, answer: answer})
	}
	return out
}

// refuseOutOfOrder tells a router that its session has ended, but only if this
// is the partition's home for certain: one that was superseded knows less of the
// session than its successor.
func (h *Home) refuseOutOfOrder(s *submission, version uint64) {
	ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
	defer cancel()
	row, err := cicadastore.GetOne(ctx, h.cfg.Platform, fenceRef(s.item.Partition))
	switch {
	case err != nil:
		s.fail(cicadapeer.FaultUnavailable, "")
	case row.Version != version:
		// The committer drops the partition at its next commit.
		var fence cicadaledger.FenceRow
		_ = cicadaledger.DecodeRow(row.Value, &fence)
		s.fail(cicadapeer.FaultNotHome, fence.PeerAddr)
	default:
		h.cfg.Counts.Add("exchangesOutOfOrder", 1)
		s.fail(cicadapeer.FaultOutOfOrder, "")
	}
}

// recallShort asks the other holders of a short budget for their idle units.
func (h *Home) recallShort(a served) {
	for _, sh := range a.answer.Shortages {
		if sh.HeldElsewhere == 0 {
			continue
		}
		for _, id := range h.holdersOf(a.sub.item.Partition, sh.Budget) {
			if id != a.sub.item.Exchange.Holder {
				h.cfg.Fleet.Recall(id, []string{sh.Budget})
			}
		}
	}
}

func (h *Home) holdersOf(id cicadaledger.PartitionID, budget string) []cicadaledger.RouterID {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.parts[id]
	if !ok {
		return nil
	}
	return slices.Collect(maps.Keys(o.ledger.UnitsByHolder(budget)))
}

// commitStaged writes the staged steps of all partitions as one record. A
// partition whose fence was lost is dropped and the rest written without it.
// An error means that the outcome is unknown because the home ends.
func (h *Home) commitStaged(now time.Time) error {
	batches := h.cut(now)
	for len(batches) > 0 {
		lost, err := h.writeRecord(batches, nil, onceWrites(batches))
		if err != nil {
			return err
		}
		if len(lost) == 0 {
			return nil
		}
		batches = h.drop(batches, lost)
	}
	return nil
}

func (h *Home) cut(now time.Time) []cicadaledger.Batch {
	h.mu.Lock()
	defer h.mu.Unlock()
	var batches []cicadaledger.Batch
	for _, o := range h.parts {
		if b := o.ledger.SealBatch(o.fence.Incarnation, now); b != nil {
			batches = append(batches, *b)
			o.sinceCheck++
		}
	}
	return batches
}

// drop forgets partitions that another process is the home of by now.
func (h *Home) drop(batches []cicadaledger.Batch, lost map[cicadaledger.PartitionID]bool) []cicadaledger.Batch {
	var rest []cicadaledger.Batch
	for id := range lost {
		h.cfg.Log.WithField("partition", id.String()).Info("superseded as home")
		h.cfg.Counts.Add("homesLost", 1)
		h.forget(id)
	}
	for _, b := range batches {
		if !lost[b.Partition] {
			rest = append(rest, b)
		}
	}
	return rest
}

// writeRecord appends one record to the log, with further rows in the same
// transaction. It returns the partitions whose fence was lost, in which case
// nothing was written. It repeats until the outcome is known.
func (h *Home) writeRecord(
	batches []cicadaledger.Batch, conds []cicadastore.Condition, writes []cicadastore.Write,
) (map[cicadaledger.PartitionID]bool, error) {
	value, err := cicadaledger.EncodeRecord(&cicadaledger.Record{Batches: batches})
	if err != nil {
		return nil, err
	}
	row := cicadastore.Ref{Table: cicadastore.TableBatch, Key: cicadaledger.RowKey(h.log, h.nextRow)}
	txn := cicadastore.Txn{
		Conditions: append([]cicadastore.Condition{{Ref: row}}, conds...),
		Writes:     append([]cicadastore.Write{{Ref: row, Value: value}}, writes...),
	}
	for _, b := range batches {
		o := h.part(b.Partition)
		if o == nil {
			// Another goroutine has found that this process is no longer its home.
			return map[cicadaledger.PartitionID]bool{b.Partition: true}, nil
		}
		txn.Conditions = append(txn.Conditions, cicadastore.Condition{Ref: fenceRef(b.Partition), Version: o.version})
	}
	conflict, err := h.commitUntilKnown(txn, row)
	if err != nil {
		return nil, err
	}
	if conflict == nil {
		h.advanceRow()
		return nil, nil //nolint:nilnil // nothing lost, nothing wrong
	}
	lost := make(map[cicadaledger.PartitionID]bool)
	for _, b := range batches {
		if conflict.Contains(fenceRef(b.Partition)) {
			lost[b.Partition] = true
		}
	}
	if len(lost) == 0 {
		return nil, conflict
	}
	return lost, nil
}

// commitUntilKnown repeats a transaction until it is known to be written (nil)
// or refused (a conflict). The log row is written by this process alone and
// has to be absent: if it is there, an earlier attempt took effect although its
// answer was lost.
func (h *Home) commitUntilKnown(txn cicadastore.Txn, row cicadastore.Ref) (*cicadastore.ConflictError, error) {
	for n := 0; ; n++ {
		ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
		_, err := h.cfg.Platform.Commit(ctx, txn)
		cancel()
		var conflict *cicadastore.ConflictError
		switch {
		case err == nil:
			h.cfg.Counts.Add("commits", 1)
			return nil, nil //nolint:nilnil // written
		case errors.As(err, &conflict):
			if conflict.Contains(row) {
				h.cfg.Counts.Add("commitsFoundWritten", 1)
				return nil, nil //nolint:nilnil // written before
			}
			return conflict, nil
		}
		h.cfg.Counts.Add("commitsRepeated", 1)
		if !h.sleepBackoff(n) {
			return nil, errEnding
		}
	}
}

// commitTimeout bounds one attempt to commit.
const commitTimeout = 2 * time.Second

func (h *Home) advanceRow() {
	h.nextRow++
	h.mu.Lock()
	h.rowFloor = h.nextRow
	h.mu.Unlock()
}

// isDry tells whether a budget was found fully allotted a moment ago.
func (o *owned) isDry(budget string, now time.Time) bool { return now.Before(o.dry[budget]) }

// allot raises the region's allotment of the budgets that the exchanges lack.
func (h *Home) allot(subs []*submission, now time.Time) {
	short, owner := h.shortfalls(subs, now)
	if len(short) == 0 {
		return
	}
	for n := range allotAttempts {
		err := h.tryAllot(short, owner, now)
		if err == nil || errors.Is(err, errEnding) {
			return
		}
		h.cfg.Counts.Add("allotsRepeated", 1)
		h.cfg.Log.WithError(err).Debug("allotment not written")
		if !h.sleepBackoff(n) {
			return
		}
	}
}

// shortfalls sums what the exchanges lack of each budget, and finds its owner.
func (h *Home) shortfalls(subs []*submission, now time.Time) (map[string]cicadaledger.Amount, map[string]*owned) {
	h.mu.Lock()
	defer h.mu.Unlock()
	short := make(map[string]cicadaledger.Amount)
	owner := make(map[string]*owned)
	for _, s := range subs {
		o, ok := h.parts[s.item.Partition]
		if !ok {
			continue
		}
		for _, a := range o.ledger.Shortfalls(&s.item.Exchange) {
			if o.isDry(a.Budget, now) {
				continue
			}
			sum := short[a.Budget]
			short[a.Budget] = cicadaledger.Amount{Budget: a.Budget, Units: sum.Units + a.Units}
			owner[a.Budget] = o
		}
	}
	return short, owner
}

// allotAttempts bounds how often an allotment is tried for waiting exchanges.
const allotAttempts = 3

func (h *Home) tryAllot(short map[string]cicadaledger.Amount, owner map[string]*owned, now time.Time) error {
	refs := make([]cicadastore.Ref, 0, len(short))
	for budget := range short {
		refs = append(refs, cicadastore.Ref{Table: cicadastore.TableBudget, Key: budget})
	}
	ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
	defer cancel()
	rows, err := h.cfg.Platform.Get(ctx, refs...)
	if err != nil {
		return err
	}
	allots := make(map[*owned][]cicadaledger.Amount)
	var conds []cicadastore.Condition
	var writes []cicadastore.Write
	for _, row := range rows {
		o := owner[row.Key]
		var br cicadaledger.BudgetRow
		if err := cicadaledger.DecodeRow(row.Value, &br); err != nil {
			return err
		}
		units := br.Allot(h.cfg.Region, short[row.Key].Units)
		if units < short[row.Key].Units {
			o.dry[row.Key] = now.Add(dryFor)
		}
		if units == 0 {
			continue
		}
		value, err := cicadaledger.EncodeRow(br)
		if err != nil {
			return err
		}
		allots[o] = append(allots[o], cicadaledger.Amount{Budget: row.Key, Units: units})
		conds = append(conds, cicadastore.Condition{Ref: row.Ref, Version: row.Version})
		writes = append(writes, cicadastore.Write{Ref: row.Ref, Value: value})
	}
	return h.commitAllots(allots, conds, writes, now)
}

func (h *Home) commitAllots(
	allots map[*owned][]cicadaledger.Amount, conds []cicadastore.Condition, writes []cicadastore.Write, now time.Time,
) error {
	var batches []cicadaledger.Batch
	for o, list := range allots {
		batches = append(batches, *o.ledger.AllotmentBatch(o.fence.Incarnation, list, now))
	}
	if len(batches) == 0 {
		return nil
	}
	lost, err := h.writeRecord(batches, conds, writes)
	if err != nil {
		return err
	}
	if len(lost) > 0 {
		h.drop(batches, lost)
		return errFenced
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range batches {
		o := h.parts[batches[i].Partition]
		if o == nil {
			// Given up since; the next home reads the record from the log.
			continue
		}
		if err := o.ledger.Apply(&batches[i]); err != nil {
			h.impossible(err)
			delete(h.parts, o.id)
		}
		o.sinceCheck++
	}
	return nil
}

// impossible reports a broken invariant.
func (h *Home) impossible(err error) {
	h.cfg.Counts.Add("impossibleStates", 1)
	h.cfg.Log.WithError(err).Error("a ledger invariant is broken; please report this")
}
