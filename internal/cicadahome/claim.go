package cicadahome

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
)

// volatileClaim is the key of an idempotent request that runs. It is kept in
// memory only: what it saves is a second run, not a second bill.
type volatileClaim struct {
	claim cicadaledger.Claim
	by    cicadaledger.RouterID
	at    time.Time
}

// Claim gives the key of an idempotent request to the first who asks.
func (h *Home) Claim(req *cicadapeer.ClaimRequest) *cicadapeer.ClaimReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.parts[req.Partition]
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
	v := o.ledger.CheckClaim(req.Claim, req.Holder, now)
	if v.Status != cicadaledger.KeyGranted {
		return &cicadapeer.ClaimReply{Result: v}
	}
	held, ok := o.claims[req.Claim.Key]
	if ok && !req.Claim.Rerun && !h.isLost(held, now) && held.claim.RequestID != req.Claim.RequestID {
		v = cicadaledger.ClaimResult{Key: req.Claim.Key, Status: cicadaledger.KeyRunning, RequestID: held.claim.RequestID, Holder: held.by}
		if held.claim.Fingerprint != req.Claim.Fingerprint {
			v.Status = cicadaledger.KeyMismatch
		}
		return &cicadapeer.ClaimReply{Result: v}
	}
	if req.Claim.Rerun {
		o.ledger.CountRerun(req.Claim.Key)
	}
	o.claims[req.Claim.Key] = volatileClaim{claim: req.Claim, by: req.Holder, at: now}
	return &cicadapeer.ClaimReply{Result: v}
}

// isLost tells whether a claim's request cannot be running any more.
func (h *Home) isLost(c volatileClaim, now time.Time) bool {
	return now.Sub(c.at) > h.cfg.MaxRunTime() || h.cfg.Fleet.HasEnded(c.by)
}

// forgetClaims drops the claims of requests that are billed, or gone for long.
// The caller holds h.mu.
func (h *Home) forgetClaims(o *owned, now time.Time) {
	for key, c := range o.claims {
		if now.Sub(c.at) > h.cfg.MaxRunTime() {
			delete(o.claims, key)
		}
	}
}

// endClaims drops the claims of the requests that an exchange bills. The caller
// holds h.mu.
func endClaims(o *owned, x *cicadaledger.Exchange) {
	for i := range x.Bills {
		if o.claims[x.Bills[i].Key].claim.RequestID == x.Bills[i].RequestID {
			delete(o.claims, x.Bills[i].Key)
		}
	}
}
