package cicadaquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// incidents are the numbers of the incidents that a trait explains, ascending.
	incidents []int

	// timeline holds the crashes in their order, with the incident that each belongs to.
	timeline struct {
		crashes  []Crash
		incident []int // of the crash with the same index
	}
)

// update removes evidence that is too old or too much, and derives the blocks from the rest.
func (q *Quarantine) update(now time.Duration) {
	blocks := q.deriveBlocks()
	supporting := map[string]bool{}
	for i := range blocks {
		for _, runner := range blocks[i].Runners {
			supporting[runner] = true
		}
	}
	count := len(q.crashes)
	for runner, c := range q.crashes {
		ttl := crashTTL
		if supporting[runner] {
			ttl = blockTTL
		}
		if now-c.at > ttl {
			delete(q.crashes, runner)
		}
	}
	for len(q.crashes) > maxCrashes {
		delete(q.crashes, q.oldestCrash(supporting))
	}
	if len(q.crashes) < count {
		blocks = q.deriveBlocks()
	}
	for t := range q.cleared {
		if !q.isSuspected(t, 0, q.cleared[t].at) {
			delete(q.cleared, t)
		}
	}
	q.blocks.Store(&blocks)
}

// oldestCrash returns the runner of the oldest crash, preferably of one that supports no block.
func (q *Quarantine) oldestCrash(supporting map[string]bool) string {
	return slices.MinFunc(slices.Collect(maps.Keys(q.crashes)), func(a, b string) int {
		if supporting[a] != supporting[b] {
			return cmp.Compare(btoi(supporting[a]), btoi(supporting[b]))
		}
		return cmp.Or(cmp.Compare(q.crashes[a].at, q.crashes[b].at), cmp.Compare(a, b))
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(b.AtMillis, a.AtMillis), cmp.Compare(a.Runner, b.Runner))
}

// uncleared returns suspects without the traits that are cleared of a crash at a time.
func (q *Quarantine) uncleared(s *Suspects, at time.Duration) Suspects {
	return Suspects{Begun: q.unclearedOf(s.Begun, at), Waiting: q.unclearedOf(s.Waiting, at)}
}

func (q *Quarantine) unclearedOf(list []Suspect, at time.Duration) []Suspect {
	var out []Suspect
	for _, s := range list {
		out = addSuspect(out, slices.DeleteFunc(slices.Clone(s), func(t Trait) bool { return q.cleared[t].at > at }))
	}
	return out
}

// suspected returns the suspects that are not cleared of a crash at a time in all their traits.
func (q *Quarantine) suspected(s *Suspects, at time.Duration) Suspects {
	isCleared := func(s Suspect) bool {
		return !slices.ContainsFunc(s, func(t Trait) bool { return q.cleared[t].at <= at })
	}
	return Suspects{
		Begun:   slices.DeleteFunc(slices.Clone(s.Begun), isCleared),
		Waiting: slices.DeleteFunc(slices.Clone(s.Waiting), isCleared),
	}
}

// deriveBlocks repeatedly takes the traits that explain the most incidents. What they explain no
// longer counts against other traits.
func (q *Quarantine) deriveBlocks() []Block {
	tl := q.timeline()
	explained := tl.explainedIncidents()
	var blocks []Block
	for {
		most := 0
		for _, list := range explained {
			most = max(most, len(list))
		}
		if most < q.cfg.Threshold {
			break
		}
		groups := tl.groups(explained, most)
		if most == q.cfg.Threshold && !tl.isMostSpecific(groups) {
			// The next crash tells which group is the cause.
			break
		}
		taken := explained[groups[0][0]]
		blocks = append(blocks, tl.block(groups[0]))
		for t, list := range explained {
			explained[t] = slices.DeleteFunc(slices.Clone(list), func(i int) bool { return slices.Contains(taken, i) })
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int {
		return cmp.Or(cmp.Compare(a.FirstMillis, b.FirstMillis), cmp.Compare(a.Traits[0], b.Traits[0]))
	})
	return blocks
}

// timeline returns the crashes with their suspects that are not cleared.
func (q *Quarantine) timeline() *timeline {
	tl := &timeline{}
	for runner, c := range q.crashes {
		entry := Crash{Runner: runner, AtMillis: c.at.Milliseconds()}
		entry.Suspects = q.uncleared(&c.suspects, c.at)
		tl.crashes = append(tl.crashes, entry)
	}
	slices.SortFunc(tl.crashes, func(a, b Crash) int { return compareCrashes(b, a) })
	number, began := -1, int64(0)
	for i := range tl.crashes {
		if at := tl.crashes[i].AtMillis; number < 0 || at-began >= incidentWindow.Milliseconds() {
			number, began = number+1, at
		}
		tl.incident = append(tl.incident, number)
	}
	return tl
}

// explainedIncidents returns the incidents that each trait explains: those in which at least half
// of the runners that crashed were serving it.
func (tl *timeline) explainedIncidents() map[Trait]incidents {
	out := map[Trait]incidents{}
	for from := 0; from < len(tl.crashes); {
		to := from
		runners := map[Trait]int{}
		for ; to < len(tl.crashes) && tl.incident[to] == tl.incident[from]; to++ {
			for t := range tl.crashes[to].traits() {
				runners[t]++
			}
		}
		for t, n := range runners {
			if 2*n >= to-from {
				out[t] = append(out[t], tl.incident[from])
			}
		}
		from = to
	}
	return out
}

// traits returns the traits of the suspects that count.
func (c *Crash) traits() map[Trait]bool {
	out := map[Trait]bool{}
	for _, s := range c.counting() {
		for _, t := range s {
			out[t] = true
		}
	}
	return out
}

// groups returns the traits that explain a number of incidents. Traits are in the same group if
// they explain the same incidents and occurred together in each crash. Groups with fewer suspects
// come first: if such a group is the wrong one, fewer requests are refused, and the next crash shows
// it.
func (tl *timeline) groups(explained map[Trait]incidents, count int) [][]Trait {
	var groups [][]Trait
	for _, t := range slices.Sorted(maps.Keys(explained)) {
		if len(explained[t]) != count {
			continue
		}
		i := slices.IndexFunc(groups, func(g []Trait) bool {
			return slices.Equal(explained[g[0]], explained[t]) && tl.occurTogether(g[0], t)
		})
		if i < 0 {
			groups = append(groups, []Trait{t})
			continue
		}
		groups[i] = append(groups[i], t)
	}
	slices.SortStableFunc(groups, func(a, b []Trait) int { return cmp.Compare(tl.suspectCount(a[0]), tl.suspectCount(b[0])) })
	return groups
}

// suspectCount returns the number of suspects that have a trait.
func (tl *timeline) suspectCount(t Trait) int {
	n := 0
	for i := range tl.crashes {
		for _, s := range tl.crashes[i].all() {
			if slices.Contains(s, t) {
				n++
			}
		}
	}
	return n
}

// isMostSpecific reports whether each suspect that has the first group's traits also has those of
// all other groups.
func (tl *timeline) isMostSpecific(groups [][]Trait) bool {
	for _, g := range groups[1:] {
		for i := range tl.crashes {
			for _, s := range tl.crashes[i].all() {
				if slices.Contains(s, groups[0][0]) && !slices.Contains(s, g[0]) {
					return false
				}
			}
		}
	}
	return true
}

// occurTogether reports whether each suspect that has one of the traits has the other one too.
func (tl *timeline) occurTogether(a, b Trait) bool {
	for i := range tl.crashes {
		for _, s := range tl.crashes[i].all() {
			if slices.Contains(s, a) != slices.Contains(s, b) {
				return false
			}
		}
	}
	return true
}

// block returns the block of a group of traits.
func (tl *timeline) block(traits []Trait) Block {
	b := Block{Traits: traits}
	for i := range tl.crashes {
		c := &tl.crashes[i]
		if !c.traits()[traits[0]] {
			continue
		}
		if len(b.Runners) == 0 {
			b.FirstMillis = c.AtMillis
		}
		b.Runners, b.LastMillis = append(b.Runners, c.Runner), c.AtMillis
	}
	return b
}
