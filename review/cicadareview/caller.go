package cicadareview

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

type (
	// Call is a request of a caller.
	Call struct {
		ID, Method, Path, Key string
		Body                  []byte
		Deadline              time.Duration
		Headers               map[string]string
		// MaxGap is how long the caller waits for the first event and between two events; zero for no limit.
		MaxGap time.Duration
		// Client sends the request; nil for a new connection.
		Client *http.Client
	}

	// Answer is what the caller gets.
	Answer struct {
		Status int
		Sealed bool
		Body   string
		// Complete reports that the answer ended as complete. Err tells why it did not.
		Complete bool
		Err      error
	}
)

// errGap is the cause of a request that the caller gives up.
var errGap = errors.New("the caller left after a gap")

// NewClient returns a client that keeps its connections.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
}

// Do sends a request to a router and reads the answer.
func (c *Case) Do(r *Router, call *Call) *Answer {
	ctx, cancelDeadline := context.WithTimeout(context.Background(), call.Deadline)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	gap := time.AfterFunc(time.Hour, func() { cancel(errGap) })
	defer gap.Stop()
	if call.MaxGap > 0 {
		gap.Reset(call.MaxGap)
	}
	c.Add("caller sends %s to %s", call.ID, r.Name)
	a := c.exchange(ctx, r, call, func() {
		if call.MaxGap > 0 {
			gap.Reset(call.MaxGap)
		}
	})
	if cause := context.Cause(ctx); a.Err != nil && cause != nil {
		a.Err = cause
	}
	c.Add("caller of %s gets status %d, %d bytes, %d events, complete %t, error %v", call.ID, a.Status, len(a.Body), a.Events(), a.Complete, a.Err)
	return a
}

func (c *Case) exchange(ctx context.Context, r *Router, call *Call, received func()) *Answer {
	u := url.URL{Scheme: "http", Host: r.Front, Path: call.Path}
	req, err := http.NewRequestWithContext(ctx, call.Method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return &Answer{Err: err}
	}
	req.Host = Host
	req.Header.Set("Request-Id", call.ID)
	req.Header.Set("Authorization", "Token "+call.Key)
	for name, value := range call.Headers {
		req.Header.Set(name, value)
	}
	client := call.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	}
	resp, err := client.Do(req)
	if err != nil {
		return &Answer{Err: err}
	}
	defer resp.Body.Close()
	a := &Answer{Status: resp.StatusCode, Sealed: resp.Header.Get("Response-Seal") != ""}
	var body strings.Builder
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		received()
		if err != nil {
			a.Body, a.Complete = body.String(), errors.Is(err, io.EOF)
			if !a.Complete {
				a.Err = err
			}
			return a
		}
	}
}

// Events returns the number of complete events in the answer.
func (a *Answer) Events() int { return strings.Count(a.Body, "\n\n") }
