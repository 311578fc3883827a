package cicadarouter

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
)

const (
	// responseRetention is how long a response is stored for callers that did not
	// receive it and retry.
	responseRetention = 2 * time.Minute
	// maxStoredResponseBytes limits one stored response, maxStoredTotalBytes their
	// sum.
	maxStoredResponseBytes = 256 << 10
	maxStoredTotalBytes    = 16 << 20
)

type (
	// responseStore stores the responses of requests with an idempotency key, so
	// that a retry gets the same response instead of a second run.
	responseStore struct {
		mu          sync.Mutex // guards the fields below
		byID        map[string]*storedResponse
		oldestFirst []*storedResponse
		totalBytes  int
	}

	storedResponse struct {
		requestID string
		storedAt  time.Time
		ended     chan struct{} // closed when the request has finished
		running   bool
		unknown   bool // it may have run, and has no response
		response  cicadapeer.StoredResponse
	}
)

func newResponseStore() *responseStore {
	return &responseStore{byID: make(map[string]*storedResponse)}
}

// begin registers a running request.
func (s *responseStore) begin(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[requestID] = &storedResponse{requestID: requestID, running: true, ended: make(chan struct{})}
}

// end stores the response of a finished request. It removes a request without a
// complete response, or with one over maxStoredResponseBytes.
func (s *responseStore) end(requestID string, response *cicadapeer.StoredResponse) {
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
	resp.response = *response
	s.retain(resp)
}

// endUnknown stores that a request has finished without a response and may have run.
func (s *responseStore) endUnknown(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp, ok := s.byID[requestID]; ok {
		close(resp.ended)
		resp.unknown = true
		s.retain(resp)
	}
}

// retain keeps a finished request for responseRetention. The caller holds s.mu.
func (s *responseStore) retain(resp *storedResponse) {
	resp.running = false
	resp.storedAt = time.Now()
	s.oldestFirst = append(s.oldestFirst, resp)
	s.totalBytes += len(resp.response.Body)
	s.evictOld()
}

// evictOld removes the oldest responses while they exceed responseRetention or
// maxStoredTotalBytes. The caller holds s.mu.
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

// get returns the stored response or the running state of a request.
func (s *responseStore) get(requestID string) *cicadapeer.FetchResponseReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp, ok := s.byID[requestID]
	if !ok {
		return &cicadapeer.FetchResponseReply{}
	}
	if resp.running || resp.unknown {
		return &cicadapeer.FetchResponseReply{Running: resp.running, OutcomeUnknown: resp.unknown}
	}
	return &cicadapeer.FetchResponseReply{Found: true, Response: resp.response}
}

// await is get after waiting up to runningWaitTimeout for a running request to
// finish.
func (s *responseStore) await(ctx context.Context, requestID string) *cicadapeer.FetchResponseReply {
	s.mu.Lock()
	resp, ok := s.byID[requestID]
	s.mu.Unlock()
	if !ok {
		return &cicadapeer.FetchResponseReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, runningWaitTimeout)
	defer cancel()
	select {
	case <-resp.ended:
	case <-ctx.Done():
	}
	return s.get(requestID)
}

// size returns the number of stored responses and their total size.
func (s *responseStore) size() (responses, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.oldestFirst), s.totalBytes
}
