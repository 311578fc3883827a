package cicadarouter

import (
	"context"
	"strings"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadahome"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/pkg/errors"
)

// evidence asks the upstreams of a budget's service what an ended router process
// used.
//
// A process that the host list calls gone may live on, cut off from the
// platform. It is safe to give its units to others if a later process runs on
// its host, or if every runner of the service refuses it from now on. Where the
// runners do not check who sends, and no later process runs, the units stay in
// doubt in a service that fears overspend more; one that fears false refusals
// more takes the host list's word.
type evidence struct{ r *Router }

var _ cicadahome.RecoverySource = (*evidence)(nil)

// FencedUsage fences the process off where that is possible and sums its use.
func (e *evidence) FencedUsage(ctx context.Context, id cicadaledger.RouterID, budget string) (cicadabudget.Units, error) {
	svc, org, ok := e.ownerOf(budget)
	if !ok {
		return 0, errors.Wrapf(cicadahome.ErrInDoubt, "no service declares budget %s", budget)
	}
	holder, err := id.MarshalText()
	if err != nil {
		return 0, err
	}
	replaced := e.isReplaced(id)
	var used cicadabudget.Units
	for i := range svc.Upstreams() {
		u := &svc.Upstreams()[i]
		if !replaced && !u.ChecksFencing && svc.Rules().Preference == cicadadoc.PreferNoOverspend {
			return 0, errors.Wrapf(cicadahome.ErrInDoubt, "upstream %s does not check who sends", u.Name)
		}
		if u.Kind != cicadadoc.KindModelEngine {
			if svc.Rules().Preference == cicadadoc.PreferNoOverspend {
				return 0, errors.Wrapf(cicadahome.ErrInDoubt, "upstream %s keeps no record of its callers", u.Name)
			}
			continue
		}
		units, err := e.usedAt(ctx, u, string(holder), svc.Name()+"/"+org)
		if err != nil {
			return 0, err
		}
		used += units
	}
	return used, nil
}

// CollectLoans asks the other routers, and this one.
func (e *evidence) CollectLoans(ctx context.Context, id cicadaledger.RouterID) ([]cicadaledger.Loan, error) {
	moves, err := e.r.fleet.CollectLoans(ctx, id)
	if err != nil {
		return nil, errors.Wrap(cicadahome.ErrInDoubt, err.Error())
	}
	return append(moves, e.r.session.CollectLoans(id)...), nil
}

// usedAt fences the process off at every runner of an upstream and sums its use
// there. Requests that still run end first.
func (e *evidence) usedAt(ctx context.Context, u *cicadadoc.Upstream, holder, org string) (cicadabudget.Units, error) {
	var used cicadabudget.Units
	for _, runner := range u.Runners {
		if u.ChecksFencing {
			if err := e.r.runners.Fence(ctx, runner.Address, holder); err != nil {
				return 0, errors.Wrapf(cicadahome.ErrInDoubt, "runner %s: %v", runner.Name, err)
			}
		}
		use, err := e.r.runners.Usage(ctx, runner.Address, holder, org)
		if err != nil {
			return 0, errors.Wrapf(cicadahome.ErrInDoubt, "runner %s: %v", runner.Name, err)
		}
		if use.Running > 0 {
			return 0, errors.Wrapf(cicadahome.ErrInDoubt, "runner %s still runs %d of its requests", runner.Name, use.Running)
		}
		used += cicadabudget.Units(use.Tokens)
	}
	return used, nil
}

// ownerOf finds the service and organisation of a budget.
func (e *evidence) ownerOf(budget string) (svc *cicadaconfig.Service, organisation string, ok bool) {
	service, name, _ := strings.Cut(budget, "/")
	svc, ok = e.r.watcher.Current().Service(service)
	if !ok {
		return nil, "", false
	}
	for _, b := range svc.Document().Budgets {
		if b.Name == name {
			return svc, b.Organisation, true
		}
	}
	return nil, "", false
}

// isReplaced tells whether a later process runs on the holder's host.
func (e *evidence) isReplaced(id cicadaledger.RouterID) bool {
	h, ok := e.r.fleet.Host(id.Host)
	return ok && h.Incarnation > id.Incarnation
}
