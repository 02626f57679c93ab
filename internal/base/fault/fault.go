// Package fault defines the closed list of error kinds and the HTTP response to a caller for each kind.
package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Kind names one entry of the closed list of error kinds.
type Kind string

// The closed list of error kinds.
const (
	BadRequest      Kind = "bad_request"
	BadKey          Kind = "bad_key"
	KeyWithdrawn    Kind = "key_withdrawn"
	UnknownModel    Kind = "unknown_model"
	UnknownRoute    Kind = "unknown_route"
	BodyTooLarge    Kind = "body_too_large"
	BodyTimeout     Kind = "body_timeout"
	HeaderTooLarge  Kind = "header_too_large"
	OverRate        Kind = "over_rate"
	LimitUnready    Kind = "limit_unready"
	Overloaded      Kind = "overloaded"
	NotCurrent      Kind = "not_current"
	NoUpstream      Kind = "no_upstream"
	Draining        Kind = "draining"
	ClaimBusy       Kind = "claim_busy"
	ClaimMismatch   Kind = "claim_mismatch"
	ClaimStoreDown  Kind = "claim_store_down"
	CrashingRequest Kind = "crashing_request"
	UpstreamFailed  Kind = "upstream_failed"
	OutcomeUnknown  Kind = "outcome_unknown"
	Conflict        Kind = "conflict"
	Internal        Kind = "internal"
)

// Ran is whether an upstream may have started the request.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "not run"
	RanYes     Ran = "run"
	RanUnknown Ran = "unknown"
)

// Headers of an error response.
const (
	HeaderRan  = "Skylarkquay-Ran"
	HeaderKind = "Skylarkquay-Error"
)

// Response is the fixed part of the HTTP response for one kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Ran is whether an upstream may have started the request.
	Ran Ran
	// Retry is the default Retry-After; zero omits the header.
	Retry time.Duration
}

const (
	retrySoon  = 1 * time.Second
	retryLater = 5 * time.Second
)

// responses maps each kind to its response; every kind has exactly one entry.
var responses = map[Kind]Response{
	BadRequest:      {http.StatusBadRequest, RanNo, 0},
	BadKey:          {http.StatusUnauthorized, RanNo, 0},
	KeyWithdrawn:    {http.StatusUnauthorized, RanUnknown, 0},
	UnknownModel:    {http.StatusNotFound, RanNo, 0},
	UnknownRoute:    {http.StatusNotFound, RanNo, 0},
	BodyTooLarge:    {http.StatusRequestEntityTooLarge, RanNo, 0},
	BodyTimeout:     {http.StatusRequestTimeout, RanNo, 0},
	HeaderTooLarge:  {http.StatusRequestHeaderFieldsTooLarge, RanNo, 0},
	OverRate:        {http.StatusTooManyRequests, RanNo, retrySoon},
	LimitUnready:    {http.StatusServiceUnavailable, RanNo, retrySoon},
	Overloaded:      {http.StatusServiceUnavailable, RanNo, retrySoon},
	NotCurrent:      {http.StatusServiceUnavailable, RanNo, retrySoon},
	NoUpstream:      {http.StatusServiceUnavailable, RanNo, retrySoon},
	Draining:        {http.StatusServiceUnavailable, RanNo, retrySoon},
	ClaimBusy:       {http.StatusConflict, RanUnknown, retrySoon},
	ClaimMismatch:   {http.StatusUnprocessableEntity, RanNo, 0},
	ClaimStoreDown:  {http.StatusServiceUnavailable, RanNo, retryLater},
	CrashingRequest: {http.StatusUnprocessableEntity, RanNo, 0},
	UpstreamFailed:  {http.StatusBadGateway, RanYes, retrySoon},
	OutcomeUnknown:  {http.StatusGatewayTimeout, RanUnknown, 0},
	Conflict:        {http.StatusConflict, RanNo, 0},
	Internal:        {http.StatusInternalServerError, RanUnknown, 0},
}

// ResponseFor returns the response for a kind. An unlisted kind gets the response of Internal.
func ResponseFor(k Kind) Response {
	a, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return a
}

// Kinds returns all listed kinds in no particular order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(responses))
	for k := range responses {
		all = append(all, k)
	}
	return all
}

// Error is an error of the closed list.
type Error struct {
	// Kind is one of the listed kinds.
	Kind Kind
	// Message is one sentence for the caller.
	Message string
	// Retry overrides the default Retry-After when positive.
	Retry time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// New returns an error of the given kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// NewRetryAfter returns an error of the given kind whose Retry-After is the given delay.
func NewRetryAfter(k Kind, retry time.Duration, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), Retry: retry}
}

// From returns the Error that err wraps, or an Internal one with its message.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error()}
}

// Is reports whether err wraps an Error of the kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// Detail is the error object of a response body, in the format that OpenAI clients parse.
type Detail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Ran     Ran    `json:"ran"`
}

// Body is the body of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// BodyOf returns the response body for err.
func BodyOf(err error) Body {
	e := From(err)
	return Body{Error: Detail{
		Message: e.Message,
		Type:    "skylarkquay_error",
		Code:    string(e.Kind),
		Ran:     ResponseFor(e.Kind).Ran,
	}}
}

// RetryAfter returns the whole seconds for the Retry-After header, or zero for none.
func RetryAfter(err error) int {
	e := From(err)
	delay := e.Retry
	if delay <= 0 {
		delay = ResponseFor(e.Kind).Retry
	}
	return int((delay + time.Second - 1) / time.Second)
}

// Write sends the response for err.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	a := ResponseFor(e.Kind)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRan, string(a.Ran))
	h.Set(HeaderKind, string(e.Kind))
	if seconds := RetryAfter(err); seconds > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(BodyOf(err))
}
