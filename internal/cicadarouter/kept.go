package cicadarouter

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
)

const (
	// keptFor is how long an answer is kept for a caller that lost it.
	keptFor = 2 * time.Minute
	// keptEach and keptAll bound one answer and all answers, in bytes.
	keptEach = 256 << 10
	keptAll  = 16 << 20
)

type (
	// answerStore keeps the answers of requests with an idempotency key, so
	// that a retry gets the same answer and not a second run.
	answerStore struct {
		mu    sync.Mutex // guards the fields below
		byID  map[string]*keptAnswer
		order []*keptAnswer
		bytes int
	}

	keptAnswer struct {
		requestID string
		at        time.Time
		ended     chan struct{} // closed when the request has ended
		running   bool
		answer    cicadapeer.StoredResponse
	}
)

func newAnswerStore() *answerStore {
	return &answerStore{byID: make(map[string]*keptAnswer)}
}

// begin notes that a request is running here.
func (s *answerStore) begin(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[requestID] = &keptAnswer{requestID: requestID, running: true, ended: make(chan struct{})}
}

// end keeps a whole answer, or forgets a request that has none.
func (s *answerStore) end(requestID string, answer *cicadapeer.StoredResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.byID[requestID]
	if !ok {
		return
	}
	close(k.ended)
	if answer == nil || len(answer.Body) > keptEach {
		delete(s.byID, requestID)
		return
	}
	k.running = false
	k.at = time.Now()
	k.answer = *answer
	s.order = append(s.order, k)
	s.bytes += len(answer.Body)
	s.dropOld()
}

// dropOld forgets answers that are too old or too many. The caller holds s.mu.
func (s *answerStore) dropOld() {
	n := 0
	for n < len(s.order) && (s.bytes > keptAll || time.Since(s.order[n].at) > keptFor) {
		s.bytes -= len(s.order[n].answer.Body)
		delete(s.byID, s.order[n].requestID)
		n++
	}
	if n > 0 {
		s.order = append([]*keptAnswer(nil), s.order[n:]...)
	}
}

// get returns what is kept of a request.
func (s *answerStore) get(requestID string) *cicadapeer.FetchResponseReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.byID[requestID]
	if !ok {
		return &cicadapeer.FetchResponseReply{}
	}
	if k.running {
		return &cicadapeer.FetchResponseReply{Running: true}
	}
	return &cicadapeer.FetchResponseReply{Found: true, Response: k.answer}
}

// await returns what is kept of a request, waiting a while for its end.
func (s *answerStore) await(ctx context.Context, requestID string) *cicadapeer.FetchResponseReply {
	s.mu.Lock()
	k, ok := s.byID[requestID]
	s.mu.Unlock()
	if !ok {
		return &cicadapeer.FetchResponseReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, joinWait)
	defer cancel()
	select {
	case <-k.ended:
	case <-ctx.Done():
	}
	return s.get(requestID)
}

// size returns the number of answers and their bytes.
func (s *answerStore) size() (answers, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.order), s.bytes
}
