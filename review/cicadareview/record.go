package cicadareview

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	startedAt time.Time

	mu   sync.Mutex // guards file
	file *os.File
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{startedAt: time.Now(), file: f}, nil
}

// Add adds a line with the time since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Main runs a case and exits with its result: 0 if the rule held, 1 if it was broken, 2 if the case could
// not run. The first argument of the process is the path of the record, the second the command of a
// router, the third the folder for temporary files.
func Main(run func(c *Case) (broken bool, err error)) {
	os.Exit(runCase(run))
}

func runCase(run func(c *Case) (bool, error)) int {
	if len(os.Args) != 4 {
		fmt.Println("usage: case RECORD ROUTER-COMMAND FOLDER")
		return exitFailed
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	c := &Case{Record: record, Trouble: os.Getenv("TROUBLE") != "0", command: os.Args[2], folder: os.Args[3]}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		c.close()
		os.Exit(exitFailed)
	}()
	broken, err := run(c)
	switch {
	case err != nil:
		record.Say("the case could not run: %v", err)
		return exitFailed
	case broken:
		record.Say("the rule was broken")
		return exitBroken
	default:
		record.Say("the rule held")
		return exitHeld
	}
}
