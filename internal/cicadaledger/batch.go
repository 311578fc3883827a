// Package cicadaledger is the record of one partition of the budgets in one
// region: what the region was allotted, what is spent, and which router holds
// what. The home of the partition owns it.
//
// The state is a fold over batches. A batch is appended to the platform's
// tables in a transaction that requires the partition's fence row to be
// unchanged, and its effects are told to routers only after that commit.
// Therefore a home that lost its
// fence, or was paused and came back, can neither grant nor bill anything, and
// a successor that reads checkpoint and batches knows every holder's units.
//
// Invariants, for each budget:
//
//	allotted - spent - withheld - sum(held by routers) = available >= 0
//	one bill for each request key within the key window
//	one effect for each exchange of a router, however often it is sent
//
// The package does no input or output and reads no clock.
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

// PartitionCount is the number of partitions in each region. It is the same in
// every process and version: a budget never changes its partition.
const PartitionCount = 512

// Outcome tells how a billed request ended.
type Outcome string

// The outcomes of a billed request.
const (
	OutcomeComplete    Outcome = "whole"     // the caller's answer is complete
	OutcomeCancelled   Outcome = "cancelled" // the caller left before the end
	OutcomeInterrupted Outcome = "cut"       // the upstream failed before the end
	OutcomeNotRun      Outcome = "notRun"    // nothing ran: clears a claim, costs nothing
	OutcomeUnknown     Outcome = "unknown"   // a call that may run once may have run
)

type (
	// RouterID is one start of one router process. A restarted router is a new
	// holder.
	RouterID struct {
		Host        string `cbor:"1,keyasint"`
		Incarnation uint64 `cbor:"2,keyasint"`
	}

	// Amount is a number of units of one budget.
	Amount struct {
		Budget string             `cbor:"1,keyasint" json:"b"`
		Units  cicadabudget.Units `cbor:"2,keyasint" json:"u"`
	}

	// UnitRequest is a router's wish for units: Min for a request that waits, Want
	// for later ones.
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
		// Withheld units are not billed and not available: the upstream may
		// have used them after the router lost sight of it.
		Withheld cicadabudget.Units `cbor:"5,keyasint,omitempty" json:"x,omitempty"`
		Outcome  Outcome            `cbor:"6,keyasint" json:"o"`
		// Voided marks a second bill for a key; its units were credited.
		Voided bool `cbor:"7,keyasint,omitempty" json:"v,omitempty"`
		// FirstRequestID names the request that the key was billed for.
		FirstRequestID string `cbor:"8,keyasint,omitempty" json:"f,omitempty"`
		// AtMostOnce and Fingerprint are those of the request's claim.
		AtMostOnce  bool   `cbor:"9,keyasint,omitempty" json:"n,omitempty"`
		Fingerprint string `cbor:"10,keyasint,omitempty" json:"g,omitempty"`
	}

	// Claim is a router's wish to run the request with a given key.
	Claim struct {
		Key       string `cbor:"1,keyasint" json:"k"`
		RequestID string `cbor:"2,keyasint" json:"r"`
		// Fingerprint is a digest of the request's content.
		Fingerprint string `cbor:"3,keyasint" json:"f"`
		// AtMostOnce marks a request that may run at most once.
		AtMostOnce bool `cbor:"4,keyasint,omitempty" json:"o,omitempty"`
		// Rerun asks to run a billed request again, at no charge, because its
		// answer cannot be had any more.
		Rerun bool `cbor:"5,keyasint,omitempty" json:"n,omitempty"`
	}

	// Loan is units that one holder lent to another. Both report it; the first
	// report has the effect.
	Loan struct {
		ID     uint64             `cbor:"1,keyasint" json:"i"` // counted by the lender
		From   RouterID           `cbor:"2,keyasint" json:"f"`
		To     RouterID           `cbor:"3,keyasint" json:"t"`
		Budget string             `cbor:"4,keyasint" json:"b"`
		Units  cicadabudget.Units `cbor:"5,keyasint" json:"u"`
	}

	// Exchange is one message of a router to the home of a partition. A
	// router has one exchange open at a time and repeats it unchanged until
	// it has the answer, from this home or its successor.
	Exchange struct {
		Holder       RouterID      `json:"h"`
		Seq          uint64        `json:"s"`
		UnitRequests []UnitRequest `json:"a,omitempty"`
		Returns      []Amount      `json:"t,omitempty"`
		Bills        []Bill        `json:"b,omitempty"`
		Claims       []Claim       `json:"c,omitempty"`
		Loans        []Loan        `json:"m,omitempty"`
		// Closing ends the session: the router holds nothing any more.
		Closing bool `json:"e,omitempty"`
	}

	// ExchangeResult is the home's word on one exchange, durable before it is sent.
	ExchangeResult struct {
		Seq          uint64        `cbor:"1,keyasint" json:"s"`
		Grants       []Amount      `cbor:"2,keyasint,omitempty" json:"g,omitempty"`
		Credits      []Amount      `cbor:"3,keyasint,omitempty" json:"c,omitempty"`
		ClaimResults []ClaimResult `cbor:"4,keyasint,omitempty" json:"v,omitempty"`
		// Shortages lists asked budgets of which the home could not grant Want.
		Shortages []Shortage `cbor:"5,keyasint,omitempty" json:"x,omitempty"`
	}

	// Shortage tells why an ask was not met in full.
	Shortage struct {
		Budget string `cbor:"1,keyasint" json:"b"`
		// Remaining is what is neither spent nor withheld in this region.
		Remaining cicadabudget.Units `cbor:"2,keyasint" json:"r"`
		// HeldElsewhere is the part of Remaining that other routers hold.
		HeldElsewhere cicadabudget.Units `cbor:"3,keyasint" json:"e"`
		// FullyAllotted tells that the whole prepaid total is allotted: nothing can be
		// added to Remaining without a top-up or another region's return.
		FullyAllotted bool `cbor:"4,keyasint,omitempty" json:"f,omitempty"`
	}

	// ClaimResult is the answer to one claim.
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
		// SessionEnded marks the end of a holder that returned everything.
		SessionEnded bool   `cbor:"6,keyasint,omitempty"`
		Loans        []Loan `cbor:"7,keyasint,omitempty"`
	}

	// PartitionID names a partition of the budgets in one region.
	PartitionID struct {
		Region string `cbor:"1,keyasint"`
		Number int    `cbor:"2,keyasint"`
	}

	// Batch is one change of a partition. Incarnation is that of its home,
	// Seq counts the partition's batches over all homes.
	Batch struct {
		Partition   PartitionID `cbor:"1,keyasint"`
		Incarnation uint64      `cbor:"2,keyasint"`
		Seq         uint64      `cbor:"3,keyasint"`
		Time        time.Time   `cbor:"4,keyasint"`
		Allotments  []Amount    `cbor:"5,keyasint,omitempty"`
		Operations  []Operation `cbor:"6,keyasint,omitempty"`
	}

	// Record is one row of a home's log: the batches of all its partitions
	// that changed since the last record.
	Record struct {
		Batches []Batch `cbor:"1,keyasint"`
	}
)

// KeyStatus is what the ledger knows of a request key.
type KeyStatus string

// The states of a request key.
const (
	KeyGranted        KeyStatus = "granted"  // the claimant may run the request
	KeyRunning        KeyStatus = "running"  // another attempt holds the key
	KeyBilled         KeyStatus = "billed"   // the request ran and is billed
	KeyMismatch       KeyStatus = "mismatch" // the key was used with other content
	KeyOutcomeUnknown KeyStatus = "unknown"  // an attempt was lost; it may have run
)

// clearsClaim tells whether the request's key may be used for a new attempt:
// nothing ran, or the caller got no whole answer and is not charged.
func (b *Bill) clearsClaim() bool {
	return b.Units == 0 && (b.Outcome == OutcomeNotRun || b.Outcome == OutcomeInterrupted)
}

// encoding keeps times to the microsecond: the order of bills and top-ups within
// a second matters to an audit.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// EncodeRecord returns r in the form kept in the platform's tables.
func EncodeRecord(r *Record) ([]byte, error) {
	data, err := encoding.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// DecodeRecord reads what EncodeRecord wrote.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	return &r, nil
}

// PartitionOf returns the partition of a budget.
func PartitionOf(region, budget string) PartitionID {
	return PartitionID{Region: region, Number: int(xxhash.Sum64String(budget) % PartitionCount)}
}

// MarshalText returns the holder as host-incarnation, the form that request ids
// begin with.
func (h RouterID) MarshalText() ([]byte, error) {
	if h == (RouterID{}) {
		return nil, nil
	}
	return []byte(h.Host + "-" + strconv.FormatUint(h.Incarnation, 36)), nil
}

// UnmarshalText reads what MarshalText wrote.
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

// RequestID returns the id of the holder's n-th request.
func (h RouterID) RequestID(n uint64) string {
	return h.Host + "-" + strconv.FormatUint(h.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// MarshalText returns the partition's key in the platform's tables.
func (id PartitionID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText reads what MarshalText wrote.
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

// BillsOf returns the bills of a request in the record.
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
