package edge

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// settingsVariable names the settings file of the process that TestSIGHUPDuringStartIsNoEnd starts.
const settingsVariable = "SKYLARKEDGE_TEST_SETTINGS"

// A router that got SIGHUP while it started ended (soak seed 7011).
func TestSIGHUPDuringStartIsNoEnd(t *testing.T) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(Main([]string{"check", "--config", path}, os.Stdout, os.Stderr))
	}
	path := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, unix.Mkfifo(path, 0o600))
	process := exec.Command(os.Args[0], "-test.run=^TestSIGHUPDuringStartIsNoEnd$")
	process.Env = append(os.Environ(), settingsVariable+"="+path)
	must.NoError(t, process.Start())
	// Opening the pipe waits until the process reads its settings.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	must.NoError(t, err)
	must.NoError(t, process.Process.Signal(syscall.SIGHUP))
	must.NoError(t, settings.Close())
	err = process.Wait()
	must.Eq(t, exitSettings, process.ProcessState.ExitCode(), must.Sprint(err))
}
