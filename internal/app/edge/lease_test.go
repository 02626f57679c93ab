package edge

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/roll/leader"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/platform"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// newStoreEdge returns an instance of which only the client of a store is used.
func newStoreEdge(t *testing.T) (*Edge, *fake.Store) {
	t.Helper()
	s := fake.NewStore()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return &Edge{fleet: fleet.New(), store: platform.NewStore(server.Listener.Addr().String(), func(string) {}, func(int64) {})}, s
}

// Guards against a holder that dates its renewal back after a freeze, so that another instance acquires the lease while its orders
// are fresh (ReviewCase2).
func TestRenewalIsNotDatedBackAfterADelay(t *testing.T) {
	const lag = leader.Margin + 200*time.Millisecond
	for name, c := range map[string]struct {
		call string
		// beforeWrite is how long before the write its instance read the store.
		beforeWrite time.Duration
	}{
		"after the read":  {fake.CallGet, lag},
		"after the write": {fake.CallTransact, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e, s := newStoreEdge(t)
			s.SetLag(c.call, lag)
			r := newRollout(e)
			for attempt := range 2 {
				started := s.Clock()
				if attempt == 0 {
					// A renewal reads nothing.
					started += c.beforeWrite
				}
				wait, err := r.acquire(context.Background(), r.lease)
				must.NoError(t, err)
				must.Zero(t, wait)
				var row leader.Row
				must.NoError(t, json.Unmarshal(s.Row(leaseTable, leaseKey), &row))
				must.GreaterEq(t, started-leader.Margin, time.Duration(row.Renewed)*time.Millisecond)
			}
		})
	}
}

// Guards against a holder that takes the orders of an earlier one, or of an earlier process at its address, for none.
func TestOrdersOfEarlierHoldersAreNotKnown(t *testing.T) {
	const idle = 2 * time.Second
	e, s := newStoreEdge(t)
	e.settings.Peer = "127.0.0.1:2"
	acquire := func(t *testing.T, r *rollout) {
		t.Helper()
		wait, err := r.acquire(context.Background(), r.lease)
		must.NoError(t, err)
		must.Zero(t, wait)
	}
	first := newRollout(e)
	acquire(t, first)
	must.Zero(t, first.ordersKnownSince)
	t.Run("response lost", func(t *testing.T) {
		first.lease.Row.Holder = ""
		acquire(t, first)
		must.Zero(t, first.ordersKnownSince)
	})
	for name, holder := range map[string]string{"earlier process": e.settings.Peer, "other instance": "127.0.0.1:1"} {
		t.Run(name, func(t *testing.T) {
			before := clock.SinceBoot()
			s.Put(leaseTable, leaseKey, leader.Row{Holder: holder, Token: 1, Renewed: (s.Clock() - idle).Milliseconds()})
			next := newRollout(e)
			acquire(t, next)
			took := clock.SinceBoot() - before
			since := next.ordersKnownSince - leader.Validity - leader.Margin + idle
			// The store tells its clock in milliseconds.
			must.Between(t, before-took-time.Millisecond, since, before+took+time.Millisecond)
		})
	}
}
