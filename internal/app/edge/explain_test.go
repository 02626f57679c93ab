package edge

import (
	"bytes"
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
	options := explainOptions{Host: fake.Host, Path: fake.QuotePath + "1", Headers: []string{
		fake.HeaderID + ": 0badc0de", "Authorization: Token " + fake.Key, "X-Model: " + fake.Model, "X-Token-Usage: 1000,20",
	}}
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

	sent := newPromptCall(fake.QuotePath + "1")
	sent.ID = "0badc0de"
	must.Eq(t, http.StatusOK, r.send(t, sent).Status)

	must.ErrorContains(t, explain(r.settings, explainOptions{Host: fake.Host}, &out), "--path")
	options.Headers[1] = "Authorization: Token unknown"
	must.ErrorContains(t, explain(r.settings, options, &out), "404")
	options.Headers[1] = "no colon"
	must.ErrorContains(t, explain(r.settings, options, &out), "colon")
}
