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

// fullyAllottedTTL is the time for which a budget that was found fully allotted is
// not checked again. A top-up is noticed after at most this time.
const fullyAllottedTTL = 300 * time.Millisecond

// errFenced is returned if another process has become the home.
var errFenced = errors.New("superseded by another home")

// errStopping is returned if the home stops before the outcome of a commit is known.
var errStopping = errors.New("home is stopping; outcome of the commit unknown")

// stagedResult is the result of an exchange, which is sent after the commit.
type stagedResult struct {
	sub    *submission
	result cicadaledger.ExchangeResult
}

// serve raises allotments as needed, stages the exchanges, commits them and sends
// the results.
func (h *Home) serve(subs []*submission) {
	now := time.Now()
	h.allot(subs, now)
	if err := h.loadAtMostOnceKeys(subs); err != nil {
		for _, s := range subs {
			s.fail(cicadapeer.FaultUnavailable, "")
		}
		return
	}
	results := h.stage(subs, now)
	err := h.commitStaged(now)
	for _, staged := range results {
		owned := h.partition(staged.sub.item.Partition) != nil
		switch {
		case err != nil:
			staged.sub.fail(cicadapeer.FaultUnavailable, "")
		case !owned:
			staged.sub.fail(cicadapeer.FaultNotHome, "")
		default:
			h.recallShortUnits(staged)
			result := staged.result
			staged.sub.send(cicadapeer.ItemReply{Result: &result})
		}
	}
}

// stage stages each exchange and returns the results. A repeated exchange gets its
// recorded result.
func (h *Home) stage(subs []*submission, now time.Time) []stagedResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []stagedResult
	for _, s := range subs {
		o, ok := h.partitions[s.item.Partition]
		if !ok {
			s.fail(cicadapeer.FaultNotHome, "")
			continue
		}
		recorded, err := o.ledger.RecordedResult(&s.item.Exchange)
		if err != nil {
			go h.rejectOutOfOrder(s, o.fenceVersion)
			continue
		}
		if recorded != nil {
			out = append(out, stagedResult{sub: s, result: *recorded})
			continue
		}
		result, err := o.ledger.Stage(&s.item.Exchange, func(budget string) bool { return o.isFullyAllotted(budget, now) }, now)
		if err != nil {
			h.cfg.Log.WithError(err).Error("exchange rejected")
			h.cfg.Counts.Add("exchangesBad", 1)
			s.fail(cicadapeer.FaultInvalid, "")
			continue
		}
		removeBilledClaims(o, &s.item.Exchange)
		out = append(out, stagedResult{sub: s, result: result})
	}
	return out
}

// rejectOutOfOrder responds to a router that its session has ended, but only if the
// fence row shows that this process is still the partition's home. A superseded
// home may lack later exchanges of the session, which its successor has recorded.
func (h *Home) rejectOutOfOrder(s *submission, version uint64) {
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

// recallShortUnits asks the other holders of budgets with a shortage to return their
// free units.
func (h *Home) recallShortUnits(staged stagedResult) {
	for _, shortage := range staged.result.Shortages {
		if shortage.HeldElsewhere == 0 {
			continue
		}
		for _, id := range h.holdersOf(staged.sub.item.Partition, shortage.Budget) {
			if id != staged.sub.item.Exchange.Holder {
				h.cfg.Fleet.Recall(id, []string{shortage.Budget})
			}
		}
	}
}

func (h *Home) holdersOf(id cicadaledger.PartitionID, budget string) []cicadaledger.RouterID {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.partitions[id]
	if !ok {
		return nil
	}
	return slices.Collect(maps.Keys(o.ledger.UnitsByHolder(budget)))
}

// commitStaged writes the staged operations of all partitions as one record. If a
// partition has another home, it is dropped and the record is written without it.
// An error means that the outcome is unknown because the home stops.
func (h *Home) commitStaged(now time.Time) error {
	batches := h.sealBatches(now)
	for len(batches) > 0 {
		lost, err := h.writeRecord(batches, nil, atMostOnceWrites(batches))
		if err != nil {
			return err
		}
		if len(lost) == 0 {
			return nil
		}
		batches = h.dropLost(batches, lost)
	}
	return nil
}

func (h *Home) sealBatches(now time.Time) []cicadaledger.Batch {
	h.mu.Lock()
	defer h.mu.Unlock()
	var batches []cicadaledger.Batch
	for _, o := range h.partitions {
		if b := o.ledger.SealBatch(o.fence.Incarnation, now); b != nil {
			batches = append(batches, *b)
			o.batchesSinceCheckpoint++
		}
	}
	return batches
}

// dropLost drops the partitions in lost, which have another home, and returns the
// batches of the others.
func (h *Home) dropLost(batches []cicadaledger.Batch, lost map[cicadaledger.PartitionID]bool) []cicadaledger.Batch {
	var rest []cicadaledger.Batch
	for id := range lost {
		h.cfg.Log.WithField("partition", id.String()).Info("another process took over the partition")
		h.cfg.Counts.Add("homesLost", 1)
		h.dropPartition(id)
	}
	for _, b := range batches {
		if !lost[b.Partition] {
			rest = append(rest, b)
		}
	}
	return rest
}

// writeRecord appends one record to the log and writes further rows in the same
// transaction. It returns the partitions whose fence rows have changed; if there
// are any, nothing was written. It retries until the outcome is known.
func (h *Home) writeRecord(
	batches []cicadaledger.Batch, conds []cicadastore.Condition, writes []cicadastore.Write,
) (map[cicadaledger.PartitionID]bool, error) {
	value, err := cicadaledger.EncodeRecord(&cicadaledger.Record{Batches: batches})
	if err != nil {
		return nil, err
	}
	row := cicadastore.Ref{Table: cicadastore.TableBatch, Key: cicadaledger.RowKey(h.logName, h.nextRow)}
	txn := cicadastore.Txn{
		Conditions: append([]cicadastore.Condition{{Ref: row}}, conds...),
		Writes:     append([]cicadastore.Write{{Ref: row, Value: value}}, writes...),
	}
	for _, b := range batches {
		o := h.partition(b.Partition)
		if o == nil {
			// An earlier attempt to raise allotments found that the partition
			// has another home, and dropped it.
			return map[cicadaledger.PartitionID]bool{b.Partition: true}, nil
		}
		txn.Conditions = append(txn.Conditions, cicadastore.Condition{Ref: fenceRef(b.Partition), Version: o.fenceVersion})
	}
	conflict, err := h.commitUntilKnown(txn, row)
	if err != nil {
		return nil, err
	}
	if conflict == nil {
		h.advanceNextRow()
		return nil, nil //nolint:nilnil // no fence row has changed, no error
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

// commitUntilKnown repeats a transaction until it is known to be written (nil) or
// rejected (a conflict). The transaction requires the log row to be absent, and
// only this process writes that row. If the row exists, an earlier attempt
// succeeded and its response was lost.
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
				return nil, nil //nolint:nilnil // written by an earlier attempt
			}
			return conflict, nil
		}
		h.cfg.Counts.Add("commitsRepeated", 1)
		if !h.sleepBackoff(n) {
			return nil, errStopping
		}
	}
}

// commitTimeout limits one attempt to commit, and single reads and writes of the
// platform.
const commitTimeout = 2 * time.Second

func (h *Home) advanceNextRow() {
	h.nextRow++
	h.mu.Lock()
	h.firstWritableRow = h.nextRow
	h.mu.Unlock()
}

// isFullyAllotted reports whether a budget was recently found to be fully allotted.
func (o *ownedPartition) isFullyAllotted(budget string, now time.Time) bool {
	return now.Before(o.fullyAllottedUntil[budget])
}

// allot raises the region's allotments of the budgets of which the exchanges
// request more than is available.
func (h *Home) allot(subs []*submission, now time.Time) {
	short, owner := h.shortfalls(subs, now)
	if len(short) == 0 {
		return
	}
	for n := range maxAllotAttempts {
		err := h.tryAllot(short, owner, now)
		if err == nil || errors.Is(err, errStopping) {
			return
		}
		h.cfg.Counts.Add("allotsRepeated", 1)
		h.cfg.Log.WithError(err).Debug("raising the region's allotments failed")
		if !h.sleepBackoff(n) {
			return
		}
	}
}

// shortfalls returns, for each budget, the units that the exchanges lack in total
// and the partition that contains the budget.
func (h *Home) shortfalls(subs []*submission, now time.Time) (map[string]cicadaledger.Amount, map[string]*ownedPartition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	short := make(map[string]cicadaledger.Amount)
	owner := make(map[string]*ownedPartition)
	for _, s := range subs {
		o, ok := h.partitions[s.item.Partition]
		if !ok {
			continue
		}
		for _, a := range o.ledger.Shortfalls(&s.item.Exchange) {
			if o.isFullyAllotted(a.Budget, now) {
				continue
			}
			sum := short[a.Budget]
			short[a.Budget] = cicadaledger.Amount{Budget: a.Budget, Units: sum.Units + a.Units}
			owner[a.Budget] = o
		}
	}
	return short, owner
}

// maxAllotAttempts limits the attempts to raise allotments while exchanges wait.
const maxAllotAttempts = 3

func (h *Home) tryAllot(short map[string]cicadaledger.Amount, owner map[string]*ownedPartition, now time.Time) error {
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
	allotments := make(map[*ownedPartition][]cicadaledger.Amount)
	var conds []cicadastore.Condition
	var writes []cicadastore.Write
	for _, row := range rows {
		o := owner[row.Key]
		var budgetRow cicadaledger.BudgetRow
		if err := cicadaledger.DecodeRow(row.Value, &budgetRow); err != nil {
			return err
		}
		units := budgetRow.Allot(h.cfg.Region, short[row.Key].Units)
		if units < short[row.Key].Units {
			o.fullyAllottedUntil[row.Key] = now.Add(fullyAllottedTTL)
		}
		if units == 0 {
			continue
		}
		value, err := cicadaledger.EncodeRow(budgetRow)
		if err != nil {
			return err
		}
		allotments[o] = append(allotments[o], cicadaledger.Amount{Budget: row.Key, Units: units})
		conds = append(conds, cicadastore.Condition{Ref: row.Ref, Version: row.Version})
		writes = append(writes, cicadastore.Write{Ref: row.Ref, Value: value})
	}
	return h.commitAllotments(allotments, conds, writes, now)
}

func (h *Home) commitAllotments(
	allotments map[*ownedPartition][]cicadaledger.Amount, conds []cicadastore.Condition, writes []cicadastore.Write, now time.Time,
) error {
	var batches []cicadaledger.Batch
	for o, list := range allotments {
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
		h.dropLost(batches, lost)
		return errFenced
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range batches {
		o := h.partitions[batches[i].Partition]
		if o == nil {
			// The partition was dropped; its next home reads the record from the log.
			continue
		}
		if err := o.ledger.Apply(&batches[i]); err != nil {
			h.reportBrokenInvariant(err)
			delete(h.partitions, o.id)
		}
		o.batchesSinceCheckpoint++
	}
	return nil
}

// reportBrokenInvariant counts and logs a violation of a ledger invariant.
func (h *Home) reportBrokenInvariant(err error) {
	h.cfg.Counts.Add("impossibleStates", 1)
	h.cfg.Log.WithError(err).Error("ledger invariant violated; please report this")
}
