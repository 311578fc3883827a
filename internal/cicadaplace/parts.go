package cicadaplace

import "time"

const (
	// maxParts bounds the parts remembered for one runner: more than the shared
	// parts that fit into an engine's memory.
	maxParts = 512
	// partMemory is how long a part is taken to stay cached after its last use.
	// Engines evict the least recently used parts; at the documented loads their
	// memory holds more than this many seconds of new parts.
	partMemory = 20 * time.Second
)

// partSet remembers which parts of prompts a runner has read lately.
type partSet struct {
	seen map[string]time.Time
}

func (s *partSet) add(id string, now time.Time) {
	if s.seen == nil {
		s.seen = map[string]time.Time{}
	}
	if _, ok := s.seen[id]; !ok && len(s.seen) >= maxParts {
		s.evict(now)
	}
	s.seen[id] = now
}

func (s *partSet) has(id string, now time.Time) bool {
	at, ok := s.seen[id]
	return ok && now.Sub(at) < partMemory
}

// evict drops what is stale, or the oldest part if nothing is.
func (s *partSet) evict(now time.Time) {
	oldest, oldestAt := "", now
	for id, at := range s.seen {
		if now.Sub(at) >= partMemory {
			delete(s.seen, id)
			continue
		}
		if at.Before(oldestAt) || oldest == "" {
			oldest, oldestAt = id, at
		}
	}
	if len(s.seen) >= maxParts {
		delete(s.seen, oldest)
	}
}
