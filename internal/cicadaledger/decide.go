package cicadaledger

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
)

const (
	// maxReruns limits how often a billed idempotent request may run again
	// for a caller that did not get the response.
	maxReruns = 3
	// fullyAllottedDivisor reduces the share of the available units that one
	// holder is granted when the budget is fully allotted: the available units
	// are divided by the number of holders times this value.
	fullyAllottedDivisor = 2
)

// Decide returns the operation for x in the current state. It changes no state;
// the operation takes effect when it is staged, or when its batch is applied.
func (p *Partition) Decide(x *Exchange, isFullyAllotted func(budget string) bool, now time.Time) Operation {
	op := Operation{Holder: x.Holder, Returns: x.Returns, Loans: x.Loans, Result: ExchangeResult{Seq: x.Seq}, SessionEnded: x.Closing}
	returned := make(map[string]cicadabudget.Units)
	for _, r := range x.Returns {
		returned[r.Budget] += r.Units
	}
	billedInExchange := make(map[string]string)
	for _, b := range x.Bills {
		b = p.decideBill(b, billedInExchange)
		if b.Voided {
			op.Result.Credits = append(op.Result.Credits, Amount{Budget: b.Budget, Units: b.Units + b.Withheld})
		}
		op.Bills = append(op.Bills, b)
	}
	claimedInExchange := make(map[string]*key)
	for _, c := range x.Claims {
		result := p.decideClaim(c, x.Holder, claimedInExchange, now)
		op.Result.ClaimResults = append(op.Result.ClaimResults, result)
		if result.Status == KeyGranted {
			op.Claims = append(op.Claims, c)
		}
	}
	p.decideGrants(x, returned, isFullyAllotted, &op.Result)
	return op
}

func (p *Partition) decideBill(b Bill, billedInExchange map[string]string) Bill {
	if b.Key == "" || b.clearsClaim() {
		return b
	}
	firstRequestID := billedInExchange[b.Key]
	if k, ok := p.keys[b.Key]; ok && k.billed {
		firstRequestID = k.requestID
	}
	if firstRequestID == "" {
		billedInExchange[b.Key] = b.RequestID
		return b
	}
	b.Voided = true
	b.FirstRequestID = firstRequestID
	return b
}

func (p *Partition) decideClaim(c Claim, holderID RouterID, claimedInExchange map[string]*key, now time.Time) ClaimResult {
	k := claimedInExchange[c.Key]
	if k == nil {
		k = p.keys[c.Key]
	}
	granted := ClaimResult{Status: KeyGranted}
	if k == nil {
		claimedInExchange[c.Key] = &key{requestID: c.RequestID, fingerprint: c.Fingerprint, holder: holderID, atMostOnce: c.AtMostOnce, updatedAt: now}
		return granted
	}
	result := ClaimResult{Key: c.Key, RequestID: k.requestID, Holder: k.holder, Status: KeyRunning}
	routerLost := k.outcomeUnknown || now.Sub(k.updatedAt) > p.cfg.MaxRunTime || p.ended[k.holder]
	switch {
	case k.requestID == c.RequestID:
		return granted
	case k.fingerprint != c.Fingerprint:
		result.Status = KeyMismatch
	case k.billed && c.Rerun && !k.atMostOnce && k.reruns < maxReruns:
		return granted
	case k.billed:
		result.Status = KeyBilled
	case routerLost && k.atMostOnce:
		result.Status = KeyOutcomeUnknown
	case routerLost:
		return granted
	}
	return result
}

// CheckClaim returns the result of a claim without recording the claim.
func (p *Partition) CheckClaim(c Claim, holderID RouterID, now time.Time) ClaimResult {
	return p.decideClaim(c, holderID, make(map[string]*key), now)
}

// CountRerun counts a free rerun of a request that is already billed.
func (p *Partition) CountRerun(name string) {
	if k, ok := p.keys[name]; ok {
		k.reruns++
	}
}

func (p *Partition) decideGrants(
	x *Exchange, returned map[string]cicadabudget.Units, isFullyAllotted func(budget string) bool, result *ExchangeResult,
) {
	granted := make(map[string]cicadabudget.Units)
	for _, req := range x.UnitRequests {
		b := p.lookupBudget(req.Budget)
		available := b.available() + returned[req.Budget] - granted[req.Budget]
		fullyAllotted := isFullyAllotted(req.Budget)
		units := grantUnits(req, available, b.holders, fullyAllotted)
		if units > 0 {
			granted[req.Budget] += units
			result.Grants = append(result.Grants, Amount{Budget: req.Budget, Units: units})
		}
		if units >= max(req.Min, req.Want) || (units > 0 && units >= req.Min && !fullyAllotted) {
			continue
		}
		var ownUnits cicadabudget.Units
		if h, ok := p.holders[x.Holder]; ok {
			ownUnits = h.held[req.Budget]
		}
		result.Shortages = append(result.Shortages, Shortage{
			Budget:        req.Budget,
			Remaining:     b.allotted - b.spent - b.withheld,
			HeldElsewhere: b.held - ownUnits,
			FullyAllotted: fullyAllotted,
		})
	}
}

// grantUnits returns how many of the available units to grant. While more can be
// allotted, it grants as much as possible of what is wanted. Once the budget is
// fully allotted, a router gets only a share, and near the end only what its
// waiting request lacks, so that one router does not hold the last units while
// another refuses requests.
func grantUnits(req UnitRequest, available cicadabudget.Units, holders int, fullyAllotted bool) cicadabudget.Units {
	want := max(req.Min, req.Want)
	if available <= 0 || req.Min > available {
		return 0
	}
	if !fullyAllotted {
		return min(want, available)
	}
	share := available / cicadabudget.Units(fullyAllottedDivisor*max(holders, 1))
	return max(req.Min, min(share, want))
}
