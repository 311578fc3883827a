package cicadastore

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// Paths of the platform's HTTP interface.
const (
	PathGet      = "/v1/tables/get"
	PathScan     = "/v1/tables/scan"
	PathCommit   = "/v1/tables/commit"
	PathObjects  = "/v1/objects/"
	PathHosts    = "/v1/hosts"
	maxReplySize = 64 << 20 // bytes
)

type (
	// ClientConfig sets up a Client.
	ClientConfig struct {
		BaseURL string        // such as http://127.0.0.1:9000
		Token   string        // bearer token; empty for none
		Timeout time.Duration // for one call; zero means two seconds
		Counts  *expvar.Map   // calls and errors by kind; nil for none
	}

	// Client is a Platform behind HTTP.
	Client struct {
		cfg  ClientConfig
		http *http.Client
	}

	conflictBody struct {
		Failed []Row `json:"failed"`
	}
)

var _ Platform = (*Client)(nil)

// NewClient returns a client for the platform at cfg.BaseURL.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = 2 * time.Second
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport, Timeout: cfg.Timeout}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads rows, in the order of refs.
func (c *Client) Get(ctx context.Context, refs ...Ref) ([]Row, error) {
	var rows []Row
	err := c.call(ctx, "read", http.MethodPost, PathGet, refs, &rows)
	return rows, err
}

// Scan reads the rows that req describes.
func (c *Client) Scan(ctx context.Context, req ScanRequest) ([]Row, error) {
	var rows []Row
	err := c.call(ctx, "scan", http.MethodPost, PathScan, req, &rows)
	return rows, err
}

// Commit runs a transaction. A *ConflictError or ErrThrottled means that
// nothing was written; after ErrUnavailable that is unknown.
func (c *Client) Commit(ctx context.Context, txn Txn) (CommitResult, error) {
	c.count("rowsWritten", int64(len(txn.Writes)))
	var done CommitResult
	err := c.call(ctx, "commit", http.MethodPost, PathCommit, txn, &done)
	return done, err
}

// PutObject writes an object whole.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, "putObject", http.MethodPut, PathObjects+url.PathEscape(name), data, nil)
}

// GetObject reads an object, or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := c.call(ctx, "getObject", http.MethodGet, PathObjects+url.PathEscape(name), nil, &data)
	return data, err
}

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.call(ctx, "hosts", http.MethodGet, PathHosts, nil, &hosts)
	return hosts, err
}

// Announce tells the platform of this process's addresses and state.
func (c *Client) Announce(ctx context.Context, h Host) error {
	return c.call(ctx, "announce", http.MethodPost, PathHosts, h, nil)
}

func (c *Client) count(kind string, n int64) {
	if c.cfg.Counts != nil {
		c.cfg.Counts.Add(kind, n)
	}
}

func (c *Client) call(ctx context.Context, kind, method, path string, in, out any) error {
	c.count(kind, 1)
	err := c.do(ctx, method, path, in, out)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled) {
		c.count(kind+"Failed", 1)
	}
	return err
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	body, err := encodeBody(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "platform request")
	}
	req.Header.Set("Content-Type", "application/json")
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplySize))
	if err != nil {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	return decodeReply(resp.StatusCode, data, out)
}

func encodeBody(in any) ([]byte, error) {
	switch v := in.(type) {
	case nil:
		return nil, nil
	case []byte:
		return v, nil
	default:
		data, err := json.Marshal(v)
		return data, errors.Wrap(err, "encode platform request")
	}
}

func decodeReply(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusConflict:
		var body conflictBody
		if err := json.Unmarshal(data, &body); err != nil {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
		return &ConflictError{Failed: body.Failed}
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	switch v := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*v = data
		return nil
	default:
		return errors.Wrap(json.Unmarshal(data, v), "decode platform reply")
	}
}
