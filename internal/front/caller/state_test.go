package caller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestClosable(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name  string
		state State
		want  bool
	}{
		{"idle for no time", State{Phase: Idle, Last: now}, true},
		{"header stalled", State{Phase: Head, Last: ago(stallGrace)}, true},
		{"header goes on", State{Phase: Head, Last: ago(stallGrace - 1)}, false},
		{"body stalled", State{Phase: Body, Last: ago(time.Minute)}, true},
		{"slow body goes on", State{Phase: Body, Last: ago(stallGrace - 1), Taken: 1 << 20}, false},
		{"complete request", State{Phase: Run, Last: ago(time.Hour)}, false},
	} {
		must.Eq(t, c.want, c.state.closable(now), must.Sprint(c.name))
	}
}

func TestBefore(t *testing.T) {
	now := time.Now()
	// Each is closed before the next.
	order := []State{
		{Phase: Idle, Last: now.Add(-time.Minute), Known: true},
		{Phase: Idle, Last: now, Known: true},
		{Phase: Body, Last: now.Add(-time.Second)},
		{Phase: Head, Last: now},
		{Phase: Body, Last: now.Add(-time.Minute), Known: true},
		{Phase: Body, Last: now.Add(-time.Second), Known: true},
	}
	for i := range order {
		for k := range order {
			must.Eq(t, i < k, order[i].before(order[k]), must.Sprint(i, k))
		}
	}
}
