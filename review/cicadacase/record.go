package cicadacase

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	file      *os.File
	startedAt time.Time
	mu        sync.Mutex // guards file
}

// NewRecord creates or replaces the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, startedAt: time.Now()}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Main runs a case with its record and whether it has its disruption, and ends the process with the result.
func Main(run func(rec *Record, trouble bool) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(ExitNotRun)
	}
	rec, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	started.endOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Printf("begin, with the disruption: %t", trouble)
	broken, err := run(rec, trouble)
	code := ExitHeld
	switch {
	case err != nil:
		code = ExitNotRun
		rec.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	case broken:
		code = ExitBroken
		rec.Printf("the rule is broken")
		fmt.Println("the rule is broken")
	default:
		rec.Printf("the rule is held")
		fmt.Println("the rule is held")
	}
	os.Exit(code)
}

// Program returns the path of the router's program, as the build command of the deploy file leaves it.
func Program() string {
	if p := os.Getenv("CICADADYKE_PROGRAM"); p != "" {
		return p
	}
	return "target/cicadadyke"
}
