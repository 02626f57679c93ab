// Package chat serves the OpenAI calls for language work: it places a request on an engine, relays the answer, and goes on elsewhere when the engine fails.
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

// Request is what the router reads of a caller's request.
type Request struct {
	// Model is the model's name.
	Model string
	// Stream tells that the caller wants events.
	Stream bool
	// MaxTokens bounds the output, at least 1.
	MaxTokens int64
	// Prompt is the part of the body that an engine computes, in order.
	Prompt []byte
	// Body is the body for the engine; it always names the bound on the output.
	Body []byte
}

// fields are the parts of the body that the router looks at.
type fields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	Tools               json.RawMessage `json:"tools"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// maxOutput is the largest bound on the output that a request may name.
const maxOutput = 1 << 20

// Parse reads a request body. The default bound on the output applies when the body names none.
func Parse(body []byte, defaultMax int64) (Request, error) {
	var f fields
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
		req.Body, err = withBound(body, defaultMax)
		return req, err
	}
	if *bound < 1 || *bound > maxOutput {
		return Request{}, fault.New(fault.BadRequest, "field max_tokens must be between 1 and %d", maxOutput)
	}
	req.MaxTokens = *bound
	return req, nil
}

// withBound sets the bound on the output and leaves the other fields as they came.
func withBound(body []byte, bound int64) ([]byte, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, badJSON(body, err)
	}
	delete(all, "max_completion_tokens")
	all["max_tokens"] = json.RawMessage(strconv.FormatInt(bound, 10))
	return json.Marshal(all)
}

// badJSON names the line and column of a JSON fault.
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

// Cost returns the tokens that a request may use at the most.
func (r Request) Cost() int64 {
	return prefix.Tokens(r.Prompt) + r.MaxTokens
}
