package cicadacase

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// Zone and region of all machines of a case.
	Zone   = "zone-a"
	region = "region-a"
	// readyTimeout bounds the time until all routers are ready.
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
)

type (
	// Deployment is a small fleet of the project's routers, each a process of its own.
	Deployment struct {
		Nodes []*Node
		dir   string
	}

	// Node is one router process.
	Node struct {
		Name               string
		Front, Ready, Peer string // addresses
		Store              string // address at which the router calls the store
		cmd                *exec.Cmd
		program, dir       string
		settings           map[string]any
	}

	// NodeLimits are the limits of each machine.
	NodeLimits struct {
		MemoryMb int
		MaxFds   int
	}
)

// StartDeployment starts routers with the command of the deploy file, and waits until they are ready.
func StartDeployment(program string, store *Store, n int, limits NodeLimits) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{dir: dir}
	var seeds []string
	for i := range n {
		addrs, err := freeAddrs(3)
		if err != nil {
			return nil, err
		}
		storeAddr, err := store.NewAddr()
		if err != nil {
			return nil, err
		}
		d.Nodes = append(d.Nodes, &Node{
			Name: fmt.Sprintf("edge-%d", i+1), Front: addrs[0], Ready: addrs[1], Peer: addrs[2], Store: storeAddr,
		})
		if len(seeds) < 3 {
			seeds = append(seeds, addrs[2])
		}
	}
	for _, node := range d.Nodes {
		node.program, node.dir, node.settings = program, dir, settings(node, seeds, limits)
		if err = node.Start(); err != nil {
			break
		}
	}
	if err == nil {
		err = d.AwaitReady()
	}
	if err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// settings returns the settings of a process, with the bounds of a small site.
func settings(node *Node, seeds []string, limits NodeLimits) map[string]any {
	return map[string]any{
		"NodeName": node.Name, "Role": "router", "MachineClass": "edge", "Serves": []string{"edge", "control_plane"},
		"Ip": "127.0.0.1", "Zone": Zone, "Region": region, "Zones": map[string]string{Zone: region},
		"Listen": map[string]string{"Front": node.Front, "Ready": node.Ready, "Control": node.Peer},
		"Seeds":  seeds, "Bootstrap": true, "Discovery": "platform", "Entry": "vip", "BeatIntervalMs": BeatInterval.Milliseconds(),
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": limits.MemoryMb, "MaxFds": limits.MaxFds, "LinkMbps": 1000.0, "DiskMb": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
			"LossSlackMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250, "StretchMs": 5000, "RetryBudgetRatio": 0.2,
			"BudgetWindowS": 10, "RetrySlack": 56, "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 9.5, "settle_ms": 1500,
		},
		"Platform": map[string]any{"Address": node.Store, "form": "table", "WritesPerS": 800, "ReadsPerS": 2000, "HistoryS": 20, "RowBytes": 65536},
	}
}

// Start starts the process. Its log goes on after that of an earlier process.
func (n *Node) Start() error {
	// JSON is YAML.
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(n.dir, n.Name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	n.cmd = exec.CommandContext(context.Background(), n.program, "node", "--settings", path)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return errors.Wrap(err, "start a router")
	}
	started.add(n.cmd.Process)
	return nil
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill() // it may have ended
		_ = n.cmd.Wait()         // it was killed
		started.remove(n.cmd.Process)
	}
}

// Restarted sets whether the system is no longer in its first start.
func (n *Node) Restarted() { n.settings["Bootstrap"] = false }

// PID returns the id of the process.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Log returns the path of the log that a router writes.
func (d *Deployment) Log(n *Node) string { return filepath.Join(d.dir, n.Name+".log") }

// AwaitReady waits until all routers take callers.
func (d *Deployment) AwaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, n := range d.Nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return errors.Errorf("router %s is not ready; see %s", n.Name, d.dir)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (n *Node) isReady() bool {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+n.Ready+"/cicadadyke/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends all processes and removes their files, unless KEEP is set.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
