package cicadarouter

import (
	"context"

	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
)

// peerHandler handles calls from peers.
type peerHandler struct{ r *Router }

var _ cicadapeer.Handler = (*peerHandler)(nil)

// Exchange forwards an exchange to the homes on this host.
func (h *peerHandler) Exchange(ctx context.Context, req *cicadapeer.ExchangeRequest) (*cicadapeer.ExchangeReply, error) {
	return h.r.home.Exchange(ctx, req), nil
}

// Claim forwards a claim of an idempotency key to the homes on this host.
func (h *peerHandler) Claim(_ context.Context, req *cicadapeer.ClaimRequest) (*cicadapeer.ClaimReply, error) {
	return h.r.home.Claim(req), nil
}

// Lend lends free units to another router.
func (h *peerHandler) Lend(_ context.Context, req *cicadapeer.LendRequest) (*cicadapeer.LendReply, error) {
	return &cicadapeer.LendReply{Loan: h.r.session.Lend(req.Borrower, req.Budget, req.Min, req.Want)}, nil
}

// CollectLoans returns the loans that this router received from an ended process and
// that are not yet known to be recorded, and stops borrowing from that process.
func (h *peerHandler) CollectLoans(_ context.Context, req *cicadapeer.CollectLoansRequest) (*cicadapeer.CollectLoansReply, error) {
	return &cicadapeer.CollectLoansReply{Loans: h.r.session.CollectLoans(req.Lender)}, nil
}

// Heartbeat processes a heartbeat and returns that of this host.
func (h *peerHandler) Heartbeat(_ context.Context, heartbeat *cicadapeer.Heartbeat) (*cicadapeer.Heartbeat, error) {
	h.r.fleet.HandleHeartbeat(heartbeat)
	return h.r.fleet.Heartbeat(heartbeat.CrashesDigest), nil
}

// FetchResponse returns a stored response, waiting up to runningWaitTimeout for a
// running request.
func (h *peerHandler) FetchResponse(ctx context.Context, req *cicadapeer.FetchResponseRequest) (*cicadapeer.FetchResponseReply, error) {
	return h.r.responses.await(ctx, req.RequestID), nil
}

// Recall makes the session return free units of some budgets to their homes.
func (h *peerHandler) Recall(_ context.Context, req *cicadapeer.RecallRequest) (*cicadapeer.Empty, error) {
	h.r.session.Recall(req.Budgets)
	return &cicadapeer.Empty{}, nil
}

// Config returns the configuration in force if it is newer than that of the peer,
// otherwise only its sequence number.
func (h *peerHandler) Config(_ context.Context, req *cicadapeer.ConfigRequest) (*cicadaconfig.Export, error) {
	snap := h.r.watcher.Current()
	if snap.Seq() <= req.KnownSeq {
		return &cicadaconfig.Export{Seq: snap.Seq()}, nil
	}
	return snap.Export(), nil
}

func (r *Router) fetchConfig(ctx context.Context, addr string) (*cicadaconfig.Export, error) {
	return r.peerClient.Config(ctx, addr, &cicadapeer.ConfigRequest{KnownSeq: r.watcher.Current().Seq()})
}
