package relay

import (
	"net/http"
	"net/url"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// credentials are the headers and query parameters in which callers send keys.
var credentials = map[string]bool{
	"authorization": true,
	"x-api-key":     true,
	"api-key":       true,
	"api_key":       true,
	"apikey":        true,
	"key":           true,
	"access_token":  true,
	"token":         true,
	"cookie":        true,
}

// Forwardable copies the headers that go on to an upstream: neither hop-by-hop ones, nor credentials, nor any value
// that contains the caller's key.
func Forwardable(h http.Header, key string) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if hopByHop[name] || named[name] || credentials[strings.ToLower(name)] {
			continue
		}
		for _, v := range values {
			if !carries(name, key) && !carries(v, key) {
				out[name] = append(out[name], v)
			}
		}
	}
	return out
}

// Answerable copies the headers of an upstream's answer that go on to the caller.
func Answerable(h http.Header) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if hopByHop[name] || named[name] {
			continue
		}
		out[name] = append([]string(nil), values...)
	}
	return out
}

// connectionNames returns the headers that the Connection header lists.
func connectionNames(h http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// Query returns the query without credentials and without values that contain the caller's key.
func Query(q url.Values, key string) string {
	out := make(url.Values, len(q))
	for name, values := range q {
		if credentials[strings.ToLower(name)] || carries(name, key) {
			continue
		}
		for _, v := range values {
			if !carries(v, key) {
				out.Add(name, v)
			}
		}
	}
	return out.Encode()
}

func carries(value, key string) bool {
	return key != "" && strings.Contains(value, key)
}

// Size returns the bytes of a header.
func Size(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
