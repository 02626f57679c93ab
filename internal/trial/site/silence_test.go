package site

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/option"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

// pause is longer than the idle timeouts of startSite, and shorter than the silence after which an engine is given up.
const pause = 1500 * time.Millisecond

// streamPaused streams from an engine that pauses after two events. The other engines have the given faults from then on.
func streamPaused(t *testing.T, s *Site, d time.Duration, others engine.Faults) (string, error) {
	t.Helper()
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{PauseAfter: 2, Pause: d})
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	client := openAIClient(s.Routers[0], s.Keys["acme"])
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("paused", 8))
	var got strings.Builder
	for first := true; stream.Next(); first = false {
		if first {
			setFaultsOfIdle(s, others)
		}
		if choices := stream.Current().Choices; len(choices) > 0 {
			got.WriteString(choices[0].Delta.Content)
		}
	}
	return got.String(), stream.Err()
}

// setFaultsOfIdle sets the faults of the engines that run no request.
func setFaultsOfIdle(s *Site, f engine.Faults) {
	for _, e := range s.Engines {
		if e.Running() == 0 {
			e.SetFaults(f)
		}
	}
}

func waitIdle(t *testing.T, s *Site) {
	t.Helper()
	eventually(t, "no engine runs a request", func() bool {
		for _, e := range s.Engines {
			if e.Running() > 0 {
				return false
			}
		}
		return true
	})
}

// A stream ended with an error when its engine paused and no other engine could take over.
func TestPausedEngineKeepsItsStreamWithoutReplacement(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
		pause   time.Duration
		others  engine.Faults
	}{
		{"no other engine", 1, pause, engine.Faults{}},
		{"other engines fail", 3, pause, engine.Faults{Fail: true}},
		{"other engines answer another request", 3, pause, engine.Faults{WrongID: true}},
		{"other engines do not respond", 2, pause, engine.Faults{Hang: true}},
		{"engine goes on while another one is tried", 2, 1100 * time.Millisecond, engine.Faults{Hang: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, Options{Routers: 1, Engines: c.engines})
			got, err := streamPaused(t, s, c.pause, c.others)
			must.NoError(t, err)
			must.Eq(t, wantText("paused", 8), got)
			waitIdle(t, s)
		})
	}
}

// A request failed when its only engine needed longer than the timeout for the first token.
func TestSlowEngineKeepsItsRequestWithoutReplacement(t *testing.T) {
	for _, streaming := range []bool{true, false} {
		t.Run(fmt.Sprint("streaming ", streaming), func(t *testing.T) {
			t.Parallel()
			tokens := prefix.Tokens([]byte(`[{"content":"slow","role":"user"}]`))
			s := startSite(t, Options{Routers: 1, Engines: 1, Engine: engine.Settings{PerToken: pause / time.Duration(tokens)}})
			if streaming {
				got, err := streamText(t.Context(), s.Routers[0], s.Keys["acme"], "slow", 4)
				must.NoError(t, err)
				must.Eq(t, wantText("slow", 4), got)
				return
			}
			client := openAIClient(s.Routers[0], s.Keys["acme"])
			response, err := client.Chat.Completions.New(t.Context(), chatParams("slow", 4))
			must.NoError(t, err)
			must.Eq(t, wantText("slow", 4), response.Choices[0].Message.Content)
		})
	}
}

// A stream whose engine stays silent moves to an engine that sends an event.
func TestSilentEngineIsReplaced(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 2})
	got, err := streamPaused(t, s, time.Hour, engine.Faults{})
	must.NoError(t, err)
	must.Eq(t, wantText("paused", 8), got)
	waitIdle(t, s)
}

// A stream whose engine stays silent moves to an engine that needs longer for its first event.
func TestSilentEngineIsReplacedBySlowOne(t *testing.T) {
	tokens := prefix.Tokens([]byte(`[{"content":"paused","role":"user"}]`))
	s := startSite(t, Options{Routers: 1, Engines: 2, Engine: engine.Settings{PerToken: 600 * time.Millisecond / time.Duration(tokens)}})
	got, err := streamPaused(t, s, time.Hour, engine.Faults{})
	must.NoError(t, err)
	must.Eq(t, wantText("paused", 8), got)
	waitIdle(t, s)
}

// lineCount counts the log lines that contain a text.
type lineCount struct {
	mu    sync.Mutex
	lines []string
}

func (c *lineCount) add(_, args string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, args)
}

func (c *lineCount) containing(text string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, line := range c.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// startLogged starts a site of two engines and one router whose log lines are counted. Only the idle timeout within a stream is
// short.
func startLogged(t *testing.T, e engine.Settings) (*Site, *lineCount) {
	t.Helper()
	count := &lineCount{}
	e.PerEvent = time.Millisecond
	s, err := Start(Options{
		Routers: 1,
		Engines: 2,
		Engine:  e,
		Rates:   map[string]rules.Rate{"acme": highRate},
		Log:     funcr.New(count.add, funcr.Options{}),
		Adjust: func(settings *option.Settings) {
			settings.FirstToken, settings.TokenIdle = time.Hour, time.Second
		},
	})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return s, count
}

// A silent engine is replaced within one idle timeout and the time that the other one needs. Every further idle timeout would
// start another attempt or log that the silent engine is kept.
func TestSilentEngineIsReplacedWithinOneIdleTimeout(t *testing.T) {
	tokens := prefix.Tokens([]byte(`[{"content":"paused","role":"user"}]`))
	s, log := startLogged(t, engine.Settings{PerToken: 600 * time.Millisecond / time.Duration(tokens)})
	got, err := streamPaused(t, s, time.Hour, engine.Faults{})
	must.NoError(t, err)
	must.Eq(t, wantText("paused", 8), got)
	must.Eq(t, 2, log.containing("route: chose engine"))
	must.Eq(t, 0, log.containing("route: kept silent engine"))
	waitIdle(t, s)
}

// A paused engine that goes on before the other one has sent an event keeps its stream, and the other one is disconnected.
func TestPausedEngineGoesOnFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		others engine.Faults
	}{
		{"other engine does not respond", engine.Faults{Hang: true}},
		{"other engine sends only its header", engine.Faults{PauseAfter: 2, Pause: time.Hour}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, log := startLogged(t, engine.Settings{})
			tried := make(chan *engine.Server, 1)
			go resumeWhenBothRun(t.Context(), s.Engines[0], s.Engines[1], tried)
			got, err := streamPaused(t, s, time.Hour, c.others)
			must.NoError(t, err)
			must.Eq(t, wantText("paused", 8), got)
			waitIdle(t, s)
			must.Eq(t, 1, (<-tried).Disconnected())
			must.Eq(t, 1, log.containing("the engine went on"))
			must.Eq(t, 0, log.containing("route: engine failed"))
			must.Eq(t, 2, log.containing("route: chose engine"))
		})
	}
}

// resumeWhenBothRun ends the pause of the engine that runs a request first when the other one runs it too. It sends the other one
// to tried.
func resumeWhenBothRun(ctx context.Context, first, second *engine.Server, tried chan<- *engine.Server) {
	if !poll(ctx, func() bool { return first.Running()+second.Running() > 0 }) {
		return
	}
	if second.Running() > 0 {
		first, second = second, first
	}
	if poll(ctx, func() bool { return second.Running() > 0 }) {
		first.Resume()
		tried <- second
	}
}

// A buffered request whose engine is frozen is answered by another one. The first one is disconnected.
func TestFrozenEngineLosesBufferedRequest(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 2})
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{Hang: true})
	}
	healed := make(chan struct{})
	go func() {
		defer close(healed)
		running := func() bool { return s.Engines[0].Running()+s.Engines[1].Running() > 0 }
		if poll(t.Context(), running) {
			setFaultsOfIdle(s, engine.Faults{})
		}
	}()
	client := openAIClient(s.Routers[0], s.Keys["acme"])
	response, err := client.Chat.Completions.New(t.Context(), chatParams("frozen", 4))
	must.NoError(t, err)
	must.Eq(t, wantText("frozen", 4), response.Choices[0].Message.Content)
	<-healed
	waitIdle(t, s)
}

// poll waits until a condition holds, or returns false when the context ends.
func poll(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return true
}

// A stream whose silent engine crashes while another engine is tried goes on there.
func TestSilentEngineCrashesWhileAnotherIsTried(t *testing.T) {
	tokens := prefix.Tokens([]byte(`[{"content":"paused","role":"user"}]`))
	s := startSite(t, Options{Routers: 1, Engines: 2, Engine: engine.Settings{PerToken: 600 * time.Millisecond / time.Duration(tokens)}})
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		running := func(i int) func() bool { return func() bool { return s.Engines[i].Running() > 0 } }
		either := func() bool { return running(0)() || running(1)() }
		first := 0
		if !poll(t.Context(), either) {
			return
		}
		if running(1)() {
			first = 1
		}
		if poll(t.Context(), running(1-first)) {
			s.Engines[first].Restart()
		}
	}()
	got, err := streamPaused(t, s, time.Hour, engine.Faults{})
	must.NoError(t, err)
	must.Eq(t, wantText("paused", 8), got)
	<-crashed
	waitIdle(t, s)
}
