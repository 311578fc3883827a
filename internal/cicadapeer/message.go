// Package cicadapeer implements the RPC protocol between routers: JSON-RPC 2.0
// messages, compressed with zstd and a fixed dictionary, over TCP with mutual
// TLS. The protocol version is negotiated with ALPN, so that processes with
// incompatible versions fail to connect.
package cicadapeer

import (
	"context"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/pkg/errors"
)

// JSON-RPC methods.
const (
	methodExchange      = "exchange"
	methodClaim         = "claim"
	methodHeartbeat     = "beat"
	methodLend          = "lend"
	methodCollectLoans  = "loans"
	methodFetchResponse = "answer"
	methodRecall        = "recall"
	methodConfig        = "config"
)

// Protocol is the ALPN protocol name, which includes the version.
const Protocol = "cicadadyke-peer/1"

var (
	// ErrUnreachable means that there was no response. The peer may have served the call.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRefused means that the peer returned an error.
	ErrRefused = errors.New("peer returned an error")
)

// Fault is the reason why an exchange or claim was not processed.
type Fault string

// Values of Fault.
const (
	FaultNone        Fault = ""
	FaultNotHome     Fault = "notHome"     // send it to the home in HomeAddr
	FaultUnavailable Fault = "unavailable" // retry the same exchange later
	FaultOutOfOrder  Fault = "outOfOrder"  // the holder's session has ended
	FaultInvalid     Fault = "bad"         // the exchange is invalid
)

type (
	// ExchangeItem is an exchange with the home of a partition.
	ExchangeItem struct {
		Partition cicadaledger.PartitionID `json:"p"`
		Exchange  cicadaledger.Exchange    `json:"x"`
	}

	// ExchangeRequest contains exchanges for partitions that have the same home.
	ExchangeRequest struct {
		Items []ExchangeItem `json:"i"`
	}

	// ItemReply is the result of one exchange, or the fault.
	ItemReply struct {
		Result *cicadaledger.ExchangeResult `json:"a,omitempty"`
		Fault  Fault                        `json:"f,omitempty"`
		// HomeAddr is the peer address of the home, if known. It is set with FaultNotHome.
		HomeAddr string `json:"h,omitempty"`
	}

	// ExchangeReply contains one reply per item, in the order of the request.
	ExchangeReply struct {
		Items []ItemReply `json:"i"`
	}

	// ClaimRequest claims the idempotency key of a request at the home, or
	// releases it. The home keeps claims in memory only. If a claim is lost,
	// a second bill for the key is still voided.
	ClaimRequest struct {
		Partition cicadaledger.PartitionID `json:"p"`
		Holder    cicadaledger.RouterID    `json:"h"`
		Claim     cicadaledger.Claim       `json:"c"`
		Release   bool                     `json:"e,omitempty"`
	}

	// ClaimReply is the result of a claim, or the fault.
	ClaimReply struct {
		Result   cicadaledger.ClaimResult `json:"v,omitzero"`
		Fault    Fault                    `json:"f,omitempty"`
		HomeAddr string                   `json:"h,omitempty"`
	}

	// LendRequest asks a router for a loan of free units while the home is
	// unavailable. The loan has at least Min and at most Want units.
	LendRequest struct {
		Borrower cicadaledger.RouterID `json:"t"`
		Budget   string                `json:"b"`
		Min      cicadabudget.Units    `json:"m"`
		Want     cicadabudget.Units    `json:"w"`
	}

	// LendReply contains the loan, or nil if the router lends nothing.
	LendReply struct {
		Loan *cicadaledger.Loan `json:"m,omitempty"`
	}

	// CollectLoansRequest asks a router for the loans that it received from an
	// ended process and has not reported yet. After it, the router borrows
	// nothing more from that process.
	CollectLoansRequest struct {
		Lender cicadaledger.RouterID `json:"f"`
	}

	// CollectLoansReply lists the unreported loans.
	CollectLoansReply struct {
		Loans []cicadaledger.Loan `json:"m,omitempty"`
	}

	// Heartbeat is both the request and the reply of the heartbeat method.
	Heartbeat struct {
		RouterID  cicadaledger.RouterID `json:"h"`
		ConfigSeq uint64                `json:"c"`
		Draining  bool                  `json:"l,omitempty"`
		// DrainingRunners are the addresses of runners that take no new requests.
		DrainingRunners []string `json:"r,omitempty"`
		// CrashesDigest is the digest of the crashes that the sender knows, zero for none. Crashes
		// holds them if the receiver is not known to have the same.
		CrashesDigest uint64                   `json:"d,omitempty"`
		Crashes       *cicadaquarantine.Report `json:"k,omitempty"`
		SentMillis    int64                    `json:"t,omitempty"` // by the sender's clock, in Unix milliseconds
	}

	// Crashes are the crashes of runners that a router knows, with their digest.
	Crashes struct {
		Digest   uint64
		Evidence *cicadaquarantine.Report // nil if there are none
	}

	// FetchResponseRequest asks for the stored response of a request.
	FetchResponseRequest struct {
		RequestID string `json:"requestID"`
	}

	// FetchResponseReply contains a stored response. Found is false if there is none;
	// Running then states that the request is still in progress at the router, and
	// OutcomeUnknown that it has ended and may have run.
	FetchResponseReply struct {
		Found          bool           `json:"found"`
		Running        bool           `json:"running,omitempty"`
		OutcomeUnknown bool           `json:"outcomeUnknown,omitempty"`
		Response       StoredResponse `json:"kept,omitzero"`
	}

	// StoredResponse is the complete response to a request with an idempotency key.
	StoredResponse struct {
		Status      int    `json:"status"`
		ContentType string `json:"contentType"`
		Body        []byte `json:"body"`
	}

	// RecallRequest asks a router to return its free units of the budgets.
	RecallRequest struct {
		Budgets []string `json:"budgets"`
	}

	// ConfigRequest asks for the current configuration if it is newer than KnownSeq.
	ConfigRequest struct {
		KnownSeq uint64 `json:"have"`
	}

	// Empty is a reply without fields.
	Empty struct{}

	// Handler implements the methods of the protocol.
	Handler interface {
		Exchange(ctx context.Context, req *ExchangeRequest) (*ExchangeReply, error)
		Claim(ctx context.Context, req *ClaimRequest) (*ClaimReply, error)
		Lend(ctx context.Context, req *LendRequest) (*LendReply, error)
		CollectLoans(ctx context.Context, req *CollectLoansRequest) (*CollectLoansReply, error)
		Heartbeat(ctx context.Context, heartbeat *Heartbeat) (*Heartbeat, error)
		FetchResponse(ctx context.Context, req *FetchResponseRequest) (*FetchResponseReply, error)
		Recall(ctx context.Context, req *RecallRequest) (*Empty, error)
		Config(ctx context.Context, req *ConfigRequest) (*cicadaconfig.Export, error)
	}
)
