package cicadaedge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

// liftedKey is the key of the row of tableCrashes in which operators clear traits.
const liftedKey = "operator/lifted"

// ReadQuarantine returns what routers have put in quarantine, by the reports in the store.
func ReadQuarantine(ctx context.Context, store Store) ([]cicadaquarantine.Block, error) {
	q, batch, err := readCrashes(ctx, store)
	if err != nil {
		return nil, err
	}
	return q.Blocks(time.Duration(batch.NowMillis) * time.Millisecond), nil
}

// LiftQuarantine ends the quarantine of a trait: all suspects of its crashes are cleared until now.
// Routers apply it within seconds. It returns an error if the trait is not in quarantine.
func LiftQuarantine(ctx context.Context, store Store, trait cicadaquarantine.Trait) error {
	q, batch, err := readCrashes(ctx, store)
	if err != nil {
		return err
	}
	block, ok := q.BlockOf(trait, time.Duration(batch.NowMillis)*time.Millisecond)
	if !ok {
		return errors.Errorf("trait %q is not in quarantine", trait)
	}
	ref := cicadastore.Ref{Table: tableCrashes, Key: liftedKey}
	var lifted cicadaquarantine.Report
	var version uint64
	for i := range batch.Changes {
		if c := &batch.Changes[i]; c.Key == liftedKey {
			version = c.Version
			if err := json.Unmarshal(c.Value, &lifted); err != nil {
				return errors.Wrap(err, "decode the traits that operators cleared")
			}
		}
	}
	lifted.Clear(q.SuspectsOf(&block), time.Duration(batch.NowMillis)*time.Millisecond)
	value, err := json.Marshal(lifted)
	if err != nil {
		return errors.Wrap(err, "encode the traits that operators cleared")
	}
	_, err = store.Commit(ctx, cicadastore.Txn{
		Conditions: []cicadastore.Condition{{Ref: ref, Version: version}},
		Writes:     []cicadastore.Write{{Ref: ref, Value: value}},
	})
	return errors.Wrap(err, "write the traits that operators cleared")
}

// readCrashes returns the evidence of all routers and the rows that it was read from.
func readCrashes(ctx context.Context, store Store) (*cicadaquarantine.Quarantine, cicadastore.ChangeBatch, error) {
	batch, err := store.Snapshot(ctx, tableCrashes)
	if err != nil {
		return nil, batch, errors.Wrap(err, "read the routers' crashes")
	}
	q := cicadaquarantine.New(cicadaquarantine.Config{})
	var reports []cicadaquarantine.Report
	for i := range batch.Changes {
		c := &batch.Changes[i]
		var report cicadaquarantine.Report
		if err := json.Unmarshal(c.Value, &report); err != nil {
			return nil, batch, errors.Wrapf(err, "decode the crashes of router %s", c.Key)
		}
		reports = append(reports, report)
	}
	q.Merge(reports, time.Duration(batch.NowMillis)*time.Millisecond)
	return q, batch, nil
}
