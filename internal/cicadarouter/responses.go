package cicadarouter

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
)

const (
	// responseRetention is how long an answer is kept for a caller that lost it.
	responseRetention = 2 * time.Minute
	// maxStoredResponseBytes and keptAll bound one answer and all answers, in bytes.
	maxStoredResponseBytes = 256 << 10
	maxStoredTotalBytes    = 16 << 20
)

type (
	// responseStore keeps the answers of requests with an idempotency key, so
	// that a retry gets the same answer and not a second run.
	responseStore struct {
		mu          sync.Mutex // guards the fields below
		byID        map[string]*storedResponse
		oldestFirst []*storedResponse
		totalBytes  int
	}

	storedResponse struct {
		requestID string
		storedAt  time.Time
		ended     chan struct{} // closed when the request has ended
		running   bool
		response  cicadapeer.KeptAnswer
	}
)

func newResponseStore() *responseStore {
	return &responseStore{byID: make(map[string]*storedResponse)}
}

// begin notes that a request is running here.
func (s *responseStore) begin(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[requestID] = &storedResponse{requestID: requestID, running: true, ended: make(chan struct{})}
}

// end keeps a whole answer, or forgets a request that has none.
func (s *responseStore) end(requestID string, response *cicadapeer.KeptAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp, ok := s.byID[requestID]
	if !ok {
		return
	}
	close(resp.ended)
	if response == nil || len(response.Body) > maxStoredResponseBytes {
		delete(s.byID, requestID)
		return
	}
	resp.running = false
	resp.storedAt = time.Now()
	resp.response = *response
	s.oldestFirst = append(s.oldestFirst, resp)
	s.totalBytes += len(response.Body)
	s.evictOld()
}

// evictOld forgets answers that are too old or too many. The caller holds s.mu.
func (s *responseStore) evictOld() {
	n := 0
	for n < len(s.oldestFirst) && (s.totalBytes > maxStoredTotalBytes || time.Since(s.oldestFirst[n].storedAt) > responseRetention) {
		s.totalBytes -= len(s.oldestFirst[n].response.Body)
		delete(s.byID, s.oldestFirst[n].requestID)
		n++
	}
	if n > 0 {
		s.oldestFirst = append([]*storedResponse(nil), s.oldestFirst[n:]...)
	}
}

// get returns what is kept of a request.
func (s *responseStore) get(requestID string) *cicadapeer.AnswerReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp, ok := s.byID[requestID]
	if !ok {
		return &cicadapeer.AnswerReply{}
	}
	if resp.running {
		return &cicadapeer.AnswerReply{Running: true}
	}
	return &cicadapeer.AnswerReply{Found: true, Kept: resp.response}
}

// await returns what is kept of a request, waiting a while for its end.
func (s *responseStore) await(ctx context.Context, requestID string) *cicadapeer.AnswerReply {
	s.mu.Lock()
	resp, ok := s.byID[requestID]
	s.mu.Unlock()
	if !ok {
		return &cicadapeer.AnswerReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, runningWaitTimeout)
	defer cancel()
	select {
	case <-resp.ended:
	case <-ctx.Done():
	}
	return s.get(requestID)
}

// size returns the number of answers and their bytes.
func (s *responseStore) size() (responses, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.oldestFirst), s.totalBytes
}
