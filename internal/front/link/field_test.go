package link

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
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
			got, err := roundTrip(t, newTestPool(0), request(u, "1"))
			if version == bound.OldProtocol && !strings.Contains(rest, "chunked") {
				must.NoError(t, err)
				must.Eq(t, "whole", got)
				continue
			}
			must.ErrorIs(t, err, ErrMalformed, must.Sprint(version, rest))
			must.False(t, NotSent(err))
		}
	}
}

// The body of a response with a status below 100 was read as the next response.
func TestBodyOfAnImpossibleStatusIsNoResponse(t *testing.T) {
	forged := response("1", "forged")
	for _, status := range []string{"099 X", "000 X", "001 X"} {
		u := startUpstream(t, func(_ int64, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: "+strconv.Itoa(len(forged))+"\r\n\r\n"+forged)
			return false
		})
		got, err := roundTrip(t, newTestPool(0), request(u, "1"))
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(got))
	}
}

// Interim responses, and late ones to other requests, are passed over up to the limit, whatever their status.
func TestResponsesBeforeTheExpectedOne(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	const noContent = "HTTP/1.1 204 No Content\r\nId: other\r\n\r\n"
	const notModified = "HTTP/1.1 304 Not Modified\r\nId: other\r\nContent-Length: 5\r\n\r\n"
	for before, want := range map[string]bool{
		interim: true, noContent: true, notModified: true, interim + response("other", "x"): true, noContent + notModified: true,
		interim + interim + interim: false, interim + noContent + notModified: false,
	} {
		u := startUpstream(t, func(_ int64, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, before+response("1", "one"))
			return false
		})
		got, err := roundTrip(t, newTestPool(0), request(u, "1"))
		if !want {
			must.ErrorIs(t, err, ErrStray)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, "one", got)
	}
}
