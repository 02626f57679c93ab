package gate

import (
	"net/http"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
)

// LimitHeader rejects requests whose header and URI exceed the size limit, before they reach next.
func (g *Gate) LimitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if size := relay.HeaderSize(r.Header) + len(r.RequestURI); size > g.headerBytes {
			fault.Write(w, fault.New(fault.HeaderTooLarge, "the header has %d bytes; the limit is %d", size, g.headerBytes))
			return
		}
		next.ServeHTTP(w, r)
	})
}
