package cicadastore

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/pkg/errors"
)

// Paths of the platform's HTTP API.
const (
	PathGet       = "/v1/tables/get"
	PathScan      = "/v1/tables/scan"
	PathCommit    = "/v1/tables/commit"
	PathObjects   = "/v1/objects/"
	PathHosts     = "/v1/hosts"
	maxReplyBytes = 64 << 20 // limits the response body
)

type (
	// ClientConfig configures a Client.
	ClientConfig struct {
		BaseURL string        // for example http://127.0.0.1:9000
		Token   string        // bearer token; may be empty
		Timeout time.Duration // per call; 2 s if zero
		Counts  *expvar.Map   // calls and failures by kind of call; may be nil
	}

	// Client implements Platform over HTTP.
	Client struct {
		cfg        ClientConfig
		httpClient *http.Client
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
	transport := &http.Transport{DialContext: cicadanet.CheckEnds((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &Client{cfg: cfg, httpClient: &http.Client{Transport: cicadanet.NewTransport(transport), Timeout: cfg.Timeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Get reads rows. They are returned in the order of refs.
func (c *Client) Get(ctx context.Context, refs ...Ref) ([]Row, error) {
	var rows []Row
	err := c.call(ctx, "read", http.MethodPost, PathGet, refs, &rows)
	return rows, err
}

// Scan reads rows of a table in key order.
func (c *Client) Scan(ctx context.Context, req ScanRequest) ([]Row, error) {
	var rows []Row
	err := c.call(ctx, "scan", http.MethodPost, PathScan, req, &rows)
	return rows, err
}

// Commit commits a transaction. After a *ConflictError or ErrThrottled nothing was
// written. After ErrUnavailable the transaction may have been committed.
func (c *Client) Commit(ctx context.Context, txn Txn) (CommitResult, error) {
	c.count("rowsWritten", int64(len(txn.Writes)))
	var committed CommitResult
	err := c.call(ctx, "commit", http.MethodPost, PathCommit, txn, &committed)
	return committed, err
}

// PutObject creates or replaces an object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, "putObject", http.MethodPut, PathObjects+url.PathEscape(name), data, nil)
}

// GetObject reads an object. It returns ErrNotFound if there is none.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := c.call(ctx, "getObject", http.MethodGet, PathObjects+url.PathEscape(name), nil, &data)
	return data, err
}

// Hosts reads the platform's list of hosts, which may lag behind.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.call(ctx, "hosts", http.MethodGet, PathHosts, nil, &hosts)
	return hosts, err
}

// Announce registers the addresses and state of this process.
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
		return errors.Wrap(err, "create platform request")
	}
	req.Header.Set("Content-Type", "application/json")
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	return decodeReply(resp.StatusCode, data, out)
}

func encodeBody(request any) ([]byte, error) {
	switch v := request.(type) {
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
