package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	tallies "github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// shedHandler returns a handler with two workspaces, one of which is admitted ten times as much as the other.
func shedHandler(boot time.Duration) (*Handler, *policy.Document) {
	doc := &policy.Document{
		Workspaces: []*policy.Workspace{{Name: "calm"}, {Name: "hot"}},
		Routes: []*policy.Route{
			{Name: "chat", Objective: 500 * time.Millisecond, Language: true, Targets: []policy.Target{{Service: "engines", Weight: 1}}},
			{Name: "essay", Objective: time.Second, Language: true, Targets: []policy.Target{{Service: "engines", Weight: 1}}},
		},
	}
	h := &Handler{
		Quota: quota.NewLimiter(), Shares: NewServiceShares(), Log: logr.Discard(), Metrics: tallies.NoopScope, Boot: func() time.Duration { return boot },
	}
	h.Quota.SetLimits(0, map[string]quota.Limit{"calm": {Rate: 1e6, Burst: 1e6}, "hot": {Rate: 1e6, Burst: 1e6}})
	h.Quota.Admit(boot, "calm", 1000)
	h.Quota.Admit(boot, "hot", 10_000)
	return h, doc
}

func TestSheds(t *testing.T) {
	const boot = time.Second
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name      string
		workspace int
		wait      time.Duration
		deadline  time.Duration
		change    func(x *exchange)
		want      bool
	}{
		{"calm day", 1, 300 * time.Millisecond, 5 * time.Second, nil, false},
		{"who asks for little is served", 0, 1500 * time.Millisecond, 5 * time.Second, nil, false},
		{"who asks for much is refused", 1, 3 * time.Second, 5 * time.Second, nil, true},
		{"no answer before the deadline", 0, 3 * time.Second, 2 * time.Second, nil, true},
		{"resumed stream", 1, 3 * time.Second, 5 * time.Second, func(x *exchange) { x.info.LastEventID = "4" }, false},
		{"sent before", 1, 3 * time.Second, 5 * time.Second, func(x *exchange) { x.counts.Sends = 1 }, false},
		{"room is not shared", 1, 3 * time.Second, 5 * time.Second, func(x *exchange) { x.Shares = nil }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			shed := 0
			for n := range 20 {
				h, doc := shedHandler(boot)
				x := &exchange{Handler: h, doc: doc, route: doc.Routes[1], service: "engines", workspace: doc.Workspaces[tt.workspace], deadline: now.Add(tt.deadline)}
				x.info.ID = fmt.Sprint(n)
				if tt.change != nil {
					tt.change(x)
				}
				choice := place.Choice{Version: 1, Cost: tt.wait}
				if x.sheds(now, choice) {
					shed++
					e := fault.From(x.shed)
					must.Eq(t, fault.Overloaded, e.Kind)
					must.Eq(t, fault.RanNo, fault.ResponseFor(e.Kind).Ran)
					must.GreaterEq(t, minRetryAfter, e.Retry)
				}
			}
			must.Eq(t, tt.want, shed > 10, must.Sprintf("%d of 20", shed))
			if !tt.want {
				must.Eq(t, 0, shed)
			}
		})
	}
}
