package cicadademo

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/pkg/errors"
)

// engineRestartDelay is how long a crashed engine is away.
const engineRestartDelay = 400 * time.Millisecond

// startEngine starts an engine that a crash ends for engineRestartDelay.
func (env *Environment) startEngine(cfg cicadastandin.EngineConfig) (string, error) {
	ln, err := listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	addr := ln.Addr().String()
	var (
		engine *cicadastandin.Engine
		server atomic.Pointer[http.Server]
	)
	cfg.Crash = func() {
		env.recordCrash()
		_ = server.Load().Close() // its connections break
		time.AfterFunc(engineRestartDelay, func() {
			ln, err := listen(addr)
			if err != nil {
				env.cfg.Logger.WithError(err).WithField("engine", cfg.Name).Error("engine stand-in could not start again")
				return
			}
			server.Store(env.serve(ln, engine.Handler()))
		})
	}
	engine = cicadastandin.NewEngine(cfg)
	env.engines = append(env.engines, engine)
	server.Store(env.serve(ln, engine.Handler()))
	return addr, nil
}

func (env *Environment) recordCrash() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.crashes = append(env.crashes, time.Now())
}

// Crashes returns the times at which engines crashed.
func (env *Environment) Crashes() []time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.crashes)
}
