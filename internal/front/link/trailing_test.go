package link

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// init fixes seed and number of checks, so that every run gives the same result; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
}

// isAnswer accepts the header lines of a response in these tests.
func isAnswer(h http.Header) bool { return h.Get("Id") != "" }

func TestHeadsInBodies(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		text string
		// inText and inBody are what HoldsHead and BodyHoldsHead report.
		inText, inBody bool
	}{
		{"", false, false},
		{"whole", false, false},
		{"HTTP/1.1", false, false},
		{"whole" + status + "Id: 1\r\n\r\nmore", true, true},
		{"whole" + status + "A: b\r\nid: 1\r\n", true, true},
		{"whole" + status + "Id: 1", true, true},
		{status + "Id:\r\n\r\nmore", false, true},
		{strings.ReplaceAll(status+"Id:\r\n\r\nmore", "\r", ""), false, false},
		{"\n" + strings.ReplaceAll(status+"Id: 1\r\n\r\n", "\r", ""), true, true},
		{"HTTP/1.1 200\r\nId: 1\r\n\r\n", true, true},
		{"HTTP/1.1 2000\r\nId: 1\r\n\r\n", false, false},
		{"HTTP/1.1 HTTP/1.1 503 \r\nId: 1\r\n\r\n", true, true},
		{status + "A: b\r\n\r\nId: 1\r\n", false, true},
		{status + "A: b\n\r\nId: 1\r\n", false, false},
		{status + "{\"a\": 1}\r\nId: 1\r\n", false, false},
		{status + "A: HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", true, true},
		{status + "text " + status + "Id: 1\r\n\r\n", true, true},
		{"whole" + status, false, true},
		{"whole" + status + "A: b\r\n", false, true},
		{"whole" + status + "Con", false, true},
		{"whole" + status + "A: b\r", false, true},
		{"whole" + status + "\r", false, true},
		{"whole" + status + "two words", false, false},
		{"whole" + status + "\r\n", false, false},
		{"whole HTTP/1.1 200 OK\n", false, false},
		{"whole HTTP/1.1 200 OK", false, false},
		{"wholeHTTP/1.1 100 Continue\r\n\r\n", false, true},
		{"wholeHTTP/1.1 100 Continue\r\nA: b\r\n\r\n", false, true},
		{"wholeHTTP/1.1 100 Continue\r\n\r\nmore", false, false},
		{"whole HTTP/1.1 100 Continue\n\n", false, false},
	} {
		must.Eq(t, c.inText, HoldsHead([]byte(c.text), isAnswer), must.Sprintf("%q", c.text))
		must.Eq(t, c.inBody, BodyHoldsHead([]byte(c.text), isAnswer), must.Sprintf("%q", c.text))
	}
}

// Whatever comes before and after it, a head is found.
func TestHeadIsFoundBehindAnyText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{"HTTP/", "HTTP/1.1 200 OK", "1.1", " ", "\r", "\n", "\r\n", "Id: ", "A: b", "x", ":", "\x00"})
		pieces := func(name string) string { return strings.Join(rapid.SliceOfN(piece, 0, 20).Draw(t, name), "") }
		fields := ""
		for i := range rapid.IntRange(0, 3).Draw(t, "fields") {
			fields += fmt.Sprintf("Field-%d: x\r\n", i)
		}
		head := "HTTP/1.1 500 Internal Server Error\r\n" + fields + "Id: 1\r\n\r\n"
		must.True(t, HoldsHead([]byte(pieces("before")+head+pieces("after")), isAnswer))
	})
}

// Text without an accepted header line holds no head.
func TestTextWithoutHeaderLinesOfAnAnswerHoldsNoHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1", "id", " 1", "\n", "A: b\r\n", "x"}), 0, 30).Draw(t, "text")
		must.False(t, HoldsHead([]byte(strings.Join(text, "")), isAnswer))
	})
}

// BenchmarkHeadsInLongBodies reads bodies that hold as many beginnings of heads as they can. The time grows with the length.
func BenchmarkHeadsInLongBodies(b *testing.B) {
	for name, line := range map[string]string{
		"text": "x", "status lines": "HTTP/1.1 200 \r\n", "header lines": "a:HTTP/1.1 200 \n", "short header lines": "a:\n", "names": "HTTP/",
	} {
		for _, size := range []int{256 << 10, 4 << 20} {
			text := []byte("HTTP/1.1 200 \n" + strings.Repeat(line, size/len(line)))
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				b.SetBytes(int64(len(text)))
				for b.Loop() {
					if HoldsHead(text, isAnswer) {
						b.Fatal("a head")
					}
				}
			})
		}
	}
}
