package cicadaquarantine

import (
	"strconv"
	"strings"
	"time"
)

const (
	// processSeparator precedes, in the name of a process, the shared time in milliseconds at which the one
	// before ended.
	processSeparator = "#"
	// startSeparator precedes the start time in the name of a runner, whose id may have any characters.
	startSeparator = "@"
)

// Process names the process of a runner that accepted a connection at a shared time. A runner may end several times
// before the entry of its next start is read. Then its processes are told apart by the end of the one before. Routers
// may know that end by times that differ a little, so that one process may have several names.
func (q *Quarantine) Process(runner string, acceptedAt time.Duration) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var endedAt time.Duration
	for name, c := range q.crashes {
		if runnerOf(name) == runner && c.at < acceptedAt {
			endedAt = max(endedAt, c.at)
		}
	}
	if endedAt == 0 {
		return runner
	}
	return runner + processSeparator + strconv.FormatInt(endedAt.Milliseconds(), 10)
}

// runnerOf returns the runner of a process.
func runnerOf(process string) string {
	if i := strings.LastIndex(process, processSeparator); i > strings.LastIndex(process, startSeparator) {
		return process[:i]
	}
	return process
}
