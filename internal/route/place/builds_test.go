package place

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

func TestBuildsOf(t *testing.T) {
	views := []fleet.View{
		{Entry: fleet.Entry{ID: "a", Address: "10.0.0.3:1", Build: "v1", State: fleet.Ready}},
		{Entry: fleet.Entry{ID: "b", Address: "10.0.0.2:1", Build: "v2", State: fleet.Ready}},
		{Entry: fleet.Entry{ID: "c", Address: "10.0.0.1:1", Build: "v2", State: fleet.Draining}},
		{Entry: fleet.Entry{ID: "d", Address: "10.0.0.1:2", Build: "v2", State: fleet.Ready}},
		{Entry: fleet.Entry{ID: "e", Address: "10.0.0.4:1", Build: "v3", State: fleet.Ready}},
	}
	for _, c := range []struct {
		builds Builds
		want   []string
	}{
		{Builds{}, []string{"a", "b", "c", "d", "e"}},
		{Builds{Only: "v2"}, []string{"b", "c", "d"}},
		{Builds{Only: "v2", Most: 1}, []string{"d"}},
		{Builds{Only: "v2", Most: 5}, []string{"b", "d"}},
		{Builds{Never: []string{"v2", "v9"}}, []string{"a", "e"}},
		{Builds{Only: "v2", Never: []string{"v2"}}, nil},
	} {
		var got []string
		for _, v := range c.builds.Of(slices.Clone(views)) {
			got = append(got, v.ID)
		}
		slices.Sort(got)
		must.Eq(t, c.want, got, must.Sprintf("%+v", c.builds))
	}
}
