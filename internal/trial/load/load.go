// Package load sends the requests of a trace to running routers, open-loop, and measures the responses.
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

// Target is where the requests are sent.
type Target struct {
	// Routers are base URLs; a row's router number is taken modulo their count.
	Routers []string
	// Keys maps workspaces to API keys.
	Keys map[string]string
	// Model is the model of all requests.
	Model string
}

// Options control how a trace is sent.
type Options struct {
	// Speed is a factor on the recorded request rate.
	Speed float64
	// MaxDuration stops sending after that time; zero sends all rows.
	MaxDuration time.Duration
	// OutputTokens, when positive, replaces the rows' output tokens.
	OutputTokens int64
	// Progress, if set, receives a line every few seconds.
	Progress io.Writer
}

const (
	maxMicros         = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
	progressEvery     = 2 * time.Second
	callTimeout       = 2 * time.Minute
	maxLineBytes      = 1 << 20
)

// NoResponse is the key in Tally.Rejected for requests whose router did not respond.
const NoResponse fault.Kind = "no_answer"

// Tally counts the outcomes of one workspace's requests.
type Tally struct {
	Sent      int `json:"sent"`
	Completed int `json:"completed"`
	// WithinTarget counts requests whose first token arrived within FirstTokenTarget, also those cut later.
	WithinTarget int `json:"in_time"`
	// Broken counts streams that were cut or out of order, Crossed those with text of another request.
	Broken  int `json:"broken"`
	Crossed int `json:"crossed"`
	// Rejected counts rejected requests by error kind.
	Rejected map[fault.Kind]int `json:"refused"`
	// AdmittedTokens counts the prompt and output tokens of requests that were not rejected.
	AdmittedTokens int64 `json:"admitted_tokens"`
}

// Targets for the time to first token and the time between tokens.
const (
	FirstTokenTarget = 1900 * time.Millisecond
	TokenGapTarget   = 34 * time.Millisecond
)

// collector aggregates the outcomes of a run.
type collector struct {
	mu           sync.Mutex
	firstToken   *hdrhistogram.Histogram
	tokenGap     *hdrhistogram.Histogram
	promptTokens int64
	cachedTokens int64
	tallies      map[string]*Tally
}

// Run sends the trace's rows and waits for all responses.
func Run(ctx context.Context, t trace.Trace, target Target, o Options) Report {
	c := &collector{
		firstToken: hdrhistogram.New(1, maxMicros, significantDigits),
		tokenGap:   hdrhistogram.New(1, maxMicros, significantDigits),
		tallies:    make(map[string]*Tally),
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	start := time.Now()
	lastProgress := start
	var wg sync.WaitGroup
	for i, row := range t.Rows {
		due := time.Duration(row.At / o.Speed * float64(time.Second))
		if o.MaxDuration > 0 && due > o.MaxDuration {
			break
		}
		if sleep.For(ctx, time.Until(start.Add(due))) != nil {
			break
		}
		if o.Progress != nil && time.Since(lastProgress) > progressEvery {
			lastProgress = time.Now()
			_, _ = fmt.Fprintf(o.Progress, "sent %d of %d requests\n", i, len(t.Rows))
		}
		if o.OutputTokens > 0 {
			row.OutputTokens = o.OutputTokens
		}
		wg.Go(func() { c.send(ctx, client, target, row, i) })
	}
	wg.Wait()
	return c.report(time.Since(start))
}

// Prompt returns a prompt for a row: the shared text of its levels, in whole pieces, then text unique to the request.
func Prompt(row trace.Row, number int) string {
	const pieceBytes = prefix.PieceTokens * prefix.BytesPerToken
	var text strings.Builder
	path := ""
	for _, l := range row.Levels {
		path += "/" + l.ID
		part := path + " "
		size := text.Len() + l.Pieces*pieceBytes
		for text.Len() < size {
			text.WriteString(part[:min(len(part), size-text.Len())])
		}
	}
	unique := fmt.Sprintf("request %d ", number)
	for size := text.Len() + int(row.UniqueTokens)*prefix.BytesPerToken; text.Len() < size; {
		text.WriteString(unique)
	}
	return text.String()
}

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// request is the body of a chat request.
type request struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int64     `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// chunk holds the fields that are read from a streamed event.
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
	c.update(row.Workspace, func(t *Tally) { t.Sent++ })
	body, err := json.Marshal(request{
		Model: target.Model, Stream: true, MaxTokens: row.OutputTokens,
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
		c.update(row.Workspace, func(t *Tally) { t.Rejected[NoResponse]++ })
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		kind := fault.Kind(res.Header.Get(fault.HeaderKind))
		c.update(row.Workspace, func(t *Tally) { t.Rejected[kind]++ })
		return
	}
	c.update(row.Workspace, func(t *Tally) { t.AdmittedTokens += row.Tokens() + row.OutputTokens })
	c.readStream(res.Body, row, sent)
}

// readStream reads a response and checks that it is complete, in order, and belongs to one request.
func (c *collector) readStream(body io.Reader, row trace.Row, sent time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	next := 1
	requestHash := ""
	lastEvent := sent
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
		var event chunk
		if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
			break
		}
		now := time.Now()
		c.recordTime(next == 1, now.Sub(lastEvent))
		lastEvent = now
		hash, position, _ := strings.Cut(strings.TrimSpace(event.Choices[0].Delta.Content), "-")
		if requestHash == "" {
			requestHash = hash
			firstTokenTime := now.Sub(sent)
			if firstTokenTime <= FirstTokenTarget {
				c.update(row.Workspace, func(t *Tally) { t.WithinTarget++ })
			}
		}
		crossed = crossed || hash != requestHash
		if position != fmt.Sprint(next) {
			break
		}
		next++
		if event.Usage != nil {
			c.addUsage(event.Usage.PromptTokens, event.Usage.Details.CachedTokens)
		}
	}
	complete := done && int64(next) == row.OutputTokens+1
	c.update(row.Workspace, func(t *Tally) {
		switch {
		case crossed:
			t.Crossed++
		case complete:
			t.Completed++
		default:
			t.Broken++
		}
	})
}

func (c *collector) update(workspace string, change func(t *Tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.tallies[workspace]
	if !ok {
		t = &Tally{Rejected: make(map[fault.Kind]int)}
		c.tallies[workspace] = t
	}
	change(t)
}

func (c *collector) recordTime(first bool, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.tokenGap
	if first {
		h = c.firstToken
	}
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func (c *collector) addUsage(prompt, cached int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promptTokens += prompt
	c.cachedTokens += cached
}
