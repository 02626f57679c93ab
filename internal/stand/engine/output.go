package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

// Word returns the text of one output event; it depends on the prompt, so that a crossed answer shows.
func Word(prompt []byte, number int) string {
	sum := sha256.Sum256(prompt)
	return fmt.Sprintf("%s-%d ", hex.EncodeToString(sum[:4]), number)
}

// chunk is one streamed event.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int64        `json:"prompt_tokens"`
	CompletionTokens int64        `json:"completion_tokens"`
	TotalTokens      int64        `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func (e *Server) stream(ctx context.Context, w http.ResponseWriter, k *work) {
	control := http.NewResponseController(w)
	total := max(1, k.in.MaxTokens)
	for i := 1; i <= total; i++ {
		if i <= k.offset {
			continue
		}
		if k.faults.CutAfter > 0 && i > k.faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if !pause(ctx, k, e.settings.PerEvent) {
			panic(http.ErrAbortHandler)
		}
		data, _ := json.Marshal(e.chunk(k, i, total))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		_ = control.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Server) chunk(k *work, number, total int) chunk {
	c := chunk{ID: k.id, Object: "chat.completion.chunk", Model: k.in.Model}
	one := choice{Delta: &message{Content: Word(k.prompt, number)}}
	if k.in.Messages == nil {
		one = choice{Text: Word(k.prompt, number)}
		c.Object = "text_completion"
	}
	if number == total {
		reason := "stop"
		one.FinishReason = &reason
		c.Usage = e.usage(k, total)
	}
	c.Choices = []choice{one}
	return c
}

func (e *Server) usage(k *work, total int) *usage {
	tokens := prefix.Tokens(k.prompt)
	return &usage{
		PromptTokens:     tokens,
		CompletionTokens: int64(total),
		TotalTokens:      tokens + int64(total),
		Details:          usageDetails{CachedTokens: k.cached},
	}
}

func (e *Server) whole(w http.ResponseWriter, k *work) {
	total := max(1, k.in.MaxTokens)
	var text strings.Builder
	for i := 1; i <= total; i++ {
		text.WriteString(Word(k.prompt, i))
	}
	reason := "stop"
	one := choice{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &reason}
	if k.in.Messages == nil {
		one = choice{Text: text.String(), FinishReason: &reason}
	}
	_ = json.NewEncoder(w).Encode(chunk{
		ID: k.id, Object: "chat.completion", Model: k.in.Model, Choices: []choice{one}, Usage: e.usage(k, total),
	})
}
