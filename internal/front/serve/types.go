// Package serve forwards callers' requests to upstreams and returns the responses.
package serve

import (
	"net/http"
	"time"
)

// PromptPart is a section of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// RequestInfo is the metadata that a caller sends with its request.
type RequestInfo struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Timeout is how long the caller waits; zero if unspecified.
	Timeout time.Duration
	// Key is the caller's API key, or "".
	Key string
	// Model is empty for requests without a prompt.
	Model string
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the limit on output tokens.
	PromptTokens    int64
	MaxOutputTokens int64
	// Parts are in prompt order; the last one is specific to this request.
	Parts []PromptPart
	// LastEventID is the id of the last event that the caller received, or "".
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of the stream that the caller takes up, or "".
	Resumes string
}

// SharedParts returns the parts of the prompt that other requests may share.
func (r *RequestInfo) SharedParts() []PromptPart {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// streamID returns the ID of the attempt that began the stream: this one, unless the caller takes up another one's.
func (r *RequestInfo) streamID() string {
	if r.LastEventID != "" && r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// ForwardInfo is the metadata that the router adds to a request for an upstream.
type ForwardInfo struct {
	// Upstream is the id of the only upstream that may run the request.
	Upstream string
	// Workspace owns the caller's key; "" on open routes.
	Workspace string
	// Timeout is the time that remains for the upstream; zero means no limit.
	Timeout time.Duration
	// Priority ranges from 0, the most urgent, to 9; nil for requests without a prompt.
	Priority *int
	// Salt keeps cached prefixes of different scopes apart.
	Salt string
	// Version is the only weights version that may run the request; zero for any.
	Version int64
	// FetchFrom is the address of the engine or KV store that holds a part of the prefix, SaveTo that of the KV store to
	// save it to; "" for none.
	FetchFrom string
	SaveTo    string
	// LastEventID is the id of the event after which a stream resumes, or "".
	LastEventID string
}

// ResponseInfo is the metadata in the header of an upstream's response.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to, or "".
	ID string
	// Signed reports whether the response comes from the upstream's application.
	Signed bool
	// NotRun reports whether the upstream has not run the request and will not.
	NotRun bool
	// Version is the weights version that served the request, or zero.
	Version int64
	// Leaving reports whether the upstream has announced that it stops.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests of this instance; zero if it did not say.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the upstream takes from all instances together; nil if it names none.
	Limit *float64
	// Brittle is the number of requests that it can reject in a second for want of room without falling over; nil if it named none.
	Brittle *float64
}

// Dialect reads and writes the platform's headers.
type Dialect interface {
	ParseRequest(r *http.Request) (RequestInfo, error)
	ForwardHeader(h http.Header, r RequestInfo, f ForwardInfo) http.Header
	ResponseHeader(h http.Header) http.Header
	ParseResponse(h http.Header) ResponseInfo
	SetErrorHeader(h http.Header, id string, retry time.Duration)
}
