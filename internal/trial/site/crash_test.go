package site

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
)

// Prompts that share nothing but a long instruction crash engine after engine, because crashes are counted by request only.
func TestPromptPrefixThatCrashesEnginesIsRejected(t *testing.T) {
	const (
		requests = 12
		// learned is the number of requests after which others with the same prefix are rejected.
		learned = 8
	)
	s := startSite(t, Options{Routers: 3, Engines: 6, Engine: engine.Settings{PerToken: time.Microsecond}})
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{Poison: "poison"})
	}
	instruction := strings.Repeat("poison and other words ", 2000)
	var kinds []string
	for i := range requests {
		body := fmt.Sprintf(`{"model":"quotes","max_tokens":20,"messages":[{"role":"system","content":%q},{"role":"user","content":"question %d"}]}`, instruction, i)
		res := post(t, s.Routers[i%len(s.Routers)], s.Keys["acme"], "/v1/chat/completions", body, nil)
		kinds = append(kinds, res.Header.Get(fault.HeaderKind))
	}
	for _, kind := range kinds[learned:] {
		must.Eq(t, string(fault.CrashingRequest), kind, must.Sprintf("%v", kinds))
	}
}
