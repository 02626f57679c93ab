package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/peer/gossip"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

// oddEntries are entries of another writer, each in a form of its own, that name an upstream of the booking service at an address.
func oddEntries(address string) map[string]string {
	host, _, _ := strings.Cut(address, ":")
	entry := func(fields string) string {
		return fmt.Sprintf(`{"Service":"jobs","Address":%q,"Zone":"a","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":1%s}`, address, fields)
	}
	at := func(address string) string {
		return strings.Replace(entry(""), `"Address":"`+host, `"Address":"`+address+`","Was":"`+host, 1)
	}
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	return map[string]string{
		"port-high": at(host + ":99999"), "port-negative": at(host + ":-1"), "port-zero": at(host + ":0"), "port-name": at(host + ":http"),
		"no-port": at(host + ":"), "any-host": at("0.0.0.0:80"), "many-hosts": at("224.0.0.1:80"),
		"slots-huge": entry(`,"Slots":9223372036854775807`), "slots-larger": entry(`,"Slots":9223372036854775808`), "slots-1e400": entry(`,"Slots":1e400`),
		"slots-none": entry(`,"Slots":0`), "slots-negative": entry(`,"Slots":-9223372036854775808`),
		"cold-huge": entry(`,"ColdRemainingMs":1e300`), "cold-negative": entry(`,"ColdRemainingMs":-1e300`), "cold-1e999": entry(`,"ColdRemainingMs":1e999`),
		"weights-negative": entry(`,"Models":[{"Name":"m","Version":-9223372036854775808}]`),
		"nested-field":     entry(`,"Adapters":` + nested(20000)), "nested-models": entry(`,"Models":` + nested(20000)), "nested-entry": nested(30000),
		"long-service": entry(`,"Service":"` + strings.Repeat("s", 48000) + `"`), "long-zone": entry(`,"Zone":"` + strings.Repeat("z", 48000) + `"`),
		"long-version": entry(`,"Version":"` + strings.Repeat("v", 48000) + `"`),
		"many-models":  entry(`,"Models":[` + strings.Repeat(`{"Name":"m","Version":1},`, 1900) + `{"Name":"` + strings.Repeat("m", 900) + `","Version":1}]`),
	}
}

// Guards against instances that end, or stop following the list or hearing each other, because of an odd entry of another writer.
func TestOddEntriesNameNoUpstream(t *testing.T) {
	s, routers := startMixedSite(t, "v1")
	for id, text := range oddEntries(s.Address(s.Jobs[0])) {
		s.CorruptEntry(id, text)
		time.Sleep(50 * time.Millisecond)
	}
	s.Store.PutRaw("servers", "last", mustEncode(t, s.Jobs[0].Entry("jobs", "127.0.0.1:9", "a", "draining")))
	for _, r := range routers {
		eventually(t, "the list is followed", func() bool {
			_, ok := r.fleet.View(time.Now(), "last")
			return ok
		})
	}
	// Messages hold the changes of the list for a time.
	time.Sleep(time.Second)
	for _, r := range routers {
		must.SliceLen(t, 1, r.exchange.Live(2), must.Sprint("instances hear each other"))
	}
	for _, r := range routers {
		for id := range oddEntries("127.0.0.1:1") {
			_, ok := r.fleet.View(time.Now(), id)
			must.False(t, ok, must.Sprint(id))
		}
		for range 5 {
			must.Eq(t, http.StatusOK, r.send(t, newCall(http.MethodGet, "/look/1")).Status)
		}
	}
}

func mustEncode(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	must.NoError(t, err)
	return text
}

// An odd entry of a known upstream takes it out of the list until it writes its own again.
func TestOddEntryOfAKnownUpstream(t *testing.T) {
	s, r := startSite(t, 1, 1)
	for _, odd := range []string{"port-high", "slots-huge", "nested-field"} {
		s.CorruptEntry(s.Jobs[0].ID, oddEntries(s.Address(s.Jobs[0]))[odd])
		eventually(t, "out of the list", func() bool {
			_, ok := r.fleet.View(time.Now(), s.Jobs[0].ID)
			return !ok
		})
		s.Register(s.Jobs[0], "ready")
		eventually(t, "back", func() bool { return r.send(t, newCall(http.MethodGet, "/look/1")).Status == http.StatusOK })
	}
}

// Reports of the list fit in a datagram also when many entries with long names change at once.
func TestReportsOfTheListAreBounded(t *testing.T) {
	weights := make(map[string]int64)
	for i := range 60 {
		weights[fmt.Sprintf("%0180d", i)] = 1
	}
	var changes []gossip.ListChange
	for i := range 20 {
		entry := fleet.Entry{ID: fmt.Sprint(i), Service: "s", Address: "127.0.0.1:1", State: fleet.Ready, Slots: 1, Weights: weights}
		must.NoError(t, entry.Check())
		changes = append(changes, gossip.ListChange{Version: int64(10 + i), ID: entry.ID, Entry: &entry})
	}
	l := newListState()
	l.recordRead(time.Second, 0, 9, nil)
	l.recordRead(time.Second, 0, 30, changes)
	update := l.report(time.Second)
	must.SliceNotEmpty(t, update.Changes)
	must.Eq(t, update.Changes[0].Version, update.Since+1)
	must.Less(t, maxChangesBytes+1, len(mustEncode(t, update)))
	// An instance that lacks the others does not merge the report.
	other := newListState()
	other.recordRead(time.Second, 0, 9, nil)
	must.SliceEmpty(t, other.merge(2*time.Second, update))
	other.prove(2*time.Second, update)
	must.False(t, other.isCurrent(time.Second+maxListLag))
}
