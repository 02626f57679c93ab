// Package chat serves the OpenAI completion calls: it places a request on an engine, relays the response, and resumes on another engine when the first one fails.
package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

// Request is a parsed completion request.
type Request struct {
	Model string
	// Stream reports whether the caller requested server-sent events.
	Stream bool
	// MaxTokens bounds the output, at least 1.
	MaxTokens int64
	// Prompt is the part of the body that the engine prefills: tools, then messages or prompt.
	Prompt []byte
	// Body is the body for the engine, which always sets max_tokens or max_completion_tokens.
	Body []byte
}

// requestFields are the fields of the body that the router reads.
type requestFields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	Tools               json.RawMessage `json:"tools"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// maxOutputTokens is the largest max_tokens that a request may set.
const maxOutputTokens = 1 << 20

// Parse parses a request body; defaultMax bounds the output when the body sets no bound.
func Parse(body []byte, defaultMax int64) (Request, error) {
	var f requestFields
	if err := json.Unmarshal(body, &f); err != nil {
		return Request{}, badJSON(body, err)
	}
	if f.Model == "" {
		return Request{}, fault.New(fault.BadRequest, "field model is missing")
	}
	if f.N != nil && *f.N != 1 {
		return Request{}, fault.New(fault.BadRequest, "field n must be 1")
	}
	prompt := f.Messages
	if prompt == nil {
		prompt = f.Prompt
	}
	if len(prompt) == 0 || string(prompt) == "null" {
		return Request{}, fault.New(fault.BadRequest, "field messages or prompt is missing")
	}
	req := Request{Model: f.Model, Stream: f.Stream, Body: body}
	if len(f.Tools) > 0 {
		req.Prompt = append(bytes.Clone(f.Tools), prompt...)
	} else {
		req.Prompt = prompt
	}
	bound := f.MaxCompletionTokens
	if bound == nil {
		bound = f.MaxTokens
	}
	if bound == nil {
		req.MaxTokens = defaultMax
		var err error
		req.Body, err = withMaxTokens(body, defaultMax)
		return req, err
	}
	if *bound < 1 || *bound > maxOutputTokens {
		return Request{}, fault.New(fault.BadRequest, "field max_tokens must be between 1 and %d", maxOutputTokens)
	}
	req.MaxTokens = *bound
	return req, nil
}

// withMaxTokens sets max_tokens and leaves the other fields unchanged.
func withMaxTokens(body []byte, bound int64) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badJSON(body, err)
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(bound, 10))
	return json.Marshal(fields)
}

// badJSON returns a fault with the line and column of a JSON error.
func badJSON(body []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &typed):
		offset = typed.Offset
	}
	if offset < 0 || offset > int64(len(body)) {
		return fault.New(fault.BadRequest, "the body is not valid JSON: %s", err.Error())
	}
	before := string(body[:offset])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndexByte(before, '\n') - 1
	return fault.New(fault.BadRequest, "the body is not valid JSON: line %d, column %d: %s", line, column, err.Error())
}

// Cost returns the maximum number of tokens that a request may use.
func (r Request) Cost() int64 {
	return prefix.Tokens(r.Prompt) + r.MaxTokens
}
