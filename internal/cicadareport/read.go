// Package cicadareport reads the logs of many routers in one pass and says where
// requests were lost, by cause and second, and where each budget's units are: undrawn,
// used, held, or out of reach.
//
// Lines are read in the order of each host. Nothing is kept of a line but what it adds
// to a count, so that memory follows the time that the logs cover and not their size.
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
	// maxLine bounds a line of a log, in bytes.
	maxLine = 1 << 20
	// unreadNamed bounds the unreadable lines that are named.
	unreadNamed = 10
)

type (
	// Config sets up a Tally.
	Config struct {
		// Interval is the time that a row of the table covers.
		Interval time.Duration
		// MaxExamples is how many request ids are kept of each cause.
		MaxExamples int
	}

	// SkippedLine is a line that could not be read.
	SkippedLine struct {
		Source string
		Line   int
		Err    error
	}

	// line is what a report takes from a log line.
	line struct {
		Message   string    `json:"message"`
		Timestamp time.Time `json:"timestamp"`
		Fields    fields    `json:"fields"`
	}

	fields struct {
		Host         string `json:"host"` // of a start line
		RequestID    string `json:"requestId"`
		Outcome      string `json:"outcome"`
		Route        string `json:"route"`
		Organisation string `json:"organisation"`
		Detail       string `json:"detail"`
		DrawnByAll   int64  `json:"drawnByAll"`
		Limit        int64  `json:"limit"`
		Version      uint64 `json:"version"` // of the pool's row
		held
	}

	// held is what a process says that it holds of all budgets, in units.
	held struct {
		Free     int64 `json:"free"`
		Dormant  int64 `json:"dormant"`
		Reserved int64 `json:"reserved"`
		Spent    int64 `json:"spent"`
	}
)

var errNoHost = errors.New("no host before the line, as there is before others of this log")

// Read adds a log to the tally. Host names the router of lines that do not say it
// themselves, as those do that a collector has put a host before. A line that cannot
// be read is counted and passed over; the error is one of reading.
func (t *Summary) Read(source, host string, r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	n, collected := 0, false
	for scan.Scan() {
		n++
		at := bytes.IndexByte(scan.Bytes(), '{')
		if at < 0 {
			continue // no line of a router
		}
		var l line
		if err := json.Unmarshal(scan.Bytes()[at:], &l); err != nil {
			t.noteUnread(SkippedLine{Source: source, Line: n, Err: err})
			continue
		}
		from := hostOf(string(scan.Bytes()[:at]))
		switch collected = collected || from != ""; {
		case !collected:
			from = host
		case from == "":
			t.noteUnread(SkippedLine{Source: source, Line: n, Err: errNoHost})
			continue
		}
		t.add(from, &l)
	}
	return errors.Wrapf(scan.Err(), "%s, after line %d", source, n)
}

// hostOf is the last word before a line's object; empty if there is none.
func hostOf(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// HostFromPath is the host of a log file that is named after it.
func HostFromPath(path string) string {
	base := filepath.Base(path)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

func (t *Summary) noteUnread(u SkippedLine) {
	t.unreadCount++
	if len(t.unread) < unreadNamed {
		t.unread = append(t.unread, u)
	}
}
