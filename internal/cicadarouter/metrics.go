package cicadarouter

import (
	"expvar"
	"fmt"
	"syscall"
	"time"
)

// Metrics contains the counters of one router. The expvar variables are served on
// the operators' listener and not published globally, so that several routers can
// run in one process.
type Metrics struct {
	PeerBytesIn  expvar.Int
	PeerBytesOut expvar.Int
	ConfigSeq    expvar.Int
	Router       *expvar.Map // request events
	Refusals     *expvar.Map // refusals, by code
	Ingress      *expvar.Map // limits that callers reached, by limit
	PeerCalls    *expvar.Map // calls to peers, by method
	Session      *expvar.Map
	Home         *expvar.Map
	Fleet        *expvar.Map
	Platform     *expvar.Map // calls to the platform, by kind
	startedAt    time.Time
}

// NewMetrics returns metrics with all counters at zero.
func NewMetrics() *Metrics {
	return &Metrics{
		Router:    new(expvar.Map).Init(),
		Refusals:  new(expvar.Map).Init(),
		Ingress:   new(expvar.Map).Init(),
		PeerCalls: new(expvar.Map).Init(),
		Session:   new(expvar.Map).Init(),
		Home:      new(expvar.Map).Init(),
		Fleet:     new(expvar.Map).Init(),
		Platform:  new(expvar.Map).Init(),
		startedAt: time.Now(),
	}
}

// String returns all counters as JSON. It implements expvar.Var.
func (m *Metrics) String() string {
	return fmt.Sprintf(`{"uptimeSeconds":%.1f,"processCPUSeconds":%.3f,`+
		`"peerBytesIn":%s,"peerBytesOut":%s,"configSeq":%s,`+
		`"requests":%s,"refusals":%s,"ingress":%s,"peerCalls":%s,"session":%s,"home":%s,"fleet":%s,"platform":%s}`,
		time.Since(m.startedAt).Seconds(), ProcessCPUTime().Seconds(),
		m.PeerBytesIn.String(), m.PeerBytesOut.String(), m.ConfigSeq.String(),
		m.Router, m.Refusals, m.Ingress, m.PeerCalls, m.Session, m.Home, m.Fleet, m.Platform)
}

// PeerBytes returns the number of bytes received from and sent to peers.
func (m *Metrics) PeerBytes() int64 {
	return m.PeerBytesIn.Value() + m.PeerBytesOut.Value()
}

// ProcessCPUTime returns the CPU time used by this process.
func ProcessCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// CounterValue returns the value of a counter in a map, or zero if it is not there.
func CounterValue(m *expvar.Map, name string) int64 {
	v, ok := m.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
