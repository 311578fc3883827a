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
	// pollInterval is the interval between reads of the head row. It ensures that a
	// change is applied within seconds even if no peer announces it.
	pollInterval = time.Second
	// pollJitter is the fraction of pollInterval by which routers spread their reads.
	pollJitter = 0.2
)

type (
	// WatcherConfig configures a Watcher.
	WatcherConfig struct {
		Platform cicadastore.Platform
		Log      log.Interface
		// FetchFromPeers asks peers for the newest configuration that they
		// have applied. It is called while the platform cannot be read.
		FetchFromPeers func(ctx context.Context) (*Export, error)
	}

	// Watcher keeps the current configuration up to date. Close stops its
	// goroutine.
	Watcher struct {
		cfg     WatcherConfig
		current atomic.Pointer[Snapshot]
		// fromPeersOnly is true while the platform has not confirmed a
		// configuration received from peers.
		fromPeersOnly atomic.Bool
		pollNow       chan struct{}
		ready         chan struct{}
		readyOnce     sync.Once
		stop          chan struct{}
		done          chan struct{}
		onChange      []func(*Snapshot)
	}
)

// NewWatcher returns a watcher. Start starts it. The onChange functions are called
// from its goroutine with each new snapshot.
func NewWatcher(cfg WatcherConfig, onChange ...func(*Snapshot)) *Watcher {
	w := &Watcher{
		cfg:      cfg,
		pollNow:  make(chan struct{}, 1),
		ready:    make(chan struct{}),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		onChange: onChange,
	}
	w.current.Store(emptySnapshot())
	return w
}

// Start starts watching the platform.
func (w *Watcher) Start() { go w.run() }

// Close stops the watcher and waits for its goroutine.
func (w *Watcher) Close() {
	close(w.stop)
	<-w.done
}

// Ready returns a channel that is closed once the configuration has been read from
// the platform or from a peer.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Current returns the current configuration.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// FromPeersOnly reports whether the configuration was received from peers and not
// yet confirmed by the platform.
func (w *Watcher) FromPeersOnly() bool { return w.fromPeersOnly.Load() }

// NotifySeq notifies the watcher that a peer has applied change seq. The watcher
// polls at once if its own configuration is older.
func (w *Watcher) NotifySeq(seq uint64) {
	if seq <= w.Current().Seq() {
		return
	}
	select {
	case w.pollNow <- struct{}{}:
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
			w.cfg.Log.WithError(err).Warn("cannot read the configuration from the platform")
		}
		interval := time.Duration(float64(pollInterval) * (1 + pollJitter*(rand.Float64()-0.5)))
		select {
		case <-w.stop:
			return
		case <-w.pollNow:
		case <-time.After(interval):
		}
	}
}

func (w *Watcher) poll(ctx context.Context) error {
	err := w.pollPlatform(ctx)
	if err == nil {
		w.fromPeersOnly.Store(false)
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
		w.fromPeersOnly.Store(true)
		w.Merge(export)
	}
	w.markReady()
	return err
}

func (w *Watcher) markReady() {
	w.readyOnce.Do(func() { close(w.ready) })
}

// Merge publishes a snapshot with the documents of an export that are newer.
func (w *Watcher) Merge(export *Export) {
	snap := w.Current()
	for _, v := range export.Services {
		snap = snap.withDocument(export.Seq, v)
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
		return w.readDocuments(ctx, head.Seq)
	default:
		return w.readChanges(ctx, seq)
	}
}

// readDocuments reads every document. The next poll reads changes committed in the
// meantime, and skips those that a document already contains.
func (w *Watcher) readDocuments(ctx context.Context, seq uint64) error {
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
			return errors.Wrapf(err, "read document of service %s", row.Key)
		}
		snap = snap.withDocument(seq, VersionedDocument{Version: dr.Version, Document: doc})
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
		var change changeRow
		if err := cicadaledger.DecodeRow(row.Value, &change); err != nil {
			return err
		}
		if snap, err = applyChange(snap, &change); err != nil {
			return err
		}
	}
	w.publish(snap)
	return nil
}

func applyChange(snap *Snapshot, change *changeRow) (*Snapshot, error) {
	svc, ok := snap.Service(change.Delta.Service)
	if ok && svc.version >= change.Delta.Version {
		return snap.withDocument(change.Seq, VersionedDocument{Version: svc.version, Document: svc.doc}), nil
	}
	v := VersionedDocument{Version: change.Delta.Version}
	var err error
	if ok {
		v.Document, err = change.Delta.Apply(svc.doc)
	} else {
		v.Document, err = change.Delta.Apply(nil)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "change %d", change.Seq)
	}
	return snap.withDocument(change.Seq, v), nil
}
