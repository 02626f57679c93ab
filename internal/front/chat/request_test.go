package chat

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

func TestParse(t *testing.T) {
	r, err := Parse([]byte(`{"model":"m","stream":true,"messages":[{"role":"user"}],"tools":[1]}`), 77)
	must.NoError(t, err)
	must.Eq(t, "m", r.Model)
	must.True(t, r.Stream)
	must.Eq(t, `[1][{"role":"user"}]`, string(r.Prompt))
	must.Eq(t, 77, r.MaxTokens)
}

func TestBodyAlwaysSetsMaxTokens(t *testing.T) {
	for _, body := range []string{`{"model":"m","prompt":"x"}`, `{"model":"m","prompt":"x","max_tokens":null}`} {
		r, err := Parse([]byte(body), 77)
		must.NoError(t, err)
		var got struct {
			MaxTokens int64 `json:"max_tokens"`
		}
		must.NoError(t, json.Unmarshal(r.Body, &got))
		must.Eq(t, 77, got.MaxTokens)
	}
}

func TestParseErrorsGivePosition(t *testing.T) {
	cases := []struct{ name, body, want string }{
		{"syntax", "{\n \"model\": }", "line 2, column 11"},
		{"type", "{\"model\":\n 5}", "line 2"},
		{"n", `{"model":"m","n":2,"prompt":"x"}`, "field n"},
		{"bound", `{"model":"m","max_tokens":0,"prompt":"x"}`, "field max_tokens"},
		{"null prompt", `{"model":"m","messages":null}`, "messages or prompt"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.body), 1)
			must.ErrorContains(t, err, c.want)
		})
	}
}

// FuzzParse checks that the body of an accepted request is valid JSON with a model and a positive bound on the output.
func FuzzParse(f *testing.F) {
	f.Add(`{"model":"m","prompt":"x"}`)
	f.Fuzz(func(t *testing.T, body string) {
		r, err := Parse([]byte(body), 5)
		if err != nil {
			return
		}
		must.True(t, json.Valid(r.Body))
		must.Positive(t, r.MaxTokens)
		must.NotEq(t, "", r.Model)
	})
}
