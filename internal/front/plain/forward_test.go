package plain

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// forwardCall forwards one call to an upstream and returns the response to the caller.
func forwardCall(t *testing.T, upstream http.HandlerFunc, trace *httptrace.ClientTrace) *http.Response {
	t.Helper()
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	h := &Handler{Pool: relay.NewPool(relay.DialTCP), Fleet: status.NewFleet(1)}
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{method: r.Method, path: r.URL.Path, query: r.URL.Query(), header: r.Header, caller: gate.Caller{Workspace: "w", Key: "k"}, route: rules.Route{}}
		res, err := h.send(r.Context(), w, c, status.View{Address: strings.TrimPrefix(server.URL, "http://")})
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		h.copyResponse(w, res)
	}))
	t.Cleanup(router.Close)
	req, err := http.NewRequest(http.MethodGet, router.URL+"/x", nil)
	must.NoError(t, err)
	if trace != nil {
		req = req.WithContext(httptrace.WithClientTrace(t.Context(), trace))
	}
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

func TestTrailersAreForwarded(t *testing.T) {
	res := forwardCall(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "body")
		_ = http.NewResponseController(w).Flush()
		w.Header().Set(http.TrailerPrefix+"X-Sum", "42")
	}, nil)
	data, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, "body", string(data))
	must.Eq(t, "42", res.Trailer.Get("X-Sum"))
}

func TestEarlyHintsAreForwarded(t *testing.T) {
	hint := ""
	res := forwardCall(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</style>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "body")
	}, &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		if code == http.StatusEarlyHints {
			hint = h.Get("Link")
		}
		return nil
	}})
	must.Eq(t, "</style>", hint)
	must.Eq(t, "", res.Header.Get("Link"))
}

func TestTruncatedResponseFailsForCaller(t *testing.T) {
	res := forwardCall(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, nil)
	_, err := io.ReadAll(res.Body)
	must.Error(t, err)
}
