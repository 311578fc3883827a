package cicadahome

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

const (
	// A checkpoint is due after checkpointBatches batches, or after at least
	// one batch if the last checkpoint is older than checkpointAge.
	checkpointBatches = 500
	checkpointAge     = time.Minute
)

// writeDueCheckpoint writes the oldest checkpoint that is due. It writes at most
// one at a time, so that the committer is not blocked for long. It also removes
// expired claims.
func (h *Home) writeDueCheckpoint() {
	now := time.Now()
	h.mu.Lock()
	var due *ownedPartition
	for _, o := range h.partitions {
		h.expireClaims(o, now)
		if o.batchesSinceCheckpoint == 0 {
			continue
		}
		if o.batchesSinceCheckpoint < checkpointBatches && time.Since(o.checkpointedAt) < checkpointAge {
			continue
		}
		if due == nil || o.checkpointedAt.Before(due.checkpointedAt) {
			due = o
		}
	}
	h.mu.Unlock()
	if due != nil {
		h.writeCheckpoint(due)
	}
}

// writeCheckpoint writes the partition's state as an object and then refers to it
// in the fence row, so that a successor has fewer batches to read.
func (h *Home) writeCheckpoint(o *ownedPartition) {
	ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
	defer cancel()
	h.mu.Lock()
	checkpoint := o.ledger.Checkpoint()
	h.mu.Unlock()
	data, err := cicadaledger.EncodeCheckpoint(checkpoint)
	if err != nil {
		h.reportBrokenInvariant(err)
		return
	}
	name := fmt.Sprintf("checkpoint/%s/%d-%d", o.id, o.fence.Incarnation, checkpoint.Seq)
	if err := h.cfg.Platform.PutObject(ctx, name, data); err != nil {
		h.cfg.Counts.Add("checkpointsFailed", 1)
		return
	}
	fence := o.fence
	fence.Checkpoint = name
	fence.Logs = []cicadaledger.LogRef{{Log: h.logName, From: h.nextRow}}
	version, err := h.writeFence(ctx, o.id, o.fenceVersion, fence)
	if err != nil {
		// It is unknown which of the two fence rows is in the table. If it
		// is the new one, this process could no longer commit with the old
		// version. So the partition is dropped and read again.
		h.cfg.Counts.Add("checkpointsFailed", 1)
		h.dropPartition(o.id)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	o.fence, o.fenceVersion = fence, version
	o.batchesSinceCheckpoint = 0
	o.checkpointedAt = time.Now()
	h.cfg.Counts.Add("checkpoints", 1)
}

// dropPartition drops a partition. The next exchange for it starts a new takeover.
func (h *Home) dropPartition(id cicadaledger.PartitionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.partitions, id)
}

// releaseAll releases all fence rows in one transaction. If that fails, a successor
// finds that this process has ended, and takes the partitions over.
func (h *Home) releaseAll() {
	h.released = true
	var txn cicadastore.Txn
	for id, o := range h.partitions {
		fence := o.fence
		fence.Home, fence.PeerAddr = cicadaledger.RouterID{}, ""
		value, err := cicadaledger.EncodeRow(fence)
		if err != nil {
			continue
		}
		txn.Conditions = append(txn.Conditions, cicadastore.Condition{Ref: fenceRef(id), Version: o.fenceVersion})
		txn.Writes = append(txn.Writes, cicadastore.Write{Ref: fenceRef(id), Value: value})
	}
	if len(txn.Writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
	defer cancel()
	if _, err := h.cfg.Platform.Commit(ctx, txn); err != nil {
		h.cfg.Log.WithError(err).Warn("releasing the partitions failed; a successor will take them over")
	}
	h.cfg.Counts.Add("homesReleased", int64(len(txn.Writes)))
}

// PartitionStates returns the state of the partitions of this home.
func (h *Home) PartitionStates() []PartitionState {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := make([]PartitionState, 0, len(h.partitions))
	for _, o := range h.partitions {
		state = append(state, h.partitionState(o))
	}
	sort.Slice(state, func(i, j int) bool { return state[i].Partition.Number < state[j].Partition.Number })
	return state
}

func (h *Home) partitionState(o *ownedPartition) PartitionState {
	state := PartitionState{
		Partition:   o.id,
		Incarnation: o.fence.Incarnation,
		Seq:         o.ledger.Seq(),
		Budgets:     o.ledger.Balances(),
	}
	for _, id := range o.ledger.Holders() {
		holderState := HolderState{Holder: id, Ended: h.cfg.Fleet.HasEnded(id)}
		for _, f := range state.Budgets {
			if units := o.ledger.UnitsByHolder(f.Budget)[id]; units > 0 {
				holderState.Held = append(holderState.Held, cicadaledger.Amount{Budget: f.Budget, Units: units})
			}
		}
		state.Holders = append(state.Holders, holderState)
	}
	return state
}
