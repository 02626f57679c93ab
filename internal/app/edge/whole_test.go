package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// send10 sends a call as a caller of HTTP/1.0 does, and returns the body with the error of its end.
func (r *router) send10(t *testing.T, c fake.Call) (string, error) {
	t.Helper()
	req, err := c.NewRequest(context.Background(), r.settings.Listen)
	must.NoError(t, err)
	conn, err := net.Dial("tcp4", r.settings.Listen)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	var text strings.Builder
	must.NoError(t, req.Write(&text))
	_, err = io.WriteString(conn, strings.Replace(text.String(), "HTTP/1.1", "HTTP/1.0", 1))
	must.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, res.StatusCode)
	must.Eq(t, -1, res.ContentLength)
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Streams to callers of HTTP/1.0 that were cut ended as complete ones do.
func TestStreamToCallerOfHTTP10(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults fake.Faults
		body   string
		err    error
	}{
		{"complete", fake.Faults{}, events(1, 5), nil},
		{"cut", fake.Faults{CutAfter: 2}, events(1, 2), syscall.ECONNRESET},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := startSite(t, 1, 1)
			s.Engines[0].SetFaults(c.faults)
			body, err := r.send10(t, newPromptCall(fake.BriefPath+"1"))
			must.Eq(t, c.body, body)
			must.ErrorIs(t, err, c.err)
		})
	}
}
