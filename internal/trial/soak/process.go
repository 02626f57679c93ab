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

// process is one program started by the soak. It signals only processes that it started itself, by process ID.
type process struct {
	name string
	args []string
	log  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the running command has exited.
	exited chan struct{}
	// exitExpected reports whether the soak sent a signal that ends the program.
	exitExpected    bool
	unexpectedExits int
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

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	c := exec.Command(p.args[0], p.args[1:]...)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return oops.Wrapf(err, "start %s", p.name)
	}
	p.cmd, p.exited, p.exitExpected = c, make(chan struct{}), false
	go func(exited chan struct{}) {
		// The exit status is not needed: the program's log has the reason, and unexpected exits are counted.
		_ = c.Wait()
		p.mu.Lock()
		if !p.exitExpected {
			p.unexpectedExits++
		}
		p.mu.Unlock()
		close(exited)
	}(p.exited)
	return nil
}

// replaceProgram sets the program from the next start on.
func (p *process) replaceProgram(program string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.args[0] = program
}

// running reports whether the program is running. The caller holds the lock.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the program if it is running. An exit after SIGTERM or SIGKILL is expected.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.exitExpected = true
	}
	// The error is ignored because the program may have exited in the meantime.
	_ = p.cmd.Process.Signal(s)
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	// A program that SIGKILL does not end within the timeout is stuck in the kernel; its next start fails with an error.
	_ = p.wait(killTimeout)
}

const killTimeout = 5 * time.Second

// terminate sends SIGTERM and returns a function that kills the program unless it has exited since, and waits for the exit. A program
// that was started in the meantime is left alone.
func (p *process) terminate() (kill func()) {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	defer p.mu.Unlock()
	exited := p.exited
	return func() {
		p.mu.Lock()
		same := p.exited == exited
		p.mu.Unlock()
		if same {
			p.kill()
		}
	}
}

// wait waits for the program to exit.
func (p *process) wait(timeout time.Duration) error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
		return oops.Errorf("%s still running after %s", p.name, timeout)
	}
}

// close kills the program, also if it is paused, and closes its log.
func (p *process) close() {
	p.signal(syscall.SIGCONT)
	p.kill()
	_ = p.log.Close()
}

// crashes returns the number of unexpected exits.
func (p *process) crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
