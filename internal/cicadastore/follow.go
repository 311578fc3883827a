package cicadastore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The store may come back from an older copy of itself. It then gives versions out
// again, and says so by an era one higher in all its answers. An era of zero is that
// of a store that does not tell.

// ErrHistoryTruncated means that the changes since a version are no longer kept: the
// follower has to read the table again.
var ErrHistoryTruncated = errors.New("platform no longer keeps the changes asked for")

type (
	// Change is a row as it is now, or the key of one that was deleted.
	Change struct {
		Row
		Deleted bool
	}

	// ChangeBatch is a list of changes up to a version of the store.
	ChangeBatch struct {
		Changes []Change
		// Version is where to go on, in the same era.
		Version uint64
		Era     uint64
		// NowMillis is the platform's steady clock at some time of the call; zero if it
		// tells none.
		NowMillis int64
	}

	// ChangesRequest asks for the changes of a table after a version. The call
	// returns as soon as there is one, or after Wait with none.
	ChangesRequest struct {
		Table string
		Since uint64
		Wait  time.Duration
	}

	// ChangeFeed lets tables be followed.
	ChangeFeed interface {
		// Snapshot returns all rows of a table.
		Snapshot(ctx context.Context, table string) (ChangeBatch, error)
		// Changes returns what changed in a table, or ErrHistoryLost.
		Changes(ctx context.Context, req ChangesRequest) (ChangeBatch, error)
	}
)
