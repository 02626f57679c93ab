package replay

import (
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/trial/trace"
)

const folder = "../../../traces"

// Bounds stated before the policy was built; see docs/design/routing.md.
const (
	// timesBetter is how much better than the best baseline p99 and waste must be.
	timesBetter = 2.0
	// hitGap is how far the hit rate may lie below the oracle's.
	hitGap = 0.05
)

func results(t *testing.T, name string) map[Policy]Result {
	t.Helper()
	tr, err := trace.Read(filepath.Join(folder, name+".jsonl.gz"))
	must.NoError(t, err)
	all := make(map[Policy]Result)
	for _, p := range Policies {
		all[p] = Run(tr, p)
	}
	return all
}

func TestStatedOutcomes(t *testing.T) {
	for _, site := range trace.Sites {
		for _, kind := range trace.Kinds {
			name := site + "-" + string(kind)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				all := results(t, name)
				ours := all[Ours]
				for _, p := range []Policy{Random, LeastLoad, Workspace, History} {
					must.Less(t, all[p].P99/timesBetter, ours.P99, must.Sprintf("p99 against %s", p))
					// A baseline that refuses requests instead of serving them wastes nothing on them.
					if all[p].Wrongful < 0.01 {
						must.Less(t, all[p].Waste/timesBetter, ours.Waste, must.Sprintf("waste against %s", p))
					}
				}
				must.Greater(t, all[Oracle].Hit-hitGap, ours.Hit)
				must.Eq(t, 0, ours.Wrongful)
			})
		}
	}
}

// TestNeighboursOfAFlood checks that each workspace within its rate keeps its service while the smallest sends five times its own.
func TestNeighboursOfAFlood(t *testing.T) {
	for _, site := range trace.Sites {
		calm := results(t, site+"-steady")[Ours]
		flood := results(t, site+"-flood")[Ours]
		must.Less(t, calm.P95*1.2, flood.P95)
		for name, before := range calm.Workspaces {
			if name == flooder {
				continue
			}
			after := flood.Workspaces[name]
			must.LessEq(t, before.P95*1.2, after.P95, must.Sprintf("p95 of %s", name))
			must.GreaterEq(t, before.InTime*0.98, after.InTime, must.Sprintf("in time for %s", name))
		}
	}
}

// flooder is the workspace that sends too much in the flood traces.
const flooder = "workspace-5"

func TestReplayIsRepeatable(t *testing.T) {
	tr := trace.Record("basinc", trace.Crash, 3)
	must.Eq(t, Run(tr, Ours), Run(tr, Ours))
	must.Eq(t, Run(tr, Random), Run(tr, Random))
}
