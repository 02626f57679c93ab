package serve

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/policy"
	"github.com/skylarkquay/skylarkquay/internal/route/learn"
	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// Learned costs apply only to documents whose engines have too little KV cache for their slots, or work at another speed than is assumed.
func TestLearnedCostsApplyWhereCalledFor(t *testing.T) {
	const samples, service = 60, "s"
	costs := place.DefaultCosts()
	document := func(cacheTokens int64) *policy.Document {
		return &policy.Document{Services: map[string]*policy.Service{
			service: {Name: service, Engine: &policy.Engine{Slots: 24, CacheTokens: cacheTokens}}, "plain": {Name: "plain"},
		}}
	}
	for _, c := range []struct {
		name        string
		cacheTokens int64
		held        int64
		perToken    time.Duration
		want        bool
	}{
		{"usual", 400_000, 9_200, costs.PerToken, false},
		{"usual, somewhat faster", 400_000, 9_200, costs.PerToken * 4 / 5, false},
		{"small cache", 67_304, 9_200, costs.PerToken, true},
		{"small cache, short prompts", 67_304, 800, costs.PerToken, false},
		{"size of the cache unknown", 0, 9_200, costs.PerToken, false},
		{"fast engines", 400_000, 9_200, costs.PerToken * 2 / 5, true},
	} {
		h := &Handler{Learner: learn.NewTracker(learn.Defaults{PerToken: costs.PerToken, PerRunning: costs.PerRunning, Response: costs.PerRunning})}
		doc, now := document(c.cacheTokens), time.Unix(1000, 0)
		must.False(t, h.LearnedCosts(now, doc), must.Sprint(c.name))
		for i := range samples {
			tokens := int64(1000 + 1500*(i%6))
			h.Learner.Held(now, service, c.held)
			h.Learner.Prompt(now, learn.Sample{Service: service, Upstream: "u", Tokens: tokens, Took: 20*time.Millisecond + time.Duration(tokens)*c.perToken})
		}
		must.Eq(t, c.want, h.LearnedCosts(now, doc), must.Sprint(c.name))
		must.False(t, h.LearnedCosts(now, nil), must.Sprint(c.name))
	}
}
