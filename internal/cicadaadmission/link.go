// Package cicadaadmission decides whether a host takes new callers, by the load of its link.
//
// The platform assigns each caller to a host, whatever the traffic of the caller and the bandwidth
// of the host. One caller with much traffic can fill the link of a small host, and all requests of
// that host then miss their objectives while other hosts are nearly idle. A host whose link is
// overloaded therefore reports that it is not ready, and closes as many of its callers' connections
// as brings its load down, so that they are opened again to other hosts.
//
// The package does no I/O and reads no clock; callers pass in the time.
package cicadaadmission

import (
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadPeriod is the time constant of the moving average of the load. It spans many requests of a
	// busy caller.
	loadPeriod = time.Second
	// overloadShare is the share of the bandwidth from which on a link is overloaded. The average of a
	// link that is full for a part of each second is no higher.
	overloadShare = 0.6
	// recoveredShare is the share below which a link is no longer overloaded, and targetShare the one
	// that connections are closed for.
	recoveredShare = 0.5
	targetShare    = 0.4
	// minOverload is the shortest overload. The platform checks readiness once a second and needs two
	// checks to stop sending new connections. If the link is still overloaded after that time, more
	// connections are closed.
	minOverload = 4 * time.Second

	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

type (
	// Link measures the traffic on a host's link. It is safe for concurrent use. A nil Link has no
	// load.
	Link struct {
		bytesPerSecond float64 // in each direction

		mu             sync.Mutex // guards the fields below
		received, sent meter
		overloaded     bool
		// periodStart is when an overload began or was last found to continue. Of the connections at
		// that time, a share of keepShare stays; period makes each choice a new one.
		periodStart time.Time
		period      uint64
		keepShare   float64
	}

	// meter is an exponential moving average of a number of bytes.
	meter struct {
		bytes     float64 // within loadPeriod
		updatedAt time.Time
	}
)

// NewLink returns a link with a bandwidth in Mbit/s, or nil if the bandwidth is not known.
func NewLink(mbps float64) *Link {
	if mbps <= 0 {
		return nil
	}
	return &Link{bytesPerSecond: mbps * bitsPerMegabit / bitsPerByte}
}

// RecordReceived counts bytes that were received.
func (l *Link) RecordReceived(bytes int, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received.add(bytes, now)
}

// RecordSent counts bytes that were sent.
func (l *Link) RecordSent(bytes int, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent.add(bytes, now)
}

// Load returns the share of the bandwidth in use, in the direction with more traffic.
func (l *Link) Load(now time.Time) float64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load(now)
}

func (l *Link) load(now time.Time) float64 {
	l.received.add(0, now)
	l.sent.add(0, now)
	return max(l.received.bytes, l.sent.bytes) / loadPeriod.Seconds() / l.bytesPerSecond
}

// Overloaded reports whether new callers should use other hosts, and whether that has changed since
// the last call.
func (l *Link) Overloaded(now time.Time) (overloaded, changed bool) {
	if l == nil {
		return false, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.overloaded
	load, settled := l.load(now), now.Sub(l.periodStart) >= minOverload
	switch {
	case load > overloadShare && (!before || settled):
		l.overloaded, l.periodStart, l.keepShare = true, now, targetShare/load
		l.period++
	case load < recoveredShare && settled:
		l.overloaded = false
	}
	return l.overloaded, l.overloaded != before
}

// Keeps reports whether a caller's connection with the given number stays open, as of the last call of
// Overloaded.
func (l *Link) Keeps(conn uint64) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.overloaded {
		return true
	}
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], conn)
	binary.LittleEndian.PutUint64(key[8:], l.period)
	return float64(xxhash.Sum64(key[:]))/math.MaxUint64 < l.keepShare
}

func (m *meter) add(bytes int, now time.Time) {
	if dt := now.Sub(m.updatedAt); dt > 0 {
		m.bytes *= math.Exp(-dt.Seconds() / loadPeriod.Seconds())
		m.updatedAt = now
	}
	m.bytes += float64(bytes)
}
