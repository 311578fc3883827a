// Package cicadaledger keeps the ledger of one partition of the budgets in one
// region: the units allotted to the region, the units spent, and the units that
// each router holds. One router process, the home of the partition, writes it.
//
// The state is a fold over batches. A batch is appended to the platform's
// tables in a transaction that requires the partition's fence row to be
// unchanged, and its results are sent to routers only after that commit. So a
// home that was fenced off, perhaps while its process was paused, can neither
// grant nor bill anything. A successor that reads the checkpoint and the later
// batches knows the units of every holder.
//
// Invariants, for each budget:
//
//	allotted - spent - withheld - sum(held by routers) = available >= 0
//	at most one bill for each request key within the key window
//	each exchange of a router takes effect once, however often it is sent
//
// The package does no I/O and does not read the clock.
package cicadaledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// PartitionCount is the number of partitions in each region. It must be the same
// in every process and version, so that a budget never changes its partition.
const PartitionCount = 512

// Outcome is the way in which a billed request ended.
type Outcome string

// The outcomes of a billed request.
const (
	OutcomeComplete    Outcome = "whole"     // the caller got the complete response
	OutcomeCancelled   Outcome = "cancelled" // the caller disconnected before the end
	OutcomeInterrupted Outcome = "cut"       // the upstream failed before the end
	OutcomeNotRun      Outcome = "notRun"    // the request did not run: clears its claim, costs nothing
	OutcomeUnknown     Outcome = "unknown"   // an at-most-once request may have run
)

type (
	// RouterID identifies one router process. A router gets a new incarnation,
	// and so a new ID, each time it starts.
	RouterID struct {
		Host        string `cbor:"1,keyasint"`
		Incarnation uint64 `cbor:"2,keyasint"`
	}

	// Amount is a number of units of one budget.
	Amount struct {
		Budget string             `cbor:"1,keyasint" json:"b"`
		Units  cicadabudget.Units `cbor:"2,keyasint" json:"u"`
	}

	// UnitRequest is a router's request for units of a budget. Min covers a
	// request that is waiting, Want covers later ones as well.
	UnitRequest struct {
		Budget string             `json:"b"`
		Min    cicadabudget.Units `json:"m,omitempty"`
		Want   cicadabudget.Units `json:"w,omitempty"`
	}

	// Bill is the final charge of one request.
	Bill struct {
		RequestID string             `cbor:"1,keyasint" json:"r"`
		Budget    string             `cbor:"2,keyasint" json:"b"`
		Key       string             `cbor:"3,keyasint,omitempty" json:"k,omitempty"`
		Units     cicadabudget.Units `cbor:"4,keyasint" json:"u"`
		// Withheld units are neither billed nor available: the upstream may
		// have used them after the router lost its connection to it.
		Withheld cicadabudget.Units `cbor:"5,keyasint,omitempty" json:"x,omitempty"`
		Outcome  Outcome            `cbor:"6,keyasint" json:"o"`
		// Voided marks a second bill for a key. Its units are credited to the holder.
		Voided bool `cbor:"7,keyasint,omitempty" json:"v,omitempty"`
		// FirstRequestID is the request for which the key was billed.
		FirstRequestID string `cbor:"8,keyasint,omitempty" json:"f,omitempty"`
		// AtMostOnce and Fingerprint are copied from the request's claim.
		AtMostOnce  bool   `cbor:"9,keyasint,omitempty" json:"n,omitempty"`
		Fingerprint string `cbor:"10,keyasint,omitempty" json:"g,omitempty"`
	}

	// Claim asks for permission to run the request with an idempotency key.
	Claim struct {
		Key       string `cbor:"1,keyasint" json:"k"`
		RequestID string `cbor:"2,keyasint" json:"r"`
		// Fingerprint is a hash of the request's content.
		Fingerprint string `cbor:"3,keyasint" json:"f"`
		// AtMostOnce marks a request that must not run a second time.
		AtMostOnce bool `cbor:"4,keyasint,omitempty" json:"o,omitempty"`
		// Rerun asks to run a billed request again, free of charge, because its
		// response is no longer available.
		Rerun bool `cbor:"5,keyasint,omitempty" json:"n,omitempty"`
	}

	// Loan is a transfer of units from one holder to another. Both report it to
	// the home; the first report takes effect.
	Loan struct {
		ID     uint64             `cbor:"1,keyasint" json:"i"` // numbered by the lender
		From   RouterID           `cbor:"2,keyasint" json:"f"`
		To     RouterID           `cbor:"3,keyasint" json:"t"`
		Budget string             `cbor:"4,keyasint" json:"b"`
		Units  cicadabudget.Units `cbor:"5,keyasint" json:"u"`
	}

	// Exchange is one message from a router to the home of a partition. A
	// router has one exchange in flight at a time and repeats it unchanged
	// until it gets the result, from this home or its successor.
	Exchange struct {
		Holder       RouterID      `json:"h"`
		Seq          uint64        `json:"s"`
		UnitRequests []UnitRequest `json:"a,omitempty"`
		Returns      []Amount      `json:"t,omitempty"`
		Bills        []Bill        `json:"b,omitempty"`
		Claims       []Claim       `json:"c,omitempty"`
		Loans        []Loan        `json:"m,omitempty"`
		// Closing ends the session: the router no longer holds any units.
		Closing bool `json:"e,omitempty"`
	}

	// ExchangeResult is the home's response to one exchange. It is durable
	// before it is sent.
	ExchangeResult struct {
		Seq          uint64        `cbor:"1,keyasint" json:"s"`
		Grants       []Amount      `cbor:"2,keyasint,omitempty" json:"g,omitempty"`
		Credits      []Amount      `cbor:"3,keyasint,omitempty" json:"c,omitempty"`
		ClaimResults []ClaimResult `cbor:"4,keyasint,omitempty" json:"v,omitempty"`
		// Shortages lists the requested budgets of which the home granted fewer
		// units than wanted. While more can be allotted, a grant of at least
		// Min units is not listed.
		Shortages []Shortage `cbor:"5,keyasint,omitempty" json:"x,omitempty"`
	}

	// Shortage explains why a unit request was not granted in full.
	Shortage struct {
		Budget string `cbor:"1,keyasint" json:"b"`
		// Remaining is the part of the region's allotment that is neither spent
		// nor withheld.
		Remaining cicadabudget.Units `cbor:"2,keyasint" json:"r"`
		// HeldElsewhere is the part of Remaining that other routers hold.
		HeldElsewhere cicadabudget.Units `cbor:"3,keyasint" json:"e"`
		// FullyAllotted reports that the prepaid total is fully allotted:
		// Remaining can grow only after a top-up or a return by another region.
		FullyAllotted bool `cbor:"4,keyasint,omitempty" json:"f,omitempty"`
	}

	// ClaimResult is the home's response to one claim.
	ClaimResult struct {
		Key       string    `cbor:"1,keyasint" json:"k,omitempty"`
		Status    KeyStatus `cbor:"2,keyasint" json:"s"`
		RequestID string    `cbor:"3,keyasint,omitempty" json:"r,omitempty"`
		Holder    RouterID  `cbor:"4,keyasint" json:"h,omitzero"`
	}

	// Operation is the recorded effect of one exchange.
	Operation struct {
		Holder  RouterID       `cbor:"1,keyasint"`
		Returns []Amount       `cbor:"2,keyasint,omitempty"`
		Bills   []Bill         `cbor:"3,keyasint,omitempty"`
		Claims  []Claim        `cbor:"4,keyasint,omitempty"`
		Result  ExchangeResult `cbor:"5,keyasint"`
		// SessionEnded removes the holder if it has returned all its units.
		SessionEnded bool   `cbor:"6,keyasint,omitempty"`
		Loans        []Loan `cbor:"7,keyasint,omitempty"`
	}

	// PartitionID identifies a partition of the budgets in one region.
	PartitionID struct {
		Region string `cbor:"1,keyasint"`
		Number int    `cbor:"2,keyasint"`
	}

	// Batch is one change of a partition. Incarnation is that of the home that
	// wrote it. Seq numbers the partition's batches across all its homes.
	Batch struct {
		Partition   PartitionID `cbor:"1,keyasint"`
		Incarnation uint64      `cbor:"2,keyasint"`
		Seq         uint64      `cbor:"3,keyasint"`
		Time        time.Time   `cbor:"4,keyasint"`
		Allotments  []Amount    `cbor:"5,keyasint,omitempty"`
		Operations  []Operation `cbor:"6,keyasint,omitempty"`
	}

	// Record is one row of a home's log. It contains the batches of all
	// partitions of the home that changed since the previous record.
	Record struct {
		Batches []Batch `cbor:"1,keyasint"`
	}
)

// KeyStatus is the status of a request key in the ledger.
type KeyStatus string

// The statuses of a request key.
const (
	KeyGranted        KeyStatus = "granted"  // the claimant may run the request
	KeyRunning        KeyStatus = "running"  // another attempt has claimed the key
	KeyBilled         KeyStatus = "billed"   // the request ran and is billed
	KeyMismatch       KeyStatus = "mismatch" // the key was used with different content
	KeyOutcomeUnknown KeyStatus = "unknown"  // the outcome of an attempt is unknown; it may have run
)

// clearsClaim reports whether the request's key may be used for a new attempt,
// because nothing ran or because the caller got no complete response and is not
// charged.
func (b *Bill) clearsClaim() bool {
	return b.Units == 0 && (b.Outcome == OutcomeNotRun || b.Outcome == OutcomeInterrupted)
}

// encMode encodes times with microsecond precision, because audits need the order
// of bills and top-ups within a second.
var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// EncodeRecord encodes r for the platform's tables.
func EncodeRecord(r *Record) ([]byte, error) {
	data, err := encMode.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// DecodeRecord decodes the output of EncodeRecord.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	return &r, nil
}

// PartitionOf returns the partition to which a budget belongs.
func PartitionOf(region, budget string) PartitionID {
	return PartitionID{Region: region, Number: int(xxhash.Sum64String(budget) % PartitionCount)}
}

// MarshalText returns the ID as host-incarnation, which is also the prefix of the
// router's request IDs.
func (h RouterID) MarshalText() ([]byte, error) {
	if h == (RouterID{}) {
		return nil, nil
	}
	return []byte(h.Host + "-" + strconv.FormatUint(h.Incarnation, 36)), nil
}

// UnmarshalText parses the output of MarshalText.
func (h *RouterID) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*h = RouterID{}
		return nil
	}
	s := string(text)
	i := strings.LastIndexByte(s, '-')
	if i < 0 {
		return errors.Errorf("%q is no holder", s)
	}
	incarnation, err := strconv.ParseUint(s[i+1:], 36, 64)
	if err != nil {
		return errors.Wrapf(err, "%q is no holder", s)
	}
	*h = RouterID{Host: s[:i], Incarnation: incarnation}
	return nil
}

// RequestID returns the ID of the router's n-th request.
func (h RouterID) RequestID(n uint64) string {
	return h.Host + "-" + strconv.FormatUint(h.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// MarshalText returns the partition's key in the platform's tables.
func (id PartitionID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText parses the output of MarshalText.
func (id *PartitionID) UnmarshalText(text []byte) error {
	region, number, _ := strings.Cut(string(text), "/")
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= PartitionCount {
		return errors.Errorf("%q is no partition", text)
	}
	*id = PartitionID{Region: region, Number: n}
	return nil
}

// String returns the partition's key in the platform's tables.
func (id PartitionID) String() string {
	return fmt.Sprintf("%s/%03d", id.Region, id.Number)
}

// BillsOf returns the bills in the record for a request.
func (r *Record) BillsOf(requestID string) []Bill {
	var out []Bill
	for i := range r.Batches {
		for j := range r.Batches[i].Operations {
			for _, b := range r.Batches[i].Operations[j].Bills {
				if b.RequestID == requestID {
					out = append(out, b)
				}
			}
		}
	}
	return out
}
