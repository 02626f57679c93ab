package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// Guards against engines that ignore orders, and versions announced within seconds, that delay the engines that answer.
func TestEnginesThatAnswerLoadWhileOthersIgnoreOrders(t *testing.T) {
	t.Parallel()
	const (
		limit         = 6 * time.Second
		completeLimit = limit * 11 / 8
		ignoring      = 4
	)
	s := newSite(t, 2*ignoring, 1)
	for _, u := range s.Engines[:ignoring] {
		u.SetFaults(fake.Faults{IgnoreOrders: true})
	}
	cfg := testSettings(t, s)
	cfg.Weights = limit.Milliseconds()
	r := startRouter(t, cfg)
	eventually(t, "ready", r.isReady)
	announced := time.Now()
	for version := int64(2); version <= 4; version++ {
		s.PublishWeights(version)
		time.Sleep(500 * time.Millisecond)
	}
	for _, u := range s.Engines[ignoring:] {
		eventually(t, "loaded", func() bool { return u.Version() == 4 })
		must.Less(t, completeLimit, u.Orders()[0].At.Sub(announced), must.Sprint(u.ID))
	}
	must.Less(t, completeLimit, time.Since(announced))
	for _, u := range s.Engines[:ignoring] {
		u.SetFaults(fake.Faults{})
		eventually(t, "loaded once it answers", func() bool { return u.Version() == 4 })
		must.Eq(t, 4, u.Orders()[0].Version, must.Sprint(u.ID))
	}
}
