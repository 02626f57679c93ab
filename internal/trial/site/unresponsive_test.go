package site

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
)

// Open connections to all engines become unresponsive while new ones work.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 2})
	for i := range 6 {
		_, err := streamText(t.Context(), s.Routers[0], s.Keys["acme"], fmt.Sprint("warm ", i), 3)
		must.NoError(t, err)
	}
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{HangOldConns: true})
	}
	for i := range 6 {
		text := fmt.Sprint("after ", i)
		got, err := streamText(t.Context(), s.Routers[0], s.Keys["acme"], text, 12)
		must.NoError(t, err)
		must.Eq(t, wantText(text, 12), got)
	}
}
