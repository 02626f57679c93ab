package relay

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

const key = "sq-secret"

func TestFilterRequestHeader(t *testing.T) {
	in := http.Header{
		"Accept":            {"text/plain"},
		"Authorization":     {"Bearer " + key},
		"Connection":        {"close, X-Hop"},
		"X-Hop":             {"1"},
		"Cookie":            {"a=b"},
		"X-Api-Key":         {"other"},
		"X-Echo":            {"v", "prefix " + key + " suffix"},
		"X-" + key:          {"v"},
		"Transfer-Encoding": {"chunked"},
	}
	must.Eq(t, http.Header{"Accept": {"text/plain"}, "X-Echo": {"v"}}, FilterRequestHeader(in, key))
}

func TestFilterQuery(t *testing.T) {
	in := url.Values{"a": {"1", key}, "KEY": {"x"}, "access_token": {"y"}, "b": {"2"}}
	must.Eq(t, "a=1&b=2", FilterQuery(in, key))
}

func TestEventReader(t *testing.T) {
	text := ": comment\n\nid: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\ndata: [DONE]\n\n"
	events := NewEventReader(strings.NewReader(text), NewPool(DialTCP).Memory)
	first, err := events.Next()
	must.NoError(t, err)
	must.Eq(t, Event{ID: 1, Data: []byte("one")}, first)
	second, err := events.Next()
	must.NoError(t, err)
	must.Eq(t, "two\nlines", string(second.Data))
	end, err := events.Next()
	must.NoError(t, err)
	must.True(t, end.Done())
	_, err = events.Next()
	must.ErrorIs(t, err, ErrTruncated)
}

func TestEventWithoutBlankLineIsTruncated(t *testing.T) {
	_, err := NewEventReader(strings.NewReader("data: half"), NewPool(DialTCP).Memory).Next()
	must.ErrorIs(t, err, ErrTruncated)
}

func TestNotSent(t *testing.T) {
	must.True(t, NotSent(&url.Error{Err: &DialError{Err: errors.New("refused")}}))
	must.False(t, NotSent(errors.New("reset")))
}

// FuzzEvents checks that the reader fails with ErrTruncated only, whatever the stream.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: x\n\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events := NewEventReader(strings.NewReader(text), NewPool(DialTCP).Memory)
		for {
			if _, err := events.Next(); err != nil {
				must.ErrorIs(t, err, ErrTruncated)
				return
			}
		}
	})
}

// An event whose data lines do not end is cut off at the limit.
func TestEventWithoutEndIsTruncated(t *testing.T) {
	_, err := NewEventReader(strings.NewReader(strings.Repeat("data: xxxxxxxxxxxxxxxx\n", maxEventBytes/8)), NewPool(DialTCP).Memory).Next()
	must.ErrorIs(t, err, ErrTruncated)
	must.ErrorIs(t, err, bound.ErrTooLong)
}
