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

// applyConfig updates the routing table with the runners of a new configuration.
func (r *Router) applyConfig(snap *cicadaconfig.Snapshot) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	declared := make(map[string]bool)
	for _, svc := range snap.Services() {
		for i := range svc.Upstreams() {
			u := &svc.Upstreams()[i]
			name := upstreamID(svc.Name(), u.Name)
			declared[name] = true
			r.table.SetUpstream(name, routeRunners(u))
		}
	}
	for _, name := range r.table.Upstreams() {
		if !declared[name] {
			r.table.RemoveUpstream(name)
		}
	}
	r.metrics.ConfigSeq.Set(int64(snap.Seq()))
}

// upstreamID returns the name of a service's upstream, which is unique in the fleet.
func upstreamID(service, upstream string) string { return service + "/" + upstream }

func routeRunners(u *cicadadoc.Upstream) []cicadaroute.Runner {
	out := make([]cicadaroute.Runner, len(u.Runners))
	for i, spec := range u.Runners {
		out[i] = cicadaroute.Runner{
			Name: spec.Name, Address: spec.Address, DataCentre: spec.DataCentre, Capacity: spec.Capacity, Draining: spec.Draining,
			ReportsLoad: u.ReportsLoad,
		}
	}
	return out
}

// recordLoad records a runner's load report.
func (r *Router) recordLoad(addr string, load cicadaupstream.Load) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	report := cicadaroute.LoadReport{Running: load.Running, Waiting: load.Waiting, Draining: load.Draining}
	r.table.UpdateLoad(addr, report, time.Now())
}

// markRunnersDraining marks runners that a peer reported as draining.
func (r *Router) markRunnersDraining(addrs []string) {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	for _, addr := range addrs {
		if r.table.MarkDraining(addr) {
			r.metrics.Router.Add("leavingHeardFromPeers", 1)
		}
	}
}

func (r *Router) drainingRunners() []string {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	return r.table.DrainingRunners()
}

// pollLoads periodically polls the runners that report their load, so that the
// load of runners without requests is known too.
func (r *Router) pollLoads() {
	defer r.wg.Done()
	tick := time.NewTicker(loadPollInterval)
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
				if err := r.upstreamClient.PollLoad(r.ctx, addr); err != nil {
					r.metrics.Router.Add("loadPollsFailed", 1)
				}
			}()
		}
		wg.Wait()
	}
}

// fetchConfigFromPeers returns the newest configuration of all peers. It is used
// while the platform is unavailable.
func (r *Router) fetchConfigFromPeers(ctx context.Context) (*cicadaconfig.Export, error) {
	var newest *cicadaconfig.Export
	for _, addr := range r.fleet.PeerAddrs() {
		export, err := r.fetchConfig(ctx, addr)
		if err != nil {
			continue
		}
		if newest == nil || export.Seq > newest.Seq {
			newest = export
		}
	}
	if newest == nil {
		return nil, errors.New("no peer returned a configuration")
	}
	return newest, nil
}
