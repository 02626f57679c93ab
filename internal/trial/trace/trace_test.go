package trace

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestWriteAndParse(t *testing.T) {
	want := Generate("bizerte", Crash, 1)
	var file bytes.Buffer
	must.NoError(t, want.Write(&file))
	got, err := Parse(&file)
	must.NoError(t, err)
	must.Eq(t, want, got)
}

func TestParseErrorContainsLineNumber(t *testing.T) {
	header := `{"trace":"x","favour":"fairness","zones":["a"],"engines":1,"routers":1,"cache_pieces":1,"token_micros":1,"event_millis":1,"hop_millis":1,"rates":{}}`
	row := `{"at":1,"workspace":"w","router":0,"levels":[],"own":5,"output":1}`
	cases := []struct {
		name string
		text string
		want string
	}{
		{"empty", "", "no rows"},
		{"header", "{}", "line 1: zones, engines"},
		{"unknown field", `{"color":1}`, "line 1: json: unknown field"},
		{"router", header + "\n" + strings.Replace(row, `"router":0`, `"router":7`, 1), "line 2: router 7 is not one of 1"},
		{"order", header + "\n" + row + "\n" + strings.Replace(row, `"at":1`, `"at":0`, 1), "line 3: rows are not in order"},
		{"prompt", header + "\n" + strings.Replace(row, `"own":5`, `"own":0`, 1), "line 2: workspace, prompt and output"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(strings.NewReader(c.text))
			must.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`{"trace":"x","zones":["a"],"engines":1,"routers":1,"cache_pieces":1,"token_micros":1,"rates":{}}` + "\n" + `{"at":1,"workspace":"w","router":0,"levels":[{"id":"a","pieces":1}],"own":5,"output":1}`)
	f.Fuzz(func(t *testing.T, text string) {
		tr, err := Parse(strings.NewReader(text))
		if err != nil {
			return
		}
		var file bytes.Buffer
		must.NoError(t, tr.Write(&file))
		_, err = Parse(&file)
		must.NoError(t, err)
	})
}
