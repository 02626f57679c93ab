package serve

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/skylarkquay/skylarkquay/internal/front/link"
)

// errLateResponse is returned when another response follows on the connection of one without a length or chunks.
var errLateResponse = fmt.Errorf("%w: another response follows within the body", link.ErrMalformed)

// errNoBody is returned when the connection of a success without a length or chunks ends before the first byte of the body, as it
// also would if the upstream broke off.
var errNoBody = errors.New("the connection ended before the body")

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
	if len(body) == 0 && resp.Status < http.StatusMultipleChoices {
		return errNoBody
	}
	if link.BodyHoldsHead(body, x.isAnswer) {
		return errLateResponse
	}
	return nil
}
