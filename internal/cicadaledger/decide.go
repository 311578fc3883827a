package cicadaledger

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
)

const (
	// maxReplays bounds how often a billed idempotent request may run again
	// for a caller that lost its answer.
	maxReplays = 3
	// scarceShare divides what is available among the holders of a budget.
	scarceShare = 2
)

// Decide works out the effect of x on the present state. It changes nothing:
// the step takes effect by Apply with its batch.
func (p *Partition) Decide(x *Exchange, isDry func(budget string) bool, now time.Time) Operation {
	s := Operation{Holder: x.Holder, Returns: x.Returns, Loans: x.Loans, Result: ExchangeResult{Seq: x.Seq}, SessionEnded: x.Closing}
	freed := make(map[string]cicadabudget.Units)
	for _, r := range x.Returns {
		freed[r.Budget] += r.Units
	}
	seen := make(map[string]string)
	for _, b := range x.Bills {
		b = p.decideBill(b, seen)
		if b.Voided {
			s.Result.Credits = append(s.Result.Credits, Amount{Budget: b.Budget, Units: b.Units + b.Withheld})
		}
		s.Bills = append(s.Bills, b)
	}
	claimed := make(map[string]*key)
	for _, c := range x.Claims {
		v := p.decideClaim(c, x.Holder, claimed, now)
		s.Result.ClaimResults = append(s.Result.ClaimResults, v)
		if v.Status == KeyGranted {
			s.Claims = append(s.Claims, c)
		}
	}
	p.decideGrants(x, freed, isDry, &s.Result)
	return s
}

func (p *Partition) decideBill(b Bill, seen map[string]string) Bill {
	if b.Key == "" || b.clearsClaim() {
		return b
	}
	first := seen[b.Key]
	if k, ok := p.keys[b.Key]; ok && k.billed {
		first = k.requestID
	}
	if first == "" {
		seen[b.Key] = b.RequestID
		return b
	}
	b.Voided = true
	b.FirstRequestID = first
	return b
}

func (p *Partition) decideClaim(c Claim, by RouterID, claimed map[string]*key, now time.Time) ClaimResult {
	k := claimed[c.Key]
	if k == nil {
		k = p.keys[c.Key]
	}
	granted := ClaimResult{Status: KeyGranted}
	if k == nil {
		claimed[c.Key] = &key{requestID: c.RequestID, fingerprint: c.Fingerprint, holder: by, once: c.AtMostOnce, at: now}
		return granted
	}
	v := ClaimResult{Key: c.Key, RequestID: k.requestID, Holder: k.holder, Status: KeyRunning}
	lost := k.lost || now.Sub(k.at) > p.cfg.MaxRunTime || p.gone[k.holder]
	switch {
	case k.requestID == c.RequestID:
		return granted
	case k.fingerprint != c.Fingerprint:
		v.Status = KeyMismatch
	case k.billed && c.Rerun && !k.once && k.replays < maxReplays:
		return granted
	case k.billed:
		v.Status = KeyBilled
	case lost && k.once:
		v.Status = KeyOutcomeUnknown
	case lost:
		return granted
	}
	return v
}

// CheckClaim tells what the ledger knows of a claim, without recording it.
func (p *Partition) CheckClaim(c Claim, by RouterID, now time.Time) ClaimResult {
	return p.decideClaim(c, by, make(map[string]*key), now)
}

// CountRerun counts a run, at no charge, of a request that is billed already.
func (p *Partition) CountRerun(name string) {
	if k, ok := p.keys[name]; ok {
		k.replays++
	}
}

func (p *Partition) decideGrants(
	x *Exchange, freed map[string]cicadabudget.Units, isDry func(budget string) bool, a *ExchangeResult,
) {
	granted := make(map[string]cicadabudget.Units)
	for _, ask := range x.UnitRequests {
		b := p.peek(ask.Budget)
		available := b.available() + freed[ask.Budget] - granted[ask.Budget]
		dry := isDry(ask.Budget)
		units := grant(ask, available, b.holders, dry)
		if units > 0 {
			granted[ask.Budget] += units
			a.Grants = append(a.Grants, Amount{Budget: ask.Budget, Units: units})
		}
		if units >= max(ask.Min, ask.Want) || (units > 0 && units >= ask.Min && !dry) {
			continue
		}
		var own cicadabudget.Units
		if h, ok := p.holders[x.Holder]; ok {
			own = h.held[ask.Budget]
		}
		a.Shortages = append(a.Shortages, Shortage{
			Budget:        ask.Budget,
			Remaining:     b.allotted - b.spent - b.withheld,
			HeldElsewhere: b.held - own,
			FullyAllotted: dry,
		})
	}
}

// grant shares what is available. While more can be allotted an ask is met as
// far as possible. Once the budget is dry a router gets a share, and near the
// end just what the waiting request lacks, so that the last units are not held
// by one router while another refuses.
func grant(ask UnitRequest, available cicadabudget.Units, holders int, dry bool) cicadabudget.Units {
	want := max(ask.Min, ask.Want)
	if available <= 0 || ask.Min > available {
		return 0
	}
	if !dry {
		return min(want, available)
	}
	share := available / cicadabudget.Units(scarceShare*max(holders, 1))
	return max(ask.Min, min(share, want))
}
