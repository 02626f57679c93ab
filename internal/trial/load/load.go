// Package load drives open-loop traffic from a trace against running routers and measures what callers see.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/trial/trace"
)

// Target says where the traffic goes.
type Target struct {
	// Routers are the base URLs; a row's router is taken modulo their number.
	Routers []string
	// Keys holds each workspace's key.
	Keys map[string]string
	// Model is asked for.
	Model string
}

// Options shape the traffic.
type Options struct {
	// Speed is how many times faster than recorded the rows are sent.
	Speed float64
	// Limit ends the sending after that time; zero sends all rows.
	Limit time.Duration
	// Output, when positive, replaces the rows' output tokens.
	Output int64
	// Progress gets a line each few seconds.
	Progress io.Writer
}

const (
	largest       = int64(5 * time.Minute / time.Microsecond)
	digits        = 3
	progressEvery = 2 * time.Second
	callTimeout   = 2 * time.Minute
	maxLine       = 1 << 20
)

// NoAnswer counts requests whose router did not answer, among the refusals by kind.
const NoAnswer fault.Kind = "no_answer"

// Tally is what callers of one workspace saw.
type Tally struct {
	Sent      int `json:"sent"`
	Completed int `json:"completed"`
	// InTime are completed requests whose first token came within the target.
	InTime int `json:"in_time"`
	// Broken are streams that were cut or out of order, Crossed those with another request's text.
	Broken  int `json:"broken"`
	Crossed int `json:"crossed"`
	// Refused counts refusals by kind.
	Refused map[fault.Kind]int `json:"refused"`
	// AdmittedTokens are the tokens of the requests that were not refused.
	AdmittedTokens int64 `json:"admitted_tokens"`
}

// Target times for first tokens and the gaps between tokens.
const (
	FirstTarget = 1900 * time.Millisecond
	GapTarget   = 34 * time.Millisecond
)

// collector gathers outcomes.
type collector struct {
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	prompt int64
	cached int64
	by     map[string]*Tally
}

// Run sends the trace's rows and waits for all answers.
func Run(ctx context.Context, t trace.Trace, target Target, o Options) Report {
	c := &collector{
		first: hdrhistogram.New(1, largest, digits),
		gap:   hdrhistogram.New(1, largest, digits),
		by:    make(map[string]*Tally),
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	start := time.Now()
	last := start
	var wg sync.WaitGroup
	for i, row := range t.Rows {
		due := time.Duration(row.At / o.Speed * float64(time.Second))
		if o.Limit > 0 && due > o.Limit {
			break
		}
		if sleep.For(ctx, time.Until(start.Add(due))) != nil {
			break
		}
		if o.Progress != nil && time.Since(last) > progressEvery {
			last = time.Now()
			_, _ = fmt.Fprintf(o.Progress, "sent %d of %d requests\n", i, len(t.Rows))
		}
		if o.Output > 0 {
			row.Output = o.Output
		}
		wg.Go(func() { c.send(ctx, client, target, row, i) })
	}
	wg.Wait()
	return c.report(time.Since(start))
}

// Prompt returns the text of a row: its levels' texts, each of whole pieces, and text of its own.
func Prompt(row trace.Row, number int) string {
	const piece = prefix.PieceTokens * prefix.BytesPerToken
	var text strings.Builder
	path := ""
	for _, l := range row.Levels {
		path += "/" + l.ID
		word := path + " "
		size := text.Len() + l.Pieces*piece
		for text.Len() < size {
			text.WriteString(word[:min(len(word), size-text.Len())])
		}
	}
	own := fmt.Sprintf("request %d ", number)
	for size := text.Len() + int(row.Own)*prefix.BytesPerToken; text.Len() < size; {
		text.WriteString(own)
	}
	return text.String()
}

// message and request are the body of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type request struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int64     `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// chunk is the part of an event that is read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int64 `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (c *collector) send(ctx context.Context, client *http.Client, target Target, row trace.Row, number int) {
	c.count(row.Workspace, func(t *Tally) { t.Sent++ })
	body, err := json.Marshal(request{
		Model: target.Model, Stream: true, MaxTokens: row.Output,
		Messages: []message{{Role: "user", Content: Prompt(row, number)}},
	})
	if err != nil {
		return
	}
	url := target.Routers[row.Router%len(target.Routers)] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+target.Keys[row.Workspace])
	sent := time.Now()
	res, err := client.Do(req)
	if err != nil {
		c.count(row.Workspace, func(t *Tally) { t.Refused[NoAnswer]++ })
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		kind := fault.Kind(res.Header.Get(fault.HeaderKind))
		c.count(row.Workspace, func(t *Tally) { t.Refused[kind]++ })
		return
	}
	c.count(row.Workspace, func(t *Tally) { t.AdmittedTokens += row.Tokens() + row.Output })
	c.read(res.Body, row, sent)
}

// read follows a stream and checks that it is whole, in order, and of one request.
func (c *collector) read(body io.Reader, row trace.Row, sent time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	next := 1
	mark := ""
	last := sent
	done := false
	crossed := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			break
		}
		var e chunk
		if json.Unmarshal([]byte(data), &e) != nil || len(e.Choices) == 0 {
			break
		}
		now := time.Now()
		c.time(next == 1, now.Sub(last))
		last = now
		word, position, _ := strings.Cut(strings.TrimSpace(e.Choices[0].Delta.Content), "-")
		if mark == "" {
			mark = word
			took := now.Sub(sent)
			if took <= FirstTarget {
				c.count(row.Workspace, func(t *Tally) { t.InTime++ })
			}
		}
		crossed = crossed || word != mark
		if position != fmt.Sprint(next) {
			break
		}
		next++
		if e.Usage != nil {
			c.use(e.Usage.PromptTokens, e.Usage.Details.CachedTokens)
		}
	}
	whole := done && int64(next) == row.Output+1
	c.count(row.Workspace, func(t *Tally) {
		switch {
		case crossed:
			t.Crossed++
		case whole:
			t.Completed++
		default:
			t.Broken++
		}
	})
}

func (c *collector) count(workspace string, change func(t *Tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.by[workspace]
	if !ok {
		t = &Tally{Refused: make(map[fault.Kind]int)}
		c.by[workspace] = t
	}
	change(t)
}

func (c *collector) time(first bool, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.gap
	if first {
		h = c.first
	}
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func (c *collector) use(prompt, cached int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prompt += prompt
	c.cached += cached
}
