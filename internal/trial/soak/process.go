package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// process is one program that the soak has started. It signals only what it started itself, by process id.
type process struct {
	name string
	args []string
	log  *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the running command has ended.
	ended chan struct{}
	// expected tells that the end was brought about by the soak.
	expected bool
	// surprises counts the ends that nobody brought about.
	surprises int
}

// newProcess starts a program whose output is appended to a file.
func newProcess(folder, name string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, args: args, log: log}
	return p, p.start()
}

// start runs the program unless it runs already.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	c := exec.Command(p.args[0], p.args[1:]...)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return oops.Wrapf(err, "start %s", p.name)
	}
	p.command, p.ended, p.expected = c, make(chan struct{}), false
	go func(ended chan struct{}) {
		// How a program ended is in its log; whether it should have is counted.
		_ = c.Wait()
		p.mu.Lock()
		if !p.expected {
			p.surprises++
		}
		p.mu.Unlock()
		close(ended)
	}(p.ended)
	return nil
}

// runs tells whether the program is running; the lock is held.
func (p *process) runs() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the program if it runs; an end that it may cause is expected.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runs() {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.expected = true
	}
	// The program may have ended meanwhile, which leaves nothing to signal.
	_ = p.command.Process.Signal(s)
}

// kill ends the program without notice and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	// A program that a kill does not end within the bound is stuck in the kernel; its next start fails and says so.
	_ = p.wait(killMost)
}

// killMost bounds the wait for the end of a killed program.
const killMost = 5 * time.Second

// wait waits for the program's end.
func (p *process) wait(most time.Duration) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return nil
	case <-time.After(most):
		return oops.Errorf("%s still runs after %s", p.name, most)
	}
}

// close ends the program for good.
func (p *process) close() {
	p.signal(syscall.SIGCONT)
	p.kill()
	_ = p.log.Close()
}

// crashes returns how often the program ended by itself.
func (p *process) crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surprises
}
