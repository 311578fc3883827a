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

// maxAnswer bounds an answer that is not streamed, in bytes.
const maxAnswer = 16 << 20

// errCallerLeft ends a stream whose caller is gone and has no key to come back
// with.
var errCallerLeft = errors.New("the caller left")

// callFailed sorts an error of Do: the caller may have left, else it is the
// runner's failure.
func (j *job) callFailed(ctx context.Context, call *cicadaupstream.Call, err error) (*outcome, cicadaupstream.Failure) {
	var failure cicadaupstream.Failure
	if !errors.As(err, &failure) {
		return (&attempts{j: j}).giveUp(err), nil
	}
	if ctx.Err() != nil && j.key == "" && j.req.Context().Err() != nil {
		return j.cancelled(call, nil, 0), nil
	}
	return nil, failure
}

// streamChat forwards a stream chunk by chunk. Once a chunk has been delivered
// the request cannot go to another runner.
func (j *job) streamChat(
	ctx context.Context, c *chat, call *cicadaupstream.Call, resp *http.Response,
) (*outcome, cicadaupstream.Failure) {
	s := j.r.runners.NewStream(call, cicadaupstream.StreamConfig{
		ProgressTimeout: time.Duration(j.rules.ProgressTimeout), Resumable: true,
	})
	err := s.Run(ctx, resp, func(ch cicadaupstream.Chunk) error {
		if ch.Usage != nil && !ch.HasContent && !c.includeUsage {
			return nil
		}
		return j.sendEvent(ch.Data)
	})
	j.trail.Add(&cicadatrail.Attempt{
		Number: call.Attempt, Runner: call.Addr, Outcome: outcomeText(err), Chunks: s.ChunkCount(), DroppedChunks: s.DroppedChunks(), ResumeCount: s.ResumeCount(),
	})
	j.countStream(s)
	switch {
	case err == nil:
		return &outcome{
			bill: j.bill(j.unitsOf(s.Usage(), s.ChunkCount()), 0, cicadaledger.OutcomeComplete),
			end:  func() { _ = j.sendEvent(cicadaupstream.EndMarker) },
		}, nil
	case errors.Is(err, errCallerLeft) || (j.key == "" && j.req.Context().Err() != nil):
		return j.cancelled(call, s.Usage(), s.ChunkCount()), nil
	}
	var broken *cicadaupstream.ResponseError
	if !j.started && errors.As(err, &broken) {
		return nil, broken
	}
	return j.cut(call, s, err), nil
}

func outcomeText(err error) string {
	if err == nil {
		return "whole"
	}
	return err.Error()
}

func (j *job) countStream(s *cicadaupstream.Stream) {
	j.r.metrics.Router.Add("chunksDropped", int64(s.DroppedChunks()))
	j.r.metrics.Router.Add("streamsResumed", int64(s.ResumeCount()))
}

// sendEvent writes one event to the caller and flushes it. The write blocks
// while the caller is slow, and with it the reading from the runner.
func (j *job) sendEvent(data string) error {
	msg := &sse.Message{}
	msg.AppendData(data)
	text, err := msg.MarshalText()
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return j.send(http.StatusOK, "text/event-stream", text)
}

// send writes part of the answer. A caller that left is no error if it has a
// key: the answer is kept for it.
func (j *job) send(status int, contentType string, data []byte) error {
	if j.key != "" {
		if j.keep == nil {
			j.keep = &cicadapeer.StoredResponse{Status: status, ContentType: contentType}
		}
		j.keep.Body = append(j.keep.Body, data...)
	}
	rc := http.NewResponseController(j.w)
	if !j.started {
		j.started = true
		j.w.Header().Set("Content-Type", contentType)
		j.w.Header().Set("Cache-Control", "no-store")
		j.w.WriteHeader(status)
	}
	if j.req.Context().Err() == nil {
		_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := j.w.Write(data)
		j.sent += int64(n)
		if err == nil {
			err = rc.Flush()
		}
		if err == nil {
			return nil
		}
	}
	if j.key != "" {
		return nil
	}
	return errCallerLeft
}

// unitsOf returns what a whole answer costs: the engine's count, or without one
// the most that it can be.
func (j *job) unitsOf(u *cicadaupstream.Usage, chunks int64) cicadabudget.Units {
	if u != nil {
		return addUnits(u.PromptTokens, u.CompletionTokens)
	}
	j.r.metrics.Router.Add("answersWithoutUsage", 1)
	return min(j.promptBound+cicadabudget.Units(chunks), j.reservation.Units())
}

// cancelled is the outcome for a caller that left: what was generated until the
// engine stopped is billed.
func (j *job) cancelled(call *cicadaupstream.Call, u *cicadaupstream.Usage, chunks int64) *outcome {
	rec, err := j.r.runners.Cancel(j.r.ctx, call.Addr, j.id)
	units := j.unitsOf(u, chunks)
	if err == nil && u == nil {
		units = addUnits(rec.PromptTokens, rec.CompletionTokens)
	}
	return &outcome{bill: j.bill(units, 0, cicadaledger.OutcomeCancelled)}
}

// cut is the outcome of a stream that broke after the caller got part of it.
// The caller is told so in the stream and not charged; what the engine may have
// used is withheld.
func (j *job) cut(call *cicadaupstream.Call, s *cicadaupstream.Stream, cause error) *outcome {
	rec, err := j.r.runners.Cancel(j.r.ctx, call.Addr, j.id)
	used := min(j.promptBound+cicadabudget.Units(s.ChunkCount()), j.reservation.Units())
	if err == nil {
		used = addUnits(rec.PromptTokens, rec.CompletionTokens)
	}
	out := cicadaledger.OutcomeInterrupted
	if j.once {
		out = cicadaledger.OutcomeUnknown
	}
	ref := cicadarefusal.New(cicadarefusal.UpstreamFailed, cicadarefusal.DidRun, "the answer broke off after %d chunks: %v", s.ChunkCount(), cause)
	if time.Now().After(j.deadline) {
		ref = cicadarefusal.New(cicadarefusal.DeadlineExceeded, cicadarefusal.DidRun, "the answer broke off after %d chunks", s.ChunkCount())
	}
	return &outcome{
		bill: j.bill(0, used, out),
		end: func() {
			j.r.metrics.Refusals.Add(string(ref.Code()), 1)
			j.trail.Add(&cicadatrail.Refused{Code: string(ref.Code()), Ran: string(ref.RunStatus()), Detail: ref.Detail(), Remedy: ref.Remedy()})
			msg := &sse.Message{Type: sse.Type("error")}
			msg.AppendData(string(ref.Body(j.id)))
			if text, err := msg.MarshalText(); err == nil {
				_ = j.send(http.StatusOK, "text/event-stream", text)
			}
		},
	}
}

// wholeChat forwards an answer that is not streamed.
func (j *job) wholeChat(ctx context.Context, call *cicadaupstream.Call, resp *http.Response) (*outcome, cicadaupstream.Failure) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	_ = resp.Body.Close()
	if err != nil || len(data) > maxAnswer {
		if j.key == "" && j.req.Context().Err() != nil {
			return j.cancelled(call, nil, 0), nil
		}
		return j.callFailed(ctx, call, cicadaupstream.NewResponseError(errors.Errorf("answer of %d bytes: %v", len(data), err)))
	}
	var body struct {
		Usage *cicadaupstream.Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, cicadaupstream.NewResponseError(errors.Wrap(err, "answer is no JSON"))
	}
	j.trail.Add(&cicadatrail.Attempt{Number: call.Attempt, Runner: call.Addr, Outcome: "whole"})
	return &outcome{
		bill: j.bill(j.unitsOf(body.Usage, 0), 0, cicadaledger.OutcomeComplete),
		end:  func() { _ = j.send(http.StatusOK, "application/json", data) },
	}, nil
}
