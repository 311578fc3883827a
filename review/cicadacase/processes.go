package cicadacase

import (
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
)

// processes are the processes that a case has started and that have not ended.
type processes struct {
	mu   sync.Mutex // guards list
	list []*os.Process
}

var started processes

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
}

func (p *processes) remove(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = slices.DeleteFunc(p.list, func(o *os.Process) bool { return o == process })
}

// endOnSignal ends all processes if the case itself is told to end.
func (p *processes) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		p.mu.Lock()
		for _, process := range p.list {
			_ = process.Kill() // it may have ended
		}
		os.Exit(ExitNotRun)
	}()
}
