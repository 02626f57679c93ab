package detour

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// A body without a length ends as whole through another instance only if the upstream runs on.
func TestBodyOfKilledUpstreamThroughInstance(t *testing.T) {
	instance, _ := startRelayProcess(t)
	for _, c := range []struct {
		name  string
		end   fake.End
		whole bool
	}{
		{"whole", fake.CloseConn, true},
		{"killed", fake.Exit, false},
		{"reset", fake.ResetConn, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer { return fake.Answer{Bytes: cutResponse, End: c.end} })
			must.NoError(t, err)
			t.Cleanup(u.Close)
			d := newDialer(noPath, instance)
			pool := relay.NewPool(func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
				return d.Dial(ctx, Target{Address: address}, timeout)
			})
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+u.Address(), nil)
			must.NoError(t, err)
			res, err := pool.DoOnce(req)
			must.NoError(t, err)
			_, err = io.ReadAll(res.Body)
			_ = res.Body.Close()
			must.Eq(t, c.whole, err == nil, must.Sprint(err))
		})
	}
}
