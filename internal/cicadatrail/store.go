package cicadatrail

import "sync"

// Store keeps the latest trails. Plain and notable ones are bounded apart, so
// that a flood of good requests does not push the refused ones out.
type Store struct {
	router string

	mu      sync.Mutex // guards the fields below
	byID    map[string]*Trail
	plain   ring
	notable ring
}

type ring struct {
	ids  []string
	next int
}

// NewStore returns a store for up to perKind plain and as many notable trails.
func NewStore(router string, perKind int) *Store {
	return &Store{
		router:  router,
		byID:    make(map[string]*Trail),
		plain:   ring{ids: make([]string, perKind)},
		notable: ring{ids: make([]string, perKind)},
	}
}

// Begin makes a running request's trail visible.
func (s *Store) Begin(t *Trail) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[t.requestID] = t
}

// End keeps a finished trail until enough newer ones have come.
func (s *Store) End(t *Trail) {
	t.mu.Lock()
	notable := t.notable
	t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.plain
	if notable {
		r = &s.notable
	}
	if old := r.ids[r.next]; old != "" {
		delete(s.byID, old)
	}
	r.ids[r.next] = t.requestID
	r.next = (r.next + 1) % len(r.ids)
}

// View returns the trail of a request.
func (s *Store) View(requestID string) (View, bool) {
	s.mu.Lock()
	t, ok := s.byID[requestID]
	s.mu.Unlock()
	if !ok {
		return View{}, false
	}
	return t.View(s.router), true
}

// Len returns the number of trails kept.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}
