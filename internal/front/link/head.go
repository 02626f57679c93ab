package link

import (
	"bytes"
	"net/http"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

const protocol = "HTTP/1.1"

// checkFraming returns ErrMalformed if it is not certain where the body of a response begins and ends. HTTP/1.0 has no chunks: what
// looks like them may be a part of the body or not. Nor has it informational responses. Old is what was read of a response of HTTP/1.0, because net/http drops its transfer
// encoding.
func checkFraming(r *http.Response, old []byte) error {
	switch {
	case r.Proto == protocol:
		return nil
	case r.Proto != bound.OldProtocol || len(old) == 0 || r.StatusCode < http.StatusOK:
		return ErrMalformed
	}
	for line := range bytes.Lines(old) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return ErrMalformed
		}
	}
	return nil
}
