package cicadademo

import (
	"context"
	"sync/atomic"

	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

// faultyPlatform is one router's client of the platform. During an outage every
// call fails with cicadastore.ErrUnavailable.
type faultyPlatform struct {
	cicadastore.Platform
	outage atomic.Bool
}

func (p *faultyPlatform) check() error {
	if p.outage.Load() {
		return cicadastore.ErrUnavailable
	}
	return nil
}

// Get reads rows.
func (p *faultyPlatform) Get(ctx context.Context, refs ...cicadastore.Ref) ([]cicadastore.Row, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	return p.Platform.Get(ctx, refs...)
}

// Scan reads rows by prefix.
func (p *faultyPlatform) Scan(ctx context.Context, req cicadastore.ScanRequest) ([]cicadastore.Row, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	return p.Platform.Scan(ctx, req)
}

// Commit runs a transaction.
func (p *faultyPlatform) Commit(ctx context.Context, txn cicadastore.Txn) (cicadastore.CommitResult, error) {
	if err := p.check(); err != nil {
		return cicadastore.CommitResult{}, err
	}
	return p.Platform.Commit(ctx, txn)
}

// PutObject writes an object.
func (p *faultyPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	if err := p.check(); err != nil {
		return err
	}
	return p.Platform.PutObject(ctx, name, data)
}

// GetObject reads an object.
func (p *faultyPlatform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	return p.Platform.GetObject(ctx, name)
}

// Hosts reads the host list.
func (p *faultyPlatform) Hosts(ctx context.Context) ([]cicadastore.Host, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	return p.Platform.Hosts(ctx)
}

// Announce publishes the entry of this host.
func (p *faultyPlatform) Announce(ctx context.Context, h cicadastore.Host) error {
	if err := p.check(); err != nil {
		return err
	}
	return p.Platform.Announce(ctx, h)
}
