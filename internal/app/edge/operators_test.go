package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/platform"
	"github.com/skylarkquay/skylarkquay/platform/fake"
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

// Guards against a newer confirmation that vouches for an older document: a request whose body is late is judged by the latest one.
func TestKeyWithdrawnWhileTheBodyArrives(t *testing.T) {
	s, r := startSite(t, 1, 1)
	conn, err := net.Dial("tcp4", r.settings.Listen)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /book/visit HTTP/1.1\r\nHost: %s\r\n%s: 0a\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\na", fake.Host, fake.HeaderID, fake.Key)
	must.NoError(t, err)
	eventually(t, "the head was read", func() bool { return r.handler.OpenRequests.Load() == 1 })
	revision := r.replica.Document().Revision
	s.Keys = nil
	s.PublishDocument()
	eventually(t, "the key is withdrawn", func() bool { return r.replica.Document().Revision > revision })
	_, err = conn.Write([]byte("b"))
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusUnauthorized, resp.StatusCode)
	must.SliceEmpty(t, s.Jobs[0].Runs())
}
