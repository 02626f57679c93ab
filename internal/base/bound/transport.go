package bound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/skylarkquay/skylarkquay/internal/base/socket"
)

// headsBytes is the budget of the heads that are read at the same time by a transport.
const headsBytes = 8 * MaxHeaderBytes

type transport struct {
	next  *http.Transport
	limit int64
}

// Transport returns a round tripper for clients that read bodies to their end. Bodies fail with ErrTooLong after limit bytes; answers are
// checked as those of upstreams are, see Checked.
func Transport(next *http.Transport, limit int64) http.RoundTripper {
	dial := next.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	memory := NewBudget(headsBytes)
	next.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if _, ok := c.(*AnswerConn); err != nil || ok {
			return c, err
		}
		return NewAnswerConn(socket.ReportResets(c), memory), nil
	}
	return &transport{next, limit}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := Checked(t.next, req)
	if err != nil {
		return nil, err
	}
	resp.Body = body{Reader(resp.Body, t.limit), resp.Body}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t *transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// Checked sends a request by a transport whose connections are AnswerConns. What net/http accepts as an answer although it is none fails with
// ErrMalformed: in its head, in those of informational answers before it, and in its trailer.
func Checked(t *http.Transport, req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*AnswerConn); ok {
			c.Begin()
		}
	}})
	resp, err := t.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	// On an encrypted connection, the bytes of the head are not seen.
	if err := checkNames(resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = CheckTrailer(resp)
	return resp, nil
}
