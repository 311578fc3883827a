package cicadaupstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

const (
	// EndMarker is the data of the event that ends a stream.
	EndMarker = "[DONE]"
	// maxEvent bounds one event, in bytes.
	maxEvent = 256 << 10
	// resumes is how often a broken stream is taken up again.
	resumes = 3
	// resumePause lies before each attempt to take a stream up again.
	resumePause = 100 * time.Millisecond
)

type (
	// Usage is the engine's count of a request's tokens.
	Usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`     // wire-name of the chat-completions form
		CompletionTokens int64 `json:"completion_tokens"` // wire-name of the chat-completions form
		TotalTokens      int64 `json:"total_tokens"`      // wire-name of the chat-completions form
	}

	// Chunk is one event of a stream, in order and without repeats.
	Chunk struct {
		Offset int64
		Data   string
		// Usage is set on the chunk that carries the count.
		Usage *Usage
		// HasContent tells whether the chunk carries part of the answer.
		HasContent bool
	}

	// StreamConfig bounds a stream.
	StreamConfig struct {
		// ProgressTimeout bounds the time between two events.
		ProgressTimeout time.Duration
		// Resumable tells that the engine takes streams up again.
		Resumable bool
	}

	// Stream reads the events of one attempt.
	Stream struct {
		c       *Client
		cfg     StreamConfig
		call    *Call
		next    int64 // offset of the next chunk
		usage   *Usage
		dropped int
		resumed int
	}

	chunkBody struct {
		Usage   *Usage `json:"usage"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
)

// NewStream returns a stream for a call that has been answered.
func (c *Client) NewStream(call *Call, cfg StreamConfig) *Stream {
	return &Stream{c: c, cfg: cfg, call: call}
}

// Usage returns the engine's count, or nil before it came.
func (s *Stream) Usage() *Usage { return s.usage }

// ChunkCount returns the number of chunks delivered.
func (s *Stream) ChunkCount() int64 { return s.next }

// DroppedChunks returns the number of late or doubled chunks left out.
func (s *Stream) DroppedChunks() int { return s.dropped }

// ResumeCount returns how often the stream was taken up again.
func (s *Stream) ResumeCount() int { return s.resumed }

// Run delivers every chunk once and in order, and returns nil after the end
// marker. A stream that breaks is taken up again at the offset reached; when
// that fails the error is a *BrokenError. An error of deliver ends the stream.
func (s *Stream) Run(ctx context.Context, resp *http.Response, deliver func(Chunk) error) error {
	for {
		err := s.read(resp, deliver)
		var broken *ResponseError
		if err == nil || !errors.As(err, &broken) || ctx.Err() != nil {
			return err
		}
		next, resumeErr := s.resume(ctx) //nolint:bodyclose // read closes it
		if resumeErr != nil {
			return err
		}
		resp = next
	}
}

// read delivers the events of one response.
func (s *Stream) read(resp *http.Response, deliver func(Chunk) error) error {
	defer resp.Body.Close()
	watchdog := time.AfterFunc(s.cfg.ProgressTimeout, func() { _ = resp.Body.Close() })
	defer watchdog.Stop()
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return &ResponseError{cause: err}
		}
		// A slow caller is not the runner's fault.
		watchdog.Stop()
		if ev.Data == EndMarker {
			return nil
		}
		if err := s.take(&ev, deliver); err != nil {
			return err
		}
		watchdog.Reset(s.cfg.ProgressTimeout)
	}
	return &ResponseError{cause: errors.New("stream ended without its end marker")}
}

// take matches an event to this attempt and its offset. A chunk of another
// attempt, or one that was delivered, is dropped; a gap breaks the stream.
func (s *Stream) take(ev *sse.Event, deliver func(Chunk) error) error {
	attempt, offset, numbered := parseEventID(ev.LastEventID)
	switch {
	case numbered && (attempt != s.call.Attempt || offset < s.next):
		s.dropped++
		return nil
	case numbered && offset > s.next:
		return &ResponseError{cause: errors.Errorf("chunk %d is missing", s.next)}
	}
	chunk := Chunk{Offset: s.next, Data: ev.Data}
	var body chunkBody
	if err := json.Unmarshal([]byte(ev.Data), &body); err != nil {
		return &ResponseError{cause: errors.Wrap(err, "chunk is no JSON")}
	}
	chunk.Usage = body.Usage
	if body.Usage != nil {
		s.usage = body.Usage
	}
	chunk.HasContent = len(body.Choices) > 0 && body.Choices[0].Delta.Content != ""
	s.next++
	return deliver(chunk)
}

// EventID is the id of an event: which attempt of the request it belongs to,
// and its place in the answer.
func EventID(attempt int, offset int64) string { return fmt.Sprintf("%d:%d", attempt, offset) }

func parseEventID(id string) (attempt int, offset int64, ok bool) {
	a, o, found := strings.Cut(id, ":")
	attempt, errA := strconv.Atoi(a)
	offset, errO := strconv.ParseInt(o, 10, 64)
	return attempt, offset, found && errA == nil && errO == nil
}

// resume asks the engine for the rest of the stream on a new connection.
func (s *Stream) resume(ctx context.Context) (*http.Response, error) {
	if !s.cfg.Resumable {
		return nil, errors.New("the engine does not resume")
	}
	for s.resumed < resumes {
		s.resumed++
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(resumePause):
		}
		resp, err := s.c.Do(ctx, &Call{
			Addr:             s.call.Addr,
			Method:           http.MethodGet,
			Path:             PathRequests + s.call.RequestID + "/events",
			RawQuery:         "offset=" + strconv.FormatInt(s.next, 10),
			RequestID:        s.call.RequestID,
			Attempt:          s.call.Attempt,
			FirstByteTimeout: s.cfg.ProgressTimeout,
		})
		if err != nil {
			continue
		}
		if resp.StatusCode == http.StatusOK {
			return resp, nil
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusNotFound {
			break
		}
	}
	return nil, errors.New("the stream could not be taken up again")
}
