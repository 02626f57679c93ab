package site

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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

// A stream whose engine stays silent moves to an engine that accepts it.
func TestSilentEngineIsReplaced(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 2})
	got, err := streamPaused(t, s, time.Hour, engine.Faults{})
	must.NoError(t, err)
	must.Eq(t, wantText("paused", 8), got)
	waitIdle(t, s)
}

// A stream whose engine stays silent moves to an engine that needs longer to accept it than two engines may work on it.
func TestSilentEngineIsReplacedBySlowOne(t *testing.T) {
	tokens := prefix.Tokens([]byte(`[{"content":"paused","role":"user"}]`))
	s := startSite(t, Options{Routers: 1, Engines: 2, Engine: engine.Settings{PerToken: 600 * time.Millisecond / time.Duration(tokens)}})
	got, err := streamPaused(t, s, time.Hour, engine.Faults{})
	must.NoError(t, err)
	must.Eq(t, wantText("paused", 8), got)
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
