package serve

import (
	"fmt"
	"net/http"

	"github.com/skylarkquay/skylarkquay/internal/front/link"
)

// errLateResponse is returned when another response follows on the connection of one without a length or chunks.
var errLateResponse = fmt.Errorf("%w: another response follows within the body", link.ErrMalformed)

// isAnswer reports whether the header lines are those of an upstream's response.
func (x *exchange) isAnswer(h http.Header) bool {
	info := x.Dialect.ParseResponse(h)
	return info.ID != "" || info.Signed
}

// checkBody returns an error if a body may not be the one of its response.
func (x *exchange) checkBody(resp *link.Response, body []byte) error {
	if resp.Framing() != link.ByConnection {
		return nil
	}
	if link.BodyHoldsHead(body, x.isAnswer) {
		return errLateResponse
	}
	return nil
}
