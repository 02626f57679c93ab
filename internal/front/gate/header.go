package gate

import (
	"net/http"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
)

// LimitHeader refuses requests whose header is too large, before anything else looks at them.
func (g *Gate) LimitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if size := relay.Size(r.Header) + len(r.RequestURI); size > g.headerBytes {
			fault.Write(w, fault.New(fault.HeaderTooLarge, "the header has %d bytes; the limit is %d", size, g.headerBytes))
			return
		}
		next.ServeHTTP(w, r)
	})
}
