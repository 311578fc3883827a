package cicadademo

import (
	"context"
	"sync/atomic"

	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

// gate is one router's way to the platform, which can be cut.
type gate struct {
	cicadastore.Platform
	cut atomic.Bool
}

func (g *gate) check() error {
	if g.cut.Load() {
		return cicadastore.ErrUnavailable
	}
	return nil
}

// Get reads rows.
func (g *gate) Get(ctx context.Context, refs ...cicadastore.Ref) ([]cicadastore.Row, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.Platform.Get(ctx, refs...)
}

// Scan reads rows by prefix.
func (g *gate) Scan(ctx context.Context, req cicadastore.ScanRequest) ([]cicadastore.Row, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.Platform.Scan(ctx, req)
}

// Commit runs a transaction.
func (g *gate) Commit(ctx context.Context, txn cicadastore.Txn) (cicadastore.CommitResult, error) {
	if err := g.check(); err != nil {
		return cicadastore.CommitResult{}, err
	}
	return g.Platform.Commit(ctx, txn)
}

// PutObject writes an object.
func (g *gate) PutObject(ctx context.Context, name string, data []byte) error {
	if err := g.check(); err != nil {
		return err
	}
	return g.Platform.PutObject(ctx, name, data)
}

// GetObject reads an object.
func (g *gate) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.Platform.GetObject(ctx, name)
}

// Hosts reads the host list.
func (g *gate) Hosts(ctx context.Context) ([]cicadastore.Host, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.Platform.Hosts(ctx)
}

// Announce tells of this host.
func (g *gate) Announce(ctx context.Context, h cicadastore.Host) error {
	if err := g.check(); err != nil {
		return err
	}
	return g.Platform.Announce(ctx, h)
}
