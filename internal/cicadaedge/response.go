package cicadaedge

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/pkg/errors"
)

// handleResponse checks a response header and forwards the response if it is valid.
func (x *exchange) handleResponse(a *attempt) (result, bool) {
	status := a.resp.StatusCode
	// A refusal that belongs to another request says nothing about this one.
	if a.info.NotRun && (a.info.RequestID == "" || a.info.RequestID == x.info.ID) {
		return x.handleNotRun(a)
	}
	x.mayHaveRun = true
	switch {
	case a.info.RequestID != x.info.ID:
		return x.handleUnusable(a, errOtherRequest)
	case !a.info.Sealed && status < http.StatusBadRequest:
		return x.handleUnusable(a, errNotSealed)
	case x.headerSent && (status != http.StatusOK || mediaType(a.resp) != x.mediaType):
		return x.handleUnusable(a, errors.Errorf("the runner did not resume: status %d, type %q", status, mediaType(a.resp)))
	case x.requiredVersion() != "" && a.placement.SoftwareVersion() != x.requiredVersion():
		return x.handleUnusable(a, errors.New("the runner's software version has changed"))
	case status >= http.StatusInternalServerError && x.route.CanRunAgain() && x.allowRetry():
		x.retryCounted = true
		x.cause = errors.Errorf("the runner failed with status %d", status)
		x.finishAttempt(a.placement, cicadaplace.Failed, x.cause)
		return refuse(FailedUpstream, 0, x.cause.Error()), true
	}
	if x.route.Kind == cicadadeploy.KindStream && status == http.StatusOK {
		return x.forwardStream(a)
	}
	return x.forwardBuffered(a)
}

// handleNotRun handles a response stating that the runner did not run the request.
func (x *exchange) handleNotRun(a *attempt) (result, bool) {
	x.cause = errors.Errorf("the runner refused with status %d", a.resp.StatusCode)
	res := cicadaplace.Refused
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		res = cicadaplace.Misdirected
	}
	x.finishAttempt(a.placement, res, x.cause)
	if x.headerSent {
		return result{abortErr: x.cause}, true
	}
	if x.mayHaveRun {
		return refuse(FailedUpstream, 0, x.cause.Error()), true
	}
	return refuse(RefuseNotRun, retrySoon, x.cause.Error()), true
}

// handleUnusable handles a response that must not be forwarded to the caller.
func (x *exchange) handleUnusable(a *attempt, cause error) (result, bool) {
	x.cause = cause
	x.finishAttempt(a.placement, cicadaplace.Failed, cause)
	if x.headerSent {
		return result{abortErr: cause}, true
	}
	return refuse(FailedUpstream, 0, cause.Error()), x.route.CanRunAgain()
}

// forwardBuffered forwards a response that is not a stream. The body is read completely first, so
// that the request can be retried if the body is incomplete.
func (x *exchange) forwardBuffered(a *attempt) (result, bool) {
	body, err := x.rt.buffers.readAll(a.resp)
	defer x.rt.buffers.release(&body)
	if err == nil && a.resp.ContentLength >= 0 && int64(body.length) != a.resp.ContentLength && x.r.Method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = x.confirmEnd(a)
	}
	if err != nil {
		if x.r.Context().Err() != nil {
			x.rt.placementClient.finish(a.placement, cicadaplace.CallerCancelled)
			return result{callerGone: true}, false
		}
		if x.isTimeout(err) {
			x.finishAttempt(a.placement, cicadaplace.Failed, err)
			return x.timeoutResult(), false
		}
		if isBrokenByRunner(err) {
			x.checkRunner(a.placement, err)
		}
		return x.handleUnusable(a, err)
	}
	x.firstByteAt = time.Now()
	x.finishForwarded(a)
	x.writeHeader(a, int64(body.length))
	if err := body.writeTo(x.w); err != nil {
		return result{callerGone: true}, false
	}
	x.eventsSent = 1
	return result{}, false
}

// finishForwarded finishes the placement of a complete response.
func (x *exchange) finishForwarded(a *attempt) {
	res := cicadaplace.Answered
	if a.resp.StatusCode >= http.StatusInternalServerError {
		res = cicadaplace.Failed
	}
	x.finishAttempt(a.placement, res, errors.Errorf("status %d", a.resp.StatusCode))
}

// writeHeader sends the response header to the caller. length is -1 if unknown.
func (x *exchange) writeHeader(a *attempt, length int64) {
	h := x.w.Header()
	for name, list := range a.resp.Header {
		h[name] = list
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if x.rt.closesConnection(x.r) {
		h.Set("Connection", "close")
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := a.resp.Header[name]; !ok {
			h[name] = nil // prevents the server from adding one
		}
	}
	if length >= 0 {
		h.Set("Content-Length", itoa(length))
	}
	if x.unframed = length < 0 && !x.r.ProtoAtLeast(1, 1); x.unframed {
		x.setReset(true)
	}
	x.headerSent, x.mediaType, x.status = true, mediaType(a.resp), a.resp.StatusCode
	x.w.WriteHeader(a.resp.StatusCode)
}

// endUnframed ends a response whose end is that of the caller's connection.
func (x *exchange) endUnframed() error {
	if !x.unframed {
		return nil
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return &callerError{cause: err}
	}
	x.setReset(false)
	return nil
}

// setReset sets whether the caller's connection ends by a reset, so that a broken response does not look
// complete.
func (x *exchange) setReset(reset bool) {
	conn, ok := x.r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	if err := conn.setReset(reset); err != nil {
		x.rt.cfg.Log.WithField("requestId", x.info.ID).WithError(err).Warn("failed to set how a caller's connection ends")
	}
}

// mediaType returns the type of a response's content without its parameters.
func mediaType(resp *http.Response) string {
	t, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}
