package cicadahome

import (
	"context"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

// atMostOnceRow is the row of a key whose request may run at most once. It is kept
// forever, so that a caller may retry at any later time. It is only deleted if the
// request is billed as not run.
type atMostOnceRow struct {
	RequestID      string                `json:"requestID"`
	Fingerprint    string                `json:"fingerprint"`
	Holder         cicadaledger.RouterID `json:"holder"`
	Billed         bool                  `json:"billed"`
	OutcomeUnknown bool                  `json:"lost,omitempty"`
}

func atMostOnceRef(key string) cicadastore.Ref {
	return cicadastore.Ref{Table: cicadastore.TableAtMostOnce, Key: key}
}

// loadAtMostOnceKeys reads the rows of claimed keys that are not, or no longer, in
// the ledgers. It is called before the claims are decided.
func (h *Home) loadAtMostOnceKeys(subs []*submission) error {
	refs, owner := h.unknownKeys(subs)
	if len(refs) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
	defer cancel()
	rows, err := h.cfg.Platform.Get(ctx, refs...)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var keyRow atMostOnceRow
		if err := cicadaledger.DecodeRow(row.Value, &keyRow); err != nil {
			return err
		}
		owner[row.Key].ledger.LoadKey(cicadaledger.KeyCheckpoint{
			Key: row.Key, RequestID: keyRow.RequestID, Fingerprint: keyRow.Fingerprint,
			Holder: keyRow.Holder, AtMostOnce: true, Billed: keyRow.Billed, OutcomeUnknown: keyRow.OutcomeUnknown,
		})
	}
	return nil
}

// unknownKeys returns the rows of claimed keys that are not in the ledgers, and the
// partition of each key.
func (h *Home) unknownKeys(subs []*submission) ([]cicadastore.Ref, map[string]*ownedPartition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var refs []cicadastore.Ref
	owner := make(map[string]*ownedPartition)
	for _, s := range subs {
		o, ok := h.partitions[s.item.Partition]
		if !ok {
			continue
		}
		for _, c := range s.item.Exchange.Claims {
			if c.AtMostOnce && !o.ledger.HasKey(c.Key) {
				refs = append(refs, atMostOnceRef(c.Key))
				owner[c.Key] = o
			}
		}
	}
	return refs, owner
}

// atMostOnceWrites returns the writes to the rows of keys that the batches claim or
// bill.
func atMostOnceWrites(batches []cicadaledger.Batch) []cicadastore.Write {
	var out []cicadastore.Write
	for i := range batches {
		for j := range batches[i].Operations {
			out = append(out, operationWrites(&batches[i].Operations[j])...)
		}
	}
	return out
}

func operationWrites(op *cicadaledger.Operation) []cicadastore.Write {
	var out []cicadastore.Write
	for _, c := range op.Claims {
		if !c.AtMostOnce {
			continue
		}
		row := atMostOnceRow{RequestID: c.RequestID, Fingerprint: c.Fingerprint, Holder: op.Holder}
		if value, err := cicadaledger.EncodeRow(row); err == nil {
			out = append(out, cicadastore.Write{Ref: atMostOnceRef(c.Key), Value: value})
		}
	}
	for _, b := range op.Bills {
		if !b.AtMostOnce || b.Voided {
			continue
		}
		w := cicadastore.Write{Ref: atMostOnceRef(b.Key), Delete: b.Outcome == cicadaledger.OutcomeNotRun}
		if !w.Delete {
			unknown := b.Outcome == cicadaledger.OutcomeUnknown
			row := atMostOnceRow{RequestID: b.RequestID, Fingerprint: b.Fingerprint, Holder: op.Holder, Billed: !unknown, OutcomeUnknown: unknown}
			value, err := cicadaledger.EncodeRow(row)
			if err != nil {
				continue
			}
			w.Value = value
		}
		out = append(out, w)
	}
	return out
}
