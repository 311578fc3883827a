package cicadaledger

import (
	"encoding/json"
	"fmt"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/pkg/errors"
)

type (
	// BudgetRow is the platform's row of one budget. The sum of Allotted is
	// never above Prepaid.
	BudgetRow struct {
		Prepaid  cicadabudget.Units            `json:"prepaid"`
		Allotted map[string]cicadabudget.Units `json:"allotted,omitempty"` // by region
	}

	// LogRef is a part of a home's log that a partition's state depends on.
	LogRef struct {
		Log  string `json:"log"`
		From uint64 `json:"from"` // number of the first row
	}

	// FenceRow names the home of a partition. Each change of home raises the
	// incarnation, and every commit of a home requires its fence row.
	FenceRow struct {
		Incarnation uint64   `json:"incarnation"`
		Home        RouterID `json:"home"` // zero if released
		PeerAddr    string   `json:"peerAddr,omitempty"`
		// Checkpoint is the object with the state that Logs add to.
		Checkpoint string   `json:"checkpoint,omitempty"`
		Logs       []LogRef `json:"logs,omitempty"`
	}
)

// RowKey returns the key of a log's row.
func RowKey(logName string, n uint64) string { return fmt.Sprintf("%s/%012d", logName, n) }

// TotalAllotted returns the sum over the regions.
func (r *BudgetRow) TotalAllotted() cicadabudget.Units {
	var sum cicadabudget.Units
	for _, u := range r.Allotted {
		sum += u
	}
	return sum
}

// allotShare is the share of the unallotted rest that a region takes at once.
const allotShare = 8

// Allot raises a region's allotment by at least need, if the budget has it,
// and returns by how much. A region takes a share of the rest at a time, so
// that regions which lose each other all have something to go on with.
func (r *BudgetRow) Allot(region string, need cicadabudget.Units) cicadabudget.Units {
	rest := r.Prepaid - r.TotalAllotted()
	if rest <= 0 {
		return 0
	}
	units := min(rest, max(need, rest/allotShare))
	if r.Allotted == nil {
		r.Allotted = make(map[string]cicadabudget.Units)
	}
	r.Allotted[region] += units
	return units
}

// EncodeRow returns a row's value in the form kept in the platform's tables.
func EncodeRow(row any) ([]byte, error) {
	data, err := json.Marshal(row)
	return data, errors.Wrap(err, "encode row")
}

// DecodeRow reads what EncodeRow wrote. An empty value leaves row as it is.
func DecodeRow(data []byte, row any) error {
	if len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, row), "decode row")
}
