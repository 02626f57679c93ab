//go:build crowd

package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
	"github.com/skylarkquay/skylarkquay/internal/trial/site"
)

// What the router is told, and what holds of it.
const (
	quayMemoryMB    = 64
	quayConnections = 256
	quayBodyBytes   = 256 << 10
	// quayCallers is the number of callers in the crowd.
	quayCallers = 400
	// quayDescriptors is the bound on open descriptors: the callers' connections, and 100 for all else.
	quayDescriptors = quayConnections + 100

	quayKey = "sq-crowd-key"
	// quayPatience bounds waits that end with a failed test.
	quayPatience = time.Minute
	// quaySettle lets the router read what has been sent.
	quaySettle = 2 * time.Second
)

// quaySite is one router of the product's own interface with its stand-ins, each a process.
type quaySite struct {
	router *exec.Cmd
	exited chan struct{}
	listen string
	http   http.Client
}

// buildQuay builds the router and its stand-ins, and returns their directory.
func buildQuay(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, name := range []string{"skylarkquay", "skylarkstand"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(bin, name), "github.com/skylarkquay/skylarkquay/cmd/"+name).CombinedOutput()
		must.NoError(t, err, must.Sprint(string(out)))
	}
	return bin
}

// quayExtra is what a test adds to the settings and to sections of the routing document.
type quayExtra struct {
	settings                  []string
	models, upstreams, routes string
}

func startQuay(t *testing.T, bin string, extra quayExtra) *quaySite {
	t.Helper()
	addrs := make([]string, 6)
	for i := range addrs {
		a, err := site.FreeAddress()
		must.NoError(t, err)
		addrs[i] = a
	}
	store, engine, service, listen, peer, admin := addrs[0], addrs[1], addrs[2], addrs[3], addrs[4], addrs[5]
	startProgram(t, nil, filepath.Join(bin, "skylarkstand"), "platform", "--listen", store)
	startProgram(t, nil, filepath.Join(bin, "skylarkstand"), "engine", "--per-token", "1us", "--per-event", "1ms", "--listen", engine)
	startProgram(t, nil, filepath.Join(bin, "skylarkstand"), "plain", "--listen", service)
	q := &quaySite{listen: listen, http: http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	q.waitOK(t, "http://"+store+"/instances")
	url := "http://" + store
	args := append([]string{filepath.Join(bin, "skylarkquay"), "run", "--listen", listen, "--peer", peer, "--admin", admin, "--zone", "a",
		"--table-url", url, "--object-url", url, "--roster-url", url, "--body-bytes", strconv.Itoa(quayBodyBytes), "--log-level", "error"},
		extra.settings...)
	q.router, q.exited = startProgram(t, []string{
		fmt.Sprintf("SKYLARKQUAY_MEMORY=%d", quayMemoryMB), fmt.Sprintf("SKYLARKQUAY_CONNECTIONS=%d", quayConnections),
	}, args...)
	list, err := json.Marshal(roster.Listing{Instances: []roster.Entry{{Address: peer, Zone: "a", State: roster.Live}}})
	must.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, url+"/instances", bytes.NewReader(list))
	must.NoError(t, err)
	res, err := q.http.Do(req)
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	q.waitOK(t, "http://"+admin+"/readyz")
	q.configure(t, admin, engine, service, extra)
	return q
}

// startProgram starts a program that is killed at the end of the test. The channel is closed when it has exited.
func startProgram(t *testing.T, env []string, args ...string) (*exec.Cmd, chan struct{}) {
	t.Helper()
	c := exec.Command(args[0], args[1:]...)
	c.Env = append(os.Environ(), env...)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	must.NoError(t, c.Start())
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = c.Process.Kill()
		<-exited
		if text := out.String(); t.Failed() && text != "" {
			t.Logf("%s: %s", args[0], text[max(0, len(text)-4000):])
		}
	})
	return c, exited
}

// configure applies a document with an engine, a keyed route and an open one, and waits until it is in force.
func (q *quaySite) configure(t *testing.T, admin, engine, service string, extra quayExtra) {
	t.Helper()
	operator := wire.NewOperatorProtobufClient("http://"+admin, &q.http)
	for _, section := range [][2]string{
		{"workspaces", "ample: {title: ample, weight: 1}\n"},
		{"keys", fmt.Sprintf("ample: {workspace: ample, hash: %s}\n", gate.HashKey(quayKey))},
		{"rates", "ample: {tokens_per_second: 100000000, burst_tokens: 500000000}\n"},
		{"models", "quotes: {weights: v1}\n" + extra.models},
		{"upstreams", fmt.Sprintf("engine: {address: '%s', zone: a, kind: engine, models: [quotes]}\nservice: {address: '%s', zone: a, kind: service, service: booking}\n", engine, service) + extra.upstreams},
		{"routes", "look: {method: POST, path: /look, service: booking, open: true, idempotent: true, timeout_millis: 5000}\n" + extra.routes},
	} {
		_, err := operator.Apply(context.Background(), &wire.ApplyRequest{Section: section[0], Text: section[1], Edit: section[0], Operator: "crowd"})
		must.NoError(t, err, must.Sprint(section[0]))
	}
	q.ordinary(t)
}

func (q *quaySite) waitOK(t *testing.T, url string) {
	t.Helper()
	q.until(t, url, func() (*http.Response, error) { return q.http.Get(url) })
}

// ordinary sends one ordinary request until it is answered, as a caller does who is refused.
func (q *quaySite) ordinary(t *testing.T) {
	t.Helper()
	q.until(t, "ordinary request", func() (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+q.listen+"/v1/chat/completions",
			strings.NewReader(`{"model":"quotes","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+quayKey)
		return q.http.Do(req)
	})
}

func (q *quaySite) until(t *testing.T, what string, send func() (*http.Response, error)) {
	t.Helper()
	last := ""
	for end := time.Now().Add(quayPatience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := send()
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprint(res.StatusCode, " ", string(body), " ", err)
	}
	t.Fatalf("%s is not answered: %s", what, last)
}

// peakMB returns the router's largest resident memory so far.
func (q *quaySite) peakMB(t *testing.T) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", q.router.Process.Pid))
	must.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			must.NoError(t, err)
			return float64(kb) / 1024
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

func (q *quaySite) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", q.router.Process.Pid))
	must.NoError(t, err)
	return len(entries)
}

// gather opens the crowd's connections and sends each one what write writes. They stay open until the end of the test.
func (q *quaySite) gather(t *testing.T, write func(c net.Conn) error) {
	t.Helper()
	var all sync.WaitGroup
	for range quayCallers {
		c, err := net.Dial("tcp", q.listen)
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		must.NoError(t, c.SetDeadline(time.Now().Add(quayPatience)))
		all.Add(1)
		go func() {
			defer all.Done()
			// A caller that is refused or cut sends no more.
			_ = write(c)
		}()
	}
	all.Wait()
}

const (
	quayChat   = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + quayKey + "\r\n"
	quayNoKey  = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	quayOpen   = "POST /look HTTP/1.1\r\nHost: x\r\n"
	quayChunks = "Transfer-Encoding: chunked\r\n\r\n"
)

// writeAll writes parts one after another.
func writeAll(c net.Conn, parts ...string) error {
	for _, p := range parts {
		if _, err := io.WriteString(c, p); err != nil {
			return err
		}
	}
	return nil
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// TestQuayCrowds sends the crowd in one way after another, each to a router of its own.
func TestQuayCrowds(t *testing.T) {
	bin := buildQuay(t)
	most := strings.Repeat("x", quayBodyBytes-1)
	tiny := strings.Repeat("1\r\nx\r\n", quayBodyBytes/16)
	over := strings.Repeat("x", 4*quayBodyBytes)
	lines := strings.Repeat("X-Filler: "+strings.Repeat("y", 1000)+"\r\n", 900)
	for _, way := range []struct {
		name  string
		write func(c net.Conn) error
	}{
		{"length", func(c net.Conn) error { return writeAll(c, quayChat, length(quayBodyBytes), most) }},
		{"length on an open route", func(c net.Conn) error { return writeAll(c, quayOpen, length(quayBodyBytes), most) }},
		{"one chunk", func(c net.Conn) error {
			return writeAll(c, quayChat, quayChunks, fmt.Sprintf("%x\r\n", quayBodyBytes), most)
		}},
		{"chunks of one byte", func(c net.Conn) error {
			if err := writeAll(c, quayChat, quayChunks); err != nil {
				return err
			}
			for range 15 {
				if err := writeAll(c, tiny); err != nil {
					return err
				}
			}
			return nil
		}},
		{"length over the limit", func(c net.Conn) error { return writeAll(c, quayChat, length(len(over)), over) }},
		{"chunks over the limit", func(c net.Conn) error {
			return writeAll(c, quayChat, quayChunks, fmt.Sprintf("%x\r\n", len(over)), over, "\r\n")
		}},
		{"without a key", func(c net.Conn) error { return writeAll(c, quayNoKey, length(quayBodyBytes), most) }},
		{"heads without end", func(c net.Conn) error { return writeAll(c, quayChat, lines) }},
	} {
		t.Run(way.name, func(t *testing.T) {
			q := startQuay(t, bin, quayExtra{})
			before := q.peakMB(t)
			q.gather(t, way.write)
			time.Sleep(quaySettle)
			descriptors := q.descriptors(t)
			q.ordinary(t)
			peak := q.peakMB(t)
			t.Logf("peak %.0f MB (%.0f before), %d descriptors", peak, before, descriptors)
			select {
			case <-q.exited:
				t.Error("the router has ended")
			default:
			}
			if peak > quayMemoryMB {
				t.Errorf("peak of %.0f MB, told %d", peak, quayMemoryMB)
			}
			if descriptors > quayDescriptors {
				t.Errorf("%d descriptors, bound %d", descriptors, quayDescriptors)
			}
		})
	}
}
