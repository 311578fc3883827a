package cicadaedge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

const (
	// readBuffer holds many events of the usual size, in bytes.
	readBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
	// A stream's bytes are bounded by those of its first part and of each output token
	// that its caller allows, many times what runners send. Without a number of tokens
	// the bound is mostStreamBytes.
	firstStreamBytes = 1 << 20
	tokenStreamBytes = 4 << 10
	mostStreamBytes  = 64 << 20
)

var (
	idField        = []byte("id:")
	errLargeEvent  = errors.Errorf("an event is larger than %d bytes", maxEventBytes)
	errLongStream  = errors.New("the stream has more bytes than the request allows output for")
	readersOfEvent = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
)

// event is one server-sent event as the runner wrote it.
type event struct {
	raw []byte // with its closing empty line, or what came before the end
	id  string // empty if the event has none
}

// stream forwards events as they come. Only whole events are forwarded, so that
// another runner can continue after the last one where the route allows it.
func (x *exchange) stream(a *attempt) (result, bool) {
	resumed := x.begun
	if !resumed {
		x.begin(a, a.resp.ContentLength)
	}
	err := x.forward(a, resumed)
	var left *callerError
	switch {
	case err == nil:
		x.ended(a.ticket, cicadaplace.Answered, nil)
		return result{}, false
	case errors.As(err, &left) || x.r.Context().Err() != nil:
		x.rt.desks.end(a.ticket, cicadaplace.CallerCancelled)
		return result{left: true}, false
	case x.outOfTime(err):
		x.rt.desks.end(a.ticket, cicadaplace.CallerCancelled)
		return result{cut: err}, false
	}
	x.cause = err
	x.ended(a.ticket, cicadaplace.Failed, err)
	// An answer with a length cannot be continued by another run of it.
	return result{cut: err}, x.route.Resumable && x.lastEvent != "" && a.resp.ContentLength < 0
}

// callerError is a failure to write to the caller.
type callerError struct{ cause error }

// Error returns the cause.
func (e *callerError) Error() string { return "write to the caller: " + e.cause.Error() }

func (x *exchange) forward(a *attempt, resumed bool) error {
	r, _ := readersOfEvent.Get().(*bufio.Reader)
	r.Reset(a.resp.Body)
	defer readersOfEvent.Put(r)
	rc := http.NewResponseController(x.w)
	if !resumed {
		if err := rc.Flush(); err != nil {
			return &callerError{cause: err}
		}
	}
	silence := x.watchSilence(a)
	defer silence.stop()
	left := x.maxStreamBytes()
	for {
		ev, err := readEvent(r)
		switch {
		case errors.Is(err, io.EOF) && len(ev.raw) == 0:
			return nil
		case err != nil && !errors.Is(err, io.EOF):
			return x.causeOf(a, err)
		case err != nil && endsWithConnection(a.resp):
			return io.ErrUnexpectedEOF
		}
		if left -= int64(len(ev.raw)); left < 0 {
			return errLongStream
		}
		if x.repeated(ev.id) {
			continue
		}
		if err := x.sendEvent(a, rc, &ev, r.Buffered() == 0); err != nil {
			return err
		}
		silence.restart(pauseFactor * x.route.EventIntervalObjective)
	}
}

// endsWithConnection tells whether nothing but the end of its connection ends an answer.
// A runner that died in an event ends it as well.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

// maxStreamBytes bounds the stream of one attempt.
func (x *exchange) maxStreamBytes() int64 {
	if x.demand.MaxOutputTokens <= 0 || x.demand.MaxOutputTokens > (mostStreamBytes-firstStreamBytes)/tokenStreamBytes {
		return mostStreamBytes
	}
	return firstStreamBytes + x.demand.MaxOutputTokens*tokenStreamBytes
}

func (x *exchange) sendEvent(a *attempt, rc *http.ResponseController, ev *event, flush bool) error {
	now := time.Now()
	if x.delivered == 0 {
		x.firstAt = now
		x.rt.desks.started(a.ticket)
	} else {
		x.longestPause = max(x.longestPause, now.Sub(x.eventAt))
	}
	x.eventAt = now
	if _, err := x.w.Write(ev.raw); err != nil {
		return &callerError{cause: err}
	}
	if flush {
		if err := rc.Flush(); err != nil {
			return &callerError{cause: err}
		}
	}
	x.delivered++
	if ev.id != "" {
		x.lastEvent = ev.id
	}
	return nil
}

// causeOf prefers the reason for which the attempt was ended here.
func (x *exchange) causeOf(a *attempt, err error) error {
	if cause := context.Cause(a.resp.Request.Context()); cause != nil {
		return cause
	}
	return err
}

// watchSilence ends an attempt whose events stop, where another runner can
// continue the stream.
func (x *exchange) watchSilence(a *attempt) *silenceWatch {
	if !x.route.Resumable || x.route.EventIntervalObjective <= 0 {
		return &silenceWatch{}
	}
	return x.endWhenSilent(firstEventFactor*x.route.LatencyObjective, x.attempts, a.cancel)
}

// repeated tells whether an event was forwarded before, from the run that this
// one continues.
func (x *exchange) repeated(id string) bool {
	if id == "" || x.lastEvent == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(x.lastEvent, 10, 64)
	return err == nil && lastErr == nil && n <= last
}

// readEvent reads up to the empty line that ends an event.
func readEvent(r *bufio.Reader) (event, error) {
	var ev event
	for {
		line, err := r.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case len(ev.raw) > maxEventBytes:
			return ev, errLargeEvent
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, idField); ok {
			ev.id = string(bytes.TrimSpace(value))
		}
	}
}
