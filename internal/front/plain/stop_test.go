package plain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	tallies "github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/once/claim"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

// canceledTable fails as a table service does whose calls are canceled.
type canceledTable struct{}

func (canceledTable) Get(ctx context.Context, _, _ string) (table.Record, bool, error) {
	return table.Record{}, false, context.Cause(ctx)
}

func (canceledTable) Put(ctx context.Context, _ table.Put) error { return context.Cause(ctx) }

// Guards against a call that gets its place when the instance stops and is refused as if the claim store were down.
func TestCallThatIsClaimedWhenTheInstanceStops(t *testing.T) {
	h := &Handler{Claims: claim.NewManager(canceledTable{}, "r", nil), Log: logr.Discard(), Metrics: tallies.NoopScope}
	ctx, stop := context.WithCancelCause(t.Context())
	stop(gate.ErrStopped())
	w := httptest.NewRecorder()
	h.serveOnce(ctx, w, &call{id: "1", routeName: "bookings", route: rules.Route{}, header: http.Header{}, caller: gate.Caller{Workspace: "w"}})
	must.Eq(t, string(fault.Draining), w.Header().Get(fault.HeaderKind))
	must.Eq(t, string(fault.RanNo), w.Header().Get(fault.HeaderRan))
}
