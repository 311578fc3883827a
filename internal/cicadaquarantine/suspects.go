package cicadaquarantine

import "slices"

func (s *Suspects) all() []Suspect { return slices.Concat(s.Begun, s.Waiting) }

func (s *Suspects) has(t Trait) bool {
	return slices.ContainsFunc(s.all(), func(s Suspect) bool { return slices.Contains(s, t) })
}

// add adds other suspects within the bounds, which hold for each of the two kinds.
func (s *Suspects) add(other *Suspects) {
	for _, o := range other.Begun {
		s.Begun = addSuspect(s.Begun, bounded(o))
	}
	for _, o := range other.Waiting {
		s.Waiting = addSuspect(s.Waiting, bounded(o))
	}
}

// size returns the bytes of all traits.
func (s *Suspects) size() int { return sizeOf(s.Begun) + sizeOf(s.Waiting) }

func sizeOf(list []Suspect) int {
	n := 0
	for _, s := range list {
		n += s.size()
	}
	return n
}

func (s Suspect) size() int {
	n := 0
	for _, t := range s {
		n += len(t)
	}
	return n
}

// likely returns the suspects whose answers had just begun, or else those that waited.
func (s *Suspects) likely() []Suspect {
	if len(s.Begun) > 0 {
		return s.Begun
	}
	return s.Waiting
}

// bounded returns the traits that are not too long, at most maxTraits.
func bounded(s Suspect) Suspect {
	s = slices.DeleteFunc(slices.Clone(s), func(t Trait) bool { return t == "" || len(t) > maxTraitBytes })
	return s[:min(len(s), maxTraits)]
}

// addSuspect adds a suspect to a list that does not have it, if the bounds allow it.
func addSuspect(list []Suspect, s Suspect) []Suspect {
	isFull := len(list) >= maxSuspects || sizeOf(list)+s.size() > maxSuspectBytes
	if len(s) == 0 || isFull || slices.ContainsFunc(list, func(o Suspect) bool { return slices.Equal(o, s) }) {
		return list
	}
	return append(list, s)
}
