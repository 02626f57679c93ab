package site

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
	"github.com/skylarkquay/skylarkquay/internal/fake/plain"
	"github.com/skylarkquay/skylarkquay/internal/fake/store"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

// limit bounds every wait for a condition; it is no measure of speed.
const limit = 60 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(condition),
		wait.Timeout(limit),
		wait.Gap(20*time.Millisecond),
	), must.Sprint(what))
}

func status(t *testing.T, n *Node) *wire.StatusReply {
	t.Helper()
	reply, err := wire.NewOperatorProtobufClient("http://"+n.Settings.Admin, http.DefaultClient).Status(t.Context(), &wire.StatusRequest{})
	must.NoError(t, err)
	return reply
}

// waitPartitions waits until all partitions have a holder that the others know of.
func waitPartitions(t *testing.T, s *Site) {
	t.Helper()
	eventually(t, "all partitions are held and known", func() bool {
		for _, n := range s.Routers {
			held := 0
			for _, m := range status(t, n).Members {
				held += len(m.Partitions)
			}
			if held != n.Settings.Partitions {
				return false
			}
		}
		return true
	})
}

func booking(i int) string { return fmt.Sprintf(`{"visit":%d}`, i) }

func idempotency(key string) http.Header { return http.Header{"Idempotency-Key": {key}} }

func runsOf(s *Site, body string) int {
	n := 0
	for _, p := range s.Services {
		n += p.Runs()[body]
	}
	return n
}

func TestBookingRunsOnceAndReplays(t *testing.T) {
	s := start(t, Plan{Routers: 3, Engines: 1, Services: 2})
	first := post(t, s.Routers[0], s.Keys["acme"], "/bookings", booking(1), idempotency("k1"))
	must.Eq(t, 200, first.StatusCode)
	want, _ := io.ReadAll(first.Body)
	for _, n := range s.Routers {
		again := post(t, n, s.Keys["acme"], "/bookings", booking(1), idempotency("k1"))
		got, _ := io.ReadAll(again.Body)
		must.Eq(t, string(want), string(got))
		must.Eq(t, "true", again.Header.Get("Idempotency-Replayed"))
	}
	must.Eq(t, 1, runsOf(s, booking(1)))
	other := post(t, s.Routers[1], s.Keys["acme"], "/bookings", booking(2), idempotency("k1"))
	must.Eq(t, string(fault.ClaimMismatch), other.Header.Get(fault.HeaderKind))
	must.Eq(t, 200, post(t, s.Routers[1], s.Keys["other"], "/bookings", booking(3), idempotency("k1")).StatusCode)
}

func TestLostBookingAnswerIsUnknownAndNotRepeated(t *testing.T) {
	s := start(t, Plan{Routers: 2, Engines: 1, Services: 2})
	for _, p := range s.Services {
		p.SetFaults(plain.Faults{LoseResponse: true})
	}
	for _, n := range s.Routers {
		res := post(t, n, s.Keys["acme"], "/bookings", booking(1), idempotency("k1"))
		must.Eq(t, string(fault.OutcomeUnknown), res.Header.Get(fault.HeaderKind))
		must.Eq(t, string(fault.RanUnknown), res.Header.Get(fault.HeaderRan))
	}
	must.Eq(t, 1, runsOf(s, booking(1)))
}

func TestBookingDuringOutageIsNotRun(t *testing.T) {
	s := start(t, Plan{Routers: 2, Engines: 1, Services: 1})
	s.Platform.SetFaults(store.Faults{Down: true})
	res := post(t, s.Routers[0], s.Keys["acme"], "/bookings", booking(1), idempotency("k1"))
	must.Eq(t, string(fault.RanNo), res.Header.Get(fault.HeaderRan))
	must.NotEq(t, "", res.Header.Get("Retry-After"))
	must.Eq(t, 0, runsOf(s, booking(1)))
	s.Platform.SetFaults(store.Faults{})
	must.Eq(t, 200, post(t, s.Routers[1], s.Keys["acme"], "/bookings", booking(1), idempotency("k1")).StatusCode)
	must.Eq(t, 1, runsOf(s, booking(1)))
}

func TestBookingWithLostStoreAnswersRunsOnce(t *testing.T) {
	s := start(t, Plan{Routers: 3, Engines: 1, Services: 2})
	s.Platform.SetFaults(store.Faults{LoseEvery: 2})
	for i := range 30 {
		key := idempotency(fmt.Sprint("k", i))
		post(t, s.Routers[i%3], s.Keys["acme"], "/bookings", booking(i), key)
		post(t, s.Routers[(i+1)%3], s.Keys["acme"], "/bookings", booking(i), key)
		must.Between(t, 0, runsOf(s, booking(i)), 1)
	}
}

func TestOpenRouteHasNoWorkspace(t *testing.T) {
	s := start(t, Plan{Routers: 1, Engines: 1, Services: 1})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.Routers[0].URL()+"/catalogue?key="+s.Keys["acme"], nil)
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+s.Keys["acme"])
	req.Header.Set("X-Workspace", "acme")
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	var got plain.Booking
	must.NoError(t, json.NewDecoder(res.Body).Decode(&got))
	_ = res.Body.Close()
	must.Eq(t, "", got.Workspace)
	assertNoKey(t, s)
}

func assertNoKey(t *testing.T, s *Site) {
	t.Helper()
	var seen []string
	for _, e := range s.Engines {
		seen = append(seen, e.Received()...)
	}
	for _, p := range s.Services {
		seen = append(seen, p.Received()...)
	}
	for _, value := range seen {
		for _, key := range s.Keys {
			must.StrNotContains(t, value, key)
		}
	}
}

func TestKeyNeverReachesUpstreams(t *testing.T) {
	s := start(t, Plan{Routers: 1, Engines: 1, Services: 1})
	key := s.Keys["acme"]
	header := http.Header{"X-Api-Key": {key}, "X-Other": {"Bearer " + key}, "Cookie": {"k=" + key}}
	post(t, s.Routers[0], key, "/v1/chat/completions?key="+key, `{"model":"quotes","max_tokens":1,"messages":[]}`, header)
	res := post(t, s.Routers[0], key, "/bookings?access_token="+key+"&x="+key+"&y=1", booking(1), header)
	must.Eq(t, 200, res.StatusCode)
	must.SliceNotEmpty(t, s.Services[0].Received())
	assertNoKey(t, s)
}

// readUntil reads lines of a stream until one contains the text, and returns that line or "" at the end.
func readUntil(lines *bufio.Scanner, text string) string {
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return lines.Text()
		}
	}
	return ""
}

func openStream(t *testing.T, n *Node, key string, tokens int) (*http.Response, *bufio.Scanner) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"quotes","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"long"}]}`, tokens)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, n.URL()+"/v1/chat/completions", strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.Eq(t, 200, res.StatusCode)
	return res, bufio.NewScanner(res.Body)
}

func TestWithdrawnKeyEndsStreamsEverywhere(t *testing.T) {
	s := start(t, Plan{Routers: 3, Engines: 2, Engine: engine.Settings{PerEvent: 10 * time.Millisecond}})
	var scanners []*bufio.Scanner
	for _, n := range s.Routers {
		res, lines := openStream(t, n, s.Keys["acme"], 100_000)
		defer func() { _ = res.Body.Close() }()
		must.NotEq(t, "", readUntil(lines, "data:"))
		scanners = append(scanners, lines)
	}
	must.NoError(t, s.Edit(rules.Keys, ""))
	for _, lines := range scanners {
		must.StrContains(t, readUntil(lines, `"error"`), string(fault.KeyWithdrawn))
	}
	for _, n := range s.Routers {
		res := post(t, n, s.Keys["acme"], "/v1/chat/completions", `{"model":"quotes","messages":[]}`, nil)
		must.Eq(t, string(fault.BadKey), res.Header.Get(fault.HeaderKind))
	}
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	s := start(t, Plan{Routers: 1, Engines: 2})
	s.LeaveUpstream(0)
	body := `{"model":"quotes","max_tokens":1,"messages":[]}`
	quiet := 0
	eventually(t, "the leaving engine gets nothing new", func() bool {
		before := len(s.Engines[0].Received())
		for range 8 {
			must.Eq(t, 200, post(t, s.Routers[0], s.Keys["acme"], "/v1/chat/completions", body, nil).StatusCode)
		}
		if len(s.Engines[0].Received()) == before {
			quiet++
		} else {
			quiet = 0
		}
		return quiet > 5
	})
}

func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	s := start(t, Plan{Routers: 3, Engines: 6})
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{Poison: "poison"})
	}
	body := `{"model":"quotes","max_tokens":20,"messages":[{"role":"user","content":"poison"}]}`
	post(t, s.Routers[0], s.Keys["acme"], "/v1/chat/completions", body, nil)
	for _, n := range s.Routers {
		eventually(t, "the request is refused", func() bool {
			res := post(t, n, s.Keys["acme"], "/v1/chat/completions", body, nil)
			return res.Header.Get(fault.HeaderKind) == string(fault.CrashingRequest)
		})
	}
	// The same content of another workspace is not barred by it.
	must.NotEq(t, string(fault.CrashingRequest), post(t, s.Routers[0], s.Keys["other"], "/v1/chat/completions", body, nil).Header.Get(fault.HeaderKind))
}

func TestPlannedStopCutsNothing(t *testing.T) {
	s := start(t, Plan{Routers: 2, Engines: 2, Engine: engine.Settings{PerEvent: 5 * time.Millisecond}})
	res, lines := openStream(t, s.Routers[0], s.Keys["acme"], 200)
	defer func() { _ = res.Body.Close() }()
	must.NotEq(t, "", readUntil(lines, "data:"))
	stopped := make(chan struct{})
	go func() {
		s.Routers[0].Stop()
		close(stopped)
	}()
	must.NotEq(t, "", readUntil(lines, "[DONE]"))
	<-stopped
	must.NoError(t, s.run(s.Routers[0]))
}

func TestRestartDuringOutageServesFromPeers(t *testing.T) {
	s := start(t, Plan{Routers: 3, Engines: 1})
	s.Platform.SetFaults(store.Faults{Down: true})
	must.NoError(t, s.Restart(s.Routers[0]))
	must.NoError(t, s.WaitReady())
	must.Eq(t, status(t, s.Routers[1]).Revision, status(t, s.Routers[0]).Revision)
}

func TestEditsReachAllRouters(t *testing.T) {
	s := start(t, Plan{Routers: 3, Engines: 1})
	operator := wire.NewOperatorProtobufClient("http://"+s.Routers[0].Settings.Admin, http.DefaultClient)
	got, err := operator.Fetch(t.Context(), &wire.FetchRequest{Section: "models"})
	must.NoError(t, err)
	reply, err := operator.Apply(t.Context(), &wire.ApplyRequest{Section: "models", Text: got.Text + "extra: {weights: v1}\n", Base: got.Revision, Edit: "e", Operator: "o"})
	must.NoError(t, err)
	for _, n := range s.Routers {
		eventually(t, "the edit is in force", func() bool { return status(t, n).Revision >= reply.Revision })
	}
}

func TestCutOffRouterSaysNotRun(t *testing.T) {
	s := start(t, Plan{Routers: 1, Engines: 1})
	// Two more instances are listed that never answer, so that one of three is no majority once the store is down.
	s.listing.Instances = append(s.listing.Instances, s.listing.Instances[0], s.listing.Instances[0])
	s.listing.Instances[1].Address = "127.0.0.1:1"
	s.listing.Instances[2].Address = "127.0.0.1:2"
	s.Platform.SetListing(s.listing)
	eventually(t, "the list is read", func() bool { return s.Routers[0].Ready() })
	time.Sleep(2 * time.Second)
	s.Platform.SetFaults(store.Faults{Down: true})
	eventually(t, "the router refuses", func() bool {
		res := post(t, s.Routers[0], s.Keys["acme"], "/v1/chat/completions", `{"model":"quotes","max_tokens":1,"messages":[]}`, nil)
		return res.Header.Get(fault.HeaderKind) == string(fault.NotCurrent) && res.Header.Get(fault.HeaderRan) == string(fault.RanNo)
	})
}

func TestCallerLeavingCancelsTheEngine(t *testing.T) {
	s := start(t, Plan{Routers: 1, Engines: 1, Engine: engine.Settings{PerEvent: 10 * time.Millisecond}})
	ctx, cancel := context.WithCancel(t.Context())
	var events atomic.Int64
	go func() {
		_, _ = streamText(ctx, s.Routers[0], s.Keys["acme"], "leaver", 100_000)
		events.Add(1)
	}()
	eventually(t, "the engine runs", func() bool { return s.Engines[0].Running() == 1 })
	cancel()
	eventually(t, "the engine is idle", func() bool { return s.Engines[0].Running() == 0 })
}
