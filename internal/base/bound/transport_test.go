package bound

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// serveRaw starts a server that reads the head of each request, calls answer and resets the connection. It returns its URL.
func serveRaw(t *testing.T, answer func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1<<10))
			tcp := c.(*net.TCPConn)
			answer(tcp)
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// post sends a long body and reads the answer.
func post(url string) (string, error) {
	client := &http.Client{Transport: Transport(&http.Transport{}, 1<<20)}
	defer client.CloseIdleConnections()
	resp, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", 4<<20)))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// Guards against parts of answers to long requests that count as whole, because the write took the error of the reset.
func TestEarlyAnswersThatAreResetFail(t *testing.T) {
	for range 8 {
		_, err := post(serveRaw(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
			time.Sleep(2 * time.Millisecond)
		}))
		must.Error(t, err)
	}
}

// Guards against answers whose heads or trailers are none, which net/http accepts.
func TestSpoiltAnswersFail(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Foo: a\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 103 Hints\r\nX Foo: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		chunked + "X Foo: a\r\n\r\n", chunked + "X-Foo : a\r\n\r\n",
	} {
		client := &http.Client{Transport: Transport(&http.Transport{}, 1<<20)}
		resp, err := client.Get(serveRaw(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, text)
			time.Sleep(20 * time.Millisecond)
		}))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(text))
		client.CloseIdleConnections()
	}
}

func TestHeadSyntax(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\n", "HTTP/1.1 200\r\n", "HTTP/1.1 204 \r\n", "HTTP/1.1 999 \u00fcber\tall\r\n",
		"HTTP/1.1 200 OK\r\nA:\r\nb!#$%&'*+-.^_`|~9: x y\t\u00fc\n",
	} {
		must.NoError(t, check([]byte(head)), must.Sprint(head))
	}
	for _, head := range []string{
		"X", "HTTP/1.1\t200 OK\r\n", "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n",
		"HTTP/1.1  200 OK\r\n", " HTTP/1.1 200 OK\r\n", "\r\nHTTP/1.1 200 OK\r\n", "http/1.1 200 OK\r\n", "HTTP/11 200 OK\r\n", "HTTP/1.1 200 O\x00K\r\n",
		"HTTP/1.1 200 OK\r\n: a\r\n", "HTTP/1.1 200 OK\r\nA\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n", "HTTP/1.1 200 OK\r\n A: b\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n",
		"HTTP/1.1 200 OK\r\nA\x7f: b\r\n", "HTTP/1.1 200 OK\r\nA\u00fc: b\r\n", "HTTP/1.1 200 OK\r\nA: b\rC: d\r\n", "HTTP/1.1 200 OK\r\nA: \x01\r\n",
	} {
		must.ErrorIs(t, check([]byte(head)), ErrMalformed, must.Sprintf("%q", head))
	}
}
