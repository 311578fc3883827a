// Package cicadastandin implements stand-ins (fakes) for the systems that the fleet
// depends on: the operator's platform, model engines and plain services. They use the
// same protocols over real sockets, keep their own records, and can simulate the
// faults of the real systems.
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
	// hostExpiry is the time after its last announcement at which a host is
	// listed as ended.
	hostExpiry = 3 * time.Second
	// throttleBurstSeconds is the burst size of the rate limits, as a fraction of
	// the calls that are allowed in a second.
	throttleBurstSeconds = 0.5
)

type (
	// PlatformConfig configures a Platform.
	PlatformConfig struct {
		RandomSeed      uint64
		WritesPerSecond float64       // transactions; zero for no limit
		ReadsPerSecond  float64       // zero for no limit
		HostListDelay   time.Duration // delay until the host list shows a change
	}

	// PlatformFaults are the faults that the platform simulates.
	PlatformFaults struct {
		Outage bool `json:"outage"`
		// AddedLatency delays every call.
		AddedLatency time.Duration `json:"slownessNanos"`
		// LostResponseRatio is the share of commits that take effect but return
		// an error.
		LostResponseRatio float64 `json:"lostAnswers"`
	}

	// Platform is the stand-in for the platform's tables, objects and host list.
	Platform struct {
		cfg      PlatformConfig
		counters *expvar.Map
		writes   *rate.Limiter
		reads    *rate.Limiter

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
		current     cicadastore.Host
		published   cicadastore.Host
		isPublished bool
		changedAt   time.Time
		lastSeen    time.Time
	}
)

var _ cicadastore.Platform = (*Platform)(nil)

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		cfg:      cfg,
		counters: new(expvar.Map).Init(),
		writes:   newLimiter(cfg.WritesPerSecond),
		reads:    newLimiter(cfg.ReadsPerSecond),
		rng:      rand.New(rand.NewPCG(cfg.RandomSeed, cfg.RandomSeed)),
		rows:     make(map[cicadastore.Ref]cicadastore.Row),
		keys:     make(map[string][]string),
		objects:  make(map[string][]byte),
		hosts:    make(map[string]*hostRecord),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*throttleBurstSeconds)))
}

// SetFaults replaces the simulated faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counters returns the numbers of calls and rows by kind.
func (p *Platform) Counters() *expvar.Map { return p.counters }

// beginCall counts a call and applies added latency, throttling and outage. It returns
// with p.mu held if and only if the error is nil.
func (p *Platform) beginCall(ctx context.Context, kind string, l *rate.Limiter) error {
	p.counters.Add(kind, 1)
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
		p.counters.Add("throttled", 1)
		return cicadastore.ErrThrottled
	}
	p.mu.Lock()
	if p.faults.Outage {
		p.mu.Unlock()
		p.counters.Add("refusedInOutage", 1)
		return cicadastore.ErrUnavailable
	}
	return nil
}

// Get returns rows in the order of refs.
func (p *Platform) Get(ctx context.Context, refs ...cicadastore.Ref) ([]cicadastore.Row, error) {
	if err := p.beginCall(ctx, "reads", p.reads); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.counters.Add("rowsRead", int64(len(refs)))
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

// Scan returns rows by key prefix.
func (p *Platform) Scan(ctx context.Context, req cicadastore.ScanRequest) ([]cicadastore.Row, error) {
	if err := p.beginCall(ctx, "scans", p.reads); err != nil {
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
	p.counters.Add("rowsRead", int64(len(out)))
	return out, nil
}

// Commit executes a transaction.
func (p *Platform) Commit(ctx context.Context, txn cicadastore.Txn) (cicadastore.CommitResult, error) {
	if err := p.beginCall(ctx, "commits", p.writes); err != nil {
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
		p.counters.Add("conflicts", 1)
		return cicadastore.CommitResult{}, &cicadastore.ConflictError{Failed: failed}
	}
	p.version++
	for _, w := range txn.Writes {
		p.write(w)
	}
	p.counters.Add("rowsWritten", int64(len(txn.Writes)))
	if p.faults.LostResponseRatio > 0 && p.rng.Float64() < p.faults.LostResponseRatio {
		p.counters.Add("lostAnswers", 1)
		return cicadastore.CommitResult{}, cicadastore.ErrUnavailable
	}
	return cicadastore.CommitResult{Version: p.version}, nil
}

func (p *Platform) write(w cicadastore.Write) {
	keys := p.keys[w.Table]
	i := sort.SearchStrings(keys, w.Key)
	exists := i < len(keys) && keys[i] == w.Key
	switch {
	case w.Delete && exists:
		p.keys[w.Table] = append(keys[:i], keys[i+1:]...)
		delete(p.rows, w.Ref)
	case w.Delete:
	default:
		if !exists {
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
	if err := p.beginCall(ctx, "objectWrites", p.writes); err != nil {
		return err
	}
	defer p.mu.Unlock()
	p.objects[name] = append([]byte(nil), data...)
	return nil
}

// GetObject reads an object.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.beginCall(ctx, "objectReads", p.reads); err != nil {
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
	if err := p.beginCall(ctx, "announcements", p.reads); err != nil {
		return err
	}
	defer p.mu.Unlock()
	now := time.Now()
	rec, ok := p.hosts[h.Name]
	if !ok {
		rec = &hostRecord{changedAt: now}
		p.hosts[h.Name] = rec
	}
	p.publish(rec, now)
	if rec.current != h {
		rec.current = h
		rec.changedAt = now
	}
	rec.lastSeen = now
	return nil
}

// Hosts returns the host list, which shows changes after HostListDelay.
func (p *Platform) Hosts(ctx context.Context) ([]cicadastore.Host, error) {
	if err := p.beginCall(ctx, "hostReads", p.reads); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	now := time.Now()
	var out []cicadastore.Host
	for _, rec := range p.hosts {
		if now.Sub(rec.lastSeen) > hostExpiry && rec.current.State != cicadastore.HostEnded {
			rec.current.State = cicadastore.HostEnded
			rec.changedAt = now
		}
		p.publish(rec, now)
		if rec.isPublished {
			out = append(out, rec.published)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// publish copies the current entry of a host to the list once HostListDelay has passed
// since its last change.
func (p *Platform) publish(rec *hostRecord, now time.Time) {
	if now.Sub(rec.changedAt) >= p.cfg.HostListDelay {
		rec.published = rec.current
		rec.isPublished = rec.current.Name != ""
	}
}

// TableRows returns all rows of a table in the order of their keys. Faults do not apply
// to it.
func (p *Platform) TableRows(table string) []cicadastore.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]cicadastore.Row, 0, len(p.keys[table]))
	for _, k := range p.keys[table] {
		out = append(out, p.rows[cicadastore.Ref{Table: table, Key: k}])
	}
	return out
}
