//go:build crowd

// Package crowd sends the requests of many callers that nobody controls to the project's own processes. Its tests check that a process
// lives, its memory and descriptors, and that it answers an ordinary request afterwards.
package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// Process is a program of the project that runs with the settings of a test.
type Process struct {
	command *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// Build builds a program of the project and returns its path.
func Build(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	text, err := exec.Command("go", "build", "-o", path, "github.com/skylarkquay/skylarkquay/cmd/"+name).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(text)))
	return path
}

// Start starts a program. It is ended with the test.
func Start(t *testing.T, path string, args ...string) *Process {
	t.Helper()
	p := &Process{command: exec.Command(path, args...), done: make(chan struct{})}
	log := &tail{}
	p.command.Stdout, p.command.Stderr = log, log
	must.NoError(t, p.command.Start())
	go func() {
		// The process is killed at the end of the test.
		_ = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("last lines of the process:\n%s", log)
		}
	})
	return p
}

// CheckAlive fails the test if the process has ended.
func (p *Process) CheckAlive(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
		t.Fatalf("the process ended: %s", p.command.ProcessState)
	default:
	}
}

// Resident returns the resident memory of the process in bytes, and its highest value so far.
func (p *Process) Resident(t *testing.T) (now, peak int64) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	must.NoError(t, err)
	value := func(name string) int64 {
		_, rest, found := strings.Cut(string(text), name+":")
		must.True(t, found, must.Sprint(name))
		kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		must.NoError(t, err)
		return kilobytes << 10
	}
	return value("VmRSS"), value("VmHWM")
}

// Descriptors returns the number of open descriptors of the process.
func (p *Process) Descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	must.NoError(t, err)
	return len(entries)
}

// Eventually waits until f holds.
func Eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Minute), wait.Gap(50*time.Millisecond), wait.BoolFunc(f)), must.Sprint(what))
}

// RaiseDescriptors raises the soft limit of this process to the hard one.
func RaiseDescriptors(t *testing.T) {
	t.Helper()
	var limit syscall.Rlimit
	must.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	limit.Cur = limit.Max
	must.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
}

// tailBytes is how much of a process's output is kept.
const tailBytes = 16 << 10

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

// Write implements io.Writer.
func (l *tail) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	l.text = bytes.Clone(l.text[max(0, len(l.text)-tailBytes):])
	return len(p), nil
}

// String returns what is kept.
func (l *tail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}
