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

// EventText returns the text of one output event. It contains a hash of the prompt, so that tests detect a response to another request.
func EventText(prompt []byte, number int) string {
	sum := sha256.Sum256(prompt)
	return fmt.Sprintf("%s-%d ", hex.EncodeToString(sum[:4]), number)
}

// chunk is one streamed event, or the whole response of a request without streaming.
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

func (e *Server) stream(ctx context.Context, w http.ResponseWriter, j *job) {
	controller := http.NewResponseController(w)
	total := max(1, j.in.MaxTokens)
	for i := 1; i <= total; i++ {
		if i <= j.offset {
			continue
		}
		if j.faults.CutAfter > 0 && i > j.faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if !e.waitForEvent(ctx, j, i) {
			panic(http.ErrAbortHandler)
		}
		data, _ := json.Marshal(e.chunk(j, i, total))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		_ = controller.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// waitForEvent waits until the event with the given number is due, or returns false like wait.
func (e *Server) waitForEvent(ctx context.Context, j *job, number int) bool {
	if j.faults.Pause > 0 && number == j.faults.PauseAfter+1 {
		return waitOrResume(ctx, j, j.faults.Pause, e.resumed)
	}
	return wait(ctx, j, e.settings.PerEvent)
}

func (e *Server) chunk(j *job, number, total int) chunk {
	c := chunk{ID: j.id, Object: "chat.completion.chunk", Model: j.in.Model}
	out := choice{Delta: &message{Content: EventText(j.prompt, number)}}
	if j.in.Messages == nil {
		out = choice{Text: EventText(j.prompt, number)}
		c.Object = "text_completion"
	}
	if number == total {
		reason := "stop"
		out.FinishReason = &reason
		c.Usage = e.usage(j, total)
	}
	c.Choices = []choice{out}
	return c
}

func (e *Server) usage(j *job, total int) *usage {
	tokens := prefix.Tokens(j.prompt)
	return &usage{
		PromptTokens:     tokens,
		CompletionTokens: int64(total),
		TotalTokens:      tokens + int64(total),
		Details:          usageDetails{CachedTokens: j.cached},
	}
}

func (e *Server) writeResponse(w http.ResponseWriter, j *job) {
	total := max(1, j.in.MaxTokens)
	var text strings.Builder
	for i := 1; i <= total; i++ {
		text.WriteString(EventText(j.prompt, i))
	}
	reason := "stop"
	out := choice{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &reason}
	if j.in.Messages == nil {
		out = choice{Text: text.String(), FinishReason: &reason}
	}
	_ = json.NewEncoder(w).Encode(chunk{
		ID: j.id, Object: "chat.completion", Model: j.in.Model, Choices: []choice{out}, Usage: e.usage(j, total),
	})
}
