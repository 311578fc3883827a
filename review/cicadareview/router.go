package cicadareview

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// memoryInterval is the time between two looks at the memory of a router.
	memoryInterval = 20 * time.Millisecond
	// settleTime is the time from the start of the routers until traffic begins, which the pages give.
	settleTime = 10 * time.Second
)

type (
	// Case is one run of a case.
	Case struct {
		*Record
		// Trouble is unset if the case runs without the disruption.
		Trouble bool

		command, folder string
		routers         []*Router
	}

	// Router is a router process.
	Router struct {
		Name, Front, Ready string
		cmd                *exec.Cmd
		log                *os.File
		ended              chan struct{}
	}

	// RouterConfig configures the routers of a case.
	RouterConfig struct {
		Zone, StoreAddr string
		MemoryMB        int
	}
)

// settingsFormat is the settings file of a machine of a small deployment.
const settingsFormat = `NodeName: %q
Role: "router"
MachineClass: "edge"
Serves:
  - "edge"
  - "control_plane"
Ip: "127.0.0.1"
Zone: %q
Region: "qc-est"
Zones:
  salle-levis: "qc-est"
  salle-beauport: "qc-est"
Listen:
  Front: %q
  Ready: %q
  Control: %q
Seeds: []
Bootstrap: true
Limits:
  CpuShare: 0.4
  Cores: 1
  MemoryMb: %d
  MaxFds: 4100
  LinkMbps: 1000.0
  DiskMb: 0
BeatIntervalMs: 1200
Bounds:
  SeedLagS: 3
  ReuseAfterS: 2
  ContactMs: 3000
  AckMs: 4000
  CatchUpS: 4
  DrainMs: 2000
  GraceS: 8
  LossSlackMs: 200
  ConfigMs: 2000
  RollbackSlackMs: 250
  StretchMs: 5000
  RevokeStrict: false
  RevokeMs: 5000
  RetryBudgetRatio: 0.2
  BudgetWindowS: 10
  RetrySlack: 56
  RecoveryS: 12
  PassMs: 120
  ReuseWindowS: 9.5
  settle_ms: 1500
Platform:
  Address: %q
  form: "table"
`

// StartRouter starts a router and returns without waiting until it is ready.
func (c *Case) StartRouter(name string, cfg *RouterConfig) (*Router, error) {
	var addrs [3]string
	for i := range addrs {
		ln, err := listen()
		if err != nil {
			return nil, err
		}
		addrs[i] = ln.Addr().String()
		if err := ln.Close(); err != nil {
			return nil, err
		}
	}
	settings := filepath.Join(c.folder, name+".yaml")
	text := fmt.Sprintf(settingsFormat, name, cfg.Zone, addrs[0], addrs[1], addrs[2], cfg.MemoryMB, cfg.StoreAddr)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(c.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	words := strings.Fields(c.command)
	cmd := exec.Command(words[0], words[1:]...) //nolint:noctx // close ends it
	cmd.Env = append(os.Environ(), "CICADADYKE_NODE_FILE="+settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r := &Router{Name: name, Front: addrs[0], Ready: addrs[1], cmd: cmd, log: logFile, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the exit code of a router that is killed says nothing
		close(r.ended)
	}()
	c.routers = append(c.routers, r)
	c.Add("router %s starts as process %d", name, cmd.Process.Pid)
	return r, nil
}

// AwaitReady waits until all routers are ready, and for the time that the pages give the machines before
// traffic begins.
func (c *Case) AwaitReady() error {
	startedAt := time.Now()
	for _, r := range c.routers {
		for !r.isReady() {
			if time.Since(startedAt) > readyTimeout {
				return fmt.Errorf("router %s is not ready", r.Name)
			}
			time.Sleep(pollInterval)
		}
		c.Add("router %s is ready", r.Name)
	}
	time.Sleep(time.Until(startedAt.Add(settleTime)))
	return nil
}

func (r *Router) isReady() bool {
	resp, err := http.Get("http://" + r.Ready + "/cicadadyke/ready") //nolint:noctx // on loopback
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the router.
func (c *Case) Signal(r *Router, sig syscall.Signal) error {
	c.Add("router %s gets signal %v", r.Name, sig)
	return r.cmd.Process.Signal(sig)
}

// Pid returns the id of the router's process.
func (r *Router) Pid() int { return r.cmd.Process.Pid }

// close ends all routers.
func (c *Case) close() {
	for _, r := range c.routers {
		_ = r.cmd.Process.Kill() // it may have ended
		<-r.ended
		_ = r.log.Close() // nothing is written any more
	}
}

// EnforceMemory kills the router when it exceeds its memory, as the platform does.
func (c *Case) EnforceMemory(r *Router, megabytes int) {
	go func() {
		for {
			select {
			case <-r.ended:
				return
			case <-time.After(memoryInterval):
			}
			if used := r.memoryMB(); used > megabytes {
				c.Say("router %s uses %d MB of %d and is killed", r.Name, used, megabytes)
				_ = r.cmd.Process.Kill() // it may have ended
				return
			}
		}
	}()
}

// memoryMB returns the resident memory of the router's process; zero if it has ended.
func (r *Router) memoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.Pid()))
	var total, resident int
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(data), &total, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}
