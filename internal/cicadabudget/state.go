package cicadabudget

import (
	"cmp"
	"slices"
	"time"
)

type (
	// AccountState describes an account in a state dump.
	AccountState struct {
		Organisation string `json:"organisation"`
		Limit        Units  `json:"limit"`
		Drawn        Units  `json:"drawnByAll"`
		Holdings
		Rate int64 `json:"unitsPerSecond"`
	}

	// Holdings are the units that a process holds and has spent. They are what it would leave
	// behind if it ended now.
	Holdings struct {
		Free     Units `json:"free"`
		Locked   Units `json:"dormant"` // part of Free
		Reserved Units `json:"reserved"`
		Spent    Units `json:"spent"` // by completed requests
	}

	// orgHoldings are the holdings of one organisation's budget.
	orgHoldings struct {
		organisation string
		holdings     Holdings
	}
)

// State returns the state of all accounts.
func (a *Accounts) State(now time.Time) []AccountState {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]AccountState, 0, len(a.byOrg))
	for org, acc := range a.byOrg {
		out = append(out, AccountState{
			Organisation: org, Limit: acc.effectiveLimit(), Drawn: acc.pool.Drawn, Holdings: acc.holdings(now), Rate: int64(acc.localUse.rate(now)),
		})
	}
	return out
}

func (acc *account) holdings(now time.Time) Holdings {
	return Holdings{Free: acc.free, Locked: acc.locked(now), Reserved: acc.reserved, Spent: acc.spent}
}

// Holdings returns the sum over all accounts, and the holdings of the maxOrgs organisations
// with the largest ones. Accounts that hold nothing allocate no memory.
func (a *Accounts) Holdings(maxOrgs int, now time.Time) (Holdings, map[string]Holdings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all Holdings
	var list []orgHoldings
	for org, acc := range a.byOrg {
		all.Spent += acc.spent
		if acc.free == 0 && acc.reserved == 0 {
			continue
		}
		h := acc.holdings(now)
		all.Free += h.Free
		all.Locked += h.Locked
		all.Reserved += h.Reserved
		list = append(list, orgHoldings{organisation: org, holdings: h})
	}
	slices.SortFunc(list, func(x, y orgHoldings) int {
		return cmp.Compare(y.holdings.Free+y.holdings.Reserved, x.holdings.Free+x.holdings.Reserved)
	})
	byOrg := map[string]Holdings{}
	for _, h := range list[:min(maxOrgs, len(list))] {
		byOrg[h.organisation] = h.holdings
	}
	return all, byOrg
}
