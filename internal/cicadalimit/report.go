package cicadalimit

import (
	"cmp"
	"slices"
	"time"
)

// maxReports bounds the observations that a router reports, which take about 100 bytes each.
const maxReports = 300

// Report is an observation of a runner's rate limit, as routers send it to each other.
type Report struct {
	Runner      string  `json:"runner"`
	StartMillis int64   `json:"born,omitempty"`
	Rate        float64 `json:"rate"`
	Unlimited   bool    `json:"ended,omitempty"`
	// AtMillis is the shared time from which the observation applies.
	AtMillis int64 `json:"atMillis"`
}

// Reports returns this router's observations that no other router reported first, latest first. It
// returns nothing while the shared clock is unknown.
func (l *Limits) Reports(now time.Time) []Report {
	shared, ok := l.clock.SharedTime(now)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	var out []Report
	for key, r := range l.runners {
		if !r.shouldReport || r.latest() != r.own || r.own.Unlimited && now.Sub(r.own.EffectiveAt) > unlimitedReportTTL {
			continue
		}
		at := shared - now.Sub(r.own.EffectiveAt)
		out = append(out, Report{
			Runner: key.ID, StartMillis: key.StartMillis, Rate: r.own.Rate, Unlimited: r.own.Unlimited, AtMillis: at.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.AtMillis, a.AtMillis), cmp.Compare(a.Runner, b.Runner))
	})
	return out[:min(len(out), maxReports)]
}

// MergeReports merges the observations of another router. It returns the runners whose limits changed.
func (l *Limits) MergeReports(reports []Report, now time.Time) []Key {
	shared, ok := l.clock.SharedTime(now)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Key
	for i := range reports {
		report := &reports[i]
		age := shared - time.Duration(report.AtMillis)*time.Millisecond
		if report.Unlimited {
			// The other router's clock may be ahead of this one's.
			age += maxClockSkew
		}
		if age > limitTTL || report.Unlimited && age < 0 || !isValidRate(report.Rate) {
			continue
		}
		key := Key{ID: report.Runner, StartMillis: report.StartMillis}
		r := l.limitOf(key, now)
		oldRate, wasLimited := r.currentRate(now)
		if at := now.Add(-max(age, 0)); at.After(r.fromPeers.EffectiveAt) {
			r.fromPeers = observation{Rate: report.Rate, Unlimited: report.Unlimited, EffectiveAt: at}
			// The other router now reports the limit in its row.
			r.shouldReport = r.shouldReport && !r.fromPeers.EffectiveAt.After(r.own.EffectiveAt)
		}
		newRate, isLimited := r.currentRate(now)
		if isLimited && (!wasLimited || newRate != oldRate) {
			l.restartPermits(r, newRate, !wasLimited, now)
		}
		if isLimited != wasLimited || newRate != oldRate {
			changed = append(changed, key)
		}
	}
	return changed
}

// isValidRate reports whether rate is 0 or more. It is false for NaN.
func isValidRate(rate float64) bool { return rate >= 0 }
