//go:build crowd

package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// sendTimeout bounds how long one caller of a crowd waits for a peer that does not read.
const sendTimeout = 5 * time.Second

// senders is how many callers of a crowd connect at the same time.
const senders = 64

// A Way is how each caller of a crowd sends. It returns when the caller sends no more; the connection stays open.
type Way struct {
	Name string
	// Head is the request up to its body, for a caller by its number.
	Head func(i int) string
	// Body writes what follows. Errors are ignored: the process may close the connection.
	Body func(c net.Conn) error
	// Closed reports whether the process ends the connections of these callers, because none of the requests can succeed.
	Closed bool
	// SlowReader makes the caller's receive buffer small and leaves the response unread.
	SlowReader bool
}

// Send connects callers that send in one way and stay. They are disconnected with the test.
func Send(t *testing.T, address string, callers int, way Way) {
	t.Helper()
	conns := make([]net.Conn, callers)
	numbers := make(chan int)
	var group sync.WaitGroup
	for range senders {
		group.Go(func() {
			for i := range numbers {
				conns[i] = sendOne(address, i, way)
			}
		})
	}
	for i := range callers {
		numbers <- i
	}
	close(numbers)
	group.Wait()
	t.Cleanup(func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	})
}

// sendOne returns the connection of one caller, or nil if there is none.
func sendOne(address string, i int, way Way) net.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil
	}
	if tcp, ok := c.(*net.TCPConn); ok && way.SlowReader {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := c.Write([]byte(way.Head(i))); err == nil && way.Body != nil {
		_ = way.Body(c)
	}
	return c
}

// text returns a function that writes a text at once.
func text(s string) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := c.Write([]byte(s))
		return err
	}
}

// chunks returns the text of a body of size bytes in chunks of a length, without the chunk that ends it.
func chunks(size, length int) string {
	one := fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("x", length))
	return strings.Repeat(one, size/length)
}
