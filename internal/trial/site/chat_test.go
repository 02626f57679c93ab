package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	routerOptions "github.com/skylarkquay/skylarkquay/internal/conf/option"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
)

var highRate = rules.Rate{TokensPerSecond: 1_000_000, BurstTokens: 5_000_000}

func startSite(t *testing.T, o Options) *Site {
	t.Helper()
	o.Log = logr.Discard()
	if o.Rates == nil {
		o.Rates = map[string]rules.Rate{"acme": highRate, "other": highRate}
	}
	if o.Engine.PerEvent == 0 {
		o.Engine.PerEvent = time.Millisecond
	}
	if o.Adjust == nil {
		o.Adjust = func(settings *routerOptions.Settings) {
			settings.FirstToken, settings.TokenIdle = time.Second, time.Second
		}
	}
	s, err := Start(o)
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func openAIClient(r *Router, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(r.URL()+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// chatParams returns a chat request with one user message.
func chatParams(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     Model,
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// wantText returns the complete response text to a prompt.
func wantText(text string, tokens int) string {
	messages := fmt.Sprintf(`[{"content":%q,"role":"user"}]`, text)
	var want strings.Builder
	for i := range tokens {
		want.WriteString(engine.EventText([]byte(messages), i+1))
	}
	return want.String()
}

// streamText streams a prompt with the official OpenAI client and returns the joined text.
func streamText(ctx context.Context, r *Router, key, text string, tokens int64) (string, error) {
	client := openAIClient(r, key)
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams(text, tokens))
	var got strings.Builder
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			got.WriteString(choices[0].Delta.Content)
		}
	}
	return got.String(), stream.Err()
}

func TestOpenAIClientStreams(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 3})
	var wg sync.WaitGroup
	errs := make(chan error, 60)
	for i := range cap(errs) {
		wg.Go(func() {
			text := fmt.Sprintf("prompt %d", i)
			got, err := streamText(t.Context(), s.Routers[i%3], s.Keys["acme"], text, 20)
			if err == nil && got != wantText(text, 20) {
				err = fmt.Errorf("prompt %d: got %q", i, got)
			}
			errs <- err
		})
	}
	wg.Wait()
	for range cap(errs) {
		must.NoError(t, <-errs)
	}
}

func TestOpenAIClientCompletionAndModels(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 2})
	client := openAIClient(s.Routers[0], s.Keys["acme"])
	response, err := client.Chat.Completions.New(t.Context(), chatParams("hello", 5))
	must.NoError(t, err)
	must.Eq(t, wantText("hello", 5), response.Choices[0].Message.Content)
	must.Eq(t, 5, response.Usage.CompletionTokens)
	models, err := client.Models.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, Model, models.Data[0].ID)
}

// When two of three engines fail, a stream continues on the third and the caller receives one complete stream.
func TestStreamContinuesOnAnotherEngine(t *testing.T) {
	cases := []struct {
		name   string
		faults engine.Faults
	}{
		{"cut", engine.Faults{CutAfter: 5}},
		{"empty", engine.Faults{NoEvents: true}},
		{"crossed", engine.Faults{WrongID: true}},
		{"frozen", engine.Faults{Hang: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, Options{Routers: 1, Engines: 3})
			s.Engines[0].SetFaults(c.faults)
			s.Engines[1].SetFaults(c.faults)
			for i := range 3 {
				text := fmt.Sprintf("%s %d", c.name, i)
				ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
				got, err := streamText(ctx, s.Routers[0], s.Keys["acme"], text, 12)
				cancel()
				must.NoError(t, err)
				must.Eq(t, wantText(text, 12), got)
			}
		})
	}
}

func TestAllEnginesFail(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 2})
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{NoEvents: true})
	}
	res := post(t, s.Routers[0], s.Keys["acme"], "/v1/chat/completions", `{"model":"quotes","messages":[{"role":"user","content":"x"}]}`, nil)
	must.Eq(t, http.StatusBadGateway, res.StatusCode)
	must.Eq(t, string(fault.UpstreamFailed), res.Header.Get(fault.HeaderKind))
	must.Eq(t, string(fault.RanYes), res.Header.Get(fault.HeaderRan))
}

// post sends one request and returns the response with its body buffered.
func post(t *testing.T, r *Router, key, path, body string, header http.Header) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.URL()+path, strings.NewReader(body))
	must.NoError(t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	data, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	_ = res.Body.Close()
	res.Body = io.NopCloser(strings.NewReader(string(data)))
	return res
}

func TestRejectedRequestsReportErrorKind(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 1, Services: 1, Rates: map[string]rules.Rate{"acme": {TokensPerSecond: 100, BurstTokens: 1000}}})
	key := s.Keys["acme"]
	validBody := `{"model":"quotes","max_tokens":1,"messages":[]}`
	cases := []struct {
		name   string
		key    string
		path   string
		body   string
		header http.Header
		kind   fault.Kind
	}{
		{"malformed", key, "/v1/chat/completions", `{"model":`, nil, fault.BadRequest},
		{"not an object", key, "/v1/chat/completions", `[1]`, nil, fault.BadRequest},
		{"no model", key, "/v1/chat/completions", `{}`, nil, fault.BadRequest},
		{"no prompt", key, "/v1/chat/completions", `{"model":"quotes"}`, nil, fault.BadRequest},
		{"unknown model", key, "/v1/chat/completions", `{"model":"x","messages":[]}`, nil, fault.UnknownModel},
		{"no key", "", "/v1/chat/completions", validBody, nil, fault.BadKey},
		{"bad key", "nonsense", "/v1/chat/completions", validBody, nil, fault.BadKey},
		{"ten megabytes", key, "/v1/chat/completions", strings.Repeat("x", 10<<20), nil, fault.BodyTooLarge},
		{"large header", key, "/v1/chat/completions", validBody, http.Header{"X-Long": {strings.Repeat("h", 40<<10)}}, fault.HeaderTooLarge},
		{"beyond burst", key, "/v1/chat/completions", `{"model":"quotes","max_tokens":2000,"messages":[]}`, nil, fault.BadRequest},
		{"no route", key, "/nowhere", "", nil, fault.UnknownRoute},
		{"route without key", "", "/bookings", "{}", nil, fault.BadKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			res := post(t, s.Routers[0], c.key, c.path, c.body, c.header)
			must.Eq(t, string(c.kind), res.Header.Get(fault.HeaderKind))
			must.Eq(t, string(fault.RanNo), res.Header.Get(fault.HeaderRan))
			must.Eq(t, fault.ResponseFor(c.kind).Status, res.StatusCode)
		})
	}
	must.Eq(t, 200, post(t, s.Routers[0], key, "/v1/chat/completions", validBody, nil).StatusCode)
}

func TestOverRateIsRejectedAcrossRouters(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 2, Rates: map[string]rules.Rate{"acme": {TokensPerSecond: 1, BurstTokens: 2400}}})
	waitPartitions(t, s)
	body := `{"model":"quotes","max_tokens":99,"messages":[]}`
	admitted := 0
	for i := range 60 {
		res := post(t, s.Routers[i%3], s.Keys["acme"], "/v1/chat/completions", body, nil)
		if res.StatusCode == http.StatusOK {
			admitted++
			continue
		}
		must.Eq(t, string(fault.OverRate), res.Header.Get(fault.HeaderKind))
		must.NotEq(t, "", res.Header.Get("Retry-After"))
	}
	must.Between(t, 20, admitted, 25)
}

// TestOpenAIClientAt200StreamsPerSecond sends 600 streams over three seconds through three routers.
func TestOpenAIClientAt200StreamsPerSecond(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 6})
	const streams, perSecond = 600, 200
	errs := make(chan error, streams)
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := range streams {
		<-tick.C
		go func() {
			text := fmt.Sprintf("stream %d", i)
			got, err := streamText(t.Context(), s.Routers[i%3], s.Keys["acme"], text, 20)
			if err == nil && got != wantText(text, 20) {
				err = fmt.Errorf("stream %d: got %q", i, got)
			}
			errs <- err
		}()
	}
	for range streams {
		must.NoError(t, <-errs)
	}
}

// TestSlowReaderReceivesAllEvents reads a stream with pauses and checks that no event is lost.
func TestSlowReaderReceivesAllEvents(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 1})
	res, lines := openStream(t, s.Routers[0], s.Keys["acme"], 3000)
	defer func() { _ = res.Body.Close() }()
	events := 0
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		events++
		if events%500 == 1 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	must.Eq(t, 3001, events)
}
