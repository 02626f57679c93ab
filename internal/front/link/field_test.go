package link

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestFieldLine(t *testing.T) {
	for line, want := range map[string]string{
		"id: 1": "id", "x_Y-9:": "x_Y-9", ":comment": "", "": "", "text": "", "two words: 1": "", `{"error":1}`: "", "HTTP/1.1 200 a: b": "",
		" id: 1": "", "é: 1": "",
	} {
		name, _, ok := FieldLine([]byte(line))
		must.Eq(t, want != "", ok, must.Sprint(line))
		if ok {
			must.Eq(t, want, string(name))
		}
	}
}

// HTTP/1.0 knows no chunks, and net/http drops the header that announces them.
func TestResponsesOfAnotherVersionAreMalformed(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/2.0", "HTTP/0.9", "HTTP/1.2"} {
		for _, rest := range []string{
			"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
			"\r\nwhole", "Content-Length: 5\r\n\r\nwhole",
		} {
			u := startUpstream(t, func(_ int64, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, version+" 200 OK\r\nId: 1\r\n"+rest)
				return false
			})
			_, err := roundTrip(t, newTestPool(0), request(u, "1"))
			must.ErrorIs(t, err, ErrMalformed, must.Sprint(version, rest))
			must.False(t, NotSent(err))
		}
	}
}
