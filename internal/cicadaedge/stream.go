package cicadaedge

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadacrash"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// readBufferBytes is enough for many events of the usual size.
	readBufferBytes = 4 << 10
	// maxEventBytes bounds a single event.
	maxEventBytes = 256 << 10
	// The size of a stream is bounded by streamBaseBytes plus streamBytesPerToken for each output
	// token that the caller allows, which is many times what runners send. maxStreamBytes applies
	// if the number of tokens is not known.
	streamBaseBytes     = 1 << 20
	streamBytesPerToken = 4 << 10
	maxStreamBytes      = 64 << 20
)

var (
	idField          = []byte("id:")
	errEventTooLarge = errors.Errorf("the runner sent an event larger than %d bytes", maxEventBytes)
	errStreamTooLong = errors.New("the runner's stream exceeds the size limit for the output tokens of the request")
	eventReaders     = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
)

// event is one server-sent event as received from the runner.
type event struct {
	raw []byte // including the empty line at its end, or what was received before the stream ended
	id  string // empty if the event has no id
}

// forwardStream forwards events as they arrive. It forwards complete events only, so that another
// runner can continue after the last one if the route allows it.
func (x *exchange) forwardStream(a *attempt) (result, bool) {
	resumed, eventsBefore := x.headerSent, x.eventsSent
	if !resumed {
		x.writeHeader(a, a.resp.ContentLength)
	}
	err := x.forwardEvents(a, resumed)
	if err == nil && cicadacrash.EndsAtClose(a.resp) && x.eventsSent == eventsBefore {
		// Each stream has an event, and a runner that ends sends none.
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = x.confirmEnd(a)
	}
	if err == nil {
		err = x.endUnframed()
	}
	var callerErr *callerError
	switch {
	case err == nil:
		x.finishAttempt(a.placement, cicadaplace.Answered, nil)
		return result{}, false
	case errors.As(err, &callerErr) || x.r.Context().Err() != nil:
		x.rt.placementClient.finish(a.placement, cicadaplace.CallerCancelled)
		return result{callerGone: true}, false
	case x.isTimeout(err):
		x.rt.placementClient.finish(a.placement, cicadaplace.CallerCancelled)
		return result{abortErr: err}, false
	}
	x.cause = err
	x.finishAttempt(a.placement, cicadaplace.Failed, err)
	if isBrokenByRunner(err) {
		x.checkRunner(a.placement, err)
	}
	// A response with a Content-Length cannot be continued by another run.
	return result{abortErr: err}, x.isContinuable() && a.resp.ContentLength < 0
}

// isBrokenByRunner reports whether a response ended because of its runner, and that runner is still to be
// checked.
func isBrokenByRunner(err error) bool {
	var uncertain *uncertainEndError
	return !errors.Is(err, errStalled) && !errors.Is(err, errStreamTooLong) && !errors.Is(err, errEventTooLarge) &&
		!errors.Is(err, errBuffersFull) && !errors.As(err, &uncertain)
}

// isContinuable reports whether another runner can go on with the stream. The software version that
// began it must be known.
func (x *exchange) isContinuable() bool {
	return x.route.Resumable && x.lastEventID != "" && x.requiredVersion() != ""
}

// callerError is a failure to write to the caller.
type callerError struct{ cause error }

// Error implements error.
func (e *callerError) Error() string { return "write to the caller: " + e.cause.Error() }

func (x *exchange) forwardEvents(a *attempt, resumed bool) error {
	r, _ := eventReaders.Get().(*bufio.Reader)
	r.Reset(a.resp.Body)
	defer eventReaders.Put(r)
	rc := http.NewResponseController(x.w)
	if !resumed {
		if err := rc.Flush(); err != nil {
			return &callerError{cause: err}
		}
	}
	stall := &cicadanet.SilenceTimer{}
	defer func() { x.stopStallTimer(stall) }()
	// Another runner cannot continue a stream without an event, so it is not given up before.
	continuable := x.isContinuable()
	if continuable {
		stall = x.startEventTimer(a, firstEventStallFactor*x.route.LatencyObjective)
	}
	remaining := x.streamLimit()
	var ev event
	defer func() { x.rt.buffers.releaseEvent(&ev) }()
	for {
		x.rt.buffers.releaseEvent(&ev)
		var err error
		ev, err = x.rt.buffers.readEvent(r)
		switch {
		case errors.Is(err, io.EOF) && len(ev.raw) == 0:
			return nil
		case errors.Is(err, io.EOF):
			// The runner has stopped inside an event, however the response is framed.
			return io.ErrUnexpectedEOF
		case err != nil:
			return x.abortCause(a, err)
		}
		if remaining -= int64(len(ev.raw)); remaining < 0 {
			return errStreamTooLong
		}
		if x.alreadySent(ev.id) {
			continue
		}
		stall.Suspend() // a slow caller does not count against the runner
		if err := x.sendEvent(a, rc, &ev, r.Buffered() == 0); err != nil {
			return err
		}
		gap := eventGapStallFactor * x.route.EventIntervalObjective
		if !continuable && x.isContinuable() {
			continuable, stall = true, x.startEventTimer(a, gap)
		}
		stall.Reset(gap)
	}
}

// uncertainEndError is the failure of a response that ended with its connection, if its runner may have
// ended with it.
type uncertainEndError struct{ cause error }

// Error implements error.
func (e *uncertainEndError) Error() string {
	return "the response ended with its connection and may not be complete: " + e.cause.Error()
}

// streamLimit returns the maximum size of the stream of one attempt, in bytes.
func (x *exchange) streamLimit() int64 {
	if x.info.MaxOutputTokens <= 0 || x.info.MaxOutputTokens > (maxStreamBytes-streamBaseBytes)/streamBytesPerToken {
		return maxStreamBytes
	}
	return streamBaseBytes + x.info.MaxOutputTokens*streamBytesPerToken
}

func (x *exchange) sendEvent(a *attempt, rc *http.ResponseController, ev *event, flush bool) error {
	now := time.Now()
	if x.eventsSent == 0 {
		x.firstByteAt = now
		x.rt.placementClient.responseStarted(a.placement, x.recordFirstEvent(now), a.info.Load, x.headerAt)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	if now.Sub(x.headerAt) >= soundAnswerPeriod {
		x.recordAnswer()
	}
	if _, err := x.w.Write(ev.raw); err != nil {
		return &callerError{cause: err}
	}
	if flush {
		if err := rc.Flush(); err != nil {
			return &callerError{cause: err}
		}
	}
	x.eventsSent++
	x.recordRun(a)
	if ev.id != "" {
		x.lastEventID = ev.id
	}
	return nil
}

// recordRun records the run that an event came from, with the first event of each attempt.
func (x *exchange) recordRun(a *attempt) {
	if a.eventSent {
		return
	}
	a.eventSent = true
	if len(x.streamRuns) > 0 {
		x.rt.cfg.Metrics.Resumed.Add(1)
	}
	x.streamRuns = append(x.streamRuns, streamRun{
		Runner: a.placement.Runner().ID(), SoftwareVersion: a.placement.SoftwareVersion(), LastEventID: x.lastEventID,
	})
	if len(x.streamRuns) == 1 {
		x.recordBegin()
	}
}

// abortCause returns the reason for which this router cancelled the attempt, if it did, and err
// otherwise.
func (x *exchange) abortCause(a *attempt, err error) error {
	if cause := context.Cause(a.resp.Request.Context()); cause != nil {
		return cause
	}
	return err
}

// startEventTimer cancels an attempt that sends no more events, if another runner can continue the
// stream.
func (x *exchange) startEventTimer(a *attempt, d time.Duration) *cicadanet.SilenceTimer {
	if !x.route.Resumable || x.route.EventIntervalObjective <= 0 {
		return &cicadanet.SilenceTimer{}
	}
	return x.startStallTimer(d, x.attempts, a.cancel)
}

// alreadySent reports whether an event was forwarded in an earlier attempt that this one
// continues.
func (x *exchange) alreadySent(id string) bool {
	if id == "" || x.lastEventID == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(x.lastEventID, 10, 64)
	return err == nil && lastErr == nil && n <= last
}
