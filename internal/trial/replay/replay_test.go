package replay

import (
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/trial/trace"
)

const folder = "../../../traces"

// Bounds that docs/design/routing.md states.
const (
	// minImprovement is the factor by which p99 and waste must be lower than those of each baseline.
	minImprovement = 2.0
	// maxHitGap is the maximum difference to the hit rate of the oracle.
	maxHitGap = 0.05
)

func replayAll(t *testing.T, name string) map[Policy]Result {
	t.Helper()
	tr, err := trace.Read(filepath.Join(folder, name+".jsonl.gz"))
	must.NoError(t, err)
	all := make(map[Policy]Result)
	for _, p := range Policies {
		all[p] = Run(tr, p)
	}
	return all
}

func TestPolicyMeetsBounds(t *testing.T) {
	for _, site := range trace.Sites {
		for _, kind := range trace.Kinds {
			name := site + "-" + string(kind)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				all := replayAll(t, name)
				ours := all[Skylarkquay]
				for _, p := range []Policy{Random, LeastLoad, WorkspaceHash, OwnHistory} {
					must.Less(t, all[p].P99/minImprovement, ours.P99, must.Sprintf("p99 against %s", p))
					// A baseline that rejects requests wastes no tokens on them.
					if all[p].Rejected < 0.01 {
						must.Less(t, all[p].Waste/minImprovement, ours.Waste, must.Sprintf("waste against %s", p))
					}
				}
				must.Greater(t, all[Oracle].HitRate-maxHitGap, ours.HitRate)
				must.Eq(t, 0, ours.Rejected)
			})
		}
	}
}

// TestFloodKeepsServiceOfOthers checks that workspaces within their rate limit keep their service while the smallest
// sends five times its own.
func TestFloodKeepsServiceOfOthers(t *testing.T) {
	for _, site := range trace.Sites {
		steady := replayAll(t, site+"-steady")[Skylarkquay]
		flood := replayAll(t, site+"-flood")[Skylarkquay]
		must.Less(t, steady.P95*1.2, flood.P95)
		for name, before := range steady.Workspaces {
			if name == flooder {
				continue
			}
			after := flood.Workspaces[name]
			must.LessEq(t, before.P95*1.2, after.P95, must.Sprintf("p95 of %s", name))
			must.GreaterEq(t, before.WithinTarget*0.98, after.WithinTarget, must.Sprintf("in time for %s", name))
		}
	}
}

// flooder is the workspace that exceeds its rate limit in the flood traces.
const flooder = "workspace-5"

func TestReplayIsDeterministic(t *testing.T) {
	tr := trace.Generate("basinc", trace.Crash, 3)
	must.Eq(t, Run(tr, Skylarkquay), Run(tr, Skylarkquay))
	must.Eq(t, Run(tr, Random), Run(tr, Random))
}
