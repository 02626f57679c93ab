package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/platform"
)

// Guards against keys that are accepted after they were withdrawn, because a response that was sent before a freeze and read after it
// confirms the document.
func TestDelayedResponseConfirmsNoLaterThanItsRequest(t *testing.T) {
	const freeze = changesWait + storeTimeout - 200*time.Millisecond
	var decidedAt time.Duration
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		decidedAt = clock.SinceBoot()
		time.Sleep(freeze)
		_, _ = io.WriteString(w, `{"Rows":[],"RowVersion":5,"CurrentTimeMs":1}`)
	}))
	defer server.Close()
	e := &Edge{store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(string) {}, func(int64) {})}
	_, confirmed, err := e.readOperators(context.Background(), 5)
	must.NoError(t, err)
	must.LessEq(t, decidedAt, confirmed)
}
