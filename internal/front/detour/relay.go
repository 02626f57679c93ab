package detour

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/socket"
)

const (
	// relayDialTimeout bounds the connection that is made for another instance, which has waited before.
	relayDialTimeout = 150 * time.Millisecond
	// deadlineMargin is added to the time that the other instance has left; that instance ends the request first.
	deadlineMargin = time.Second
	// maxRelayTime bounds connections for requests without a deadline.
	maxRelayTime = 2 * time.Minute
	// relayBufferBytes is the size of a buffer; a connection has two.
	relayBufferBytes = 4 << 10
)

// Relay makes connections to upstreams for other instances, and only by a path of its own, so that no connection passes through
// more than one instance. Its fields are set before the first request.
type Relay struct {
	Dialer *Dialer
	// Max is the maximum number of connections at the same time.
	Max int64
	// Accepts reports whether this instance may connect to the upstream now.
	Accepts func(now time.Time, t Target) bool
	// OnHead is called with the head of the upstream's response, and when the connection was made.
	OnHead func(now, connected time.Time, t Target, head *http.Response)
	open   atomic.Int64
}

// Open returns the number of connections.
func (r *Relay) Open() int64 { return r.open.Load() }

// ServeHTTP connects to the upstream that the request names and copies bytes in both directions.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	target := Target{ID: query.Get("id"), Address: query.Get("address"), Born: bornOf(query.Get(bornName))}
	defer r.open.Add(-1)
	if r.open.Add(1) > r.Max || r.Dialer.Paths.Detached() || !r.Accepts(time.Now(), target) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	began := time.Now()
	upstream, err := r.Dialer.Direct(req.Context(), target.Address, relayDialTimeout)
	if err != nil {
		r.Dialer.Paths.Failed(time.Now(), target.Address, false)
		w.WriteHeader(r.statusOf(req.Context(), began, target.Address, err))
		return
	}
	upstream = socket.ReportResets(upstream)
	defer func() { _ = upstream.Close() }()
	r.Dialer.Paths.Connected(time.Now(), target.Address)
	if !r.Accepts(time.Now(), target) {
		// That became known while the connection was made.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer func() { _ = caller.Close() }()
	until := time.Now().Add(relayTime(query.Get("left")))
	framed := query.Get(framedName) != ""
	err = errors.Join(caller.SetDeadline(until), upstream.SetDeadline(until), socket.SetUserTimeout(caller, unackedTimeout), socket.ResetOnClose(caller, true))
	if err == nil {
		_, err = io.WriteString(caller, responseHead(framed))
	}
	if err == nil {
		r.copyBoth(caller, buffered.Reader, upstream, target, framed)
	}
}

// bornOf returns the process that a request names, or zero if it names none.
func bornOf(text string) int64 {
	born, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return born
}

// responseHead returns the head of the response that precedes the bytes of the upstream.
func responseHead(framed bool) string {
	if framed {
		return "HTTP/1.1 200 OK\r\n" + framedName + ": 1\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\n\r\n"
}

// statusOf returns the status for a connection that was begun at a time and failed. A refusal is only a fact about the upstream if this
// instance has a path to others.
func (r *Relay) statusOf(ctx context.Context, began time.Time, address string, err error) int {
	if errors.Is(err, syscall.ECONNREFUSED) && r.Dialer.reachesOthers(ctx, began, address) {
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}

// relayTime returns how long a connection may last, given the milliseconds that its request has left.
func relayTime(left string) time.Duration {
	ms, err := strconv.ParseInt(left, 10, 64)
	if err != nil || ms <= 0 {
		return maxRelayTime
	}
	return min(maxRelayTime, time.Duration(ms)*time.Millisecond+deadlineMargin)
}

// copyBoth copies bytes until either side ends. The caller sees the end of the response only if the upstream ended it, and a reset
// otherwise, also if this process is killed.
func (r *Relay) copyBoth(caller net.Conn, fromCaller io.Reader, upstream net.Conn, t Target, framed bool) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The response is read in any case.
		_, _ = copyBytes(upstream, fromCaller)
		// The caller has left, or has sent bytes that could not be delivered.
		_ = upstream.Close()
	}()
	head := bound.NewHeadConn(upstream, r.Dialer.Memory)
	defer head.Release()
	fromUpstream := io.TeeReader(head, &headObserver{relay: r, target: t, connected: time.Now(), conn: head})
	// There is no memory to take yet.
	_ = head.Expect(nil)
	if err := copyResponse(caller, fromUpstream, framed); err == nil {
		// If it fails, the close resets the connection.
		_ = socket.ResetOnClose(caller, false)
	}
	_ = caller.Close()
	<-ended
}

// copyResponse copies until the upstream ends the connection, and marks the end if the bytes are framed.
func copyResponse(caller io.Writer, fromUpstream io.Reader, framed bool) error {
	if !framed {
		_, err := copyBytes(caller, fromUpstream)
		return err
	}
	w := &frameWriter{Writer: caller}
	if _, err := copyBytes(w, fromUpstream); err != nil {
		return err
	}
	return w.end()
}

// copyBytes copies until EOF. It uses no system call that moves bytes between sockets.
func copyBytes(to io.Writer, from io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, relayBufferBytes))
}

// headObserver parses the head of a response that passes by.
type headObserver struct {
	relay  *Relay
	target Target
	// connected is when the connection was made.
	connected time.Time
	// conn counts the memory of the head.
	conn *bound.HeadConn
	head []byte
	done bool
}

// headEnd is what separates the head of a response from its body.
var headEnd = []byte("\r\n\r\n")

// Write implements io.Writer.
func (o *headObserver) Write(p []byte) (int, error) {
	if o.done {
		return len(p), nil
	}
	o.head = append(o.head, p[:min(len(p), bound.MaxHeaderBytes-len(o.head))]...)
	end := bytes.Index(o.head, headEnd)
	if end < 0 && len(o.head) < bound.MaxHeaderBytes {
		return len(p), nil
	}
	o.done = true
	if end >= 0 {
		head, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(o.head[:end+len(headEnd)])), nil)
		if err == nil {
			o.relay.OnHead(time.Now(), o.connected, o.target, head)
		}
	}
	o.head = nil
	o.conn.Release()
	return len(p), nil
}
