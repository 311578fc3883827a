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
	// probes is how often the present home is asked before it is replaced.
	probes = 3
	// probePause lies between two probes.
	probePause = 150 * time.Millisecond
	// takeoverTimeout bounds a take-over, replay included.
	takeoverTimeout = 10 * time.Second
)

// errHomeLives is returned when the partition has a home that answers.
var errHomeLives = errors.New("the partition has a home")

func fenceRef(id cicadaledger.PartitionID) cicadastore.Ref {
	return cicadastore.Ref{Table: cicadastore.TableFence, Key: id.String()}
}

// acquire starts to take the partition of s over, or joins an attempt.
func (h *Home) acquire(s *submission) {
	id := s.item.Partition
	waiting, running := h.acquiring[id]
	h.acquiring[id] = append(waiting, s)
	if running || h.released {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, takeoverTimeout)
		defer cancel()
		o := newOwned(id)
		o.err = h.takeOver(ctx, o)
		select {
		case h.acquired <- o:
		case <-h.ctx.Done():
		}
	}()
}

func newOwned(id cicadaledger.PartitionID) *owned {
	return &owned{
		id: id, checkedAt: time.Now(),
		dry: make(map[string]time.Time), claims: make(map[string]volatileClaim),
	}
}

// finishAcquire serves or refuses the exchanges that waited for a take-over.
func (h *Home) finishAcquire(o *owned) {
	waiting := h.acquiring[o.id]
	delete(h.acquiring, o.id)
	if o.err != nil {
		fault := cicadapeer.FaultUnavailable
		if errors.Is(o.err, errHomeLives) {
			fault = cicadapeer.FaultNotHome
		} else {
			h.cfg.Log.WithError(o.err).WithField("partition", o.id.String()).Warn("partition not taken over")
		}
		for _, s := range waiting {
			s.fail(fault, o.homeAddr)
		}
		return
	}
	h.cfg.Counts.Add("homesTaken", 1)
	h.mu.Lock()
	h.parts[o.id] = o
	h.mu.Unlock()
	var live []*submission
	for _, s := range waiting {
		if s.ctx.Err() == nil {
			live = append(live, s)
		}
	}
	if len(live) > 0 {
		h.serve(live)
	}
}

// takeOver fences the former home off and reads the partition's state.
func (h *Home) takeOver(ctx context.Context, o *owned) error {
	row, err := cicadastore.GetOne(ctx, h.cfg.Platform, fenceRef(o.id))
	if err != nil {
		return err
	}
	var old cicadaledger.FenceRow
	if err := cicadaledger.DecodeRow(row.Value, &old); err != nil {
		return err
	}
	if h.lives(ctx, &old) {
		o.homeAddr = old.PeerAddr
		return errHomeLives
	}
	h.mu.Lock()
	from := h.rowFloor
	h.mu.Unlock()
	o.fence = cicadaledger.FenceRow{
		Incarnation: old.Incarnation + 1,
		Home:        h.cfg.Self,
		PeerAddr:    h.cfg.PeerAddr,
		Checkpoint:  old.Checkpoint,
		Logs:        append(old.Logs, cicadaledger.LogRef{Log: h.log, From: from}),
	}
	if o.version, err = h.writeFence(ctx, o.id, row.Version, o.fence); err != nil {
		return err
	}
	o.ledger, err = h.replay(ctx, o.id, &o.fence)
	if err != nil {
		return errors.Wrap(err, "read the partition's log")
	}
	h.cfg.Log.WithField("partition", o.id.String()).WithField("incarnation", o.fence.Incarnation).
		WithField("seq", o.ledger.Seq()).Info("home of partition")
	return nil
}

// lives tells whether the home that a fence row names should stay.
func (h *Home) lives(ctx context.Context, f *cicadaledger.FenceRow) bool {
	if f.Home == (cicadaledger.RouterID{}) || f.Home == h.cfg.Self || h.cfg.Fleet.HasEnded(f.Home) {
		return false
	}
	for i := range probes {
		if h.cfg.Fleet.Responds(ctx, f.PeerAddr, f.Home) {
			return true
		}
		if i == probes-1 {
			break
		}
		select {
		case <-time.After(probePause):
		case <-ctx.Done():
			return true
		}
	}
	return false
}

// writeFence replaces a fence row and returns its new version, also when the
// answer to the write was lost.
func (h *Home) writeFence(
	ctx context.Context, id cicadaledger.PartitionID, version uint64, fence cicadaledger.FenceRow,
) (uint64, error) {
	value, err := cicadaledger.EncodeRow(fence)
	if err != nil {
		return 0, err
	}
	ref := fenceRef(id)
	for n := 0; ; n++ {
		done, err := h.cfg.Platform.Commit(ctx, cicadastore.Txn{
			Conditions: []cicadastore.Condition{{Ref: ref, Version: version}},
			Writes:     []cicadastore.Write{{Ref: ref, Value: value}},
		})
		var conflict *cicadastore.ConflictError
		switch {
		case err == nil:
			return done.Version, nil
		case errors.As(err, &conflict):
			return writtenBefore(conflict, ref, fence)
		}
		if ctx.Err() != nil || !h.sleepBackoff(n) {
			return 0, err
		}
	}
}

// writtenBefore tells whether the row in a conflict is this process's own
// write, whose answer was lost.
func writtenBefore(conflict *cicadastore.ConflictError, ref cicadastore.Ref, fence cicadaledger.FenceRow) (uint64, error) {
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

// replay reads checkpoint and log. No batch can be added meanwhile: the fence
// row has changed.
func (h *Home) replay(ctx context.Context, id cicadaledger.PartitionID, f *cicadaledger.FenceRow) (*cicadaledger.Partition, error) {
	cfg := cicadaledger.Config{ID: id, KeyWindow: h.cfg.KeyWindow(), MaxRunTime: h.cfg.MaxRunTime()}
	return Replay(ctx, h.cfg.Platform, cfg, f)
}

// Replay builds the state of a partition from the platform.
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
