package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/serve"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

func TestExplainSendsNothing(t *testing.T) {
	s, r := startSite(t, 3, 1)
	later := time.Now().Add(time.Hour)
	r.fleet.SetSwitching(s.Engines[0].ID, later)
	call := newPromptCall(fake.QuotePath + "1")
	options := explainOptions{Host: fake.Host, Path: call.Path, Headers: headerLines(t, call)}
	var out bytes.Buffer
	must.NoError(t, explain(r.settings, options, &out))
	var e serve.Explanation
	must.NoError(t, json.Unmarshal(out.Bytes(), &e), must.Sprint(out.String()))
	must.Eq(t, 3, len(e.Candidates))
	must.Eq(t, s.Engines[0].ID, e.Candidates[2].ID)
	must.Eq(t, 1.0, e.Share)
	must.NotEq(t, "", e.Workspace)
	for _, c := range e.Candidates {
		must.Eq(t, "", c.Out)
		must.Greater(t, 0, c.Cost)
	}
	for _, u := range s.Engines {
		must.Eq(t, 0, len(u.Runs()))
	}

	must.Eq(t, http.StatusOK, r.send(t, call).Status)

	must.ErrorContains(t, explain(r.settings, explainOptions{Host: fake.Host}, &out), "--path")
	call.Key = "unknown"
	options.Headers = headerLines(t, call)
	must.ErrorContains(t, explain(r.settings, options, &out), "404")
	options.Headers = []string{"no colon"}
	must.ErrorContains(t, explain(r.settings, options, &out), "lacks a colon")
}

// headerLines returns the header of a call as an operator writes it on the command line.
func headerLines(t *testing.T, call fake.Call) []string {
	t.Helper()
	request, err := call.NewRequest(context.Background(), "router")
	must.NoError(t, err)
	var lines []string
	for name, values := range request.Header {
		lines = append(lines, name+": "+values[0])
	}
	return lines
}
