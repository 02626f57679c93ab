package chat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/front/relay"
	"github.com/skylarkquay/skylarkquay/internal/route/placer"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// numbered returns the stream of an engine that sends the events first to last, without [DONE].
func numbered(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

const doneEvent = "data: [DONE]\n\n"

// relayTexts relays what engines send, one after the other. It returns the events that the caller got, joined by blanks.
func relayTexts(t *testing.T, texts []string) (string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Report{})
	}))
	defer server.Close()
	h := newHandler()
	j := &job{avoid: make(map[string]bool), req: Request{Stream: true}}
	w := httptest.NewRecorder()
	out := &eventWriter{w: w, control: http.NewResponseController(w), timeout: time.Second}
	started := 0
	r := &race{h: h, j: j, out: out, lastErr: context.Canceled, start: func(ctx context.Context) (*attempt, error) {
		if started == len(texts) {
			return nil, fault.New(fault.NoUpstream, "no engine")
		}
		ctx, cancel := context.WithCancel(ctx)
		a := newAttempt(placer.Choice{Engine: fmt.Sprint("e", started)}, status.View{Address: server.Listener.Addr().String()}, cancel, time.Minute)
		a.idleTimeout = time.Minute
		a.events = make(chan relay.Event)
		a.sent = true
		a.res = &http.Response{Header: make(http.Header), Body: io.NopCloser(strings.NewReader(texts[started]))}
		started++
		go func() {
			defer close(a.events)
			a.err = a.read(ctx, h.Pool, true)
		}()
		return a, nil
	}}
	err := r.run(t.Context())
	body := strings.ReplaceAll(w.Body.String(), "data: ", "")
	return strings.Join(strings.Fields(body), " "), err
}

func TestStreamsThatBreakOff(t *testing.T) {
	const failure = "data: {\"error\": {\"message\": \"out of memory\"}}\n\n"
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	whole := numbered(1, 5) + doneEvent
	for _, c := range []struct {
		name     string
		texts    []string
		want     string
		complete bool
	}{
		{"the rest comes from the next engine", []string{numbered(1, 2), numbered(3, 5) + doneEvent}, "1 2 3 4 5 [DONE]", true},
		{"the next engine has only the mark left", []string{numbered(1, 5), doneEvent}, "1 2 3 4 5 [DONE]", true},
		{"the next engine begins at the first event", []string{numbered(1, 2), whole}, "1 2 3 4 5 [DONE]", true},
		{"the next engine sends nothing", []string{numbered(1, 2), ""}, "1 2", false},
		{"the next engine begins elsewhere", []string{numbered(1, 2), numbered(4, 5) + doneEvent}, "1 2", false},
		{"the next engine's answer is shorter", []string{numbered(1, 5), numbered(1, 3) + doneEvent}, "1 2 3 4 5", false},
		{"a failure within the stream", []string{numbered(1, 2) + failure, numbered(3, 5) + doneEvent}, "1 2 3 4 5 [DONE]", true},
		{"a failure, then the mark", []string{numbered(1, 2) + failure + doneEvent, numbered(3, 5) + doneEvent}, "1 2 3 4 5 [DONE]", true},
		{"a head between two events", []string{numbered(1, 2) + head, numbered(3, 5) + doneEvent}, "1 2 3 4 5 [DONE]", true},
		{"a head within an event", []string{numbered(1, 2) + "id: 3\ndata: {\"text\": \"ha" + head, numbered(3, 5) + doneEvent}, "1 2 3 4 5 [DONE]", true},
		{"a head within the mark", []string{numbered(1, 2) + "data: [DONE]" + head, numbered(3, 5) + doneEvent}, "1 2 3 4 5 [DONE]", true},
		{"a cut mark", []string{numbered(1, 5) + "data: [DONE]\n", numbered(1, 5) + "data: [DO"}, "1 2 3 4 5", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := relayTexts(t, c.texts)
			must.Eq(t, c.want, got)
			must.Eq(t, c.complete, err == nil, must.Sprint(err))
		})
	}
}
