package cicadaconfig

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// pollInterval is the time between two reads of the head row, so that a
	// change is in force within seconds even if no peer tells of it.
	pollInterval = time.Second
	// pollJitter spreads the routers' reads, as a share of pollInterval.
	pollJitter = 0.2
)

type (
	// WatcherConfig sets up a Watcher.
	WatcherConfig struct {
		Platform cicadastore.Platform
		Log      log.Interface
		// FetchFromPeers asks peers for the newest configuration that they have
		// in force. It is used while the platform cannot be read.
		FetchFromPeers func(ctx context.Context) (*Export, error)
	}

	// Watcher keeps the configuration in force up to date. Its goroutine ends
	// at Close.
	Watcher struct {
		cfg     WatcherConfig
		current atomic.Pointer[Snapshot]
		// fromPeers is set while the snapshot came from peers only.
		fromPeers atomic.Bool
		wake      chan struct{}
		ready     chan struct{}
		readyOnce sync.Once
		stop      chan struct{}
		done      chan struct{}
		onChange  []func(*Snapshot)
	}
)

// NewWatcher returns a watcher that has not started. OnChange functions are
// called from its goroutine after each new snapshot.
func NewWatcher(cfg WatcherConfig, onChange ...func(*Snapshot)) *Watcher {
	w := &Watcher{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		ready:    make(chan struct{}),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		onChange: onChange,
	}
	w.current.Store(emptySnapshot())
	return w
}

// Start begins to follow the platform.
func (w *Watcher) Start() { go w.run() }

// Close ends the watcher and waits for it.
func (w *Watcher) Close() {
	close(w.stop)
	<-w.done
}

// Ready is closed once the configuration has been read, from the platform or
// from peers.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Current returns the configuration in force.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// FromPeersOnly tells whether the platform has not confirmed the configuration
// since the start.
func (w *Watcher) FromPeersOnly() bool { return w.fromPeers.Load() }

// NotifySeq tells the watcher that a peer has change seq in force.
func (w *Watcher) NotifySeq(seq uint64) {
	if seq <= w.Current().Seq() {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Watcher) run() {
	defer close(w.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-w.stop
		cancel()
	}()
	for {
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			w.cfg.Log.WithError(err).Warn("configuration not read")
		}
		pause := time.Duration(float64(pollInterval) * (1 + pollJitter*(rand.Float64()-0.5)))
		select {
		case <-w.stop:
			return
		case <-w.wake:
		case <-time.After(pause):
		}
	}
}

func (w *Watcher) poll(ctx context.Context) error {
	err := w.pollPlatform(ctx)
	if err == nil {
		w.fromPeers.Store(false)
		w.markReady()
		return nil
	}
	if w.cfg.FetchFromPeers == nil {
		return err
	}
	export, peerErr := w.cfg.FetchFromPeers(ctx)
	if peerErr != nil || export == nil {
		return err
	}
	if export.Seq > w.Current().Seq() {
		w.fromPeers.Store(true)
		w.Merge(export)
	}
	w.markReady()
	return err
}

func (w *Watcher) markReady() {
	w.readyOnce.Do(func() { close(w.ready) })
}

// Merge takes over what is newer in an export.
func (w *Watcher) Merge(export *Export) {
	snap := w.Current()
	for _, v := range export.Services {
		snap = snap.with(export.Seq, v)
	}
	w.publish(snap)
}

func (w *Watcher) publish(snap *Snapshot) {
	w.current.Store(snap)
	for _, f := range w.onChange {
		f(snap)
	}
}

func (w *Watcher) pollPlatform(ctx context.Context) error {
	row, err := cicadastore.GetOne(ctx, w.cfg.Platform, cicadastore.Ref{Table: cicadastore.TableChange, Key: headKey})
	if err != nil {
		return err
	}
	var head headRow
	if err := cicadaledger.DecodeRow(row.Value, &head); err != nil {
		return err
	}
	switch seq := w.Current().Seq(); {
	case head.Seq <= seq:
		return nil
	case seq == 0:
		return w.readAll(ctx, head.Seq)
	default:
		return w.readChanges(ctx, seq)
	}
}

// readAll reads every document. Changes committed meanwhile are read by the
// next poll and skipped where the document has them already.
func (w *Watcher) readAll(ctx context.Context, seq uint64) error {
	rows, err := cicadastore.ScanAll(ctx, w.cfg.Platform, cicadastore.TableDocument, "", "")
	if err != nil {
		return err
	}
	snap := w.Current()
	for _, row := range rows {
		var dr documentRow
		if err := cicadaledger.DecodeRow(row.Value, &dr); err != nil {
			return err
		}
		doc, err := readDocument(ctx, w.cfg.Platform, dr.Object)
		if err != nil {
			return errors.Wrapf(err, "service %s", row.Key)
		}
		snap = snap.with(seq, VersionedDocument{Version: dr.Version, Document: doc})
	}
	w.publish(snap)
	return nil
}

func (w *Watcher) readChanges(ctx context.Context, after uint64) error {
	rows, err := cicadastore.ScanAll(ctx, w.cfg.Platform, cicadastore.TableChange, changePrefix, changeKey(after))
	if err != nil {
		return err
	}
	snap := w.Current()
	for _, row := range rows {
		var ch changeRow
		if err := cicadaledger.DecodeRow(row.Value, &ch); err != nil {
			return err
		}
		if snap, err = applyChange(snap, &ch); err != nil {
			return err
		}
	}
	w.publish(snap)
	return nil
}

func applyChange(snap *Snapshot, ch *changeRow) (*Snapshot, error) {
	svc, ok := snap.Service(ch.Delta.Service)
	if ok && svc.version >= ch.Delta.Version {
		return snap.with(ch.Seq, VersionedDocument{Version: svc.version, Document: svc.doc}), nil
	}
	v := VersionedDocument{Version: ch.Delta.Version}
	var err error
	if ok {
		v.Document, err = ch.Delta.Apply(svc.doc)
	} else {
		v.Document, err = ch.Delta.Apply(nil)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "change %d", ch.Seq)
	}
	return snap.with(ch.Seq, v), nil
}
