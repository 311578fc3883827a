package cicadarouter

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaroute"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/pkg/errors"
)

// configChanged brings the runners of a new configuration into the table.
func (r *Router) configChanged(snap *cicadaconfig.Snapshot) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	declared := make(map[string]bool)
	for _, svc := range snap.Services() {
		for i := range svc.Upstreams() {
			u := &svc.Upstreams()[i]
			name := upstreamID(svc.Name(), u.Name)
			declared[name] = true
			r.table.SetUpstream(name, runnersOf(u))
		}
	}
	for _, name := range r.table.Upstreams() {
		if !declared[name] {
			r.table.RemoveUpstream(name)
		}
	}
	r.metrics.ConfigSeq.Set(int64(snap.Seq()))
}

// upstreamID is the fleet-wide name of a service's upstream.
func upstreamID(service, upstream string) string { return service + "/" + upstream }

func runnersOf(u *cicadadoc.Upstream) []cicadaroute.Runner {
	out := make([]cicadaroute.Runner, len(u.Runners))
	for i, spec := range u.Runners {
		out[i] = cicadaroute.Runner{
			Name: spec.Name, Address: spec.Address, DataCentre: spec.DataCentre, Capacity: spec.Capacity, Draining: spec.Draining,
			ReportsLoad: u.ReportsLoad,
		}
	}
	return out
}

// heardLoad takes a runner's report.
func (r *Router) heardLoad(addr string, load cicadaupstream.Load) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	report := cicadaroute.LoadReport{Running: load.Running, Waiting: load.Waiting, Draining: load.Draining}
	r.table.UpdateLoad(addr, report, time.Now())
}

// heardLeaving takes a peer's word that runners leave.
func (r *Router) heardLeaving(addrs []string) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	for _, addr := range addrs {
		if r.table.MarkDraining(addr) {
			r.metrics.Router.Add("leavingHeardFromPeers", 1)
		}
	}
}

func (r *Router) leavingRunners() []string {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	return r.table.DrainingRunners()
}

// pollLoads asks each runner in use for its load, so that a runner without
// requests is known too.
func (r *Router) pollLoads() {
	defer r.wg.Done()
	tick := time.NewTicker(loadPoll)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C:
		}
		r.tableMu.Lock()
		addrs := r.table.ReportingRunners()
		r.tableMu.Unlock()
		var wg sync.WaitGroup
		for _, addr := range addrs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if err := r.runners.PollLoad(r.ctx, addr); err != nil {
					r.metrics.Router.Add("loadPollsFailed", 1)
				}
			}()
		}
		wg.Wait()
	}
}

// configFromPeers asks peers for the configuration while the platform is away
// and returns the newest.
func (r *Router) configFromPeers(ctx context.Context) (*cicadaconfig.Export, error) {
	var newest *cicadaconfig.Export
	for _, addr := range r.fleet.PeerAddrs() {
		export, err := r.askConfig(ctx, addr)
		if err != nil {
			continue
		}
		if newest == nil || export.Seq > newest.Seq {
			newest = export
		}
	}
	if newest == nil {
		return nil, errors.New("no peer answered")
	}
	return newest, nil
}
