package cicadarouter

import (
	"expvar"
	"fmt"
	"syscall"
	"time"
)

// Metrics are the counters of one router. They are expvar variables that are
// served on the operators' listener and not published globally, so that several
// routers can run in one process.
type Metrics struct {
	PeerBytesIn  expvar.Int
	PeerBytesOut expvar.Int
	ConfigSeq    expvar.Int
	Router       *expvar.Map // events of requests
	Refusals     *expvar.Map // by code
	PeerCalls    *expvar.Map // calls to peers, by method
	Session      *expvar.Map
	Home         *expvar.Map
	Fleet        *expvar.Map
	Platform     *expvar.Map // calls to the platform, by kind
	startedAt    time.Time
}

// NewMetrics returns counters at zero.
func NewMetrics() *Metrics {
	return &Metrics{
		Router:    new(expvar.Map).Init(),
		Refusals:  new(expvar.Map).Init(),
		PeerCalls: new(expvar.Map).Init(),
		Session:   new(expvar.Map).Init(),
		Home:      new(expvar.Map).Init(),
		Fleet:     new(expvar.Map).Init(),
		Platform:  new(expvar.Map).Init(),
		startedAt: time.Now(),
	}
}

// String returns all counters as JSON. It makes Metrics an expvar.Var.
func (m *Metrics) String() string {
	return fmt.Sprintf(`{"uptimeSeconds":%.1f,"processCPUSeconds":%.3f,`+
		`"peerBytesIn":%s,"peerBytesOut":%s,"configSeq":%s,`+
		`"requests":%s,"refusals":%s,"peerCalls":%s,"session":%s,"home":%s,"fleet":%s,"platform":%s}`,
		time.Since(m.startedAt).Seconds(), ProcessCPUTime().Seconds(),
		m.PeerBytesIn.String(), m.PeerBytesOut.String(), m.ConfigSeq.String(),
		m.Router, m.Refusals, m.PeerCalls, m.Session, m.Home, m.Fleet, m.Platform)
}

// PeerBytes returns the bytes exchanged with peers, both ways.
func (m *Metrics) PeerBytes() int64 {
	return m.PeerBytesIn.Value() + m.PeerBytesOut.Value()
}

// ProcessCPUTime returns the processor time that this process has used.
func ProcessCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// CounterValue returns a counter of a map, zero if it was never raised.
func CounterValue(m *expvar.Map, name string) int64 {
	v, ok := m.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
