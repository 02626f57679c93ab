package soak

import (
	"cmp"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// root is the root of the repository.
const root = "../../.."

// buildRouter builds the router from the source in a folder and returns the folder of the program.
func buildRouter(t *testing.T, source string) string {
	t.Helper()
	programs := t.TempDir()
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(programs, "skylarkedge"), "./cmd/skylarkedge")
	cmd.Dir = source
	out, err := cmd.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return programs
}

// runShort runs one short seed against real processes.
func runShort(t *testing.T, s Settings) Result {
	t.Helper()
	s.Folder, s.Log = t.TempDir(), logr.Discard()
	s.Size = Size{Routers: 5, Engines: 4, Services: 2, Callers: cmp.Or(s.Size.Callers, 10)}
	result, err := RunEdge(t.Context(), s)
	must.NoError(t, err)
	for _, v := range result.Violations {
		t.Errorf("%s: %s %s", v.Promise, v.ID, v.Text)
	}
	must.Positive(t, result.Served)
	must.Positive(t, result.Runs)
	return result
}

func TestRunEdgeShort(t *testing.T) {
	runShort(t, Settings{Programs: buildRouter(t, root), Seed: 11, Length: 8 * time.Second})
}

const (
	// upstreamEnds are the faults of upstreams that leave in doubt where their answers end.
	upstreamEnds    = "upstream killed, upstream killed in chunks, upstream stutters, upstream writes another head"
	resumptionFails = "upstreams break off and fail"
)

// runFaults runs one short seed that plays all of the faults.
func runFaults(t *testing.T, seed uint64, length time.Duration, faults string) {
	t.Helper()
	result := runShort(t, Settings{Programs: buildRouter(t, root), Seed: seed, Length: length, OnlyFault: faults})
	played := make(map[string]bool)
	for _, p := range result.Injections {
		played[p.Fault] = true
	}
	must.MapLen(t, strings.Count(faults, ",")+1, played)
}

func TestRunEdgeAnswersWithoutTheirEnd(t *testing.T) { runFaults(t, 24, 5*time.Second, upstreamEnds) }

func TestRunEdgeResumptionsFail(t *testing.T) { runFaults(t, 4200, 4*time.Second, resumptionFails) }

// A stream that breaks off between events ends as complete if its resumption brings none.
func TestRunEdgeResumptionsFailBetweenEvents(t *testing.T) {
	runFaults(t, 67, 6*time.Second, upstreamEnds+", "+resumptionFails)
}

// Requests that wait in an engine's queue start on superseded weights after the bound.
func TestRunEdgeEnginesQueue(t *testing.T) { runFaults(t, 4300, 14*time.Second, "engines queue") }

func TestRunEdgeStopsAmidSlowCalls(t *testing.T) {
	result := runShort(t, Settings{
		Programs: buildRouter(t, root), Seed: 4201, Length: 6 * time.Second, OnlyFault: "router stopped amid slow calls", Size: Size{Callers: 24},
	})
	must.SliceNotEmpty(t, result.Injections)
}

// productionLine is the line of the deploy file that names the commit of the version in production.
var productionLine = regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`)

// buildProduction builds the router of the version in production from the history.
func buildProduction(t *testing.T) string {
	t.Helper()
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	must.NoError(t, err)
	match := productionLine.FindSubmatch(deploy)
	must.NotNil(t, match)
	source := filepath.Join(t.TempDir(), "source")
	for _, args := range [][]string{
		{"clone", "--quiet", "--shared", "--no-checkout", root, source}, {"-C", source, "checkout", "--quiet", string(match[1])},
	} {
		out, err := exec.CommandContext(t.Context(), "git", args...).CombinedOutput()
		must.NoError(t, err, must.Sprint(string(out)))
	}
	return filepath.Join(buildRouter(t, source), "skylarkedge")
}

// The routers begin with the version in production and are replaced one after the other, some at the same time.
func TestRunEdgeDuringAnUpgrade(t *testing.T) {
	result := runShort(t, Settings{
		Programs: buildRouter(t, root), Earlier: buildProduction(t), Seed: 3, Length: 12 * time.Second, OnlyFault: "router stopped",
	})
	must.SliceNotEmpty(t, result.Injections)
}
