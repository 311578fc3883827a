// Package cicadastore is the port to the operator's platform: transactional
// tables, objects and the list of hosts. Client speaks to it over HTTP; tests
// use the stand-in of package cicadastandin.
//
// Every call may fail with ErrUnavailable. A Commit that fails so may have
// taken effect all the same: the caller reads its rows back and decides.
package cicadastore

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Errors of the platform.
var (
	ErrUnavailable = errors.New("platform unavailable")
	ErrThrottled   = errors.New("platform throttles: nothing was written")
	ErrNotFound    = errors.New("no such object")
)

type (
	// Ref names one row.
	Ref struct {
		Table string `json:"table"`
		Key   string `json:"key"`
	}

	// Row is a row as read. Version 0 means that there is no such row.
	Row struct {
		Ref
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"version"`
	}

	// Condition holds if the row has the version; version 0 is no row.
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

	// Txn writes all its rows if all its conditions hold, or none.
	Txn struct {
		Conditions []Condition `json:"conditions,omitempty"`
		Writes     []Write     `json:"writes"`
	}

	// CommitResult is the version that a transaction gave to its rows.
	CommitResult struct {
		Version uint64 `json:"version"`
		// NowMillis is the platform's steady clock; zero if it tells none.
		NowMillis int64  `json:"nowMillis,omitempty"`
		Era       uint64 `json:"era,omitempty"`
	}

	// ConflictError lists the conditions of a transaction that did not hold.
	// Nothing was written.
	ConflictError struct {
		Failed []Row
		// NowMillis is the platform's steady clock; zero if it tells none.
		NowMillis int64
		Era       uint64
	}

	// ScanRequest asks for rows of a table with a key prefix, in key order.
	ScanRequest struct {
		Table  string `json:"table"`
		Prefix string `json:"prefix,omitempty"`
		After  string `json:"after,omitempty"`
		Limit  int    `json:"limit"`
	}

	// HostState tells whether a host takes work.
	HostState string

	// Host is one entry of the platform's list of hosts. The list lags.
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

	// HostRegistry is the platform's view of the hosts.
	HostRegistry interface {
		Hosts(ctx context.Context) ([]Host, error)
		Announce(ctx context.Context, h Host) error
	}

	// Platform is all that the platform offers.
	Platform interface {
		Tables
		Objects
		HostRegistry
	}
)

// The states of a host.
const (
	HostLive     HostState = "live"
	HostDraining HostState = "leaving"
	HostEnded    HostState = "gone"
)

// Tables of the fleet.
const (
	TableChange     = "change"   // configuration: head row and one row a change
	TableDocument   = "document" // one row a service: version and digest
	TableBudget     = "budget"   // one row a budget: prepaid and allotted
	TableFence      = "fence"    // one row a partition and region: its home
	TableBatch      = "batch"    // the partitions' logs
	TableAtMostOnce = "once"     // keys of requests that may run once
)

// Error lists the rows that changed.
func (e *ConflictError) Error() string {
	names := make([]string, len(e.Failed))
	for i, r := range e.Failed {
		names[i] = fmt.Sprintf("%s/%s is at version %d", r.Table, r.Key, r.Version)
	}
	return "conflict: " + strings.Join(names, ", ")
}

// Contains tells whether the condition on ref failed.
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
		return Row{}, errors.Wrapf(ErrUnavailable, "asked for one row, got %d", len(rows))
	}
	return rows[0], nil
}

// ScanAll reads every row with a prefix, page by page.
func ScanAll(ctx context.Context, t Tables, table, prefix, after string) ([]Row, error) {
	var out []Row
	for {
		rows, err := t.Scan(ctx, ScanRequest{Table: table, Prefix: prefix, After: after, Limit: scanPage})
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		if len(rows) < scanPage {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// scanPage is the number of rows in one page of ScanAll.
const scanPage = 200
