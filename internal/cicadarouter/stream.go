package cicadarouter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadatrail"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

// maxResponseBytes is the maximum size of a response that is not streamed.
const maxResponseBytes = 16 << 20

// errCallerDisconnected ends the stream of a disconnected caller that sent no
// idempotency key and so cannot retry to get the response.
var errCallerDisconnected = errors.New("the caller left")

// classifyCallError returns the failure of the runner, or the request's outcome if
// no attempt may follow: err is no Failure, or the caller disconnected and sent no
// idempotency key.
func (ar *activeRequest) classifyCallError(ctx context.Context, call *cicadaupstream.Call, err error) (*outcome, cicadaupstream.Failure) {
	var failure cicadaupstream.Failure
	if !errors.As(err, &failure) {
		return (&attemptSequence{ar: ar}).failedOutcome(err), nil
	}
	if ctx.Err() != nil && ar.keyDigest == "" && ar.httpReq.Context().Err() != nil {
		return ar.cancelledOutcome(call, nil, 0), nil
	}
	return nil, failure
}

// streamChat forwards a stream chunk by chunk. Once a chunk has been forwarded the
// request cannot be retried at another runner.
func (ar *activeRequest) streamChat(
	ctx context.Context, c *chatRequest, call *cicadaupstream.Call, resp *http.Response,
) (*outcome, cicadaupstream.Failure) {
	s := ar.r.upstreamClient.NewStream(call, cicadaupstream.StreamConfig{
		ProgressTimeout: time.Duration(ar.rules.ProgressTimeout), Resumable: true, OnBroken: func() { ar.checkRunner(call.Addr) },
	})
	err := s.Run(ctx, resp, func(ch cicadaupstream.Chunk) error {
		ar.recordGoingAnswer()
		if ch.Usage != nil && !ch.HasContent && !c.includeUsage {
			return nil
		}
		return ar.sendEvent(ch.Data)
	})
	ar.trail.Add(&cicadatrail.Attempt{
		Number: call.Attempt, Runner: call.Addr, Outcome: attemptOutcome(err), Chunks: s.ChunkCount(), DroppedChunks: s.DroppedChunks(), ResumeCount: s.ResumeCount(),
	})
	ar.countStream(s)
	switch {
	case err == nil:
		return &outcome{
			bill:           ar.newBill(ar.chargedUnits(s.Usage(), s.ChunkCount()), 0, cicadaledger.OutcomeComplete),
			finishResponse: func() { _ = ar.sendEvent(cicadaupstream.EndMarker) },
		}, nil
	case errors.Is(err, errCallerDisconnected) || (ar.keyDigest == "" && ar.httpReq.Context().Err() != nil):
		return ar.cancelledOutcome(call, s.Usage(), s.ChunkCount()), nil
	}
	var broken *cicadaupstream.ResponseError
	if !ar.headerSent && errors.As(err, &broken) {
		return nil, broken
	}
	return ar.interruptedOutcome(call, s, err), nil
}

func attemptOutcome(err error) string {
	if err == nil {
		return "whole"
	}
	return err.Error()
}

func (ar *activeRequest) countStream(s *cicadaupstream.Stream) {
	ar.r.metrics.Router.Add("chunksDropped", int64(s.DroppedChunks()))
	ar.r.metrics.Router.Add("streamsResumed", int64(s.ResumeCount()))
}

// sendEvent writes one event to the caller and flushes it. The write blocks while
// the caller is slow, which also stops reading from the runner.
func (ar *activeRequest) sendEvent(data string) error {
	msg := &sse.Message{}
	msg.AppendData(data)
	text, err := msg.MarshalText()
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return ar.send(http.StatusOK, "text/event-stream", text)
}

// send writes part of the response. If the request has an idempotency key the
// response is also stored for a retry, and a disconnected caller is no error.
func (ar *activeRequest) send(status int, contentType string, data []byte) error {
	if ar.keyDigest != "" {
		if ar.storedResponse == nil {
			ar.storedResponse = &cicadapeer.StoredResponse{Status: status, ContentType: contentType}
		}
		ar.storedResponse.Body = append(ar.storedResponse.Body, data...)
	}
	rc := http.NewResponseController(ar.w)
	if !ar.headerSent {
		ar.headerSent = true
		ar.w.Header().Set("Content-Type", contentType)
		ar.w.Header().Set("Cache-Control", "no-store")
		ar.w.WriteHeader(status)
	}
	if ar.httpReq.Context().Err() == nil {
		_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := ar.w.Write(data)
		ar.bytesSent += int64(n)
		if err == nil {
			err = rc.Flush()
		}
		if err == nil {
			return nil
		}
	}
	if ar.keyDigest != "" {
		return nil
	}
	return errCallerDisconnected
}

// chargedUnits returns the charge for a response: the engine's token count, or if
// there is none, promptBound and one unit for each chunk.
func (ar *activeRequest) chargedUnits(u *cicadaupstream.Usage, chunks int64) cicadabudget.Units {
	if u != nil {
		return tokenUnits(u.PromptTokens, u.CompletionTokens)
	}
	ar.r.metrics.Router.Add("answersWithoutUsage", 1)
	return min(ar.promptBound+cicadabudget.Units(chunks), ar.reservation.Units())
}

// cancelledOutcome is the outcome for a disconnected caller. It cancels the request
// at the engine and bills the prompt tokens and the tokens generated until then.
func (ar *activeRequest) cancelledOutcome(call *cicadaupstream.Call, u *cicadaupstream.Usage, chunks int64) *outcome {
	rec, err := ar.r.upstreamClient.Cancel(ar.r.ctx, call.Addr, ar.id)
	units := ar.chargedUnits(u, chunks)
	if err == nil && u == nil {
		units = tokenUnits(rec.PromptTokens, rec.CompletionTokens)
	}
	return &outcome{bill: ar.newBill(units, 0, cicadaledger.OutcomeCancelled)}
}

// interruptedOutcome is the outcome of a stream that failed after the caller got
// part of it. The caller gets an error event and is not charged; the units that the
// engine may have used are withheld.
func (ar *activeRequest) interruptedOutcome(call *cicadaupstream.Call, s *cicadaupstream.Stream, cause error) *outcome {
	rec, err := ar.r.upstreamClient.Cancel(ar.r.ctx, call.Addr, ar.id)
	used := min(ar.promptBound+cicadabudget.Units(s.ChunkCount()), ar.reservation.Units())
	if err == nil {
		used = tokenUnits(rec.PromptTokens, rec.CompletionTokens)
	}
	out := cicadaledger.OutcomeInterrupted
	if ar.atMostOnce {
		out = cicadaledger.OutcomeUnknown
	}
	ref := cicadarefusal.New(cicadarefusal.UpstreamFailed, cicadarefusal.DidRun, "the answer broke off after %d chunks: %v", s.ChunkCount(), cause)
	if time.Now().After(ar.deadline) {
		ref = cicadarefusal.New(cicadarefusal.DeadlineExceeded, cicadarefusal.DidRun, "the answer broke off after %d chunks", s.ChunkCount())
	}
	return &outcome{
		bill: ar.newBill(0, used, out),
		finishResponse: func() {
			ar.r.metrics.Refusals.Add(string(ref.Code()), 1)
			ar.trail.Add(&cicadatrail.Refused{Code: string(ref.Code()), Ran: string(ref.RunStatus()), Detail: ref.Detail(), Remedy: ref.Remedy()})
			msg := &sse.Message{Type: sse.Type("error")}
			msg.AppendData(string(ref.Body(ar.id)))
			if text, err := msg.MarshalText(); err == nil {
				_ = ar.send(http.StatusOK, "text/event-stream", text)
			}
		},
	}
}

// forwardChat forwards a response that is not streamed.
func (ar *activeRequest) forwardChat(ctx context.Context, call *cicadaupstream.Call, resp *http.Response) (*outcome, cicadaupstream.Failure) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	_ = resp.Body.Close()
	if err != nil || len(data) > maxResponseBytes {
		if ar.keyDigest == "" && ar.httpReq.Context().Err() != nil {
			return ar.cancelledOutcome(call, nil, 0), nil
		}
		return ar.classifyCallError(ctx, call, cicadaupstream.NewResponseError(errors.Errorf("answer of %d bytes: %v", len(data), err)))
	}
	var body struct {
		Usage *cicadaupstream.Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, cicadaupstream.NewResponseError(errors.Wrap(err, "answer is no JSON"))
	}
	ar.trail.Add(&cicadatrail.Attempt{Number: call.Attempt, Runner: call.Addr, Outcome: "whole"})
	return &outcome{
		bill:           ar.newBill(ar.chargedUnits(body.Usage, 0), 0, cicadaledger.OutcomeComplete),
		finishResponse: func() { _ = ar.send(http.StatusOK, "application/json", data) },
	}, nil
}
