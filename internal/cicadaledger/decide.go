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
func (p *Partition) Decide(x *Exchange, isDry func(budget string) bool, now time.Time) Step {
	s := Step{Holder: x.Holder, Returns: x.Returns, Moves: x.Moves, Answer: Answer{Seq: x.Seq}, Gone: x.Closing}
	freed := make(map[string]cicadabudget.Units)
	for _, r := range x.Returns {
		freed[r.Budget] += r.Units
	}
	seen := make(map[string]string)
	for _, b := range x.Bills {
		b = p.decideBill(b, seen)
		if b.Voided {
			s.Answer.Credits = append(s.Answer.Credits, Amount{Budget: b.Budget, Units: b.Units + b.Withheld})
		}
		s.Bills = append(s.Bills, b)
	}
	claimed := make(map[string]*key)
	for _, c := range x.Claims {
		v := p.decideClaim(c, x.Holder, claimed, now)
		s.Answer.Verdicts = append(s.Answer.Verdicts, v)
		if v.State == KeyGranted {
			s.Claims = append(s.Claims, c)
		}
	}
	p.decideGrants(x, freed, isDry, &s.Answer)
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

func (p *Partition) decideClaim(c Claim, by Holder, claimed map[string]*key, now time.Time) Verdict {
	k := claimed[c.Key]
	if k == nil {
		k = p.keys[c.Key]
	}
	granted := Verdict{State: KeyGranted}
	if k == nil {
		claimed[c.Key] = &key{requestID: c.RequestID, fingerprint: c.Fingerprint, holder: by, once: c.Once, at: now}
		return granted
	}
	v := Verdict{Key: c.Key, RequestID: k.requestID, Holder: k.holder, State: KeyRunning}
	lost := k.lost || now.Sub(k.at) > p.cfg.RunWindow || p.gone[k.holder]
	switch {
	case k.requestID == c.RequestID:
		return granted
	case k.fingerprint != c.Fingerprint:
		v.State = KeyMismatch
	case k.billed && c.Rerun && !k.once && k.replays < maxReplays:
		return granted
	case k.billed:
		v.State = KeyBilled
	case lost && k.once:
		v.State = KeyUnknown
	case lost:
		return granted
	}
	return v
}

// Look tells what the ledger knows of a claim, without recording it.
func (p *Partition) Look(c Claim, by Holder, now time.Time) Verdict {
	return p.decideClaim(c, by, make(map[string]*key), now)
}

// NoteRerun counts a run, at no charge, of a request that is billed already.
func (p *Partition) NoteRerun(name string) {
	if k, ok := p.keys[name]; ok {
		k.replays++
	}
}

func (p *Partition) decideGrants(
	x *Exchange, freed map[string]cicadabudget.Units, isDry func(budget string) bool, a *Answer,
) {
	granted := make(map[string]cicadabudget.Units)
	for _, ask := range x.Asks {
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
		a.Scarce = append(a.Scarce, Shortage{
			Budget:        ask.Budget,
			Remaining:     b.allotted - b.spent - b.withheld,
			HeldElsewhere: b.held - own,
			Final:         dry,
		})
	}
}

// grant shares what is available. While more can be allotted an ask is met as
// far as possible. Once the budget is dry a router gets a share, and near the
// end just what the waiting request lacks, so that the last units are not held
// by one router while another refuses.
func grant(ask Ask, available cicadabudget.Units, holders int, dry bool) cicadabudget.Units {
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
