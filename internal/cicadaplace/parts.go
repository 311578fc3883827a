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

type (
	// partSet tracks the prompt parts that a runner has used recently.
	partSet struct {
		uses      map[string]partUse
		prefilled int // tokens that this router's requests have prefilled at the runner
	}

	// partUse is the last use of a part: when, and how many tokens had been prefilled then. An engine that
	// evicts the least recently used parts still has it if fewer were prefilled since than it has memory for.
	partUse struct {
		at        time.Time
		prefilled int
	}
)

func (s *partSet) add(id string, now time.Time) {
	if s.uses == nil {
		s.uses = map[string]partUse{}
	}
	if _, ok := s.uses[id]; !ok && len(s.uses) >= maxParts {
		s.evict(now)
	}
	s.uses[id] = partUse{at: now, prefilled: s.prefilled}
}

// lastUse returns the last use of a part, unless it is too long ago.
func (s *partSet) lastUse(id string, now time.Time) (partUse, bool) {
	use, ok := s.uses[id]
	return use, ok && now.Sub(use.at) < partTTL
}

// evict removes expired parts, or the least recently used part if none has expired.
func (s *partSet) evict(now time.Time) {
	oldest, oldestAt := "", now
	for id, use := range s.uses {
		if now.Sub(use.at) >= partTTL {
			delete(s.uses, id)
			continue
		}
		if use.at.Before(oldestAt) || oldest == "" {
			oldest, oldestAt = id, use.at
		}
	}
	if len(s.uses) >= maxParts {
		delete(s.uses, oldest)
	}
}
