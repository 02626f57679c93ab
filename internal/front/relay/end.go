package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/base/socket"
)

// probeTimeout bounds the check whether an upstream that has ended a response still runs.
const probeTimeout = 250 * time.Millisecond

// ErrNoKnownEnd is returned for a response that ended with its connection, which is also how a killed process ends it.
var ErrNoKnownEnd = errors.New("the connection ended and the upstream may have ended too")

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(req *http.Request, res *http.Response) bool {
	return req.Method != http.MethodHead && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// closedBody is the body of a response that ends with its connection. It returns io.EOF only if the response is not empty and the
// upstream accepts a connection afterwards.
type closedBody struct {
	io.ReadCloser
	ctx     context.Context
	address string
	dial    Dial
	begun   bool
	// end is the result of the check.
	end error
}

// Read implements io.Reader.
func (b *closedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	b.begun = b.begun || n > 0
	if err != io.EOF {
		return n, err
	}
	b.end = b.check()
	return n, b.end
}

// check returns io.EOF if the upstream has ended the response, or else ErrNoKnownEnd.
func (b *closedBody) check() error {
	if !b.begun {
		return ErrNoKnownEnd
	}
	if err := sleep.For(b.ctx, socket.ExitTime); err != nil {
		return errors.Join(ErrNoKnownEnd, err)
	}
	conn, err := b.dial(b.ctx, b.address, probeTimeout)
	if err != nil {
		return errors.Join(ErrNoKnownEnd, err)
	}
	_ = conn.Close()
	return io.EOF
}
