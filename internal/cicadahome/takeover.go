package cicadahome

import (
	"context"
	"reflect"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// maxProbes is the number of probes that the current home must leave
	// unanswered before it is replaced.
	maxProbes = 3
	// probeInterval is the delay between two probes.
	probeInterval = 150 * time.Millisecond
	// takeoverTimeout limits a takeover, including the replay.
	takeoverTimeout = 10 * time.Second
)

// errHomeAlive is returned if the partition has a home that responds.
var errHomeAlive = errors.New("the partition has another home that responds")

func fenceRef(id cicadaledger.PartitionID) cicadastore.Ref {
	return cicadastore.Ref{Table: cicadastore.TableFence, Key: id.String()}
}

// startTakeover starts a takeover of the partition of s, or adds s to the exchanges
// that wait for a takeover in progress.
func (h *Home) startTakeover(s *submission) {
	id := s.item.Partition
	waiting, running := h.takeovers[id]
	h.takeovers[id] = append(waiting, s)
	if running || h.released {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, takeoverTimeout)
		defer cancel()
		o := newOwnedPartition(id)
		o.takeoverErr = h.takeOver(ctx, o)
		select {
		case h.takeoverDone <- o:
		case <-h.ctx.Done():
		}
	}()
}

func newOwnedPartition(id cicadaledger.PartitionID) *ownedPartition {
	return &ownedPartition{
		id: id, checkpointedAt: time.Now(),
		fullyAllottedUntil: make(map[string]time.Time), claims: make(map[string]memoryClaim),
	}
}

// finishTakeover serves or rejects the exchanges that waited for a takeover.
func (h *Home) finishTakeover(o *ownedPartition) {
	waiting := h.takeovers[o.id]
	delete(h.takeovers, o.id)
	if o.takeoverErr != nil {
		fault := cicadapeer.FaultUnavailable
		if errors.Is(o.takeoverErr, errHomeAlive) {
			fault = cicadapeer.FaultNotHome
		} else {
			h.cfg.Log.WithError(o.takeoverErr).WithField("partition", o.id.String()).Warn("takeover of the partition failed")
		}
		for _, s := range waiting {
			s.fail(fault, o.homeAddr)
		}
		return
	}
	h.cfg.Counts.Add("homesTaken", 1)
	h.mu.Lock()
	h.partitions[o.id] = o
	h.mu.Unlock()
	var active []*submission
	for _, s := range waiting {
		if s.ctx.Err() == nil {
			active = append(active, s)
		}
	}
	if len(active) > 0 {
		h.serve(active)
	}
}

// takeOver fences off the previous home and reads the partition's state.
func (h *Home) takeOver(ctx context.Context, o *ownedPartition) error {
	row, err := cicadastore.GetOne(ctx, h.cfg.Platform, fenceRef(o.id))
	if err != nil {
		return err
	}
	var old cicadaledger.FenceRow
	if err := cicadaledger.DecodeRow(row.Value, &old); err != nil {
		return err
	}
	if h.isHomeAlive(ctx, &old) {
		o.homeAddr = old.PeerAddr
		return errHomeAlive
	}
	h.mu.Lock()
	firstRow := h.firstWritableRow
	h.mu.Unlock()
	o.fence = cicadaledger.FenceRow{
		Incarnation: old.Incarnation + 1,
		Home:        h.cfg.Self,
		PeerAddr:    h.cfg.PeerAddr,
		Checkpoint:  old.Checkpoint,
		Logs:        append(old.Logs, cicadaledger.LogRef{Log: h.logName, From: firstRow}),
	}
	if o.fenceVersion, err = h.writeFence(ctx, o.id, row.Version, o.fence); err != nil {
		return err
	}
	o.ledger, err = h.replay(ctx, o.id, &o.fence)
	if err != nil {
		return errors.Wrap(err, "read the partition's checkpoint and logs")
	}
	h.cfg.Log.WithField("partition", o.id.String()).WithField("incarnation", o.fence.Incarnation).
		WithField("seq", o.ledger.Seq()).Info("took over partition as its home")
	return nil
}

// isHomeAlive reports whether another process is the home according to a fence row
// and must not be replaced.
func (h *Home) isHomeAlive(ctx context.Context, f *cicadaledger.FenceRow) bool {
	if f.Home == (cicadaledger.RouterID{}) || f.Home == h.cfg.Self || h.cfg.Fleet.HasEnded(f.Home) {
		return false
	}
	for i := range maxProbes {
		if h.cfg.Fleet.Responds(ctx, f.PeerAddr, f.Home) {
			return true
		}
		if i == maxProbes-1 {
			break
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return true
		}
	}
	return false
}

// writeFence replaces a fence row and returns its new version, even if the response
// to the write was lost.
func (h *Home) writeFence(
	ctx context.Context, id cicadaledger.PartitionID, version uint64, fence cicadaledger.FenceRow,
) (uint64, error) {
	value, err := cicadaledger.EncodeRow(fence)
	if err != nil {
		return 0, err
	}
	ref := fenceRef(id)
	for n := 0; ; n++ {
		committed, err := h.cfg.Platform.Commit(ctx, cicadastore.Txn{
			Conditions: []cicadastore.Condition{{Ref: ref, Version: version}},
			Writes:     []cicadastore.Write{{Ref: ref, Value: value}},
		})
		var conflict *cicadastore.ConflictError
		switch {
		case err == nil:
			return committed.Version, nil
		case errors.As(err, &conflict):
			return alreadyWritten(conflict, ref, fence)
		}
		if ctx.Err() != nil || !h.sleepBackoff(n) {
			return 0, err
		}
	}
}

// alreadyWritten checks whether a conflict was caused by this process's own earlier
// write, whose response was lost. It returns the row's version in that case, and
// errFenced otherwise.
func alreadyWritten(conflict *cicadastore.ConflictError, ref cicadastore.Ref, fence cicadaledger.FenceRow) (uint64, error) {
	for _, row := range conflict.Failed {
		var found cicadaledger.FenceRow
		if row.Ref != ref || cicadaledger.DecodeRow(row.Value, &found) != nil {
			continue
		}
		if reflect.DeepEqual(found, fence) {
			return row.Version, nil
		}
	}
	return 0, errors.Wrap(errFenced, conflict.Error())
}

// replay reads the checkpoint and the logs. The previous home can add no batch
// meanwhile, because the fence row has changed.
func (h *Home) replay(ctx context.Context, id cicadaledger.PartitionID, f *cicadaledger.FenceRow) (*cicadaledger.Partition, error) {
	cfg := cicadaledger.Config{ID: id, KeyWindow: h.cfg.KeyWindow(), MaxRunTime: h.cfg.MaxRunTime()}
	return Replay(ctx, h.cfg.Platform, cfg, f)
}

// Replay reads the state of a partition from the platform.
func Replay(
	ctx context.Context, platform cicadastore.Platform, cfg cicadaledger.Config, f *cicadaledger.FenceRow,
) (*cicadaledger.Partition, error) {
	p := cicadaledger.New(cfg)
	if f.Checkpoint != "" {
		data, err := platform.GetObject(ctx, f.Checkpoint)
		if err != nil {
			return nil, err
		}
		c, err := cicadaledger.DecodeCheckpoint(data)
		if err != nil {
			return nil, err
		}
		if p, err = cicadaledger.Restore(cfg, c); err != nil {
			return nil, err
		}
	}
	for _, ref := range f.Logs {
		if err := replayLog(ctx, platform, cfg.ID, p, ref); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func replayLog(
	ctx context.Context, tables cicadastore.Tables, id cicadaledger.PartitionID, p *cicadaledger.Partition, ref cicadaledger.LogRef,
) error {
	after := cicadaledger.RowKey(ref.Log, ref.From-1)
	rows, err := cicadastore.ScanAll(ctx, tables, cicadastore.TableBatch, ref.Log+"/", after)
	if err != nil {
		return err
	}
	for _, row := range rows {
		rec, err := cicadaledger.DecodeRecord(row.Value)
		if err != nil {
			return err
		}
		for i := range rec.Batches {
			b := &rec.Batches[i]
			if b.Partition != id || b.Seq <= p.Seq() {
				continue
			}
			if err := p.Apply(b); err != nil {
				return errors.Wrapf(err, "row %s", row.Key)
			}
		}
	}
	return nil
}
