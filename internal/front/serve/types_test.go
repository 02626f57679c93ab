package serve

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Weights of a route divide requests by ID. A stream that is taken up must not change its service.
func TestStreamKeepsTheIDThatChoosesItsService(t *testing.T) {
	for _, c := range []struct {
		info RequestInfo
		want string
	}{
		{RequestInfo{ID: "b"}, "b"},
		{RequestInfo{ID: "b", LastEventID: "2", Resumes: "a"}, "a"},
		{RequestInfo{ID: "b", LastEventID: "2"}, "b"},
		{RequestInfo{ID: "b", Resumes: "a"}, "b"},
	} {
		must.Eq(t, c.want, c.info.streamID())
	}
}
