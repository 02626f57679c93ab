package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/limit/hold"
	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// rawPost sends the header lines and body of a request and returns the response, its body, and whether the connection is closed after it.
func rawPost(t *testing.T, r *router, key, lines, body string) (status int, text string, closed bool) {
	t.Helper()
	conn, err := net.Dial("tcp4", r.settings.Listen)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	// The router may close the connection before it has read all.
	_, _ = fmt.Fprintf(conn, "POST %s1 HTTP/1.1\r\nHost: %s\r\n%s: %08x\r\nAuthorization: Token %s\r\n%s\r\n\r\n%s",
		fake.LookPath, fake.Host, fake.HeaderID, ids.Add(1), key, lines, body)
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		return resp.StatusCode, string(data), resp.Close
	}
}

// The body limit of the fake site is 64 KB.
func TestBodiesAreReadToTheirLimit(t *testing.T) {
	s, r := startSite(t, 1, 1)
	const limit = 64 << 10
	whole := strings.Repeat("x", limit)
	const chunked = "Transfer-Encoding: chunked"
	for _, c := range []struct {
		name, key, lines, body string
		status                 int
		// want is the body that the upstream gets.
		want   string
		closed bool
	}{
		{"a length", fake.Key, fmt.Sprintf("Content-Length: %d", limit), whole, http.StatusOK, whole, false},
		{"a length over the limit", fake.Key, fmt.Sprintf("Content-Length: %d", limit+1), whole + "x", http.StatusRequestEntityTooLarge, "", true},
		{"one chunk", fake.Key, chunked, chunk(whole) + "0\r\n\r\n", http.StatusOK, whole, true},
		{"chunks of one byte", fake.Key, chunked, strings.Repeat(chunk("x"), 1000) + "0\r\n\r\n", http.StatusOK, whole[:1000], true},
		{"a chunk over the limit", fake.Key, chunked, chunk(whole+"x") + "0\r\n\r\n", http.StatusRequestEntityTooLarge, "", true},
		{"chunks without an end over the limit", fake.Key, chunked, chunk(whole) + chunk(whole), http.StatusRequestEntityTooLarge, "", true},
		{"trailers", fake.Key, chunked + "\r\nTrailer: A", chunk("whole") + "0\r\nA: b\r\n\r\n", http.StatusOK, "whole", true},
		{"chunk extensions", fake.Key, chunked, "5;a=b\r\nwhole\r\n0;c\r\n\r\n", http.StatusOK, "whole", true},
		{"Expect", fake.Key, "Expect: 100-continue\r\nContent-Length: 5", "whole", http.StatusOK, "whole", false},
		{"unknown key", "other", "Content-Length: 5", "whole", http.StatusUnauthorized, "", false},
		{"unknown key, a part of the body", "other", "Content-Length: 5", "who", http.StatusUnauthorized, "", true},
		{"unknown key, a part of a chunk", "other", chunked, "5\r\nwho", http.StatusUnauthorized, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := len(s.Jobs[0].Runs())
			status, text, closed := rawPost(t, r, c.key, c.lines, c.body)
			must.Eq(t, c.status, status, must.Sprint(text))
			must.Eq(t, c.closed, closed)
			runs := s.Jobs[0].Runs()[before:]
			if c.status != http.StatusOK {
				must.SliceEmpty(t, runs)
				return
			}
			must.SliceLen(t, 1, runs)
			must.Eq(t, c.want, runs[0].Body)
		})
	}
	eventually(t, "nothing is held", func() bool { return r.account.Count() == 0 && r.account.Used()["bodies"] == 0 })
}

// A body that stopped before its end waited for ever.
func TestStalledBodyIsAnsweredAtItsRoutesTimeout(t *testing.T) {
	s := newSite(t, 1, 1)
	s.Timeout = 1000
	s.PublishDocument()
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	for _, c := range []struct{ lines, body string }{{"Content-Length: 5", "whol"}, {"Transfer-Encoding: chunked", "5\r\nwhol"}} {
		status, text, closed := rawPost(t, r, fake.Key, c.lines, c.body)
		must.Eq(t, http.StatusRequestTimeout, status, must.Sprint(text))
		must.True(t, closed)
	}
	must.SliceEmpty(t, s.Jobs[0].Runs())
	eventually(t, "nothing is held", func() bool { return r.account.Count() == 0 && r.account.Used()["bodies"] == 0 })
}

// Hundreds of requests at once took more memory than their connections were counted with.
func TestRunningRequestsTakeMemory(t *testing.T) {
	const running, callers = 3, 8
	s := newSite(t, 1, 1)
	gate := make(chan struct{})
	var open sync.Once
	defer open.Do(func() { close(gate) })
	var ran atomic.Int64
	registerScripted(t, s, s.Jobs[0], func(*http.Request) fake.Answer {
		ran.Add(1)
		<-gate
		return fake.Answer{Bytes: fake.SignedHead("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\nwhole"}
	})
	e := newEdge(t, testSettings(t, s))
	e.account = hold.NewAccount(hold.Limits{Bytes: callers*hold.ConnBytes + running*hold.RequestBytes, Conns: callers}, e.log, nil)
	r := runRouter(t, e)
	eventually(t, "ready", r.isReady)
	conns := make([]*fake.Conn, callers)
	for i := range conns {
		var err error
		conns[i], err = fake.Dial(t.Context(), r.settings.Listen)
		must.NoError(t, err)
		defer conns[i].Close()
	}
	eventually(t, "connected", func() bool { return r.account.Count() == callers })
	results := make(chan fake.Response, callers)
	for _, c := range conns {
		go func() {
			result, _, _, err := c.Send(context.Background(), newCall(http.MethodPost, fake.LookPath+"1"))
			if err != nil {
				result.Body = err.Error()
			}
			results <- result
		}()
	}
	for range callers - running {
		refused := <-results
		must.Eq(t, http.StatusServiceUnavailable, refused.Status, must.Sprint(refused.Body))
		must.Positive(t, refused.RetryAfter)
	}
	eventually(t, "the others run", func() bool { return ran.Load() == running })
	open.Do(func() { close(gate) })
	for range running {
		must.Eq(t, http.StatusOK, (<-results).Status)
	}
	must.Eq(t, running, ran.Load())
	eventually(t, "nothing is held", func() bool { return r.account.Used()[hold.Requests] == 0 })
}

// A stream whose caller reads nothing kept its upstream for ever.
func TestUnreadStreamIsCut(t *testing.T) {
	s := newSite(t, 1, 1)
	var stream strings.Builder
	for i := range 20_000 {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 1000))
	}
	registerScripted(t, s, s.Engines[0], func(*http.Request) fake.Answer {
		return fake.Answer{Bytes: chunkedHead + chunk(stream.String()) + "0\r\n\r\n"}
	})
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	conn, err := net.Dial("tcp4", r.settings.Listen)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	// The buffers of the kernel hold less than the stream.
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	eventually(t, "the stream begins", func() bool {
		req, err := newPromptCall(fake.QuotePath+"1").NewRequest(t.Context(), r.settings.Listen)
		must.NoError(t, err)
		must.NoError(t, req.Write(conn))
		head, err := bufio.NewReaderSize(conn, 16).Peek(12)
		must.NoError(t, err)
		return string(head) == "HTTP/1.1 200"
	})
	r.account.Sweep(time.Now())
	must.Eq(t, 1, r.account.Count())
	must.Eq(t, 1, r.handler.OpenRequests.Load())
	eventually(t, "the stream is cut", func() bool {
		r.account.Sweep(time.Now().Add(time.Minute))
		return r.account.Count() == 0 && r.handler.OpenRequests.Load() == 0
	})
}
