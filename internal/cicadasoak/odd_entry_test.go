package cicadasoak_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// maxLogLineBytes bounds a line of the log, whatever an entry holds.
	maxLogLineBytes = 4 << 10
	oddRewrites     = 5 // of each odd entry
)

// oddEntries are entries that another writer left among those of the runners, by their names.
func oddEntries() map[string]string {
	out := map[string]string{
		"nested arrays":    strings.Repeat("[", 60_000),
		"nested objects":   strings.Repeat(`{"a":`, 12_000),
		"nested field":     `{"Service":"svc","Stage":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + `}`,
		"nothing":          "",
		"null":             "null",
		"text":             `"ready"`,
		"binary":           "\x00\xff\xfe\x80",
		"half an entry":    `{"Service":"svc","Address":"127.0.0.1:`,
		"long unreadable":  `{"Service":"svc","Address":"` + strings.Repeat("9", 60_000) + `"}`,
		"long service":     entryWith("Service", `"`+strings.Repeat("s", 60_000)+`"`),
		"invalid UTF-8":    entryWith("Zone", "\"\xff\xfe\""),
		"another service":  entryWith("Service", `"other"`),
		"duplicate keys":   entryWith("Service", `"svc","Service":7`),
		"upper-case state": entryWith("State", `"READY"`),
	}
	for name, values := range map[string][]string{
		"Slots":      {"0", "-1", "2000000000", "1e300", "1e99999", "99999999999999999999", "1.5", `"64"`, "null"},
		"ColdLeftMs": {"-1", "1e300", "1e18", "1e99999", `"0"`},
		"Seq":        {"-1", "1e300", "99999999999999999999", "1.5"},
		"born":       {"-1", "1e300", "99999999999999999999", "1.5", `"now"`},
		"Address": {
			`"127.0.0.1:0"`, `"127.0.0.1:70000"`, `"127.0.0.1:-1"`, `"127.0.0.1"`, `"0.0.0.0:80"`, `"224.0.0.1:80"`, `"[::1]:80"`, `"localhost:80"`, `7`, "null",
		},
		"Version": {"1", "null", `""`, `{}`},
		"Zone":    {"1", "null", `""`},
		"State":   {"1", "null", `""`, `"asleep"`},
	} {
		for _, value := range values {
			out[name+" "+value] = entryWith(name, value)
		}
	}
	return out
}

// entryWith returns an entry with another value for one of its fields. Nothing listens at its address.
func entryWith(field, value string) string {
	entry := `{"Service":"svc","Address":"127.0.0.1:9","Zone":"z","Version":"1","Slots":16,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1}`
	pattern := regexp.MustCompile(fmt.Sprintf(`%q:("[^"]*"|\d+)`, field))
	return pattern.ReplaceAllLiteralString(entry, fmt.Sprintf("%q:%s", field, value))
}

func TestOddEntryEndsARouterOrItsListOfRunners(t *testing.T) {
	binary := buildRouter(t)
	s := &soak{t: t, verifier: newVerifier(), store: newStore(t, 1)}
	s.putStreamConfig()
	odd := oddEntries()
	for i := range oddRewrites {
		for name, value := range odd {
			s.store.putRaw("servers", "odd "+name, []byte(value))
		}
		if i == 0 {
			var runs atomic.Int32
			s.startStreamRunner("i-0", &runs)
			s.addRouter(binary, t.TempDir())
			s.awaitStream(s.routers[0])
			continue
		}
		time.Sleep(600 * time.Millisecond) // more than one read
	}
	r := s.routers[0]
	// Follows the list on: another runner takes the place of the first.
	var runs atomic.Int32
	s.startStreamRunner("i-1", &runs)
	s.store.remove("servers", "i-0")
	for end := time.Now().Add(5 * time.Second); runs.Load() == 0 && time.Now().Before(end); {
		s.awaitStream(r)
	}
	if runs.Load() == 0 {
		t.Error("the new runner gets nothing")
	}
	select {
	case <-r.exited:
		t.Errorf("the router has ended: %v", r.exitErr)
	default:
	}
	resp, err := http.Get("http://" + r.readyAddr + "/state") //nolint:noctx // ends with the test
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	state, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for name := range odd {
		if name != "another service" && name != "long service" && strings.Contains(string(state), fmt.Sprintf("%q", "odd "+name)) {
			t.Errorf("the entry %q names a runner to use", name)
		}
	}
	s.checkLogLines(r, len(odd))
}

// checkLogLines checks that the log has a line of bounded size for each write of an entry at most.
func (s *soak) checkLogLines(r *router, entries int) {
	s.t.Helper()
	data, err := os.ReadFile(r.logFile)
	if err != nil {
		s.t.Fatal(err)
	}
	lines := 0
	for _, line := range strings.Split(string(data), "\n") {
		if len(line) > maxLogLineBytes {
			s.t.Errorf("a line of the log has %d bytes: %.200s", len(line), line)
		}
		if strings.Contains(line, "failed to decode a runner entry") {
			lines++
		}
	}
	if lines > oddRewrites*entries {
		s.t.Errorf("%d lines for %d writes of entries", lines, oddRewrites*entries)
	}
}
