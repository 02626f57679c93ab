// Package runner defines the headers and paths by which engines extend the OpenAI HTTP API.
package runner

// Headers of requests to an engine and of its responses.
const (
	// HeaderRequest is the request ID; the engine repeats it in the response.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority is the request's priority, a small integer; higher values run first.
	HeaderPriority = "X-Priority"
	// HeaderOffset is the number of output events to skip, because the caller has them.
	HeaderOffset = "X-Resume-Offset"
	// HeaderSalt is part of the cache key; cached prefixes are shared only within one salt.
	HeaderSalt = "X-Cache-Salt"
	// HeaderIncarnation identifies the engine process; a restart changes it.
	HeaderIncarnation = "X-Incarnation"
	// HeaderWeights is the weights version that computed the response.
	HeaderWeights = "X-Weights-Version"
	// HeaderCached is the number of prompt tokens that were served from the cache.
	HeaderCached = "X-Cached-Tokens"
)

// LoadPath is the path of the engine's load report.
const LoadPath = "/load"
