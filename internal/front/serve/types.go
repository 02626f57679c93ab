// Package serve takes callers' requests to upstreams and brings the answers back.
package serve

import (
	"net/http"
	"time"
)

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Ask is what a caller's request says of itself.
type Ask struct {
	// ID is unique to one attempt of a caller.
	ID string
	// Deadline is how long the caller waits; zero when it does not say.
	Deadline time.Duration
	// Key is the caller's key, or "".
	Key string
	// Model is empty for requests without a prompt.
	Model string
	// Prompt and Output are the prompt's tokens and the bound on the output's.
	Prompt int64
	Output int64
	// Parts are in the order of the prompt; the last one is the request's own.
	Parts []Part
	// LastEvent is the id of the last event that the caller has, or "".
	LastEvent string
}

// Shared returns the parts that other requests may share.
func (a *Ask) Shared() []Part {
	if len(a.Parts) == 0 {
		return nil
	}
	return a.Parts[:len(a.Parts)-1]
}

// Pass is what the system adds to a request on its way to an upstream.
type Pass struct {
	// Upstream is the id of the upstream that alone may run the request.
	Upstream string
	// Workspace is the owner of the caller's key, or "" on open routes.
	Workspace string
	// Deadline is what is left for the upstream; zero means no bound.
	Deadline time.Duration
	// Priority is from 0, the most urgent, to 9; nil for requests without a prompt.
	Priority *int
	// Salt separates cached prefixes.
	Salt string
	// Version is the weights version that alone may run the request; zero for any.
	Version int64
	// FetchFrom and SaveTo are addresses of kept KV cache, or "".
	FetchFrom string
	SaveTo    string
	// LastEvent is the id of the event after which a stream goes on, or "".
	LastEvent string
}

// Verdict is what the head of an upstream's answer says.
type Verdict struct {
	// ID of the request that is answered, or "".
	ID string
	// Signed answers come from an upstream's application.
	Signed bool
	// NotRun states that the upstream has not run the request and will not.
	NotRun bool
	// Version of the weights that answered, or zero.
	Version int64
}

// Dialect reads and writes the headers of the platform.
type Dialect interface {
	Ask(r *http.Request) (Ask, error)
	Forward(h http.Header, a Ask, p Pass) http.Header
	Answer(h http.Header) http.Header
	Verdict(h http.Header) Verdict
	Refusal(h http.Header, id string, retry time.Duration)
}
