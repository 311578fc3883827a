package cicadaupstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

const (
	// EndMarker is the data of the last event of a complete stream.
	EndMarker = "[DONE]"
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 256 << 10
	// maxResumes is the maximum number of attempts to resume a stream.
	maxResumes = 3
	// resumeDelay is the delay before each attempt to resume a stream.
	resumeDelay = 100 * time.Millisecond
)

type (
	// Usage is the token count that the engine reports for a request.
	Usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`     // wire-name of the chat-completions format
		CompletionTokens int64 `json:"completion_tokens"` // wire-name of the chat-completions format
		TotalTokens      int64 `json:"total_tokens"`      // wire-name of the chat-completions format
	}

	// Chunk is one event of a stream. Chunks are delivered once and in order.
	Chunk struct {
		Offset int64
		Data   string
		// Usage is set if the chunk contains the token count.
		Usage *Usage
		// HasContent reports whether the chunk contains part of the generated text.
		HasContent bool
	}

	// StreamConfig configures a Stream.
	StreamConfig struct {
		// ProgressTimeout is the maximum time between two events.
		ProgressTimeout time.Duration
		// Resumable enables resuming interrupted streams at the engine.
		Resumable bool
		// OnBroken is called when a response breaks off, before the stream is resumed.
		OnBroken func()
	}

	// Stream reads the events of one attempt.
	Stream struct {
		client        *Client
		cfg           StreamConfig
		call          *Call
		nextOffset    int64 // offset of the next chunk
		usage         *Usage
		droppedChunks int
		resumeCount   int
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

// NewStream returns a stream for a call that got a successful response.
func (c *Client) NewStream(call *Call, cfg StreamConfig) *Stream {
	return &Stream{client: c, cfg: cfg, call: call}
}

// Usage returns the engine's token count, or nil if it has not arrived.
func (s *Stream) Usage() *Usage { return s.usage }

// ChunkCount returns the number of chunks delivered.
func (s *Stream) ChunkCount() int64 { return s.nextOffset }

// DroppedChunks returns the number of chunks that were dropped as duplicates
// or as belonging to another attempt.
func (s *Stream) DroppedChunks() int { return s.droppedChunks }

// ResumeCount returns the number of attempts to resume the stream.
func (s *Stream) ResumeCount() int { return s.resumeCount }

// Run delivers every chunk once and in order, and returns nil after the end marker.
// An interrupted stream is resumed at the next offset; if that fails the error is a
// *ResponseError. An error returned by deliver ends the stream.
func (s *Stream) Run(ctx context.Context, resp *http.Response, deliver func(Chunk) error) error {
	for {
		err := s.readEvents(resp, deliver)
		var respErr *ResponseError
		if err == nil || !errors.As(err, &respErr) || ctx.Err() != nil {
			return err
		}
		if s.cfg.OnBroken != nil {
			s.cfg.OnBroken()
		}
		resumed, resumeErr := s.resume(ctx) //nolint:bodyclose // readEvents closes it
		if resumeErr != nil {
			return err
		}
		resp = resumed
	}
}

// readEvents delivers the events of one response.
func (s *Stream) readEvents(resp *http.Response, deliver func(Chunk) error) error {
	defer resp.Body.Close()
	watchdog := cicadanet.NewSilenceTimer(s.cfg.ProgressTimeout, func() bool {
		_ = resp.Body.Close() // the read fails
		return true
	})
	defer watchdog.Stop()
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return &ResponseError{cause: err}
		}
		// Delivering to a slow caller does not count against the runner's progress
		// timeout.
		watchdog.Suspend()
		if ev.Data == EndMarker {
			return nil
		}
		if err := s.deliverEvent(&ev, deliver); err != nil {
			return err
		}
		watchdog.Reset(s.cfg.ProgressTimeout)
	}
	return &ResponseError{cause: errors.New("stream ended without its end marker")}
}

// deliverEvent delivers the chunk of an event. A chunk of another attempt, or one
// already delivered, is dropped; a missing chunk is an error.
func (s *Stream) deliverEvent(ev *sse.Event, deliver func(Chunk) error) error {
	attempt, offset, numbered := parseEventID(ev.LastEventID)
	switch {
	case numbered && (attempt != s.call.Attempt || offset < s.nextOffset):
		s.droppedChunks++
		return nil
	case numbered && offset > s.nextOffset:
		return &ResponseError{cause: errors.Errorf("chunk %d is missing", s.nextOffset)}
	}
	chunk := Chunk{Offset: s.nextOffset, Data: ev.Data}
	var body chunkBody
	if err := json.Unmarshal([]byte(ev.Data), &body); err != nil {
		return &ResponseError{cause: errors.Wrap(err, "chunk is no JSON")}
	}
	chunk.Usage = body.Usage
	if body.Usage != nil {
		s.usage = body.Usage
	}
	chunk.HasContent = len(body.Choices) > 0 && body.Choices[0].Delta.Content != ""
	s.nextOffset++
	return deliver(chunk)
}

// EventID returns the ID of an event, which consists of the attempt of the request
// and the offset of the chunk.
func EventID(attempt int, offset int64) string { return fmt.Sprintf("%d:%d", attempt, offset) }

func parseEventID(id string) (attempt int, offset int64, ok bool) {
	a, o, found := strings.Cut(id, ":")
	attempt, errA := strconv.Atoi(a)
	offset, errO := strconv.ParseInt(o, 10, 64)
	return attempt, offset, found && errA == nil && errO == nil
}

// resume requests the rest of the stream from the engine on a new connection.
func (s *Stream) resume(ctx context.Context) (*http.Response, error) {
	if !s.cfg.Resumable {
		return nil, errors.New("resuming is not enabled for this stream")
	}
	for s.resumeCount < maxResumes {
		s.resumeCount++
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(resumeDelay):
		}
		resp, err := s.client.Do(ctx, &Call{
			Addr:             s.call.Addr,
			Method:           http.MethodGet,
			Path:             PathRequests + s.call.RequestID + "/events",
			RawQuery:         "offset=" + strconv.FormatInt(s.nextOffset, 10),
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
	return nil, errors.New("resuming the stream failed")
}
