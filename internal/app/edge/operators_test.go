package edge

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// Guards against keys that are accepted after they were withdrawn, because a response that was sent before a freeze and read after it
// confirms the document.
func TestDelayedResponseConfirmsNoLaterThanItsRequest(t *testing.T) {
	e, s := newStoreEdge(t)
	s.SetLag(fake.CallChanges, changesWait+storeTimeout-200*time.Millisecond)
	version := s.Put("op", "row", 1)
	decided := make(chan time.Duration, 1)
	time.AfterFunc(50*time.Millisecond, func() {
		decided <- clock.SinceBoot()
		s.Put("op", "row", 2)
	})
	_, confirmed, err := e.readOperators(context.Background(), version)
	must.NoError(t, err)
	must.LessEq(t, <-decided, confirmed)
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
