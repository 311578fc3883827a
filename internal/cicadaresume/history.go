package cicadaresume

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxVersions bounds the versions in a history. With more, those that left first are dropped, and
	// the history is complete only from then on.
	maxVersions = 32
	// historyPeriods is how long a version that left is kept, in multiples of the period that Only asks
	// for.
	historyPeriods = 2
)

type (
	// History tells which software versions a service had, and has. Times are those of the store's clock.
	History struct {
		// Era is the era of the store in which the history was written.
		Era uint64 `json:"era"`
		// SinceMillis is the time from which on the history is complete; zero for always.
		SinceMillis int64         `json:"sinceMillis"`
		Versions    []SeenVersion `json:"versions"`
	}

	// SeenVersion is a software version that runners of the service had.
	SeenVersion struct {
		Version string `json:"version"`
		// GoneMillis is when a router noticed that no runner had it any more; zero while runners have it.
		GoneMillis int64 `json:"goneMillis,omitempty"`
	}
)

// Update returns the history with the versions that runners have now, and whether that changes it. The
// argument period is the one that Only will be called with.
func (h *History) Update(inUse []string, period, now time.Duration) (History, bool) {
	out := History{Era: h.Era, SinceMillis: h.SinceMillis}
	changed := false
	for _, v := range h.Versions {
		used := slices.Contains(inUse, v.Version)
		switch {
		case used && v.GoneMillis != 0:
			v.GoneMillis, changed = 0, true
		case !used && v.GoneMillis == 0:
			v.GoneMillis, changed = now.Milliseconds(), true
		case !used && !v.goneWithin(historyPeriods*period, now):
			changed = true
			continue
		}
		out.Versions = append(out.Versions, v)
	}
	for _, version := range inUse {
		if !h.contains(version) {
			out.Versions, changed = append(out.Versions, SeenVersion{Version: version}), true
		}
	}
	return out.bounded(now), changed
}

// Merge returns the history with the versions of another one. It is complete from the earlier of the two
// times on. A version that one of them still has counts as in use.
func (h *History) Merge(other *History) History {
	out := History{Era: h.Era, SinceMillis: min(h.SinceMillis, other.SinceMillis), Versions: slices.Clone(h.Versions)}
	for _, v := range other.Versions {
		i := slices.IndexFunc(out.Versions, func(s SeenVersion) bool { return s.Version == v.Version })
		switch {
		case i < 0:
			out.Versions = append(out.Versions, v)
		case out.Versions[i].GoneMillis == 0 || v.GoneMillis == 0:
			out.Versions[i].GoneMillis = 0
		default:
			out.Versions[i].GoneMillis = max(out.Versions[i].GoneMillis, v.GoneMillis)
		}
	}
	return out
}

// Only returns the software version if all streams that began at the service within the period before
// now began at the same one. The versions that the caller knows runners to have are considered too.
func (h *History) Only(inUse []string, period, now time.Duration) (string, bool) {
	if h.SinceMillis > 0 && now.Milliseconds()-h.SinceMillis < period.Milliseconds() {
		return "", false
	}
	versions := slices.Clone(inUse)
	for _, v := range h.Versions {
		if v.GoneMillis == 0 || v.goneWithin(period, now) {
			versions = append(versions, v.Version)
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

func (h *History) contains(version string) bool {
	return slices.ContainsFunc(h.Versions, func(s SeenVersion) bool { return s.Version == version })
}

// bounded drops the versions that left first if there are more than maxVersions.
func (h History) bounded(now time.Duration) History {
	if len(h.Versions) <= maxVersions {
		return h
	}
	slices.SortStableFunc(h.Versions, func(a, b SeenVersion) int { return cmp.Compare(a.order(), b.order()) })
	h.Versions = h.Versions[len(h.Versions)-maxVersions:]
	h.SinceMillis = now.Milliseconds()
	return h
}

// order puts the versions that runners have after those that left.
func (s *SeenVersion) order() int64 {
	if s.GoneMillis == 0 {
		return math.MaxInt64
	}
	return s.GoneMillis
}

// goneWithin reports whether the version left within the period before now.
func (s *SeenVersion) goneWithin(period, now time.Duration) bool {
	return now.Milliseconds()-s.GoneMillis < period.Milliseconds()
}
