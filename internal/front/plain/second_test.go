package plain

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// secondAfter is when a service answers a second time, mostly after the next request was sent.
const secondAfter = 100 * time.Microsecond

// A second answer of a service was given to the next caller.
func TestSecondAnswersOfServices(t *testing.T) {
	service, err := fake.NewScriptedUpstream(func(r *http.Request) fake.Answer {
		path := r.URL.Path
		return fake.Answer{Bytes: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path), Again: secondAfter, End: fake.KeepOpen}
	})
	must.NoError(t, err)
	t.Cleanup(service.Close)
	h := &Handler{Pool: relay.NewPool(relay.DialTCP), Fleet: status.NewFleet(1), Log: logr.Discard()}
	h.Fleet.SetUpstreams(map[string]rules.Upstream{"u": {Address: service.Address(), Kind: rules.Service, Service: "s"}})
	for n := range 200 {
		path := fmt.Sprint("/orders/", 1000+n)
		w := httptest.NewRecorder()
		h.serveIdempotent(t.Context(), w, &call{method: http.MethodGet, path: path, query: url.Values{}, header: http.Header{}, route: rules.Route{Service: "s"}})
		body, err := io.ReadAll(w.Result().Body)
		must.NoError(t, err)
		must.Eq(t, path, string(body))
	}
}
