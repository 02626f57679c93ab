package relay

import (
	"net/http"
	"net/url"
	"strings"
)

// hopByHop are the headers that apply to one connection only.
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

// FilterRequestHeader returns the request headers to send to an upstream, without hop-by-hop headers, credentials and values
// that contain the caller's key.
func FilterRequestHeader(h http.Header, key string) http.Header {
	listed := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if hopByHop[name] || listed[name] || credentials[strings.ToLower(name)] {
			continue
		}
		for _, v := range values {
			if !containsKey(name, key) && !containsKey(v, key) {
				out[name] = append(out[name], v)
			}
		}
	}
	return out
}

// FilterResponseHeader returns the response headers to send to the caller, without hop-by-hop headers.
func FilterResponseHeader(h http.Header) http.Header {
	listed := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if hopByHop[name] || listed[name] {
			continue
		}
		out[name] = append([]string(nil), values...)
	}
	return out
}

// connectionNames returns the headers that the Connection header lists.
func connectionNames(h http.Header) map[string]bool {
	listed := make(map[string]bool)
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// FilterQuery returns the encoded query without credentials and values that contain the caller's key.
func FilterQuery(q url.Values, key string) string {
	out := make(url.Values, len(q))
	for name, values := range q {
		if credentials[strings.ToLower(name)] || containsKey(name, key) {
			continue
		}
		for _, v := range values {
			if !containsKey(v, key) {
				out.Add(name, v)
			}
		}
	}
	return out.Encode()
}

func containsKey(value, key string) bool {
	return key != "" && strings.Contains(value, key)
}

// HeaderSize returns the size of a header in bytes, as encoded in HTTP/1.1.
func HeaderSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
