package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// TestRunEdgeShort runs one short seed against real processes.
func TestRunEdgeShort(t *testing.T) {
	programs := t.TempDir()
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(programs, "skylarkedge"), "../../../cmd/skylarkedge").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	result, err := RunEdge(t.Context(), Settings{
		Programs: programs, Folder: t.TempDir(), Seed: 11, Length: 8 * time.Second,
		Size: Size{Routers: 5, Engines: 4, Services: 2, Callers: 10}, Log: logr.Discard(),
	})
	must.NoError(t, err)
	for _, v := range result.Violations {
		t.Errorf("%s: %s %s", v.Promise, v.ID, v.Text)
	}
	must.Positive(t, result.Served)
	must.Positive(t, result.Runs)
}
