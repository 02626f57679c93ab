package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// TestShortRun runs one short seed against real processes.
func TestShortRun(t *testing.T) {
	programs := t.TempDir()
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(programs, "skylarkedge"), "../../../cmd/skylarkedge").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	result, err := Run(t.Context(), Settings{
		Programs: programs, Folder: t.TempDir(), Seed: 11, Length: 8 * time.Second,
		Size: Size{Routers: 5, Engines: 4, Services: 2, Callers: 10}, Log: logr.Discard(),
	})
	must.NoError(t, err)
	for _, b := range result.Broken {
		t.Errorf("%s: %s %s", b.Promise, b.ID, b.Text)
	}
	must.Positive(t, result.Served)
	must.Positive(t, result.Runs)
}
