package cicadasession

import (
	"context"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/pkg/errors"
)

// ClaimIdempotent asks the home whether an idempotent request with a key may run. The home
// answers from memory.
func (m *Manager) ClaimIdempotent(ctx context.Context, budget string, c cicadaledger.Claim) (cicadaledger.ClaimResult, error) {
	v, err := m.cfg.HomeClient.Claim(ctx, m.claimRequest(budget, c))
	return v, errors.Wrap(err, "claim")
}

func (m *Manager) claimRequest(budget string, c cicadaledger.Claim) *cicadapeer.ClaimRequest {
	return &cicadapeer.ClaimRequest{Partition: cicadaledger.PartitionOf(m.cfg.Region, budget), Holder: m.cfg.Self, Claim: c}
}

// releaseTimeout bounds the return of a claim that is not needed any more.
const releaseTimeout = time.Second

// ReleaseClaim gives the key of an idempotent request back that will not be billed.
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

// ClaimAtMostOnce asks the home to record that a request that may run at most once is
// about to run. The claim stays queued if ctx ends first; its verdict is then
// lost, not the claim.
func (m *Manager) ClaimAtMostOnce(ctx context.Context, budget string, c cicadaledger.Claim) (cicadaledger.ClaimResult, error) {
	verdict := make(chan cicadaledger.ClaimResult, 1)
	m.mu.Lock()
	if m.closing {
		m.mu.Unlock()
		return cicadaledger.ClaimResult{}, ErrClosed
	}
	p := m.partOf(budget)
	p.claims = append(p.claims, pendingClaim{claim: c, verdict: verdict})
	p.wakeUp()
	m.mu.Unlock()
	select {
	case v := <-verdict:
		return v, nil
	case <-ctx.Done():
		return cicadaledger.ClaimResult{}, ErrHomeUnavailable
	}
}

// WithdrawClaim gives up a recorded claim whose verdict did not come, because the request
// will not run. It is billed as not run, which clears the claim.
func (m *Manager) WithdrawClaim(budget string, c cicadaledger.Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.partOf(budget)
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
