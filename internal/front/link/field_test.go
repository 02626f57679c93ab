package link

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFieldLine(t *testing.T) {
	for line, want := range map[string]string{
		"id: 1": "id", "x_Y-9:": "x_Y-9", ":comment": "", "": "", "text": "", "two words: 1": "", `{"error":1}`: "", "HTTP/1.1 200 a: b": "",
		" id: 1": "", "é: 1": "",
	} {
		name, _, ok := FieldLine([]byte(line))
		must.Eq(t, want != "", ok, must.Sprint(line))
		if ok {
			must.Eq(t, want, string(name))
		}
	}
}
