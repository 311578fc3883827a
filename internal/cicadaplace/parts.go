package cicadaplace

import "time"

const (
	// maxParts bounds the parts tracked for one runner. It is more than the number of shared
	// parts that fit into the cache of an engine.
	maxParts = 512
	// partTTL is how long a part is assumed to stay cached after its last use. Engines evict the
	// least recently used parts; at the documented loads their cache holds the new parts of more
	// than this period.
	partTTL = 20 * time.Second
)

// partSet tracks the prompt parts that a runner has used recently.
type partSet struct {
	lastUsed map[string]time.Time
}

func (s *partSet) add(id string, now time.Time) {
	if s.lastUsed == nil {
		s.lastUsed = map[string]time.Time{}
	}
	if _, ok := s.lastUsed[id]; !ok && len(s.lastUsed) >= maxParts {
		s.evict(now)
	}
	s.lastUsed[id] = now
}

func (s *partSet) has(id string, now time.Time) bool {
	at, ok := s.lastUsed[id]
	return ok && now.Sub(at) < partTTL
}

// evict removes expired parts, or the least recently used part if none has expired.
func (s *partSet) evict(now time.Time) {
	oldest, oldestAt := "", now
	for id, at := range s.lastUsed {
		if now.Sub(at) >= partTTL {
			delete(s.lastUsed, id)
			continue
		}
		if at.Before(oldestAt) || oldest == "" {
			oldest, oldestAt = id, at
		}
	}
	if len(s.lastUsed) >= maxParts {
		delete(s.lastUsed, oldest)
	}
}
