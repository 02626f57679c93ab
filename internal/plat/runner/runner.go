// Package runner holds the headers and paths that an engine understands beside the OpenAI HTTP API.
package runner

// Headers of a request to an engine and of its answer.
const (
	// HeaderRequest is the request's identity; the engine repeats it in the answer.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority is the request's priority, a small integer; higher goes first.
	HeaderPriority = "X-Priority"
	// HeaderOffset is the number of output events to leave out, because the caller has them.
	HeaderOffset = "X-Resume-Offset"
	// HeaderSalt separates cache entries that may not be shared.
	HeaderSalt = "X-Cache-Salt"
	// HeaderIncarnation names the engine's run.
	HeaderIncarnation = "X-Incarnation"
	// HeaderWeights is the weights version that computed the answer.
	HeaderWeights = "X-Weights-Version"
	// HeaderCached is the number of prompt tokens that were found in the cache.
	HeaderCached = "X-Cached-Tokens"
)

// LoadPath answers with the engine's load report.
const LoadPath = "/load"
