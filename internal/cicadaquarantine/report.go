package cicadaquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Merge adds the evidence of other routers. It reports whether this router's report has changed.
func (q *Quarantine) Merge(reports []Report, now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for i := range reports {
		changed = q.mergeReport(&reports[i], false, now) || changed
	}
	q.update(now)
	return changed
}

// Restore adds the evidence that an earlier process of this router reported.
func (q *Quarantine) Restore(report *Report, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mergeReport(report, true, now)
	q.update(now)
}

func (q *Quarantine) mergeReport(report *Report, own bool, now time.Duration) bool {
	changed := false
	for i := range report.Crashes {
		r := &report.Crashes[i]
		at := time.Duration(r.AtMillis) * time.Millisecond
		if now-at > blockTTL || r.Runner == "" {
			continue
		}
		c := q.crashOf(r.Runner, at)
		c.isOwn = c.isOwn || own
		c.suspects.add(&r.Suspects)
		if own {
			c.own.add(&r.Suspects)
		}
		joined := !own && q.joinCrash(r.Runner, c)
		_, mustReport := q.applyAnswers(c.suspects.all())
		changed = changed || mustReport || joined
	}
	for t, ms := range report.Cleared {
		q.mergeClearance(t, time.Duration(ms)*time.Millisecond, own)
	}
	return changed || q.hasNewClearance(report)
}

// hasNewClearance reports whether this router has to report a clearance of the suspects in a report that
// it has not reported yet.
func (q *Quarantine) hasNewClearance(report *Report) bool {
	for i := range report.Crashes {
		for _, s := range report.Crashes[i].all() {
			if slices.ContainsFunc(s, func(t Trait) bool { return !q.cleared[t].reported && q.mustReportClearance(t) }) {
				return true
			}
		}
	}
	return false
}

// mergeClearance merges a clearance of another router, or of an earlier process of this one.
func (q *Quarantine) mergeClearance(t Trait, at time.Duration, own bool) {
	c := q.cleared[t]
	c.at = max(c.at, at)
	if own {
		c.reported = true
	} else {
		c.others = max(c.others, at)
	}
	q.cleared[t] = c
}

// mustReportClearance reports whether this router reports a clearance: it has done so before, or the
// reports of others do not cover all crashes that it knows.
func (q *Quarantine) mustReportClearance(t Trait) bool {
	c := q.cleared[t]
	return c.reported || q.isSuspected(t, c.others, c.at)
}

// Adopt makes this router report what others reported of the blocks, and all clearances. Routers do so
// when the reports of those that have ended may be lost.
func (q *Quarantine) Adopt() {
	q.mu.Lock()
	defer q.mu.Unlock()
	supporting := supportingRunners(*q.blocks.Load())
	for runner, c := range q.crashes {
		if supporting[runner] > 0 {
			c.isOwn = true
			c.own.add(&c.suspects)
		}
	}
	for t, c := range q.cleared {
		c.reported = true
		q.cleared[t] = c
	}
}

// Report returns the evidence that this router reports to the others.
func (q *Quarantine) Report() Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.crashes {
		c.ownReported = c.isOwn
	}
	out := q.report(func(c *crash) (Suspects, bool) { return c.own, c.isOwn }, q.mustReportClearance)
	for t := range out.Cleared {
		c := q.cleared[t]
		c.reported = true
		q.cleared[t] = c
	}
	return out
}

// Evidence returns the evidence of all routers.
func (q *Quarantine) Evidence() Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.report(func(c *crash) (Suspects, bool) { return c.suspects, true }, func(Trait) bool { return true })
}

// report returns the crashes and clearances that are selected, without suspects that are cleared
// of all their traits. The others keep all traits: routers may know different clearances.
func (q *Quarantine) report(selectCrash func(*crash) (Suspects, bool), selectClearance func(Trait) bool) Report {
	out := Report{Cleared: map[Trait]int64{}}
	size := 0
	for t, first := range q.firstSuspicions() {
		c := q.cleared[t]
		if c.at <= first || !selectClearance(t) || size > maxReportBytes/2 {
			continue
		}
		size += len(t) + crashBytes
		out.Cleared[t] = c.at.Milliseconds()
	}
	for runner, c := range q.crashes {
		suspects, ok := selectCrash(c)
		if !ok {
			continue
		}
		out.Crashes = append(out.Crashes, Crash{Runner: runner, AtMillis: c.at.Milliseconds(), Suspects: q.suspected(&suspects, c.at)})
	}
	// Crashes that support a block come first, and last crashes before earlier ones. The order does not
	// depend on that in which the evidence arrived, so that equal evidence can be recognised by a hash.
	supporting := supportingRunners(*q.blocks.Load())
	slices.SortFunc(out.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(supporting[b.Runner], supporting[a.Runner]), cmp.Compare(b.AtMillis, a.AtMillis), cmp.Compare(a.Runner, b.Runner))
	})
	for i := range out.Crashes {
		slices.SortFunc(out.Crashes[i].Begun, slices.Compare)
		slices.SortFunc(out.Crashes[i].Waiting, slices.Compare)
	}
	for i := range out.Crashes {
		if size += crashBytes + out.Crashes[i].size(); size > maxReportBytes {
			out.Crashes = out.Crashes[:i]
			break
		}
	}
	return out
}

// SuspectsOf returns the traits of all suspects in the crashes that support a block. If only the
// block's own are cleared, these crashes count against the others.
func (q *Quarantine) SuspectsOf(b *Block) []Trait {
	var out []Trait
	for _, c := range q.Evidence().Crashes {
		if !slices.Contains(b.Runners, c.Runner) {
			continue
		}
		for _, s := range c.all() {
			out = append(out, s...)
		}
	}
	return out
}

// firstSuspicions returns the time of the first crash in which each trait was a suspect.
func (q *Quarantine) firstSuspicions() map[Trait]time.Duration {
	out := map[Trait]time.Duration{}
	for _, c := range q.crashes {
		for _, s := range c.suspects.all() {
			for _, t := range s {
				if first, ok := out[t]; !ok || c.at < first {
					out[t] = c.at
				}
			}
		}
	}
	return out
}

// Clear clears traits of all crashes until a shared time, and removes clearances that no crash is
// kept for any more.
func (r *Report) Clear(traits []Trait, now time.Duration) {
	cleared := map[Trait]int64{}
	for t, ms := range r.Cleared {
		if now-time.Duration(ms)*time.Millisecond <= blockTTL {
			cleared[t] = ms
		}
	}
	for _, t := range traits {
		cleared[t] = now.Milliseconds()
	}
	r.Cleared = cleared
}

// LatestMillis returns the shared time of the last crash in the report, in milliseconds; zero if
// there is none.
func (r *Report) LatestMillis() int64 {
	var latest int64
	for i := range r.Crashes {
		latest = max(latest, r.Crashes[i].AtMillis)
	}
	return latest
}

// IsEmpty reports whether the report has no evidence.
func (r *Report) IsEmpty() bool { return len(r.Crashes) == 0 && len(r.Cleared) == 0 }
