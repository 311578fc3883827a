package cicadacmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
)

// standinVerb runs stand-ins for the platform and for upstreams.
type standinVerb struct {
	platform      string
	writes, reads float64
	lag           time.Duration
	pace          time.Duration
}

func (v *standinVerb) command(env *environment) *ff.Command {
	fs := env.flags("standin")
	fs.StringVar(&v.platform, 0, "platform", "", "address of a platform stand-in; empty for none")
	fs.Float64Var(&v.writes, 0, "writes", 300, "transactions a second that the platform takes; 0 for no limit")
	fs.Float64Var(&v.reads, 0, "reads", 2000, "reads a second that the platform takes; 0 for no limit")
	fs.DurationVar(&v.lag, 0, "host-lag", time.Second, "lag of the platform's host list")
	fs.DurationVar(&v.pace, 0, "pace", 20*time.Millisecond, "time between two tokens of an engine")
	return &ff.Command{
		Name: "standin", Usage: "cicadadyke standin [FLAGS] [FILE...]", ShortHelp: "run stand-ins for the platform and the upstreams of documents",
		LongHelp: "Every runner that the FILEs declare is served on its own address, which has to be of this machine.\n" +
			"Faults are set by PUT /control/faults on each address.\n\n" +
			"Example:\n  cicadadyke standin --platform 127.0.0.1:9000 examples/qc-est/redacteur.yaml",
		Flags: fs,
		Exec:  func(ctx context.Context, args []string) error { return v.run(ctx, env, args) },
	}
}

func (v *standinVerb) run(ctx context.Context, env *environment, files []string) error {
	if v.platform == "" && len(files) == 0 {
		return usagef("give --platform, a FILE, or both")
	}
	var lc net.ListenConfig
	var servers []*http.Server
	defer func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}()
	serve := func(addr string, h http.Handler) error {
		ln, err := lc.Listen(ctx, "tcp", addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", addr)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: operatorTimeout}
		servers = append(servers, s)
		go func() { _ = s.Serve(ln) }()
		return nil
	}
	if v.platform != "" {
		p := cicadastandin.NewPlatform(cicadastandin.PlatformConfig{WritesPerSecond: v.writes, ReadsPerSecond: v.reads, HostListDelay: v.lag})
		if err := serve(v.platform, p.Handler()); err != nil {
			return err
		}
		fmt.Fprintf(env.io.Out, "platform stand-in on %s\n", v.platform)
	}
	for _, name := range files {
		src, err := readDocument(name)
		if err != nil {
			return err
		}
		for i := range src.Document().Upstreams {
			u := &src.Document().Upstreams[i]
			for _, r := range u.Runners {
				if err := serve(r.Address, v.runner(u, r)); err != nil {
					return err
				}
			}
			fmt.Fprintf(env.io.Out, "%d runners of upstream %s\n", len(u.Runners), u.Name)
		}
	}
	<-ctx.Done()
	return nil
}

func (v *standinVerb) runner(u *cicadadoc.Upstream, r cicadadoc.Runner) http.Handler {
	if u.Kind == cicadadoc.KindPlainService {
		return cicadastandin.NewPlainService(cicadastandin.PlainServiceConfig{Name: r.Name, Delay: v.pace}).Handler()
	}
	return cicadastandin.NewEngine(cicadastandin.EngineConfig{
		Name: r.Name, Capacity: r.Capacity, TokenInterval: v.pace, LoadReportDelay: 200 * time.Millisecond,
	}).Handler()
}
