package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// repeatingEngine is an engine whose weights are of version 2 although its entry says 1. It refuses requests for version 1, and writes
// each refusal once more on the same connection when the next request arrives there.
type repeatingEngine struct {
	mu sync.Mutex
	// runs counts the runs by the request's ID.
	runs map[string]int
}

// workTime is the time from the start of a run to its response.
const workTime = 100 * time.Millisecond

func (e *repeatingEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(fake.HeaderID)
		if refusal != "" {
			_, _ = c.Write([]byte(refusal))
			refusal = ""
		}
		if r.Header.Get("X-Expected-Version") != "2" {
			refusal = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Weight-Versions: 2\r\nContent-Length: 0\r\n\r\n", fake.HeaderID, id)
			_, _ = c.Write([]byte(refusal))
			continue
		}
		e.mu.Lock()
		e.runs[id]++
		e.mu.Unlock()
		time.Sleep(workTime)
		body := fake.Stream(2)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nX-Weight-Versions: 2\r\nContent-Length: %d\r\n\r\n%s", fake.HeaderID, id, fake.HeaderSignature, len(body), body)
	}
}

// Guards against an earlier refusal that passes for the answer to a request which was sent again under the same ID: the caller is told
// that it has not run, or it runs at another upstream too.
func TestEarlierRefusalIsNoAnswerToALaterSend(t *testing.T) {
	for name, engines := range map[string]int{"the only upstream": 1, "another upstream": 2} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, engines, 1)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = l.Close() }()
			e := &repeatingEngine{runs: make(map[string]int)}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go e.serve(c)
				}
			}()
			s.Engines[0].SetVersion(1)
			s.RegisterAt(s.Engines[0], l.Addr().String())
			r := startRouter(t, testSettings(t, s))
			eventually(t, "ready", r.isReady)
			for _, u := range s.Engines[1:] {
				r.fleet.SetSwitching(u.ID, time.Now().Add(time.Second))
			}
			call := newPromptCall(fake.BriefPath + "1")
			reply := r.send(t, call)
			e.mu.Lock()
			defer e.mu.Unlock()
			must.Eq(t, http.StatusOK, reply.Status, must.Sprint(reply.Body))
			must.Eq(t, 1, e.runs[call.ID])
			for _, u := range s.Engines[1:] {
				must.SliceEmpty(t, u.Runs())
			}
		})
	}
}
