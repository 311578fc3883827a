package cicadaledger

import (
	"encoding/json"
	"fmt"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/pkg/errors"
)

type (
	// BudgetRow is the row of one budget in the platform's tables. The sum of
	// Allotted never exceeds Prepaid.
	BudgetRow struct {
		Prepaid  cicadabudget.Units            `json:"prepaid"`
		Allotted map[string]cicadabudget.Units `json:"allotted,omitempty"` // by region
	}

	// LogRef refers to the part of a home's log that may contain batches of a
	// partition.
	LogRef struct {
		Log  string `json:"log"`
		From uint64 `json:"from"` // number of the first row
	}

	// FenceRow records the home of a partition. Each change of home increments
	// the incarnation. Every commit of a home requires its fence rows to be
	// unchanged.
	FenceRow struct {
		Incarnation uint64   `json:"incarnation"`
		Home        RouterID `json:"home"` // zero if released
		PeerAddr    string   `json:"peerAddr,omitempty"`
		// Checkpoint names the object with the state to which the batches in
		// Logs are applied.
		Checkpoint string   `json:"checkpoint,omitempty"`
		Logs       []LogRef `json:"logs,omitempty"`
	}
)

// RowKey returns the key of row n of a log.
func RowKey(logName string, n uint64) string { return fmt.Sprintf("%s/%012d", logName, n) }

// TotalAllotted returns the units allotted to all regions together.
func (r *BudgetRow) TotalAllotted() cicadabudget.Units {
	var sum cicadabudget.Units
	for _, u := range r.Allotted {
		sum += u
	}
	return sum
}

// allotDivisor is the divisor of the unallotted units that gives the share that a
// region takes at a time.
const allotDivisor = 8

// Allot raises a region's allotment by at least need, as far as the budget allows,
// and returns the increase. A region takes a share of the unallotted units at a
// time, so that during a network partition each region has units left.
func (r *BudgetRow) Allot(region string, need cicadabudget.Units) cicadabudget.Units {
	unallotted := r.Prepaid - r.TotalAllotted()
	if unallotted <= 0 {
		return 0
	}
	units := min(unallotted, max(need, unallotted/allotDivisor))
	if r.Allotted == nil {
		r.Allotted = make(map[string]cicadabudget.Units)
	}
	r.Allotted[region] += units
	return units
}

// EncodeRow encodes a row's value for the platform's tables.
func EncodeRow(row any) ([]byte, error) {
	data, err := json.Marshal(row)
	return data, errors.Wrap(err, "encode row")
}

// DecodeRow decodes the output of EncodeRow into row. An empty value leaves row
// unchanged.
func DecodeRow(data []byte, row any) error {
	if len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, row), "decode row")
}
