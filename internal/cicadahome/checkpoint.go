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
	// checkpointBatches and checkpointAge make a checkpoint due: enough
	// batches have come, or any batch has and the last checkpoint is old.
	checkpointBatches = 500
	checkpointAge     = time.Minute
)

// maintain writes the checkpoints that are due, at most one at a time, so that
// the committer is never away for long.
func (h *Home) maintain() {
	now := time.Now()
	h.mu.Lock()
	var due *owned
	for _, o := range h.parts {
		h.forgetClaims(o, now)
		if o.sinceCheck == 0 {
			continue
		}
		if o.sinceCheck < checkpointBatches && time.Since(o.checkedAt) < checkpointAge {
			continue
		}
		if due == nil || o.checkedAt.Before(due.checkedAt) {
			due = o
		}
	}
	h.mu.Unlock()
	if due != nil {
		h.checkpoint(due)
	}
}

// checkpoint writes the partition's state as an object and then lets the fence
// row name it, which shortens what a successor has to read.
func (h *Home) checkpoint(o *owned) {
	ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
	defer cancel()
	h.mu.Lock()
	check := o.ledger.Checkpoint()
	h.mu.Unlock()
	data, err := cicadaledger.EncodeCheckpoint(check)
	if err != nil {
		h.impossible(err)
		return
	}
	name := fmt.Sprintf("checkpoint/%s/%d-%d", o.id, o.fence.Incarnation, check.Seq)
	if err := h.cfg.Platform.PutObject(ctx, name, data); err != nil {
		h.cfg.Counts.Add("checkpointsFailed", 1)
		return
	}
	fence := o.fence
	fence.Checkpoint = name
	fence.Logs = []cicadaledger.LogRef{{Log: h.log, From: h.nextRow}}
	version, err := h.writeFence(ctx, o.id, o.version, fence)
	if err != nil {
		// It is not known which of the two fence rows is there. The next
		// commit conflicts if it is the new one, and the partition is read
		// again.
		h.cfg.Counts.Add("checkpointsFailed", 1)
		h.forget(o.id)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	o.fence, o.version = fence, version
	o.sinceCheck = 0
	o.checkedAt = time.Now()
	h.cfg.Counts.Add("checkpoints", 1)
}

// forget drops a partition; the next exchange for it takes it over again.
func (h *Home) forget(id cicadaledger.PartitionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.parts, id)
}

// releaseAll gives the fence rows up in one transaction. If that fails, the
// successor finds this process ended and takes over all the same.
func (h *Home) releaseAll() {
	h.released = true
	var txn cicadastore.Txn
	for id, o := range h.parts {
		fence := o.fence
		fence.Home, fence.PeerAddr = cicadaledger.RouterID{}, ""
		value, err := cicadaledger.EncodeRow(fence)
		if err != nil {
			continue
		}
		txn.Conditions = append(txn.Conditions, cicadastore.Condition{Ref: fenceRef(id), Version: o.version})
		txn.Writes = append(txn.Writes, cicadastore.Write{Ref: fenceRef(id), Value: value})
	}
	if len(txn.Writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
	defer cancel()
	if _, err := h.cfg.Platform.Commit(ctx, txn); err != nil {
		h.cfg.Log.WithError(err).Warn("partitions not released; a successor will take them over")
	}
	h.cfg.Counts.Add("homesReleased", int64(len(txn.Writes)))
}

// PartitionStates returns the partitions of this home.
func (h *Home) PartitionStates() []PartitionState {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := make([]PartitionState, 0, len(h.parts))
	for _, o := range h.parts {
		state = append(state, h.partitionState(o))
	}
	sort.Slice(state, func(i, j int) bool { return state[i].Partition.Number < state[j].Partition.Number })
	return state
}

func (h *Home) partitionState(o *owned) PartitionState {
	st := PartitionState{
		Partition:   o.id,
		Incarnation: o.fence.Incarnation,
		Seq:         o.ledger.Seq(),
		Budgets:     o.ledger.Balances(),
	}
	for _, id := range o.ledger.Holders() {
		hs := HolderState{Holder: id, Ended: h.cfg.Fleet.HasEnded(id)}
		for _, f := range st.Budgets {
			if units := o.ledger.UnitsByHolder(f.Budget)[id]; units > 0 {
				hs.Held = append(hs.Held, cicadaledger.Amount{Budget: f.Budget, Units: units})
			}
		}
		st.Holders = append(st.Holders, hs)
	}
	return st
}
