package plain

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/plat/runner"
)

const copyBufferBytes = 32 << 10

// newRequest builds the request to an upstream, without the caller's key and hop-by-hop headers.
func newRequest(ctx context.Context, c *call, address string) (*http.Request, error) {
	target := "http://" + address + c.path
	if query := relay.FilterQuery(c.query, c.caller.Key); query != "" {
		target += "?" + query
	}
	req, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	req.Header = relay.FilterRequestHeader(c.header, c.caller.Key)
	req.Header.Del(HeaderWorkspace)
	req.Header.Set(runner.HeaderRequest, c.id)
	if c.caller.Workspace != "" {
		req.Header.Set(HeaderWorkspace, c.caller.Workspace)
	}
	return req, nil
}

// copyResponse streams an upstream's response to the caller, with its trailers.
func (h *Handler) copyResponse(w http.ResponseWriter, res *http.Response) {
	defer func() { _ = res.Body.Close() }()
	for name, values := range relay.FilterResponseHeader(res.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := res.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return
			}
			_ = control.Flush()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			// The connection is aborted so that the caller does not take a truncated body for a complete one.
			panic(http.ErrAbortHandler)
		}
	}
	for name, values := range res.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
}
