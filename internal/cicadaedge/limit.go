package cicadaedge

import (
	"net/http"
	"time"
)

// heard notes what an answer says of its runner's limit. Bytes of another request or of
// another runner say nothing of it.
func (x *exchange) heard(a *attempt) {
	said := &a.answer
	foreign := said.RequestID != x.demand.ID && !(said.NotRun && said.RequestID == "")
	if foreign || a.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	key, log := a.ticket.Runner().Key(), x.rt.cfg.Log.WithField("runner", a.ticket.Runner().ID()).WithField("requestId", x.demand.ID)
	if said.RateErr != nil {
		x.rt.cfg.Metrics.Errors.Add("limitUnreadable", 1)
		log.WithError(said.RateErr).Warn("limit of a runner cannot be read")
	}
	switch {
	case said.Rate != nil:
		x.rt.cfg.Metrics.Limited.Add(1)
		if x.rt.limits.Name(key, *said.Rate, time.Now()) {
			log.WithField("rate", *said.Rate).Info("runner names a limit")
		}
	case said.RateErr == nil && (said.Sealed || said.NotRun):
		if x.rt.limits.End(key, a.ticket.Since()) {
			log.Info("runner names no limit any more")
		}
	}
}
