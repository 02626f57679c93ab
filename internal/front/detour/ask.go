package detour

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/socket"
)

// askPeer asks an instance for a connection to an upstream. Left is the time until the request's deadline, if it has one. The head of the
// answer takes its memory from a budget, if there is one.
func askPeer(ctx context.Context, peer string, t Target, left time.Duration, memory *bound.Budget) (net.Conn, error) {
	dialer := net.Dialer{Timeout: askTimeout, Control: socket.UserTimeout(unackedTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", peer)
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", peer, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reader, err := handshake(bound.NewHeadConn(conn, memory), peer, t, left)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("instance %s: %w", peer, err)
	}
	return &Conn{Conn: conn, Via: peer, reader: reader}, nil
}

// bornName is the query parameter for Target.Born. Instances of earlier builds neither send nor read it.
const bornName = "born"

// handshake returns the reader of what the upstream sends. Instances of builds before frames send none.
func handshake(conn *bound.HeadConn, peer string, t Target, left time.Duration) (io.Reader, error) {
	if err := conn.SetDeadline(time.Now().Add(askTimeout)); err != nil {
		return nil, err
	}
	query := url.Values{
		"id": {t.ID}, "address": {t.Address}, "left": {strconv.FormatInt(left.Milliseconds(), 10)}, framedName: {"1"},
	}
	if t.Born != 0 {
		query.Set(bornName, strconv.FormatInt(t.Born, 10))
	}
	if _, err := fmt.Fprintf(conn, "POST %s?%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", Path, query.Encode(), peer); err != nil {
		return nil, err
	}
	if err := conn.Expect(nil); err != nil {
		return nil, err
	}
	defer conn.Release()
	reader := bufio.NewReaderSize(conn, 1<<10)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, err
	}
	conn.End()
	if err := errorOf(resp.StatusCode); err != nil {
		return nil, err
	}
	if resp.Header.Get(framedName) != "" {
		return &frameReader{reader: reader}, nil
	}
	return unmarkedReader{reader}, nil
}

// errorOf returns the error that a status of another instance stands for.
func errorOf(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusBadGateway:
		return ErrRefused
	case http.StatusGatewayTimeout:
		return ErrUnreachable
	default:
		return fmt.Errorf("%w: status %d", errDeclined, status)
	}
}
