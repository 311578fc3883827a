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

// recoverySource determines from the upstreams of a budget's service what an ended
// router process used.
//
// A process that the host list reports as ended may still be running, partitioned
// from the platform. Its units can safely be recovered if a later process runs on
// its host, or if every runner of the service rejects its requests from now on
// (fencing). If the runners do not check fencing and there is no later process,
// the units stay in doubt in a service that prefers no overspend; for a service
// that prefers no false refusals, the host list is relied on.
type recoverySource struct{ r *Router }

var _ cicadahome.RecoverySource = (*recoverySource)(nil)

// FencedUsage fences the process at the runners that check fencing, and returns the
// units it used.
func (s *recoverySource) FencedUsage(ctx context.Context, id cicadaledger.RouterID, budget string) (cicadabudget.Units, error) {
	svc, org, ok := s.budgetOwner(budget)
	if !ok {
		return 0, errors.Wrapf(cicadahome.ErrInDoubt, "no service declares budget %s", budget)
	}
	routerID, err := id.MarshalText()
	if err != nil {
		return 0, err
	}
	replaced := s.isReplaced(id)
	var used cicadabudget.Units
	for i := range svc.Upstreams() {
		u := &svc.Upstreams()[i]
		if !replaced && !u.ChecksFencing && svc.Rules().Preference == cicadadoc.PreferNoOverspend {
			return 0, errors.Wrapf(cicadahome.ErrInDoubt, "upstream %s does not check fencing, the ended process may still use it", u.Name)
		}
		if u.Kind != cicadadoc.KindModelEngine {
			if svc.Rules().Preference == cicadadoc.PreferNoOverspend {
				return 0, errors.Wrapf(cicadahome.ErrInDoubt, "upstream %s keeps no usage records", u.Name)
			}
			continue
		}
		units, err := s.usageAtUpstream(ctx, u, string(routerID), svc.Name()+"/"+org)
		if err != nil {
			return 0, err
		}
		used += units
	}
	return used, nil
}

// CollectLoans returns the loans that the live routers of the region, including this
// one, have received from an ended process and that are not yet known to be recorded.
func (s *recoverySource) CollectLoans(ctx context.Context, id cicadaledger.RouterID) ([]cicadaledger.Loan, error) {
	loans, err := s.r.fleet.CollectLoans(ctx, id)
	if err != nil {
		return nil, errors.Wrap(cicadahome.ErrInDoubt, err.Error())
	}
	return append(loans, s.r.session.CollectLoans(id)...), nil
}

// usageAtUpstream fences the process at every runner of an upstream and returns the
// sum of its usage there. It fails while requests of the process are running.
func (s *recoverySource) usageAtUpstream(ctx context.Context, u *cicadadoc.Upstream, routerID, org string) (cicadabudget.Units, error) {
	var used cicadabudget.Units
	for _, runner := range u.Runners {
		if u.ChecksFencing {
			if err := s.r.upstreamClient.Fence(ctx, runner.Address, routerID); err != nil {
				return 0, errors.Wrapf(cicadahome.ErrInDoubt, "fence at runner %s: %v", runner.Name, err)
			}
		}
		usage, err := s.r.upstreamClient.Usage(ctx, runner.Address, routerID, org)
		if err != nil {
			return 0, errors.Wrapf(cicadahome.ErrInDoubt, "usage at runner %s: %v", runner.Name, err)
		}
		if usage.Running > 0 {
			return 0, errors.Wrapf(cicadahome.ErrInDoubt, "runner %s is still running %d requests of the ended process", runner.Name, usage.Running)
		}
		used += cicadabudget.Units(usage.Tokens)
	}
	return used, nil
}

// budgetOwner returns the service and organisation of a budget.
func (s *recoverySource) budgetOwner(budget string) (svc *cicadaconfig.Service, organisation string, ok bool) {
	service, name, _ := strings.Cut(budget, "/")
	svc, ok = s.r.watcher.Current().Service(service)
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

// isReplaced reports whether a later process runs on the host of the process.
func (s *recoverySource) isReplaced(id cicadaledger.RouterID) bool {
	h, ok := s.r.fleet.Host(id.Host)
	return ok && h.Incarnation > id.Incarnation
}
