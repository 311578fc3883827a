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

	// Holdings is what a process would leave if it ended now.
	Holdings struct {
		Free     Units `json:"free"`
		Locked   Units `json:"dormant"` // part of Free
		Reserved Units `json:"reserved"`
		Spent    Units `json:"spent"` // by requests that have ended
	}

	// holding is what is held of one organisation's budget.
	holding struct {
		organisation string
		held         Holdings
	}
)

// State lists the accounts.
func (a *Accounts) State(now time.Time) []AccountState {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]AccountState, 0, len(a.byOrg))
	for org, acc := range a.byOrg {
		out = append(out, AccountState{
			Organisation: org, Limit: acc.bound(), Drawn: acc.pool.Drawn, Holdings: acc.held(now), Rate: int64(acc.own.rate(now)),
		})
	}
	return out
}

func (acc *account) held(now time.Time) Holdings {
	return Holdings{Free: acc.free, Locked: acc.dormant(now), Reserved: acc.reserved, Spent: acc.spent}
}

// Holdings returns what is held in all accounts together, and by organisation for the
// most accounts that hold the most. Accounts that hold nothing cost no memory.
func (a *Accounts) Holdings(most int, now time.Time) (Holdings, map[string]Holdings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all Holdings
	var list []holding
	for org, acc := range a.byOrg {
		all.Spent += acc.spent
		if acc.free == 0 && acc.reserved == 0 {
			continue
		}
		h := acc.held(now)
		all.Free += h.Free
		all.Locked += h.Locked
		all.Reserved += h.Reserved
		list = append(list, holding{organisation: org, held: h})
	}
	slices.SortFunc(list, func(x, y holding) int {
		return cmp.Compare(y.held.Free+y.held.Reserved, x.held.Free+x.held.Reserved)
	})
	byOrg := map[string]Holdings{}
	for _, h := range list[:min(most, len(list))] {
		byOrg[h.organisation] = h.held
	}
	return all, byOrg
}
