package cicadaedge

import "github.com/cicadadyke/cicadadyke/internal/cicadaingress"

const (
	// Shares of the process's memory limit that the connections of a listener, their request headers and, for
	// callers, the bytes of bodies that bodyBuffers does not count may take. Without a memory limit,
	// defaultBufferBytes applies to each.
	callerMemoryShare = 0.25
	peerMemoryShare   = 0.06
	healthMemoryShare = 0.02
	// Shares of the descriptors for the connections of a listener. Requests in progress need a quarter for
	// runners (filesPerRequest), and the rest is for files, the store and other routers.
	callerConnShare = 0.375
	peerConnShare   = 0.25
	healthConnShare = 0.03
	// minConns is the number of connections that each listener may have.
	minConns = 8
)

// guards bound what clients of the listeners can make this process hold.
type guards struct {
	callerGuard, healthGuard, peerGuard *cicadaingress.Guard
}

func newGuards(cfg *Config) guards {
	newGuard := func(name string, memoryShare, connShare float64) *cicadaingress.Guard {
		c := cicadaingress.Config{
			Name: name, MemoryBytes: defaultBufferBytes, Messages: name == "routers", Log: cfg.Log, Counts: &cfg.Metrics.Ingress,
		}
		if cfg.MemoryLimitBytes > 0 {
			c.MemoryBytes = int64(memoryShare * float64(cfg.MemoryLimitBytes))
		}
		if cfg.MaxOpenFiles > 0 {
			c.MaxConns = max(minConns, int(connShare*float64(cfg.MaxOpenFiles)))
		}
		return cicadaingress.NewGuard(c)
	}
	return guards{
		callerGuard: newGuard("callers", callerMemoryShare, callerConnShare),
		healthGuard: newGuard("health", healthMemoryShare, healthConnShare),
		peerGuard:   newGuard("routers", peerMemoryShare, peerConnShare),
	}
}

// reserveUncounted counts the first bytes of the body, and reports whether there is memory for them.
func (q *request) reserveUncounted() bool {
	n := uncountedBytes
	if q.r.ContentLength > 0 {
		n = int(min(q.r.ContentLength, uncountedBytes))
	}
	if !q.rt.callerGuard.Reserve(int64(n)) {
		return false
	}
	q.bodyHeld = n
	return true
}

// releaseBody gives back the memory of the body.
func (q *request) releaseBody() {
	q.rt.requestBuffers.add(-q.bodyCounted)
	q.rt.callerGuard.Release(int64(q.bodyHeld))
}
