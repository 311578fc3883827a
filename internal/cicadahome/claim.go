package cicadahome

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
)

// memoryClaim is the claim of a running idempotent request. It is kept only in
// memory, because losing it can cause a second run but not a second bill.
type memoryClaim struct {
	claim     cicadaledger.Claim
	holder    cicadaledger.RouterID
	claimedAt time.Time
}

// Claim grants the key of an idempotent request to the first request that claims
// it, or releases the key.
func (h *Home) Claim(req *cicadapeer.ClaimRequest) *cicadapeer.ClaimReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.partitions[req.Partition]
	if !ok {
		return &cicadapeer.ClaimReply{Fault: cicadapeer.FaultNotHome}
	}
	if req.Release {
		if o.claims[req.Claim.Key].claim.RequestID == req.Claim.RequestID {
			delete(o.claims, req.Claim.Key)
		}
		return &cicadapeer.ClaimReply{}
	}
	now := time.Now()
	result := o.ledger.CheckClaim(req.Claim, req.Holder, now)
	if result.Status != cicadaledger.KeyGranted {
		return &cicadapeer.ClaimReply{Result: result}
	}
	existing, ok := o.claims[req.Claim.Key]
	if ok && !req.Claim.Rerun && !h.isAbandoned(existing, now) && existing.claim.RequestID != req.Claim.RequestID {
		result = cicadaledger.ClaimResult{Key: req.Claim.Key, Status: cicadaledger.KeyRunning, RequestID: existing.claim.RequestID, Holder: existing.holder}
		if existing.claim.Fingerprint != req.Claim.Fingerprint {
			result.Status = cicadaledger.KeyMismatch
		}
		return &cicadapeer.ClaimReply{Result: result}
	}
	if req.Claim.Rerun {
		o.ledger.CountRerun(req.Claim.Key)
	}
	o.claims[req.Claim.Key] = memoryClaim{claim: req.Claim, holder: req.Holder, claimedAt: now}
	return &cicadapeer.ClaimReply{Result: result}
}

// isAbandoned reports whether a claim's request can no longer be running.
func (h *Home) isAbandoned(c memoryClaim, now time.Time) bool {
	return now.Sub(c.claimedAt) > h.cfg.MaxRunTime() || h.cfg.Fleet.HasEnded(c.holder)
}

// expireClaims removes the claims of requests that started longer ago than the
// maximum run time. The caller must hold h.mu.
func (h *Home) expireClaims(o *ownedPartition, now time.Time) {
	for key, c := range o.claims {
		if now.Sub(c.claimedAt) > h.cfg.MaxRunTime() {
			delete(o.claims, key)
		}
	}
}

// removeBilledClaims removes the claims of the requests that an exchange bills.
// The caller must hold h.mu.
func removeBilledClaims(o *ownedPartition, x *cicadaledger.Exchange) {
	for i := range x.Bills {
		if o.claims[x.Bills[i].Key].claim.RequestID == x.Bills[i].RequestID {
			delete(o.claims, x.Bills[i].Key)
		}
	}
}
