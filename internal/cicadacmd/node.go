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
	// memoryLimitRatio is the share of the process's memory that is set as the Go
	// runtime's soft memory limit; the rest is for sockets and stacks.
	memoryLimitRatio = 0.55
	// storeTimeout bounds a call to the store. The store has been seen to take 60
	// times its usual response time; the timeout is longer than that.
	storeTimeout = time.Second
	// holdPeriod is the time for which removed runner entries stay in use after a
	// store outage. According to its documentation, the platform takes about two
	// seconds to rewrite the entries.
	holdPeriod = 2200 * time.Millisecond
	// settingsPollInterval is the interval of checks whether the settings file has
	// changed, because it may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// nodeVerb runs a router on the platform of package platform.
type nodeVerb struct{ settings string }

func (v *nodeVerb) command(env *environment) *ff.Command {
	fs := env.flags("node")
	fs.StringVar(&v.settings, 0, "settings", "", "settings file; if empty, the path set by the platform is used")
	return &ff.Command{
		Name: "node", Usage: "cicadadyke node [FLAGS]", ShortHelp: "run a router on the platform",
		LongHelp: "The settings file has the platform's format. The router shuts down gracefully on SIGTERM and reloads\n" +
			"the settings on SIGHUP or when the file changes. Logs go to standard output as JSON lines.\n\n" +
			"Example:\n  cicadadyke node --settings node.yaml",
		Flags: fs,
		Exec:  func(ctx context.Context, args []string) error { return v.run(ctx, env, args) },
	}
}

// settingsPath returns the path of the settings file: that of the flag, if it is set, that of the
// platform, or the default.
func settingsPath(flag string) string {
	for _, p := range []string{flag, os.Getenv(cicadaplatform.SettingsPathEnv)} {
		if p != "" {
			return p
		}
	}
	return cicadaplatform.DefaultSettingsPath
}

func (v *nodeVerb) run(ctx context.Context, env *environment, args []string) error {
	if len(args) > 0 {
		return usageErrorf("node takes no arguments")
	}
	// SIGHUP stays registered until the shutdown is complete, because its default
	// action terminates the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	path := settingsPath(v.settings)
	settings, err := cicadaplatform.LoadSettings(path)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryLimitBytes())))
	logWriter := cicadalog.NewWriter(env.io.Out)
	defer logWriter.Close()
	logger := &log.Logger{Handler: json.New(logWriter), Level: log.MustParseLevel(*env.logLevel)}
	cfg, err := edgeConfig(ctx, settings, logger)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	rt := cicadaedge.New(cfg)
	rt.Start()
	watchSettings(ctx, path, hup, rt, logger)
	rt.Stop()
	return nil
}

func runtimeSettings(s *cicadaplatform.Settings) cicadaedge.RuntimeSettings {
	return cicadaedge.RuntimeSettings{
		RetryBudget: s.RetryBudget(), ConfigDeadline: s.ConfigDeadline(), ConfigDeadlineExtension: s.ConfigDeadlineExtension(), Seeds: s.Seeds(),
		WarmupExcess: s.WarmupExcess(), WarmupSlack: s.WarmupSlack(),
	}
}

func edgeConfig(ctx context.Context, s *cicadaplatform.Settings, logger log.Interface) (cicadaedge.Config, error) {
	metrics := cicadaedge.NewMetrics()
	cfg := cicadaedge.Config{
		Name: s.Name(), DataCentre: s.DataCentre(), Regions: s.Regions(), Host: s.Name() + "@" + s.Host(),
		BootID: strconv.FormatInt(time.Now().UnixNano(), 36), StartedAt: time.Now(),
		FirstStart: s.FirstStart(), ReadyPath: cicadaplatform.ReadyPath, Runtime: runtimeSettings(s),
		Store: cicadaplatform.NewStore(cicadaplatform.StoreConfig{
			Addr: s.StoreAddr(), Timeout: storeTimeout, LinkMbps: s.LinkMbps(), OnCall: metrics.RecordStoreCall,
		}),
		Sources: cicadaedge.Sources{
			DeploymentTable: cicadaplatform.TableOperator, DeploymentKey: cicadaplatform.KeyConfig,
			EvacuationPrefix: cicadaplatform.EvacuationPrefix, DecodeEvacuation: cicadaplatform.DecodeEvacuation,
			RunnerTable:      cicadaplatform.TableRunners,
			DecodeDeployment: cicadaplatform.DecodeDeployment, DecodeRunner: cicadaplatform.DecodeRunner,
		},
		Dialect: cicadaplatform.Dialect{}, StopTimeout: s.StopTimeout(),
		HoldPeriod: holdPeriod, HeartbeatInterval: s.HeartbeatInterval(), MaxOpenFiles: s.MaxOpenFiles(),
		LinkMbps: s.LinkMbps(), MemoryLimitBytes: s.MemoryLimitBytes(),
		Log: logger, Metrics: metrics,
	}
	for _, l := range []struct {
		addr     string
		listener *net.Listener
	}{{s.CallerAddr(), &cfg.CallerListener}, {s.HealthAddr(), &cfg.HealthListener}, {s.PeerAddr(), &cfg.PeerListener}} {
		if l.addr == "" {
			continue
		}
		ln, err := cicadanet.Listen(ctx, l.addr)
		if err != nil {
			return cfg, err
		}
		*l.listener = ln
	}
	return cfg, nil
}

// watchSettings reloads and applies the settings on each value from hup and whenever
// the file changes, until ctx is done.
func watchSettings(ctx context.Context, path string, hup <-chan os.Signal, rt *cicadaedge.Router, logger log.Interface) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			modified := modTime(path)
			if modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		settings, err := cicadaplatform.LoadSettings(path)
		if err != nil {
			logger.WithError(err).Error("cannot load settings, keeping the current ones")
			continue
		}
		rt.ApplySettings(runtimeSettings(settings))
		logger.WithField("path", path).Info("reload")
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
