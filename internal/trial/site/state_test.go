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

// waitTimeout bounds every wait for a condition; it is not a latency bound.
const waitTimeout = 60 * time.Second

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(condition),
		wait.Timeout(waitTimeout),
		wait.Gap(20*time.Millisecond),
	), must.Sprint(description))
}

func status(t *testing.T, r *Router) *wire.StatusReply {
	t.Helper()
	reply, err := wire.NewOperatorProtobufClient("http://"+r.Settings.Admin, http.DefaultClient).Status(t.Context(), &wire.StatusRequest{})
	must.NoError(t, err)
	return reply
}

// waitPartitions waits until every router has received the holders of all partitions.
func waitPartitions(t *testing.T, s *Site) {
	t.Helper()
	eventually(t, "all routers list a holder for every partition", func() bool {
		for _, r := range s.Routers {
			held := 0
			for _, m := range status(t, r).Members {
				held += len(m.Partitions)
			}
			if held != r.Settings.Partitions {
				return false
			}
		}
		return true
	})
}

func bookingBody(i int) string { return fmt.Sprintf(`{"visit":%d}`, i) }

func idempotencyHeader(key string) http.Header { return http.Header{"Idempotency-Key": {key}} }

func runCount(s *Site, body string) int {
	count := 0
	for _, p := range s.Services {
		count += p.Runs()[body]
	}
	return count
}

func TestBookingRunsOnceAndReplays(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 1, Services: 2})
	first := post(t, s.Routers[0], s.Keys["acme"], "/bookings", bookingBody(1), idempotencyHeader("k1"))
	must.Eq(t, 200, first.StatusCode)
	want, _ := io.ReadAll(first.Body)
	for _, r := range s.Routers {
		replay := post(t, r, s.Keys["acme"], "/bookings", bookingBody(1), idempotencyHeader("k1"))
		got, _ := io.ReadAll(replay.Body)
		must.Eq(t, string(want), string(got))
		must.Eq(t, "true", replay.Header.Get("Idempotency-Replayed"))
	}
	must.Eq(t, 1, runCount(s, bookingBody(1)))
	other := post(t, s.Routers[1], s.Keys["acme"], "/bookings", bookingBody(2), idempotencyHeader("k1"))
	must.Eq(t, string(fault.ClaimMismatch), other.Header.Get(fault.HeaderKind))
	must.Eq(t, 200, post(t, s.Routers[1], s.Keys["other"], "/bookings", bookingBody(3), idempotencyHeader("k1")).StatusCode)
}

func TestLostBookingResponseIsUnknownAndNotRetried(t *testing.T) {
	s := startSite(t, Options{Routers: 2, Engines: 1, Services: 2})
	for _, p := range s.Services {
		p.SetFaults(plain.Faults{LoseResponse: true})
	}
	for _, r := range s.Routers {
		res := post(t, r, s.Keys["acme"], "/bookings", bookingBody(1), idempotencyHeader("k1"))
		must.Eq(t, string(fault.OutcomeUnknown), res.Header.Get(fault.HeaderKind))
		must.Eq(t, string(fault.RanUnknown), res.Header.Get(fault.HeaderRan))
	}
	must.Eq(t, 1, runCount(s, bookingBody(1)))
}

func TestBookingDuringStoreOutageIsNotRun(t *testing.T) {
	s := startSite(t, Options{Routers: 2, Engines: 1, Services: 1})
	s.Platform.SetFaults(store.Faults{Down: true})
	res := post(t, s.Routers[0], s.Keys["acme"], "/bookings", bookingBody(1), idempotencyHeader("k1"))
	must.Eq(t, string(fault.RanNo), res.Header.Get(fault.HeaderRan))
	must.NotEq(t, "", res.Header.Get("Retry-After"))
	must.Eq(t, 0, runCount(s, bookingBody(1)))
	s.Platform.SetFaults(store.Faults{})
	must.Eq(t, 200, post(t, s.Routers[1], s.Keys["acme"], "/bookings", bookingBody(1), idempotencyHeader("k1")).StatusCode)
	must.Eq(t, 1, runCount(s, bookingBody(1)))
}

func TestBookingWithLostStoreResponsesRunsAtMostOnce(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 1, Services: 2})
	s.Platform.SetFaults(store.Faults{LoseEvery: 2})
	for i := range 30 {
		key := idempotencyHeader(fmt.Sprint("k", i))
		post(t, s.Routers[i%3], s.Keys["acme"], "/bookings", bookingBody(i), key)
		post(t, s.Routers[(i+1)%3], s.Keys["acme"], "/bookings", bookingBody(i), key)
		must.Between(t, 0, runCount(s, bookingBody(i)), 1)
	}
}

func TestOpenRouteHasNoWorkspace(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 1, Services: 1})
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
	assertNoKeySent(t, s)
}

func assertNoKeySent(t *testing.T, s *Site) {
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
	s := startSite(t, Options{Routers: 1, Engines: 1, Services: 1})
	key := s.Keys["acme"]
	header := http.Header{"X-Api-Key": {key}, "X-Other": {"Bearer " + key}, "Cookie": {"k=" + key}}
	post(t, s.Routers[0], key, "/v1/chat/completions?key="+key, `{"model":"quotes","max_tokens":1,"messages":[]}`, header)
	res := post(t, s.Routers[0], key, "/bookings?access_token="+key+"&x="+key+"&y=1", bookingBody(1), header)
	must.Eq(t, 200, res.StatusCode)
	must.SliceNotEmpty(t, s.Services[0].Received())
	assertNoKeySent(t, s)
}

// readUntil returns the next line of a stream that contains the text, or "" at the end of the stream.
func readUntil(lines *bufio.Scanner, text string) string {
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return lines.Text()
		}
	}
	return ""
}

func openStream(t *testing.T, r *Router, key string, tokens int) (*http.Response, *bufio.Scanner) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"quotes","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"long"}]}`, tokens)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.URL()+"/v1/chat/completions", strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.Eq(t, 200, res.StatusCode)
	return res, bufio.NewScanner(res.Body)
}

func TestWithdrawnKeyEndsStreamsOnAllRouters(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 2, Engine: engine.Settings{PerEvent: 10 * time.Millisecond}})
	var streams []*bufio.Scanner
	for _, r := range s.Routers {
		res, lines := openStream(t, r, s.Keys["acme"], 100_000)
		defer func() { _ = res.Body.Close() }()
		must.NotEq(t, "", readUntil(lines, "data:"))
		streams = append(streams, lines)
	}
	must.NoError(t, s.Edit(rules.Keys, ""))
	for _, lines := range streams {
		must.StrContains(t, readUntil(lines, `"error"`), string(fault.KeyWithdrawn))
	}
	for _, r := range s.Routers {
		res := post(t, r, s.Keys["acme"], "/v1/chat/completions", `{"model":"quotes","messages":[]}`, nil)
		must.Eq(t, string(fault.BadKey), res.Header.Get(fault.HeaderKind))
	}
}

func TestLeavingUpstreamReceivesNoNewRequests(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 2})
	s.MarkLeaving(0)
	body := `{"model":"quotes","max_tokens":1,"messages":[]}`
	idleRounds := 0
	eventually(t, "the leaving engine receives no new requests", func() bool {
		before := len(s.Engines[0].Received())
		for range 8 {
			must.Eq(t, 200, post(t, s.Routers[0], s.Keys["acme"], "/v1/chat/completions", body, nil).StatusCode)
		}
		if len(s.Engines[0].Received()) == before {
			idleRounds++
		} else {
			idleRounds = 0
		}
		return idleRounds > 5
	})
}

func TestCrashingRequestIsRejectedByAllRouters(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 6})
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{Poison: "poison"})
	}
	body := `{"model":"quotes","max_tokens":20,"messages":[{"role":"user","content":"poison"}]}`
	post(t, s.Routers[0], s.Keys["acme"], "/v1/chat/completions", body, nil)
	for _, r := range s.Routers {
		eventually(t, "the request is rejected", func() bool {
			res := post(t, r, s.Keys["acme"], "/v1/chat/completions", body, nil)
			return res.Header.Get(fault.HeaderKind) == string(fault.CrashingRequest)
		})
	}
	// The same content from another workspace is not rejected as a crasher.
	must.NotEq(t, string(fault.CrashingRequest), post(t, s.Routers[0], s.Keys["other"], "/v1/chat/completions", body, nil).Header.Get(fault.HeaderKind))
}

func TestGracefulStopCompletesStreams(t *testing.T) {
	s := startSite(t, Options{Routers: 2, Engines: 2, Engine: engine.Settings{PerEvent: 5 * time.Millisecond}})
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
	must.NoError(t, s.startRouter(s.Routers[0]))
}

func TestRestartDuringStoreOutageLoadsDocumentFromPeers(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 1})
	s.Platform.SetFaults(store.Faults{Down: true})
	must.NoError(t, s.Restart(s.Routers[0]))
	must.NoError(t, s.WaitReady())
	must.Eq(t, status(t, s.Routers[1]).Revision, status(t, s.Routers[0]).Revision)
}

func TestEditsReachAllRouters(t *testing.T) {
	s := startSite(t, Options{Routers: 3, Engines: 1})
	operator := wire.NewOperatorProtobufClient("http://"+s.Routers[0].Settings.Admin, http.DefaultClient)
	got, err := operator.Fetch(t.Context(), &wire.FetchRequest{Section: "models"})
	must.NoError(t, err)
	reply, err := operator.Apply(t.Context(), &wire.ApplyRequest{Section: "models", Text: got.Text + "extra: {weights: v1}\n", Base: got.Revision, Edit: "e", Operator: "o"})
	must.NoError(t, err)
	for _, r := range s.Routers {
		eventually(t, "the router has applied the edit", func() bool { return status(t, r).Revision >= reply.Revision })
	}
}

func TestRouterWithoutMajorityReportsNotRun(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 1})
	// Two listed instances are unreachable, so that one of three is no majority during the store outage.
	s.listing.Instances = append(s.listing.Instances, s.listing.Instances[0], s.listing.Instances[0])
	s.listing.Instances[1].Address = "127.0.0.1:1"
	s.listing.Instances[2].Address = "127.0.0.1:2"
	s.Platform.SetListing(s.listing)
	eventually(t, "the router is ready", func() bool { return s.Routers[0].Ready() })
	time.Sleep(2 * time.Second)
	s.Platform.SetFaults(store.Faults{Down: true})
	eventually(t, "the router rejects requests", func() bool {
		res := post(t, s.Routers[0], s.Keys["acme"], "/v1/chat/completions", `{"model":"quotes","max_tokens":1,"messages":[]}`, nil)
		return res.Header.Get(fault.HeaderKind) == string(fault.NotCurrent) && res.Header.Get(fault.HeaderRan) == string(fault.RanNo)
	})
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 1, Engine: engine.Settings{PerEvent: 10 * time.Millisecond}})
	ctx, cancel := context.WithCancel(t.Context())
	var endedStreams atomic.Int64
	go func() {
		_, _ = streamText(ctx, s.Routers[0], s.Keys["acme"], "leaver", 100_000)
		endedStreams.Add(1)
	}()
	eventually(t, "the engine runs the request", func() bool { return s.Engines[0].Running() == 1 })
	cancel()
	eventually(t, "the engine is idle", func() bool { return s.Engines[0].Running() == 0 })
}
