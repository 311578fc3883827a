package cicadatrail

import "sync"

// Store retains the latest trails. Those of completed and of failed requests have
// separate limits, so that many completed requests do not evict the failed ones.
type Store struct {
	router string

	mu        sync.Mutex // guards the fields below
	byID      map[string]*Trail
	completed idRing
	failed    idRing
}

type idRing struct {
	ids  []string
	next int
}

// NewStore returns a store for up to perClass trails of completed requests, and as
// many of failed ones.
func NewStore(router string, perClass int) *Store {
	return &Store{
		router:    router,
		byID:      make(map[string]*Trail),
		completed: idRing{ids: make([]string, perClass)},
		failed:    idRing{ids: make([]string, perClass)},
	}
}

// Begin adds the trail of a running request.
func (s *Store) Begin(t *Trail) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[t.requestID] = t
}

// End marks a trail as finished. It is retained until its class exceeds the limit.
func (s *Store) End(t *Trail) {
	t.mu.Lock()
	isFailed := t.failed
	t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.completed
	if isFailed {
		r = &s.failed
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

// Len returns the number of retained trails.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}
