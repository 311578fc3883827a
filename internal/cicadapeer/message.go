// Package cicadapeer carries the fleet's own messages: JSON-RPC 2.0 by jrpc2,
// each compressed by zstd with a fixed dictionary, over TCP with mutual TLS. The
// protocol's version is negotiated
// as the TLS application protocol, so that processes of different versions
// either understand each other or do not connect.
package cicadapeer

import (
	"context"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/pkg/errors"
)

// Methods of the protocol.
const (
	methodExchange = "exchange"
	methodClaim    = "claim"
	methodBeat     = "beat"
	methodLend     = "lend"
	methodLoans    = "loans"
	methodAnswer   = "answer"
	methodRecall   = "recall"
	methodConfig   = "config"
)

// Protocol is the name and version of the protocol.
const Protocol = "cicadadyke-peer/1"

// Errors of the peer layer.
var (
	ErrUnreachable = errors.New("peer unreachable")
	ErrRefused     = errors.New("peer refused the call")
)

// Fault is the reason why a home did not take an exchange.
type Fault string

// The faults of an exchange.
const (
	FaultNone        Fault = ""
	FaultNotHome     Fault = "notHome"     // ask the home named in the reply
	FaultUnavailable Fault = "unavailable" // repeat the same exchange later
	FaultOutOfOrder  Fault = "outOfOrder"  // the holder's session has ended
	FaultInvalid     Fault = "bad"         // the exchange breaks a rule
)

type (
	// ExchangeItem is one exchange with the home of one partition.
	ExchangeItem struct {
		Partition cicadaledger.PartitionID `json:"p"`
		Exchange  cicadaledger.Exchange    `json:"x"`
	}

	// ExchangeRequest carries exchanges for partitions with one home.
	ExchangeRequest struct {
		Items []ExchangeItem `json:"i"`
	}

	// ItemReply is the answer to one item, or the fault.
	ItemReply struct {
		Result *cicadaledger.ExchangeResult `json:"a,omitempty"`
		Fault  Fault                        `json:"f,omitempty"`
		// HomeAddr is the home's peer address with FaultNotHome, if known.
		HomeAddr string `json:"h,omitempty"`
	}

	// ExchangeReply has one reply for each item, in their order.
	ExchangeReply struct {
		Items []ItemReply `json:"i"`
	}

	// ClaimRequest asks the home for the key of an idempotent request, or
	// gives it back. The home answers from memory: if it forgets, a second bill
	// for the key is voided all the same.
	ClaimRequest struct {
		Partition cicadaledger.PartitionID `json:"p"`
		Holder    cicadaledger.RouterID    `json:"h"`
		Claim     cicadaledger.Claim       `json:"c"`
		Release   bool                     `json:"e,omitempty"`
	}

	// ClaimReply is the home's verdict, or the fault.
	ClaimReply struct {
		Result   cicadaledger.ClaimResult `json:"v,omitzero"`
		Fault    Fault                    `json:"f,omitempty"`
		HomeAddr string                   `json:"h,omitempty"`
	}

	// LendRequest asks a router for units that it has free, while the home is
	// away. At least Min, up to Want.
	LendRequest struct {
		Borrower cicadaledger.RouterID `json:"t"`
		Budget   string                `json:"b"`
		Min      cicadabudget.Units    `json:"m"`
		Want     cicadabudget.Units    `json:"w"`
	}

	// LendReply is the loan, or none.
	LendReply struct {
		Loan *cicadaledger.Loan `json:"m,omitempty"`
	}

	// CollectLoansRequest asks a router what it borrowed of an ended process and has
	// not reported yet. From then on it borrows nothing of that process.
	CollectLoansRequest struct {
		Lender cicadaledger.RouterID `json:"f"`
	}

	// CollectLoansReply lists loans.
	CollectLoansReply struct {
		Loans []cicadaledger.Loan `json:"m,omitempty"`
	}

	// Heartbeat is a heartbeat, sent and answered alike.
	Heartbeat struct {
		RouterID  cicadaledger.RouterID `json:"h"`
		ConfigSeq uint64                `json:"c"`
		Draining  bool                  `json:"l,omitempty"`
		// DrainingRunners are addresses of runners that refuse new work.
		DrainingRunners []string `json:"r,omitempty"`
	}

	// FetchResponseRequest asks for the kept answer of a request.
	FetchResponseRequest struct {
		RequestID string `json:"requestID"`
	}

	// FetchResponseReply is a kept answer. Found is false if there is none.
	FetchResponseReply struct {
		Found    bool           `json:"found"`
		Running  bool           `json:"running,omitempty"`
		Response StoredResponse `json:"kept,omitzero"`
	}

	// StoredResponse is the whole answer of a request with an idempotency key.
	StoredResponse struct {
		Status      int    `json:"status"`
		ContentType string `json:"contentType"`
		Body        []byte `json:"body"`
	}

	// RecallRequest asks a router to return what it has free of a budget.
	RecallRequest struct {
		Budgets []string `json:"budgets"`
	}

	// ConfigRequest asks for the configuration in force.
	ConfigRequest struct {
		KnownSeq uint64 `json:"have"`
	}

	// Empty is a reply without content.
	Empty struct{}

	// Handler serves the protocol's methods.
	Handler interface {
		Exchange(ctx context.Context, req *ExchangeRequest) (*ExchangeReply, error)
		Claim(ctx context.Context, req *ClaimRequest) (*ClaimReply, error)
		Lend(ctx context.Context, req *LendRequest) (*LendReply, error)
		CollectLoans(ctx context.Context, req *CollectLoansRequest) (*CollectLoansReply, error)
		Heartbeat(ctx context.Context, beat *Heartbeat) (*Heartbeat, error)
		FetchResponse(ctx context.Context, req *FetchResponseRequest) (*FetchResponseReply, error)
		Recall(ctx context.Context, req *RecallRequest) (*Empty, error)
		Config(ctx context.Context, req *ConfigRequest) (*cicadaconfig.Export, error)
	}
)
