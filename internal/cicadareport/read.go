// Package cicadareport summarises the logs of many routers in one pass. For each interval of
// time it reports how many requests failed, by cause, and where the units of the budgets
// are: not drawn, used, held or unaccounted for.
//
// The lines of each host have to be in order. Only counts are kept, so memory use depends
// on the time that the logs cover and not on their size.
package cicadareport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	maxLineBytes = 1 << 20
	// maxSkippedListed bounds the skipped lines that the report lists.
	maxSkippedListed = 10
)

type (
	// Config configures a Summary.
	Config struct {
		// Interval is the time that a row of the report covers.
		Interval time.Duration
		// MaxExamples is the maximum number of request IDs that are kept for each cause.
		MaxExamples int
	}

	// SkippedLine is a log line that could not be parsed.
	SkippedLine struct {
		Source string
		Line   int
		Err    error
	}

	// logLine holds the evaluated parts of a log line.
	logLine struct {
		Message   string    `json:"message"`
		Timestamp time.Time `json:"timestamp"`
		Fields    logFields `json:"fields"`
	}

	logFields struct {
		Host         string `json:"host"` // in start lines
		RequestID    string `json:"requestId"`
		Outcome      string `json:"outcome"`
		Route        string `json:"route"`
		Organisation string `json:"organisation"`
		Detail       string `json:"detail"`
		DrawnByAll   int64  `json:"drawnByAll"`
		Limit        int64  `json:"limit"`
		Version      uint64 `json:"version"` // version of the pool's row
		heldUnits
	}

	// heldUnits is the number of units of all budgets that a process holds or has spent.
	heldUnits struct {
		Free     int64 `json:"free"`
		Locked   int64 `json:"dormant"`
		Reserved int64 `json:"reserved"`
		Spent    int64 `json:"spent"`
	}
)

var errNoHost = errors.New("the line has no host prefix, but earlier lines of this log have one")

// Read adds a log to the summary. The argument host names the router of a log whose lines have no host
// prefix, as added by log collectors. Lines that cannot be parsed are counted and skipped; the error is
// that of reading r.
func (s *Summary) Read(source, host string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	lineNumber, hasHostPrefixes := 0, false
	for scanner.Scan() {
		lineNumber++
		objectStart := bytes.IndexByte(scanner.Bytes(), '{')
		if objectStart < 0 {
			continue // not a log line of a router
		}
		var l logLine
		if err := json.Unmarshal(scanner.Bytes()[objectStart:], &l); err != nil {
			s.recordSkipped(SkippedLine{Source: source, Line: lineNumber, Err: err})
			continue
		}
		lineHost := hostFromPrefix(string(scanner.Bytes()[:objectStart]))
		switch hasHostPrefixes = hasHostPrefixes || lineHost != ""; {
		case !hasHostPrefixes:
			lineHost = host
		case lineHost == "":
			s.recordSkipped(SkippedLine{Source: source, Line: lineNumber, Err: errNoHost})
			continue
		}
		s.add(lineHost, &l)
	}
	return errors.Wrapf(scanner.Err(), "read %s after line %d", source, lineNumber)
}

// hostFromPrefix returns the last word of the text before a line's JSON object, or an empty string.
func hostFromPrefix(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// HostFromPath returns the host of a log file that is named after its host.
func HostFromPath(path string) string {
	base := filepath.Base(path)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

func (s *Summary) recordSkipped(skipped SkippedLine) {
	s.skippedCount++
	if len(s.skipped) < maxSkippedListed {
		s.skipped = append(s.skipped, skipped)
	}
}
