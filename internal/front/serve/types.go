// Package serve forwards callers' requests to upstreams and returns the responses.
package serve

import (
	"net/http"
	"time"
)

// Part is a section of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Ask is the metadata that a caller sends with its request.
type Ask struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Deadline is how long the caller waits; zero if unspecified.
	Deadline time.Duration
	// Key is the caller's API key, or "".
	Key string
	// Model is empty for requests without a prompt.
	Model string
	// Prompt is the number of prompt tokens, Output the limit on output tokens.
	Prompt int64
	Output int64
	// Parts are in prompt order; the last one is specific to this request.
	Parts []Part
	// LastEvent is the id of the last event that the caller received, or "".
	LastEvent string
}

// Shared returns the parts of the prompt that other requests may share.
func (a *Ask) Shared() []Part {
	if len(a.Parts) == 0 {
		return nil
	}
	return a.Parts[:len(a.Parts)-1]
}

// Pass is the metadata that the router adds to a request for an upstream.
type Pass struct {
	// Upstream is the id of the only upstream that may run the request.
	Upstream string
	// Workspace owns the caller's key; "" on open routes.
	Workspace string
	// Deadline is the time that remains for the upstream; zero means no limit.
	Deadline time.Duration
	// Priority ranges from 0, the most urgent, to 9; nil for requests without a prompt.
	Priority *int
	// Salt keeps cached prefixes of different scopes apart.
	Salt string
	// Version is the only weights version that may run the request; zero for any.
	Version int64
	// FetchFrom and SaveTo are addresses that a saved prefix is read from and written to, or "".
	FetchFrom string
	SaveTo    string
	// LastEvent is the id of the event after which a stream resumes, or "".
	LastEvent string
}

// Verdict is the metadata in the header of an upstream's response.
type Verdict struct {
	// ID is the id of the request that the response belongs to, or "".
	ID string
	// Signed reports whether the response comes from the upstream's application.
	Signed bool
	// NotRun reports whether the upstream has not run the request and will not.
	NotRun bool
	// Version is the weights version that served the request, or zero.
	Version int64
}

// Dialect reads and writes the platform's headers.
type Dialect interface {
	Ask(r *http.Request) (Ask, error)
	Forward(h http.Header, a Ask, p Pass) http.Header
	Answer(h http.Header) http.Header
	Verdict(h http.Header) Verdict
	Refusal(h http.Header, id string, retry time.Duration)
}
