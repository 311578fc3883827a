package cicadaedge

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

const (
	// statementTimeout bounds the time in which a runner states its id.
	statementTimeout = dialTimeout
	// endProofStatement is why a response that ended with its connection counts as complete.
	endProofStatement = "the runner stated its id after the end"
)

var (
	errNotAsked  = errors.New("the runner may not be asked for its id")
	errNotStated = errors.New("the runner did not state its id")
)

// awaitStatement asks the runner of a response that has ended for its id, which each process has its own
// of. It returns an error if the runner is not known to live on. A runner that must be spared requests is
// not asked.
func (x *exchange) awaitStatement(ctx context.Context, a *attempt) error {
	r := a.placement.Runner()
	if x.service.HealthPath == "" || x.service.WarmupRate > 0 || x.runnerLimited || a.info.Brittle ||
		len(a.info.RateLimits) > 0 || x.rt.balancer.Unavailability(r, time.Now()) != nil {
		return errNotAsked
	}
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	conn, err := x.rt.transports.dial(ctx, r, x.rt.transports.connsOf(r))
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the exchange below; it returns the error
	defer func() {
		stop()
		_ = conn.Close() // the response was read
	}()
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: r.Addr(), Path: x.service.HealthPath}, Header: http.Header{"User-Agent": {""}}, Close: true,
	}
	if err := req.Write(conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxResponseHeaderBytes)), req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it is not read
	if x.rt.cfg.Dialect.RunnerID(resp) != r.ID() {
		return errNotStated
	}
	return nil
}
