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
		Free         Units  `json:"free"`
		Dormant      Units  `json:"dormant"`
		Reserved     Units  `json:"reserved"`
		Spent        Units  `json:"spent"` // by requests that have ended
		Rate         int64  `json:"unitsPerSecond"`
	}

	// Held is what a process would leave if it ended now.
	Held struct {
		Free     Units `json:"free"`
		Dormant  Units `json:"dormant"` // part of Free
		Reserved Units `json:"reserved"`
		Spent    Units `json:"spent"` // by requests that have ended
	}
)

// State lists the accounts.
func (a *Accounts) State(now time.Time) []AccountState {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]AccountState, 0, len(a.byOrg))
	for org, acc := range a.byOrg {
		out = append(out, AccountState{
			Organisation: org, Limit: acc.bound(), Drawn: acc.pool.Drawn, Free: acc.free, Dormant: acc.dormant(now),
			Reserved: acc.reserved, Spent: acc.spent, Rate: int64(acc.own.rate(now)),
		})
	}
	return out
}

// Held returns what is held in all accounts together, and by organisation for the
// most accounts that hold the most.
func (a *Accounts) Held(most int, now time.Time) (Held, map[string]Held) {
	list := a.State(now)
	slices.SortFunc(list, func(x, y AccountState) int {
		return cmp.Compare(y.Free+y.Reserved, x.Free+x.Reserved)
	})
	var all Held
	byOrg := map[string]Held{}
	for i := range list {
		s := &list[i]
		h := Held{Free: s.Free, Dormant: s.Dormant, Reserved: s.Reserved, Spent: s.Spent}
		all.Free += h.Free
		all.Dormant += h.Dormant
		all.Reserved += h.Reserved
		all.Spent += h.Spent
		if i < most && h != (Held{}) {
			byOrg[s.Organisation] = h
		}
	}
	return all, byOrg
}
