package cicadahome

import (
	"context"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

// onceRow is the row of a key whose request may run at most once. It is kept
// for ever, so that a caller may retry after any time.
type onceRow struct {
	RequestID   string                `json:"requestID"`
	Fingerprint string                `json:"fingerprint"`
	Holder      cicadaledger.RouterID `json:"holder"`
	Billed      bool                  `json:"billed"`
	Lost        bool                  `json:"lost,omitempty"`
}

func onceRef(key string) cicadastore.Ref {
	return cicadastore.Ref{Table: cicadastore.TableAtMostOnce, Key: key}
}

// loadOnceKeys reads the rows of claimed keys that the ledger does not know
// (any more), before the claims are decided.
func (h *Home) loadOnceKeys(subs []*submission) error {
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
		var or onceRow
		if err := cicadaledger.DecodeRow(row.Value, &or); err != nil {
			return err
		}
		owner[row.Key].ledger.LoadKey(cicadaledger.KeyCheckpoint{
			Key: row.Key, RequestID: or.RequestID, Fingerprint: or.Fingerprint,
			Holder: or.Holder, AtMostOnce: true, Billed: or.Billed, OutcomeUnknown: or.Lost,
		})
	}
	return nil
}

// unknownKeys lists the rows of claimed keys that no ledger knows.
func (h *Home) unknownKeys(subs []*submission) ([]cicadastore.Ref, map[string]*owned) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var refs []cicadastore.Ref
	owner := make(map[string]*owned)
	for _, s := range subs {
		o, ok := h.parts[s.item.Partition]
		if !ok {
			continue
		}
		for _, c := range s.item.Exchange.Claims {
			if c.AtMostOnce && !o.ledger.HasKey(c.Key) {
				refs = append(refs, onceRef(c.Key))
				owner[c.Key] = o
			}
		}
	}
	return refs, owner
}

// onceWrites returns the rows of keys that batches claim or bill.
func onceWrites(batches []cicadaledger.Batch) []cicadastore.Write {
	var out []cicadastore.Write
	for i := range batches {
		for j := range batches[i].Operations {
			out = append(out, stepOnceWrites(&batches[i].Operations[j])...)
		}
	}
	return out
}

func stepOnceWrites(s *cicadaledger.Operation) []cicadastore.Write {
	var out []cicadastore.Write
	for _, c := range s.Claims {
		if !c.AtMostOnce {
			continue
		}
		row := onceRow{RequestID: c.RequestID, Fingerprint: c.Fingerprint, Holder: s.Holder}
		if value, err := cicadaledger.EncodeRow(row); err == nil {
			out = append(out, cicadastore.Write{Ref: onceRef(c.Key), Value: value})
		}
	}
	for _, b := range s.Bills {
		if !b.AtMostOnce || b.Voided {
			continue
		}
		w := cicadastore.Write{Ref: onceRef(b.Key), Delete: b.Outcome == cicadaledger.OutcomeNotRun}
		if !w.Delete {
			lost := b.Outcome == cicadaledger.OutcomeUnknown
			row := onceRow{RequestID: b.RequestID, Fingerprint: b.Fingerprint, Holder: s.Holder, Billed: !lost, Lost: lost}
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
