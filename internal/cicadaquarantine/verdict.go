package cicadaquarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// wideMargin is the number of incidents that a trait has to explain beyond those of a more special
// one to be the likelier cause.
const wideMargin = 2

type (
	// group is a set of traits that cannot be told apart: they explain the same crashes, and each
	// suspect has all of them or none.
	group struct {
		traits    []Trait
		crashes   []int // indices of the crashes that the traits explain, ascending
		incidents int   // number of the incidents that the crashes belong to
		// likelyCrashes are those of the crashes in which likely suspects have the traits, and likely is the
		// number of the incidents that they belong to.
		likelyCrashes []int
		likely        int
		suspects      []int // numbers of the suspects that have the traits, ascending
	}

	// explanation holds the crashes that a trait explains, ascending.
	explanation struct {
		crashes []int
		likely  []int // those in which a likely suspect has the trait
	}

	// timeline holds the crashes in their order, with the incident that each belongs to.
	timeline struct {
		crashes  []Crash
		incident []int      // of the crash with the same index
		names    [][]string // of the process of the crash with the same index
		// suspects holds the numbers of the suspects that have a trait, ascending.
		suspects map[Trait][]int
	}
)

// update removes evidence that is too old or too much, and derives the blocks from the rest.
func (q *Quarantine) update(now time.Duration) {
	blocks := q.deriveBlocks()
	supporting := supportingRunners(blocks)
	count := len(q.crashes)
	for runner, c := range q.crashes {
		ttl := crashTTL
		if supporting[runner] > 0 {
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
	q.forgetClearances(now)
	q.blocks.Store(&blocks)
}

// forgetClearances removes the clearances that are older than any crash. The report of the crashes
// that a clearance is for may arrive after it.
func (q *Quarantine) forgetClearances(now time.Duration) {
	for t, c := range q.cleared {
		if now-c.at > blockTTL {
			delete(q.cleared, t)
		}
	}
	for len(q.cleared) > maxClearances {
		delete(q.cleared, slices.MinFunc(slices.Collect(maps.Keys(q.cleared)), func(a, b Trait) int {
			return cmp.Or(cmp.Compare(q.cleared[a].at, q.cleared[b].at), cmp.Compare(a, b))
		}))
	}
}

// supportingRunners returns 1 for each runner whose crash supports a block.
func supportingRunners(blocks []Block) map[string]int {
	out := map[string]int{}
	for i := range blocks {
		for _, runner := range blocks[i].Runners {
			out[runner] = 1
		}
	}
	return out
}

// oldestCrash returns the runner of the oldest crash, preferably of one that supports no block.
func (q *Quarantine) oldestCrash(supporting map[string]int) string {
	return slices.MinFunc(slices.Collect(maps.Keys(q.crashes)), func(a, b string) int {
		return cmp.Or(cmp.Compare(supporting[a], supporting[b]), cmp.Compare(q.crashes[a].at, q.crashes[b].at), cmp.Compare(a, b))
	})
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

// deriveBlocks repeatedly takes the group of traits that explains crashes best. What it explains no
// longer counts against other traits.
func (q *Quarantine) deriveBlocks() []Block {
	tl := q.timeline()
	explained := tl.explainedCrashes()
	var blocks []Block
	for {
		best := q.bestGroup(tl.groups(explained, q.cfg.Threshold))
		if best == nil {
			break
		}
		ttl := blockTTL
		if best.support() == q.cfg.Threshold {
			ttl = probationPeriod
		}
		blocks = append(blocks, tl.block(best.traits, ttl))
		for _, e := range explained {
			e.explainBy(best)
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int {
		return cmp.Or(cmp.Compare(a.FirstMillis, b.FirstMillis), cmp.Compare(a.Traits[0], b.Traits[0]))
	})
	return blocks
}

// bestGroup returns the group that is the likely cause of its crashes, or nil. Groups that share
// crashes are rivals. If there is no clear one among rivals, the next crash tells them apart; from
// then on the one with the most incidents is taken.
func (q *Quarantine) bestGroup(groups []group) *group {
	for i := range groups {
		g := &groups[i]
		if g.support() >= q.cfg.Threshold && !slices.ContainsFunc(groups, func(o group) bool { return g.isRivalOf(&o) && !g.isLikelierThan(&o) }) {
			return g
		}
	}
	if len(groups) > 0 && groups[0].incidents > q.cfg.Threshold {
		return &groups[0]
	}
	return nil
}

// support returns the number of incidents that count in full. A trait of requests whose answers had not
// begun, beside others that had, needs one incident more: among all that wait, some are there by chance.
func (g *group) support() int { return max(g.likely, g.incidents-1) }

// isRivalOf reports whether another group explains a crash that g explains.
func (g *group) isRivalOf(o *group) bool {
	return g.traits[0] != o.traits[0] && countCommon(g.crashes, o.crashes) > 0
}

// isLikelierThan reports whether g is more likely to be the cause than o. If each suspect with the
// one has the other too, it is the more special one, unless the other one explains wideMargin
// incidents more: a widely shared trait is in some crashes by chance. Between traits that explain equally
// many incidents, the one with more likely suspects is likelier. If the other one has none, it may crash
// runners before its answers begin: then it has to have fewer suspects besides, as something that many
// requests share has begun at each runner.
func (g *group) isLikelierThan(o *group) bool {
	margin := g.incidents - o.incidents
	switch common := countCommon(g.suspects, o.suspects); common {
	case len(g.suspects):
		return margin > -wideMargin
	case len(o.suspects):
		return margin >= wideMargin
	default:
		return margin > 0 || margin == 0 && g.likely > o.likely && (o.likely > 0 || len(g.suspects) < len(o.suspects))
	}
}

// countCommon returns how many numbers two ascending lists share.
func countCommon(a, b []int) int {
	n := 0
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] < b[0]:
			a = a[1:]
		case a[0] > b[0]:
			b = b[1:]
		default:
			a, b, n = a[1:], b[1:], n+1
		}
	}
	return n
}

// timeline returns the crashes with their suspects that are not cleared.
func (q *Quarantine) timeline() *timeline {
	tl := &timeline{suspects: map[Trait][]int{}}
	var crashes []Crash
	for process, c := range q.crashes {
		entry := Crash{Runner: process, AtMillis: c.at.Milliseconds()}
		entry.Suspects = q.uncleared(&c.suspects, c.at)
		crashes = append(crashes, entry)
	}
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.AtMillis, b.AtMillis), cmp.Compare(a.Runner, b.Runner))
	})
	number, began, suspects := -1, int64(0), 0
	inIncident := map[string]int{} // indices of the crashes of the last incident, by runner
	for i := range crashes {
		c := &crashes[i]
		if number < 0 || c.AtMillis-began >= incidentWindow.Milliseconds() {
			number, began = number+1, c.AtMillis
			clear(inIncident)
		}
		// Routers may have different names for one process.
		if first, ok := inIncident[runnerOf(c.Runner)]; ok {
			tl.crashes[first].add(&c.Suspects)
			tl.names[first] = append(tl.names[first], c.Runner)
		} else {
			inIncident[runnerOf(c.Runner)] = len(tl.crashes)
			tl.crashes, tl.incident, tl.names = append(tl.crashes, *c), append(tl.incident, number), append(tl.names, []string{c.Runner})
		}
		// Cleared traits count here: an answer makes a trait no more special.
		known := &q.crashes[c.Runner].suspects
		for _, s := range known.all() {
			for _, t := range s {
				if list := tl.suspects[t]; len(list) == 0 || list[len(list)-1] != suspects {
					tl.suspects[t] = append(list, suspects)
				}
			}
			suspects++
		}
	}
	return tl
}

// explainedCrashes returns the crashes that each trait explains: those of runners that were serving it,
// in incidents in which at least half of the runners that crashed were. Two crashes at the same moment
// may have different causes.
func (tl *timeline) explainedCrashes() map[Trait]*explanation {
	out := map[Trait]*explanation{}
	for from := 0; from < len(tl.crashes); {
		to := from
		served := map[Trait]*explanation{}
		for ; to < len(tl.crashes) && tl.incident[to] == tl.incident[from]; to++ {
			for t, likely := range tl.crashes[to].traits() {
				if served[t] == nil {
					served[t] = &explanation{}
				}
				served[t].add(to, likely)
			}
		}
		for t, e := range served {
			if 2*len(e.crashes) < to-from {
				continue
			}
			if out[t] == nil {
				out[t] = &explanation{}
			}
			out[t].crashes = append(out[t].crashes, e.crashes...)
			if 2*len(e.likely) >= to-from {
				out[t].likely = append(out[t].likely, e.likely...)
			}
		}
		from = to
	}
	return out
}

func (e *explanation) add(crash int, likely bool) {
	e.crashes = append(e.crashes, crash)
	if likely {
		e.likely = append(e.likely, crash)
	}
}

// explainBy removes the crashes that a group explains. If the trait explains other crashes as well, those that
// the group explains only by requests that waited may have been a second cause's, as far as they are no more
// than these: what is served at each runner is in some crash that the group's requests are not known of.
func (e *explanation) explainBy(g *group) {
	others, doubtful := 0, 0
	for _, i := range e.likely {
		switch {
		case !slices.Contains(g.crashes, i):
			others++
		case !slices.Contains(g.likelyCrashes, i):
			doubtful++
		}
	}
	likely := slices.Clone(e.likely)
	isExplained := func(i int) bool {
		switch {
		case !slices.Contains(g.crashes, i):
			return false
		case slices.Contains(g.likelyCrashes, i):
			return true
		default:
			return doubtful > others || !slices.Contains(likely, i)
		}
	}
	e.crashes, e.likely = slices.DeleteFunc(e.crashes, isExplained), slices.DeleteFunc(e.likely, isExplained)
}

// traits returns the traits of the suspects, and whether a likely one has them.
func (c *Crash) traits() map[Trait]bool {
	out := map[Trait]bool{}
	for _, s := range c.all() {
		for _, t := range s {
			out[t] = false
		}
	}
	for _, s := range c.likely() {
		for _, t := range s {
			out[t] = true
		}
	}
	return out
}

// groups returns the traits that explain at least a number of incidents, of which some may have too little
// support. Groups with more incidents
// come first, and among equals those with fewer suspects: if such a group is the wrong one, fewer
// requests are refused, and the next crash shows it.
func (tl *timeline) groups(explained map[Trait]*explanation, atLeast int) []group {
	var groups []group
	byEvidence := map[string]int{} // index in groups
	for _, t := range slices.Sorted(maps.Keys(explained)) {
		crashes := explained[t].crashes
		incidents := tl.countIncidents(crashes)
		if incidents < atLeast {
			continue
		}
		evidence := fmt.Sprint(crashes, tl.suspects[t])
		i, ok := byEvidence[evidence]
		if !ok {
			byEvidence[evidence] = len(groups)
			groups = append(groups, group{
				traits: []Trait{t}, crashes: slices.Clone(crashes), incidents: incidents,
				likelyCrashes: slices.Clone(explained[t].likely), likely: tl.countIncidents(explained[t].likely), suspects: tl.suspects[t],
			})
			continue
		}
		groups[i].traits = append(groups[i].traits, t)
	}
	slices.SortStableFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(b.incidents, a.incidents), cmp.Compare(len(a.suspects), len(b.suspects)))
	})
	return groups
}

// countIncidents returns the number of incidents that crashes belong to, which are in ascending order.
func (tl *timeline) countIncidents(crashes []int) int {
	n := 0
	for i, c := range crashes {
		if i == 0 || tl.incident[c] != tl.incident[crashes[i-1]] {
			n++
		}
	}
	return n
}

// block returns the block of a group of traits, which ends some time after the last crash.
func (tl *timeline) block(traits []Trait, ttl time.Duration) Block {
	b := Block{Traits: traits}
	for i := range tl.crashes {
		c := &tl.crashes[i]
		if _, ok := c.traits()[traits[0]]; !ok {
			continue
		}
		if len(b.Runners) == 0 {
			b.FirstMillis = c.AtMillis
		}
		b.Runners, b.LastMillis = append(b.Runners, tl.names[i]...), c.AtMillis
	}
	b.UntilMillis = b.LastMillis + ttl.Milliseconds()
	return b
}
