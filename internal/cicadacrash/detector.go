// Package cicadacrash collects the attempts whose connections to a runner break at the same time, so
// that the runner is checked once for all of them. Whether it has crashed is up to the caller: broken
// connections alone also come from networks, and from runners that go on.
package cicadacrash

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
)

// CollectionPeriod is the time in which all connections of a process that is gone end, and the attempts that
// a crash breaks are collected.
const CollectionPeriod = 30 * time.Millisecond

type (
	// Broken are attempts at one runner that broke at the same time.
	Broken struct {
		At         time.Time // of the first one
		AcceptedAt time.Time // when the runner accepted the latest of their connections; zero if that is not known
		Suspects   cicadaquarantine.Suspects
		RequestIDs []string
		Relayed    bool // one of them at least was sent through another router
		Leaving    bool // the runner was about to end, so that its end is no crash
		// TimedOut is set if the network gave a connection up. Nobody knows then when the runner ended, if it did.
		TimedOut bool
		// OnResult are called by the caller with the outcome of the check: nil if the runner accepts
		// connections.
		OnResult []func(err error)
	}

	// Config configures a Detector of runners that are identified by an R.
	Config[R comparable] struct {
		// Go runs a function in a goroutine that the caller owns.
		Go func(f func())
		// Check finds out whether a runner has crashed.
		Check func(runner R, b *Broken)
	}

	// Detector has runners checked whose connections broke. It is safe for concurrent use.
	Detector[R comparable] struct {
		cfg Config[R]

		mu      sync.Mutex // guards pending
		pending map[R]*Broken
	}
)

// EndsAtClose reports whether a response ends only when its connection closes, which also happens if the
// runner ends.
func EndsAtClose(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

// NewDetector returns a Detector.
func NewDetector[R comparable](cfg Config[R]) *Detector[R] {
	return &Detector[R]{cfg: cfg, pending: map[R]*Broken{}}
}

// Add adds attempts that broke at a runner. The runner is checked once CollectionPeriod has passed.
func (d *Detector[R]) Add(runner R, b *Broken) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pending := d.pending[runner]; pending != nil {
		pending.merge(b)
		return
	}
	d.pending[runner] = b
	d.cfg.Go(func() {
		time.Sleep(CollectionPeriod)
		d.cfg.Check(runner, d.take(runner))
	})
}

func (d *Detector[R]) take(runner R) *Broken {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.pending[runner]
	delete(d.pending, runner)
	return b
}

func (b *Broken) merge(o *Broken) {
	if o.At.Before(b.At) {
		b.At = o.At
	}
	if o.AcceptedAt.After(b.AcceptedAt) {
		b.AcceptedAt = o.AcceptedAt
	}
	b.RequestIDs = append(b.RequestIDs, o.RequestIDs...)
	b.Relayed = b.Relayed || o.Relayed
	b.Suspects.Begun = append(b.Suspects.Begun, o.Suspects.Begun...)
	b.Suspects.Waiting = append(b.Suspects.Waiting, o.Suspects.Waiting...)
	b.Leaving = b.Leaving || o.Leaving
	b.TimedOut = b.TimedOut || o.TimedOut
	b.OnResult = append(b.OnResult, o.OnResult...)
}
