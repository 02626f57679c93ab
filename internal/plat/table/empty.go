package table

import (
	"io"
	"net/http"
)

// nonEmpty is a round tripper that fails successful responses without a body, which the AWS client takes for an absent row or a
// completed write. Each response of the service has at least an empty JSON object.
type nonEmpty struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (n nonEmpty) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := n.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		resp.Body = &nonEmptyBody{ReadCloser: resp.Body}
	}
	return resp, nil
}

// nonEmptyBody fails with io.ErrUnexpectedEOF if the body ends before its first byte.
type nonEmptyBody struct {
	io.ReadCloser
	begun bool
}

// Read implements io.Reader.
func (b *nonEmptyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.begun = b.begun || n > 0
	if err == io.EOF && !b.begun {
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}
