package count

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCounterCountsSinceTheOrder(t *testing.T) {
	c := NewCounter()
	c.Sent("s", "v1")
	must.SliceEmpty(t, c.Reports())
	c.Begin("s", "v2", 5)
	c.Sent("s", "v1")
	c.Sent("s", "v2")
	c.Sent("t", "v2")
	c.Answered("s", "v1", "a", 10*time.Millisecond, false)
	c.Answered("s", "v2", "a", 30*time.Millisecond, true)
	c.Failed("s", "v2", "b")
	c.Begin("s", "v2", 5)
	r := c.Reports()[0]
	must.Eq(t, 2, r.Arrived)
	must.Eq(t, 1, r.Exposed)
	must.Eq(t, 1, r.Old["a"].Good)
	must.Eq(t, 1, r.New["a"].Slow)
	must.Eq(t, 1, r.New["b"].Bad)
	c.Begin("s", "v3", 9)
	must.Eq(t, []Report{{Service: "s", Started: 9}}, c.Reports())
	c.End("s")
	must.SliceEmpty(t, c.Reports())
}

func TestReportsAreAddedByOrderAndStep(t *testing.T) {
	one := func(started, step int64) []Report {
		c := NewCounter()
		c.Begin("s", "v2", started)
		c.Sent("s", "v2")
		c.Failed("s", "v2", "a")
		r := c.Reports()
		r[0].Step, r[0].Acked = step, 1
		return r
	}
	for _, x := range []struct {
		name           string
		a, b           []Report
		acknowledged   bool
		started, step  int64
		acked          int
		arrived, fails int64
	}{
		{"none", one(5, 2), nil, true, 5, 2, 1, 1, 1},
		{"the same step", one(5, 2), one(5, 2), true, 5, 2, 2, 2, 2},
		{"a later step", one(5, 2), one(5, 3), true, 5, 3, 1, 2, 2},
		{"an earlier step", one(5, 3), one(5, 2), true, 5, 3, 1, 2, 2},
		{"an acknowledgement of before", one(5, 2), one(5, 2), false, 5, 2, 1, 2, 2},
		{"a later order", one(5, 7), one(6, 1), true, 6, 1, 1, 1, 1},
		{"an earlier order", one(6, 1), one(5, 7), true, 6, 1, 1, 1, 1},
		{"the first", nil, one(5, 2), true, 5, 2, 1, 1, 1},
	} {
		before := fmt.Sprint(x.a, x.b)
		sum := Add(x.a, x.b, x.acknowledged)
		must.Eq(t, before, fmt.Sprint(x.a, x.b), must.Sprint(x.name))
		must.SliceLen(t, 1, sum, must.Sprint(x.name))
		must.Eq(t, []int64{x.started, x.step, int64(x.acked), x.arrived, x.fails},
			[]int64{sum[0].Started, sum[0].Step, int64(sum[0].Acked), sum[0].Arrived, sum[0].New["a"].Bad}, must.Sprint(x.name))
	}
}

func TestReportsAreBounded(t *testing.T) {
	c := NewCounter()
	for i := range 4 * maxServices {
		c.Begin(fmt.Sprint("s", i), "v2", 5)
	}
	must.SliceLen(t, maxServices, c.Reports())
	for i := range 10 * maxRoutes {
		c.Failed("s0", "v2", fmt.Sprint("a", i))
	}
	r := c.Reports()[0]
	must.MapLen(t, maxRoutes+1, r.New)
	bad := int64(0)
	for _, tally := range r.New {
		bad += tally.Bad
	}
	must.Eq(t, 10*maxRoutes, bad)
	must.LessEq(t, maxRoutes+1, len(r.Plus(r).New))
	text, err := json.Marshal(c.Reports())
	must.NoError(t, err)
	var back []Report
	must.NoError(t, json.Unmarshal(text, &back))
	must.Eq(t, c.Reports(), back)
}
