package cicadalimit

import (
	"cmp"
	"slices"
	"time"
)

// mostReports bounds the statements that a router tells the others: some 100 bytes each.
const mostReports = 300

// Report is a statement as routers tell it to each other.
type Report struct {
	Runner      string  `json:"runner"`
	StartMillis int64   `json:"born,omitempty"`
	Rate        float64 `json:"rate"`
	Unlimited   bool    `json:"ended,omitempty"`
	// AtMillis is the shared clock's time from which the statement counts.
	AtMillis int64 `json:"atMillis"`
}

// Reports returns what this router heard of the runners before others told it, the newest
// first. It returns nothing while the shared clock is unknown.
func (l *Limits) Reports(now time.Time) []Report {
	shared, ok := l.clock.SharedTime(now)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	var out []Report
	for key, r := range l.runners {
		if !r.news || r.newest() != r.own || r.own.Ended && now.Sub(r.own.At) > endKept {
			continue
		}
		at := shared - now.Sub(r.own.At)
		out = append(out, Report{
			Runner: key.ID, StartMillis: key.StartMillis, Rate: r.own.Rate, Unlimited: r.own.Ended, AtMillis: at.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.AtMillis, a.AtMillis), cmp.Compare(a.Runner, b.Runner))
	})
	return out[:min(len(out), mostReports)]
}

// MergeReports takes what another router told. It returns the runners whose limit that changes.
func (l *Limits) MergeReports(list []Report, now time.Time) []Key {
	shared, ok := l.clock.SharedTime(now)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Key
	for i := range list {
		s := &list[i]
		age := shared - time.Duration(s.AtMillis)*time.Millisecond
		if s.Unlimited {
			// The other router's clock may be ahead of this one's.
			age += clockSlack
		}
		if age > forgetAfter || s.Unlimited && age < 0 || !isRate(s.Rate) {
			continue
		}
		key := Key{ID: s.Runner, StartMillis: s.StartMillis}
		r := l.runner(key, now)
		before, was := r.rateNow()
		if at := now.Add(-max(age, 0)); at.After(r.other.At) {
			r.other = statement{Rate: s.Rate, Ended: s.Unlimited, At: at}
			// From here on the other router's row tells it.
			r.news = r.news && !r.other.At.After(r.own.At)
		}
		rate, is := r.rateNow()
		if is && (!was || rate != before) {
			l.begin(r, rate, !was, now)
		}
		if is != was || rate != before {
			changed = append(changed, key)
		}
	}
	return changed
}

// isRate tells whether a number can be a rate: 0 or more.
func isRate(rate float64) bool { return rate >= 0 }
