package cicadarouter

import (
	"context"

	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
)

// peerHandler serves the calls of peers.
type peerHandler struct{ r *Router }

var _ cicadapeer.Handler = (*peerHandler)(nil)

// Exchange serves the homes on this host.
func (h *peerHandler) Exchange(ctx context.Context, req *cicadapeer.ExchangeRequest) (*cicadapeer.ExchangeReply, error) {
	return h.r.home.Exchange(ctx, req), nil
}

// Claim answers for the keys of idempotent requests.
func (h *peerHandler) Claim(_ context.Context, req *cicadapeer.ClaimRequest) (*cicadapeer.ClaimReply, error) {
	return h.r.home.Claim(req), nil
}

// Lend gives free units to another router.
func (h *peerHandler) Lend(_ context.Context, req *cicadapeer.LendRequest) (*cicadapeer.LendReply, error) {
	return &cicadapeer.LendReply{Loan: h.r.session.Lend(req.Borrower, req.Budget, req.Min, req.Want)}, nil
}

// CollectLoans tells what was borrowed of an ended process.
func (h *peerHandler) CollectLoans(_ context.Context, req *cicadapeer.CollectLoansRequest) (*cicadapeer.CollectLoansReply, error) {
	return &cicadapeer.CollectLoansReply{Loans: h.r.session.CollectLoans(req.Lender)}, nil
}

// Heartbeat takes a heartbeat and answers with this host's.
func (h *peerHandler) Heartbeat(_ context.Context, b *cicadapeer.Heartbeat) (*cicadapeer.Heartbeat, error) {
	h.r.fleet.HandleHeartbeat(b)
	return h.r.fleet.Heartbeat(), nil
}

// FetchResponse returns a kept answer, waiting a while for a request that runs.
func (h *peerHandler) FetchResponse(ctx context.Context, req *cicadapeer.FetchResponseRequest) (*cicadapeer.FetchResponseReply, error) {
	return h.r.kept.await(ctx, req.RequestID), nil
}

// Recall makes the session return idle units.
func (h *peerHandler) Recall(_ context.Context, req *cicadapeer.RecallRequest) (*cicadapeer.Empty, error) {
	h.r.session.Recall(req.Budgets)
	return &cicadapeer.Empty{}, nil
}

// Config returns the configuration in force, if it is newer than the asker's.
func (h *peerHandler) Config(_ context.Context, req *cicadapeer.ConfigRequest) (*cicadaconfig.Export, error) {
	snap := h.r.watcher.Current()
	if snap.Seq() <= req.KnownSeq {
		return &cicadaconfig.Export{Seq: snap.Seq()}, nil
	}
	return snap.Export(), nil
}

func (r *Router) askConfig(ctx context.Context, addr string) (*cicadaconfig.Export, error) {
	return r.peers.Config(ctx, addr, &cicadapeer.ConfigRequest{KnownSeq: r.watcher.Current().Seq()})
}
