package cicadacmd

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadalog"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	cicadaplatform "github.com/cicadadyke/cicadadyke/platform"
	"github.com/peterbourgon/ff/v4"
)

const (
	// memoryShare is the part of a process's memory that the runtime may use
	// before it collects harder; the rest is for sockets and stacks.
	memoryShare = 0.55
	// storeTimeout bounds a call to the store: 60 times its usual answer, which
	// is how slow it has been seen, and more.
	storeTimeout = time.Second
	// holdRemoved is how long the platform takes to write entries anew after an
	// outage of its store, by its documents about two seconds.
	holdRemoved = 2200 * time.Millisecond
	// settingsPoll lies between two looks at the settings file, which may change
	// without a signal.
	settingsPoll = 2 * time.Second
)

// nodeVerb runs a router on the users' platform.
type nodeVerb struct{ settings string }

func (v *nodeVerb) command(env *environment) *ff.Command {
	fs := env.flags("node")
	fs.StringVar(&v.settings, 0, "settings", "", "settings file; empty for the one that the platform names")
	return &ff.Command{
		Name: "node", Usage: "cicadadyke node [FLAGS]", ShortHelp: "run a router on the platform",
		LongHelp: "The settings file is the platform's. The router stops as planned on SIGTERM and reads the\n" +
			"settings again on SIGHUP or when the file changes. Logs go to standard output as JSON lines.\n\n" +
			"Example:\n  cicadadyke node --settings node.yaml",
		Flags: fs,
		Exec:  func(ctx context.Context, args []string) error { return v.run(ctx, env, args) },
	}
}

func (v *nodeVerb) path() string {
	for _, p := range []string{v.settings, os.Getenv(cicadaplatform.SettingsPathEnv)} {
		if p != "" {
			return p
		}
	}
	return cicadaplatform.DefaultSettingsPath
}

func (v *nodeVerb) run(ctx context.Context, env *environment, args []string) error {
	if len(args) > 0 {
		return usagef("node takes no arguments")
	}
	// Registered until the stop has ended: its default action ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	path := v.path()
	settings, err := cicadaplatform.LoadSettings(path)
	if err != nil {
		return fail(ExitUsage, err)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimitBytes())))
	lines := cicadalog.NewWriter(env.io.Out)
	defer lines.Close()
	logger := &log.Logger{Handler: json.New(lines), Level: log.MustParseLevel(*env.logLevel)}
	cfg, err := edgeConfig(ctx, settings, logger)
	if err != nil {
		return fail(ExitFailed, err)
	}
	rt := cicadaedge.New(cfg)
	rt.Start()
	watchSettings(ctx, path, hup, rt, logger)
	rt.Stop()
	return nil
}

func boundsOf(s *cicadaplatform.Settings) cicadaedge.RuntimeSettings {
	return cicadaedge.RuntimeSettings{RetryBudget: s.RetryBudget(), ConfigDeadline: s.ConfigDeadline(), ConfigDeadlineExtension: s.ConfigDeadlineExtension(), Seeds: s.Seeds()}
}

func edgeConfig(ctx context.Context, s *cicadaplatform.Settings, logger log.Interface) (cicadaedge.Config, error) {
	metrics := cicadaedge.NewMetrics()
	cfg := cicadaedge.Config{
		Name: s.Name(), DataCentre: s.DataCentre(), Host: s.Name() + "@" + s.Host(), BootID: strconv.FormatInt(time.Now().UnixNano(), 36), StartedAt: time.Now(),
		FirstStart: s.FirstStart(), ReadyPath: cicadaplatform.ReadyPath, Runtime: boundsOf(s),
		Store: cicadaplatform.NewStore(cicadaplatform.StoreConfig{
			Addr: s.StoreAddr(), Timeout: storeTimeout, LinkMbps: s.LinkMbps(), OnCall: metrics.RecordStoreCall,
		}),
		Sources: cicadaedge.Sources{
			DeploymentTable: cicadaplatform.TableOperator, DeploymentKey: cicadaplatform.KeyConfig,
			RunnerTable:      cicadaplatform.TableRunners,
			DecodeDeployment: cicadaplatform.DecodeDeployment, DecodeRunner: cicadaplatform.DecodeRunner,
		},
		Dialect: cicadaplatform.Dialect{}, StopTimeout: s.StopTimeout(),
		HoldPeriod: holdRemoved, HeartbeatInterval: s.HeartbeatInterval(), MaxOpenFiles: s.MaxOpenFiles(), MemoryLimitBytes: s.MemoryLimitBytes(),
		Log: logger, Metrics: metrics,
	}
	for _, l := range []struct {
		addr string
		into *net.Listener
	}{{s.CallerAddr(), &cfg.CallerListener}, {s.HealthAddr(), &cfg.HealthListener}, {s.PeerAddr(), &cfg.PeerListener}} {
		if l.addr == "" {
			continue
		}
		ln, err := cicadanet.Listen(ctx, l.addr)
		if err != nil {
			return cfg, err
		}
		*l.into = ln
	}
	return cfg, nil
}

// watchSettings puts settings in force whenever the file changes, with a signal or
// without, until ctx ends. Hup tells of SIGHUP.
func watchSettings(ctx context.Context, path string, hup <-chan os.Signal, rt *cicadaedge.Router, logger log.Interface) {
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			at := modified(path)
			if at.Equal(last) {
				continue
			}
			last = at
		}
		settings, err := cicadaplatform.LoadSettings(path)
		if err != nil {
			logger.WithError(err).Error("settings cannot be read, the present ones stay")
			continue
		}
		rt.ApplySettings(boundsOf(settings))
		logger.WithField("path", path).Info("reload")
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
