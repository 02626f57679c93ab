package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// Guards against an earlier refusal that passes for the answer to a request which was sent again under the same ID: it is refused as not
// run although it runs, or it runs at another upstream too.
func TestEarlierRefusalIsNoAnswerToALaterSend(t *testing.T) {
	for name, engines := range map[string]int{"the only upstream": 1, "another upstream": 2} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, engines, 1)
			repeating, err := fake.NewRepeatingEngine()
			must.NoError(t, err)
			defer repeating.Close()
			s.Engines[0].SetVersion(1)
			s.RegisterAt(s.Engines[0], repeating.Address())
			r := startRouter(t, testSettings(t, s))
			eventually(t, "ready", r.isReady)
			for _, u := range s.Engines[1:] {
				r.fleet.SetSwitching(u.ID, time.Now().Add(time.Second))
			}
			call := newPromptCall(fake.BriefPath + "1")
			reply := r.send(t, call)
			must.Eq(t, http.StatusOK, reply.Status, must.Sprint(reply.Body))
			must.Eq(t, 1, repeating.Runs(call.ID))
			for _, u := range s.Engines[1:] {
				must.SliceEmpty(t, u.Runs())
			}
		})
	}
}
