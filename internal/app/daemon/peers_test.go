package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/limit/share"
)

// Each request that takes tokens of another instance's share read up to 16 MB.
func TestLongResponseToTakeIsCutOff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		// The client closes the connection.
		_, _ = w.Write([]byte(strings.Repeat("x", 2*maxShortResponseBytes)))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	_, _, _, err := newPeers(nil).Take(t.Context(), address, share.Key{}, share.TakeRequest{Tokens: 1})
	must.ErrorContains(t, err, bound.ErrTooLong.Error())
}
