package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// flaw is what a router does wrong.
type flaw string

const (
	none       flaw = ""
	repeats    flaw = "sends bookings twice"
	lies       flaw = "refuses what has run"
	unsigned   flaw = "answers by itself"
	mixes      flaw = "answers with the answer of another call"
	changes    flaw = "changes the body"
	misplaces  flaw = "names another workspace"
	leaks      flaw = "passes the key on"
	skips      flaw = "drops an event"
	shortens   flaw = "ends a stream early as if it were whole"
	forgives   flaw = "takes withdrawn keys"
	forgets    flaw = "knows no added route"
	denies     flaw = "refuses proper calls as unknown"
	unlimited  flaw = "keeps no rate"
	outdated   flaw = "keeps old weights"
	dead       flaw = "serves nothing"
	hangsUp    flaw = "drops calls at a planned stop"
	ignoresBye flaw = "uses leaving upstreams"
)

// crooked is a router with one flaw, in this process.
type crooked struct {
	site *edgeSite
	flaw flaw
	used atomic.Int64
	last atomic.Pointer[string]
}

func (c *crooked) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(fake.HeaderID)
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Token ")
	s := c.site
	s.mu.Lock()
	valid := key == "" || key == fake.NarrowKey
	for _, k := range s.Keys {
		valid = valid || k == key
	}
	extra, stopping, leaving := s.WithExtra, len(s.leaving) > 0, s.leaving[s.Jobs[0].ID]
	s.mu.Unlock()
	refuse := func(status int) {
		w.Header().Set(fake.HeaderID, id)
		w.WriteHeader(status)
	}
	narrow := key == fake.NarrowKey
	engine := strings.HasPrefix(r.URL.Path, fake.QuotePath) || strings.HasPrefix(r.URL.Path, fake.BriefPath)
	switch {
	case c.flaw == dead:
		refuse(http.StatusServiceUnavailable)
		return
	case c.flaw == hangsUp && stopping:
		time.Sleep(bounds.Loss + 100*time.Millisecond)
		panic(http.ErrAbortHandler)
	case !valid && c.flaw != forgives, c.flaw == denies && r.Method == http.MethodPost:
		refuse(http.StatusUnauthorized)
		return
	case strings.HasPrefix(r.URL.Path, fake.ExtraPath) && (!extra || c.flaw == forgets):
		refuse(http.StatusNotFound)
		return
	case narrow && c.flaw != unlimited && c.used.Add(promptTokens) > int64(bounds.Burst):
		refuse(http.StatusTooManyRequests)
		return
	}
	upstream := s.Jobs[1]
	if engine {
		upstream = s.Engines[0]
	}
	if c.flaw == ignoresBye && leaving && !engine {
		upstream = s.Jobs[0]
	}
	body, _ := io.ReadAll(r.Body)
	if c.flaw == repeats && r.Method == http.MethodPost {
		c.forward(httptest.NewRecorder(), r, upstream, body)
	}
	c.forward(w, r, upstream, body)
}

// forward sends a call to an upstream and passes the answer on, both with the flaw.
func (c *crooked) forward(w http.ResponseWriter, r *http.Request, u *fake.Upstream, body []byte) {
	if c.flaw == changes {
		body = append(body, '!')
	}
	out, err := http.NewRequestWithContext(context.Background(), r.Method, "http://"+c.site.Address(u)+r.URL.Path, strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Token ")
	out.Header.Set(fake.HeaderID, r.Header.Get(fake.HeaderID))
	out.Header.Set(fake.HeaderWorkspace, workspaces[key])
	if c.flaw == misplaces {
		out.Header.Set(fake.HeaderWorkspace, "another")
	}
	if c.flaw == leaks {
		out.Header.Set("Authorization", r.Header.Get("Authorization"))
	}
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	text, id := string(answer), resp.Header.Get(fake.HeaderID)
	switch {
	case c.flaw == lies && r.Method == http.MethodPost:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case c.flaw == skips:
		text = strings.Replace(text, "id: 3\ndata: token 3\n\n", "", 1)
	case c.flaw == shortens && len(text) > 100:
		text = text[:strings.Index(text, "id: 4\n")]
	case c.flaw == mixes:
		own := id
		if before := c.last.Swap(&own); before != nil {
			id = *before
		}
	}
	if c.flaw != unsigned {
		w.Header().Set(fake.HeaderSignature, resp.Header.Get(fake.HeaderSignature))
	}
	w.Header().Set(fake.HeaderID, id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.WriteString(w, text)
}

// crookedSite is a site whose only router has a flaw.
func crookedSite(t *testing.T, f flaw) *edgeSite {
	t.Helper()
	standing, err := fake.NewSite(1, 2)
	must.NoError(t, err)
	s := &edgeSite{Site: standing, proxies: map[string]*proxy{}, leaving: map[string]bool{}, weights: 1, seed: 1}
	s.Keys = append([]string(nil), keys...)
	s.Ledger.Bounds = bounds
	for _, u := range s.Upstreams() {
		u.Events = events
	}
	server := httptest.NewServer(&crooked{site: s, flaw: f})
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(func() { server.Close(); ready.Close(); standing.Close() })
	n := &node{process: &process{}, listen: server.Listener.Addr().String(), ready: ready.Listener.Addr().String()}
	n.up.Store(true)
	s.nodes = []*node{n}
	// Bounds of time shrink, so that a broken one shows at once; calm routers are held to them from the start.
	b := &s.Ledger.Bounds
	b.Contact, b.Revocation, b.Apply, b.Stretch, b.Weights, b.Drain, b.Recovery, b.Rate, b.Slack = 0, 300*ms, 300*ms, 0, 300*ms, 200*ms, 0, 0, 0
	return s
}

// calls makes calls on a site for a while and returns its ledger.
func calls(t *testing.T, f flaw) *Ledger {
	s := crookedSite(t, f)
	s.Began = time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() { newCaller(s, n).run(ctx) })
	}
	all.Go(func() {
		must.NoError(t, sleep.For(ctx, 100*ms))
		for range 3 {
			operators(withdraw)(s, 0)
		}
		operators(addRoute)(s, 0)
		if f == outdated {
			operators(announce)(s, 0)
		}
		if f == ignoresBye {
			leave(s, 1)
		}
		if f == hangsUp {
			ended := s.begin(Spell{Fault: "router stopped", Planned: true, From: time.Now()})
			leave(s, 1)
			must.NoError(t, sleep.For(ctx, time.Second))
			ended(time.Now())
		}
	})
	all.Wait()
	s.Quiet = s.Began
	s.Over = time.Now()
	return s.collect()
}

// Each judge says so when its promise is broken, and none does on a sound system.
func TestJudgesSeeBrokenPromises(t *testing.T) {
	for f, want := range map[flaw]Promise{
		none: "", repeats: Once, lies: Untouched, unsigned: Own, mixes: Own, changes: Asked, misplaces: Asked, leaks: Asked,
		skips: Order, shortens: Order, forgives: Revoked, forgets: Applied, denies: Known, unlimited: Rated, outdated: Fresh,
		dead: Recovered, hangsUp: Kept, ignoresBye: Drained,
	} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			l := calls(t, f)
			must.Greater(t, 50, len(l.Sent))
			found := Judge(l)
			if want == "" {
				must.SliceEmpty(t, found)
				return
			}
			seen := map[Promise]bool{}
			for _, b := range found {
				seen[b.Promise] = true
			}
			must.True(t, seen[want], must.Sprintf("%v", found))
		})
	}
}

// The promises that a router of this process cannot break are shown on ledgers.
func TestJudgesOfOrdersAndProcesses(t *testing.T) {
	now := time.Unix(1000, 0)
	turn := func(after time.Duration, holder string, token int64) Turn {
		return Turn{fake.Order{Holder: holder, Token: token, At: now.Add(after)}, "engine-0"}
	}
	for name, c := range map[string]struct {
		turns  []Turn
		spells []Spell
		want   int
	}{
		"one holder":              {[]Turn{turn(0, "a", 1), turn(time.Second, "a", 1)}, nil, 0},
		"one after the other":     {[]Turn{turn(0, "a", 1), turn(4*time.Second, "b", 2)}, nil, 0},
		"one token of two":        {[]Turn{turn(0, "a", 1), turn(4*time.Second, "b", 1)}, nil, 1},
		"two by turns":            {[]Turn{turn(0, "a", 1), turn(time.Second, "b", 2)}, nil, 1},
		"an older token":          {[]Turn{turn(0, "b", 2), turn(4*time.Second, "a", 1)}, nil, 1},
		"an order after a pause":  {[]Turn{turn(0, "b", 2), turn(time.Second, "a", 1)}, []Spell{{From: now, To: now.Add(900 * ms)}}, 0},
		"an order long after one": {[]Turn{turn(0, "b", 2), turn(2*time.Second, "a", 1)}, []Spell{{From: now, To: now.Add(900 * ms)}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			must.Len(t, c.want, judgeOne(&Ledger{Turns: c.turns, Spells: c.spells, Bounds: bounds}))
		})
	}
	must.SliceEmpty(t, judgeUpright(&Ledger{}))
	must.Len(t, 1, judgeUpright(&Ledger{Crashed: 1}))
}

func TestPlaysAreDrawnFromTheSeed(t *testing.T) {
	size := Size{Routers: 5, Engines: 3, Services: 2}
	first, second := schedule(faults, 7, 20*time.Second, size), schedule(faults, 7, 20*time.Second, size)
	must.Eq(t, len(first), len(second))
	for i := range first {
		must.Eq(t, spell(first[i], time.Time{}), spell(second[i], time.Time{}))
		must.LessEq(t, 20*time.Second, first[i].At)
	}
	_, err := named(faults, func(f trouble) string { return f.name }, "no such")
	must.ErrorContains(t, err, "router killed")
}
