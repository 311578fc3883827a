package cicadastore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The platform may restore the store from a backup. The store then reuses versions
// that it had assigned before, and reports an era that is one higher in all its
// responses. An era of zero means that the store does not report eras.

// ErrHistoryTruncated means that the platform has discarded changes after the
// requested version. The watcher has to read the whole table again.
var ErrHistoryTruncated = errors.New("platform has discarded the requested changes")

type (
	// Change is the current state of a changed row, or the key of a deleted one.
	Change struct {
		Row
		Deleted bool
	}

	// ChangeBatch contains changes up to a version of the store.
	ChangeBatch struct {
		Changes []Change
		// Version is the version to request further changes after, within Era.
		Version uint64
		Era     uint64
		// NowMillis is the platform's monotonic clock during the call; zero if
		// the platform does not report it.
		NowMillis int64
	}

	// ChangesRequest asks for the changes of a table after version Since. The
	// call returns when there are changes, or without changes after Wait.
	ChangesRequest struct {
		Table string
		Since uint64
		Wait  time.Duration
	}

	// ChangeFeed is the platform's interface for watching tables.
	ChangeFeed interface {
		// Snapshot returns all rows of a table.
		Snapshot(ctx context.Context, table string) (ChangeBatch, error)
		// Changes returns the changes of a table, or ErrHistoryTruncated.
		Changes(ctx context.Context, req ChangesRequest) (ChangeBatch, error)
	}
)
