// Package cicadastandin holds small stand-ins for what surrounds the fleet:
// the operator's platform, model engines and plain services. They speak the
// same protocols over real sockets, keep their own records, and can be told to
// fail in the ways that the real ones do.
package cicadastandin

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"golang.org/x/time/rate"
)

const (
	// hostExpiry is the time after the last announcement at which the list
	// drops a host.
	hostExpiry = 3 * time.Second
	// throttleBurst is the share of a second's rate that may come at once.
	throttleBurst = 0.5
)

type (
	// PlatformConfig sets up a Platform.
	PlatformConfig struct {
		RandomSeed      uint64
		WritesPerSecond float64       // transactions; zero for no limit
		ReadsPerSecond  float64       // zero for no limit
		HostListDelay   time.Duration // how late the host list tells a change
	}

	// PlatformFaults are the ways in which the platform misbehaves now.
	PlatformFaults struct {
		Outage bool `json:"outage"`
		// AddedLatency is added to every call.
		AddedLatency time.Duration `json:"slownessNanos"`
		// LostResponseRatio is the share of commits that take effect and then fail.
		LostResponseRatio float64 `json:"lostAnswers"`
	}

	// Platform is the stand-in for tables, objects and host list.
	Platform struct {
		cfg    PlatformConfig
		counts *expvar.Map
		writes *rate.Limiter
		reads  *rate.Limiter

		mu      sync.Mutex // guards the fields below
		faults  PlatformFaults
		rng     *rand.Rand
		version uint64
		rows    map[cicadastore.Ref]cicadastore.Row
		keys    map[string][]string // sorted keys by table
		objects map[string][]byte
		hosts   map[string]*hostRecord
	}

	hostRecord struct {
		now       cicadastore.Host
		shown     cicadastore.Host
		listed    bool
		changedAt time.Time
		lastSeen  time.Time
	}
)

var _ cicadastore.Platform = (*Platform)(nil)

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		cfg:     cfg,
		counts:  new(expvar.Map).Init(),
		writes:  limiter(cfg.WritesPerSecond),
		reads:   limiter(cfg.ReadsPerSecond),
		rng:     rand.New(rand.NewPCG(cfg.RandomSeed, cfg.RandomSeed)),
		rows:    make(map[cicadastore.Ref]cicadastore.Row),
		keys:    make(map[string][]string),
		objects: make(map[string][]byte),
		hosts:   make(map[string]*hostRecord),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*throttleBurst)))
}

// SetFaults replaces the present faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counters returns calls and rows by kind.
func (p *Platform) Counters() *expvar.Map { return p.counts }

// enter applies outage, slowness and throttling. It returns with p.mu held if
// and only if the error is nil.
func (p *Platform) enter(ctx context.Context, kind string, l *rate.Limiter) error {
	p.counts.Add(kind, 1)
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.AddedLatency > 0 {
		select {
		case <-time.After(faults.AddedLatency):
		case <-ctx.Done():
			return cicadastore.ErrUnavailable
		}
	}
	if !l.Allow() {
		p.counts.Add("throttled", 1)
		return cicadastore.ErrThrottled
	}
	p.mu.Lock()
	if p.faults.Outage {
		p.mu.Unlock()
		p.counts.Add("refusedInOutage", 1)
		return cicadastore.ErrUnavailable
	}
	return nil
}

// Get reads rows, in the order of refs.
func (p *Platform) Get(ctx context.Context, refs ...cicadastore.Ref) ([]cicadastore.Row, error) {
	if err := p.enter(ctx, "reads", p.reads); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.counts.Add("rowsRead", int64(len(refs)))
	rows := make([]cicadastore.Row, len(refs))
	for i, ref := range refs {
		rows[i] = p.row(ref)
	}
	return rows, nil
}

func (p *Platform) row(ref cicadastore.Ref) cicadastore.Row {
	row, ok := p.rows[ref]
	if !ok {
		return cicadastore.Row{Ref: ref}
	}
	return row
}

// Scan reads rows by key prefix.
func (p *Platform) Scan(ctx context.Context, req cicadastore.ScanRequest) ([]cicadastore.Row, error) {
	if err := p.enter(ctx, "scans", p.reads); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	var out []cicadastore.Row
	keys := p.keys[req.Table]
	start := sort.SearchStrings(keys, max(req.Prefix, req.After))
	for _, k := range keys[start:] {
		if !strings.HasPrefix(k, req.Prefix) || len(out) == req.Limit {
			break
		}
		if k > req.After || req.After == "" {
			out = append(out, p.rows[cicadastore.Ref{Table: req.Table, Key: k}])
		}
	}
	p.counts.Add("rowsRead", int64(len(out)))
	return out, nil
}

// Commit runs a transaction.
func (p *Platform) Commit(ctx context.Context, txn cicadastore.Txn) (cicadastore.CommitResult, error) {
	if err := p.enter(ctx, "commits", p.writes); err != nil {
		return cicadastore.CommitResult{}, err
	}
	defer p.mu.Unlock()
	var failed []cicadastore.Row
	for _, c := range txn.Conditions {
		if row := p.row(c.Ref); row.Version != c.Version {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		p.counts.Add("conflicts", 1)
		return cicadastore.CommitResult{}, &cicadastore.ConflictError{Failed: failed}
	}
	p.version++
	for _, w := range txn.Writes {
		p.write(w)
	}
	p.counts.Add("rowsWritten", int64(len(txn.Writes)))
	if p.faults.LostResponseRatio > 0 && p.rng.Float64() < p.faults.LostResponseRatio {
		p.counts.Add("lostAnswers", 1)
		return cicadastore.CommitResult{}, cicadastore.ErrUnavailable
	}
	return cicadastore.CommitResult{Version: p.version}, nil
}

func (p *Platform) write(w cicadastore.Write) {
	keys := p.keys[w.Table]
	i := sort.SearchStrings(keys, w.Key)
	known := i < len(keys) && keys[i] == w.Key
	switch {
	case w.Delete && known:
		p.keys[w.Table] = append(keys[:i], keys[i+1:]...)
		delete(p.rows, w.Ref)
	case w.Delete:
	default:
		if !known {
			keys = append(keys, "")
			copy(keys[i+1:], keys[i:])
			keys[i] = w.Key
			p.keys[w.Table] = keys
		}
		p.rows[w.Ref] = cicadastore.Row{Ref: w.Ref, Value: w.Value, Version: p.version}
	}
}

// PutObject writes an object.
func (p *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	if err := p.enter(ctx, "objectWrites", p.writes); err != nil {
		return err
	}
	defer p.mu.Unlock()
	p.objects[name] = append([]byte(nil), data...)
	return nil
}

// GetObject reads an object.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.enter(ctx, "objectReads", p.reads); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok {
		return nil, cicadastore.ErrNotFound
	}
	return data, nil
}

// Announce records a host's addresses and state.
func (p *Platform) Announce(ctx context.Context, h cicadastore.Host) error {
	if err := p.enter(ctx, "announcements", p.reads); err != nil {
		return err
	}
	defer p.mu.Unlock()
	now := time.Now()
	rec, ok := p.hosts[h.Name]
	if !ok {
		rec = &hostRecord{changedAt: now}
		p.hosts[h.Name] = rec
	}
	p.refresh(rec, now)
	if rec.now != h {
		rec.now = h
		rec.changedAt = now
	}
	rec.lastSeen = now
	return nil
}

// Hosts lists the hosts as the platform knows them, late by HostLag.
func (p *Platform) Hosts(ctx context.Context) ([]cicadastore.Host, error) {
	if err := p.enter(ctx, "hostReads", p.reads); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	now := time.Now()
	var out []cicadastore.Host
	for _, rec := range p.hosts {
		if now.Sub(rec.lastSeen) > hostExpiry && rec.now.State != cicadastore.HostEnded {
			rec.now.State = cicadastore.HostEnded
			rec.changedAt = now
		}
		p.refresh(rec, now)
		if rec.listed {
			out = append(out, rec.shown)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// refresh lets the shown entry follow the true one once the lag has passed.
func (p *Platform) refresh(rec *hostRecord, now time.Time) {
	if now.Sub(rec.changedAt) >= p.cfg.HostListDelay {
		rec.shown = rec.now
		rec.listed = rec.now.Name != ""
	}
}

// TableRows returns every row of a table, by key, whatever the faults.
func (p *Platform) TableRows(table string) []cicadastore.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]cicadastore.Row, 0, len(p.keys[table]))
	for _, k := range p.keys[table] {
		out = append(out, p.rows[cicadastore.Ref{Table: table, Key: k}])
	}
	return out
}
