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
	FaultBad         Fault = "bad"         // the exchange breaks a rule
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
		Answer *cicadaledger.ExchangeResult `json:"a,omitempty"`
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
		Verdict  cicadaledger.ClaimResult `json:"v,omitzero"`
		Fault    Fault                    `json:"f,omitempty"`
		HomeAddr string                   `json:"h,omitempty"`
	}

	// LendRequest asks a router for units that it has free, while the home is
	// away. At least Min, up to Want.
	LendRequest struct {
		To     cicadaledger.RouterID `json:"t"`
		Budget string                `json:"b"`
		Min    cicadabudget.Units    `json:"m"`
		Want   cicadabudget.Units    `json:"w"`
	}

	// LendReply is the loan, or none.
	LendReply struct {
		Move *cicadaledger.Loan `json:"m,omitempty"`
	}

	// LoansRequest asks a router what it borrowed of an ended process and has
	// not reported yet. From then on it borrows nothing of that process.
	LoansRequest struct {
		From cicadaledger.RouterID `json:"f"`
	}

	// LoansReply lists loans.
	LoansReply struct {
		Moves []cicadaledger.Loan `json:"m,omitempty"`
	}

	// Beat is a heartbeat, sent and answered alike.
	Beat struct {
		Host      cicadaledger.RouterID `json:"h"`
		ChangeSeq uint64                `json:"c"`
		Leaving   bool                  `json:"l,omitempty"`
		// LeavingRunners are addresses of runners that refuse new work.
		LeavingRunners []string `json:"r,omitempty"`
	}

	// AnswerRequest asks for the kept answer of a request.
	AnswerRequest struct {
		RequestID string `json:"requestID"`
	}

	// AnswerReply is a kept answer. Found is false if there is none.
	AnswerReply struct {
		Found   bool       `json:"found"`
		Running bool       `json:"running,omitempty"`
		Kept    KeptAnswer `json:"kept,omitzero"`
	}

	// KeptAnswer is the whole answer of a request with an idempotency key.
	KeptAnswer struct {
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
		Have uint64 `json:"have"`
	}

	// Empty is a reply without content.
	Empty struct{}

	// Handler serves the protocol's methods.
	Handler interface {
		Exchange(ctx context.Context, req *ExchangeRequest) (*ExchangeReply, error)
		Claim(ctx context.Context, req *ClaimRequest) (*ClaimReply, error)
		Lend(ctx context.Context, req *LendRequest) (*LendReply, error)
		Loans(ctx context.Context, req *LoansRequest) (*LoansReply, error)
		Beat(ctx context.Context, beat *Beat) (*Beat, error)
		Answer(ctx context.Context, req *AnswerRequest) (*AnswerReply, error)
		Recall(ctx context.Context, req *RecallRequest) (*Empty, error)
		Config(ctx context.Context, req *ConfigRequest) (*cicadaconfig.Export, error)
	}
)
