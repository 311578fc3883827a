// Package cicadastore defines the interface to the operator's platform:
// transactional tables, objects and the list of hosts. Client implements it over
// HTTP. Tests use the stand-in of package cicadastandin.
//
// Every call may fail with ErrUnavailable. A Commit that fails with it may still
// have taken effect. The caller has to read its rows again to find out.
package cicadastore

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Errors of platform calls.
var (
	ErrUnavailable = errors.New("platform unavailable")
	ErrThrottled   = errors.New("platform throttled the request; nothing was written")
	ErrNotFound    = errors.New("no such object")
)

type (
	// Ref identifies a row.
	Ref struct {
		Table string `json:"table"`
		Key   string `json:"key"`
	}

	// Row is a row as read. Version 0 means that the row does not exist.
	Row struct {
		Ref
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"version"`
	}

	// Condition holds if the row is at Version. Version 0 means that the row does not exist.
	Condition struct {
		Ref
		Version uint64 `json:"version"`
	}

	// Write replaces or deletes a row.
	Write struct {
		Ref
		Value  []byte `json:"value,omitempty"`
		Delete bool   `json:"delete,omitempty"`
	}

	// Txn writes all its rows if all its conditions hold. Otherwise it writes none.
	Txn struct {
		Conditions []Condition `json:"conditions,omitempty"`
		Writes     []Write     `json:"writes"`
	}

	// CommitResult contains the version of the rows that a transaction wrote.
	CommitResult struct {
		Version uint64 `json:"version"`
		// NowMillis is the platform's monotonic clock; zero if the platform does not report it.
		NowMillis int64  `json:"nowMillis,omitempty"`
		Era       uint64 `json:"era,omitempty"`
	}

	// ConflictError means that a transaction wrote nothing, because conditions
	// did not hold. Failed are the current rows of those conditions.
	ConflictError struct {
		Failed []Row
		// NowMillis is the platform's monotonic clock; zero if the platform does not report it.
		NowMillis int64
		Era       uint64
	}

	// ScanRequest asks for up to Limit rows of a table in key order, with a key
	// that has Prefix and is greater than After.
	ScanRequest struct {
		Table  string `json:"table"`
		Prefix string `json:"prefix,omitempty"`
		After  string `json:"after,omitempty"`
		Limit  int    `json:"limit"`
	}

	// HostState is the state of a host in the platform's list.
	HostState string

	// Host is an entry of the platform's list of hosts, which may lag behind.
	Host struct {
		Name         string    `json:"name"`
		DataCentre   string    `json:"place"`
		Region       string    `json:"region"`
		Incarnation  uint64    `json:"incarnation"`
		State        HostState `json:"state"`
		PeerAddr     string    `json:"peerAddr"`
		OperatorAddr string    `json:"operatorAddr"`
		CallerAddr   string    `json:"callerAddr"`
	}

	// Tables is the transactional table service.
	Tables interface {
		Get(ctx context.Context, refs ...Ref) ([]Row, error)
		Scan(ctx context.Context, req ScanRequest) ([]Row, error)
		Commit(ctx context.Context, txn Txn) (CommitResult, error)
	}

	// Objects is the object store.
	Objects interface {
		PutObject(ctx context.Context, name string, data []byte) error
		GetObject(ctx context.Context, name string) ([]byte, error)
	}

	// HostRegistry is the platform's list of hosts.
	HostRegistry interface {
		Hosts(ctx context.Context) ([]Host, error)
		Announce(ctx context.Context, h Host) error
	}

	// Platform combines the services of the platform.
	Platform interface {
		Tables
		Objects
		HostRegistry
	}
)

// Values of HostState. A draining host runs but takes no new requests.
const (
	HostLive     HostState = "live"
	HostDraining HostState = "leaving"
	HostEnded    HostState = "gone"
)

// Names of the tables that the routers use.
const (
	TableChange     = "change"   // configuration: head row and one row per change
	TableDocument   = "document" // one row per service: version and digest
	TableBudget     = "budget"   // one row per budget: prepaid and allotted units
	TableFence      = "fence"    // one row per partition and region: its home
	TableBatch      = "batch"    // logs of the partitions
	TableAtMostOnce = "once"     // idempotency keys of requests that must not run twice
)

// Error lists the rows whose condition failed, with their current versions.
func (e *ConflictError) Error() string {
	names := make([]string, len(e.Failed))
	for i, r := range e.Failed {
		names[i] = fmt.Sprintf("%s/%s is at version %d", r.Table, r.Key, r.Version)
	}
	return "conflict: " + strings.Join(names, ", ")
}

// Contains reports whether the condition on ref failed.
func (e *ConflictError) Contains(ref Ref) bool {
	for _, r := range e.Failed {
		if r.Ref == ref {
			return true
		}
	}
	return false
}

// GetOne reads one row.
func GetOne(ctx context.Context, t Tables, ref Ref) (Row, error) {
	rows, err := t.Get(ctx, ref)
	if err != nil {
		return Row{}, err
	}
	if len(rows) != 1 {
		return Row{}, errors.Wrapf(ErrUnavailable, "read of one row returned %d rows", len(rows))
	}
	return rows[0], nil
}

// ScanAll reads all rows with a key that has prefix and is greater than after, in pages.
func ScanAll(ctx context.Context, t Tables, table, prefix, after string) ([]Row, error) {
	var out []Row
	for {
		rows, err := t.Scan(ctx, ScanRequest{Table: table, Prefix: prefix, After: after, Limit: scanPageRows})
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		if len(rows) < scanPageRows {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// scanPageRows is the page size of ScanAll.
const scanPageRows = 200
