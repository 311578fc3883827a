package cicadasession

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/pkg/errors"
)

// ClaimIdempotent asks the home whether an idempotent request with a key may run.
// The home keeps such claims only in memory.
func (m *Manager) ClaimIdempotent(ctx context.Context, budget string, c cicadaledger.Claim) (cicadaledger.ClaimResult, error) {
	result, err := m.cfg.HomeClient.Claim(ctx, m.claimRequest(budget, c))
	return result, errors.Wrap(err, "claim")
}

func (m *Manager) claimRequest(budget string, c cicadaledger.Claim) *cicadapeer.ClaimRequest {
	return &cicadapeer.ClaimRequest{Partition: cicadaledger.PartitionOf(m.cfg.Region, budget), Holder: m.cfg.Self, Claim: c}
}

// releaseTimeout limits the release of a claim that is no longer needed.
const releaseTimeout = time.Second

// ReleaseClaim releases the key of an idempotent request that will not be billed.
func (m *Manager) ReleaseClaim(budget string, c cicadaledger.Claim) {
	req := m.claimRequest(budget, c)
	req.Release = true
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.abandoned {
		return
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if _, err := m.cfg.HomeClient.Claim(ctx, req); err != nil {
			m.cfg.Counts.Add("releasesFailed", 1)
		}
	}()
}

// ClaimAtMostOnce asks the home to record that an at-most-once request is about to
// run. If ctx ends first, the claim stays queued and only its result is lost.
func (m *Manager) ClaimAtMostOnce(ctx context.Context, budget string, c cicadaledger.Claim) (cicadaledger.ClaimResult, error) {
	result := make(chan cicadaledger.ClaimResult, 1)
	m.mu.Lock()
	if m.closing {
		m.mu.Unlock()
		return cicadaledger.ClaimResult{}, ErrClosed
	}
	p := m.sessionFor(budget)
	p.claims = append(p.claims, pendingClaim{claim: c, result: result})
	p.wakeUp()
	m.mu.Unlock()
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return cicadaledger.ClaimResult{}, ErrHomeUnavailable
	}
}

// WithdrawClaim withdraws the claim of an at-most-once request that will not run,
// whether or not the claim's result arrived. If the claim may already be recorded,
// the request is billed as not run, which clears the claim.
func (m *Manager) WithdrawClaim(budget string, c cicadaledger.Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.sessionFor(budget)
	for i, pc := range p.claims {
		if pc.claim == c {
			p.claims = append(p.claims[:i], p.claims[i+1:]...)
			return
		}
	}
	p.bills = append(p.bills, pendingBill{bill: cicadaledger.Bill{
		RequestID: c.RequestID, Budget: budget, Key: c.Key, AtMostOnce: c.AtMostOnce, Outcome: cicadaledger.OutcomeNotRun,
	}, recorded: make(chan struct{})})
	p.wakeUp()
}
