//go:build strike

// Package strike runs the programs as separate processes under load and brings faults about.
package strike

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
	"github.com/skylarkquay/skylarkquay/internal/trial/site"
)

const (
	routers  = 5
	engines  = 4
	services = 2
	ready    = 30 * time.Second
)

// process is one program under test.
type process struct {
	name    string
	args    []string
	command *exec.Cmd
	log     *os.File
}

// router is one router's addresses.
type router struct {
	*process
	listen, peer, admin string
}

// fleet is a whole site of processes.
type fleet struct {
	t        *testing.T
	bin      string
	logs     string
	platform *process
	store    string
	routers  []*router
	engines  []*process
	services []*process
	// addresses of engines and services.
	engineAt  []string
	serviceAt []string
	keys      map[string]string
	all       []*process
}

// rates are the workspaces' rates: one is ample, one is held far below what it sends.
var rates = map[string][2]int{"ample": {10_000_000, 50_000_000}, "narrow": {2000, 8000}}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, bin: os.Getenv("SKYLARKQUAY_BIN"), logs: t.TempDir(), keys: make(map[string]string)}
	must.NotEq(t, "", f.bin, must.Sprint("SKYLARKQUAY_BIN names the folder of the programs"))
	t.Cleanup(f.stop)
	f.store = free(t)
	f.platform = f.start("platform", "skylarkstand", "platform", "--listen", f.store)
	for i := range engines {
		at := free(t)
		f.engineAt = append(f.engineAt, at)
		f.engines = append(f.engines, f.start(fmt.Sprint("engine-", i), "skylarkstand", "engine", "--listen", at, "--per-token", "5us", "--per-event", "3ms"))
	}
	for i := range services {
		at := free(t)
		f.serviceAt = append(f.serviceAt, at)
		f.services = append(f.services, f.start(fmt.Sprint("service-", i), "skylarkstand", "plain", "--listen", at))
	}
	f.await("http://" + f.store + "/instances")
	var list roster.Listing
	for i := range routers {
		r := &router{listen: free(t), peer: free(t), admin: free(t)}
		zone := string("abc"[i%3])
		url := "http://" + f.store
		r.process = f.start(fmt.Sprint("router-", i), "skylarkquay", "run", "--listen", r.listen, "--peer", r.peer, "--admin", r.admin,
			"--zone", zone, "--table-url", url, "--object-url", url, "--roster-url", url, "--drain-notice", "500ms", "--first-token", "3s")
		f.routers = append(f.routers, r)
		list.Instances = append(list.Instances, roster.Entry{Address: r.peer, Zone: zone, State: roster.Live})
	}
	f.put("http://"+f.store+"/instances", list)
	for _, r := range f.routers {
		f.await("http://" + r.admin + "/readyz")
	}
	f.configure()
	return f
}

func free(t *testing.T) string {
	t.Helper()
	address, err := site.FreeAddress()
	must.NoError(t, err)
	return address
}

func (f *fleet) start(name, program string, args ...string) *process {
	f.t.Helper()
	log, err := os.Create(filepath.Join(f.logs, name+".log"))
	must.NoError(f.t, err)
	p := &process{name: name, args: append([]string{filepath.Join(f.bin, program)}, args...), log: log}
	p.run(f.t)
	f.all = append(f.all, p)
	return p
}

func (p *process) run(t *testing.T) {
	t.Helper()
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	must.NoError(t, p.command.Start())
}

// kill ends a process without notice; it can be run again.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

func (f *fleet) stop() {
	for _, p := range f.all {
		p.signal(syscall.SIGCONT)
		p.kill()
		_ = p.log.Close()
	}
}

func (f *fleet) await(url string) {
	f.t.Helper()
	deadline := time.Now().Add(ready)
	for time.Now().Before(deadline) {
		res, err := http.Get(url)
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("%s does not answer", url)
}

func (f *fleet) put(url string, value any) {
	f.t.Helper()
	data, err := json.Marshal(value)
	must.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	must.NoError(f.t, err)
	res, err := http.DefaultClient.Do(req)
	must.NoError(f.t, err)
	_ = res.Body.Close()
}

func (f *fleet) get(url string, into any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(into)
}

func (f *fleet) operator(i int) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+f.routers[i].admin, &http.Client{Timeout: 5 * time.Second})
}

// configure applies the routing document through the operators' service, each section through another router.
func (f *fleet) configure() {
	f.t.Helper()
	var workspaces, keys, limits, upstreams strings.Builder
	for name, r := range rates {
		f.keys[name] = "sq-secret-of-" + name
		fmt.Fprintf(&workspaces, "%s: {title: %s, weight: 1}\n", name, name)
		fmt.Fprintf(&keys, "%s: {workspace: %s, hash: %s}\n", name, name, gate.HashKey(f.keys[name]))
		fmt.Fprintf(&limits, "%s: {tokens_per_second: %d, burst_tokens: %d}\n", name, r[0], r[1])
	}
	for i, at := range f.engineAt {
		fmt.Fprintf(&upstreams, "runner-%d: {address: '%s', zone: a, kind: engine, models: [quotes]}\n", i, at)
	}
	for i, at := range f.serviceAt {
		fmt.Fprintf(&upstreams, "booking-%d: {address: '%s', zone: b, kind: service, service: booking}\n", i, at)
	}
	for i, e := range [][2]string{
		{"workspaces", workspaces.String()},
		{"keys", keys.String()},
		{"rates", limits.String()},
		{"models", "quotes: {weights: v1}\n"},
		{"upstreams", upstreams.String()},
		{"routes", "book: {method: POST, path: /bookings, service: booking, idempotent: false, timeout_millis: 1500}\n"},
		{"site", "policy: {placers: 1, token_micros: 5}\n"},
	} {
		_, err := f.operator(i%routers).Apply(f.t.Context(), &wire.ApplyRequest{Section: e[0], Text: e[1], Edit: e[0], Operator: "strike"})
		must.NoError(f.t, err)
	}
	for i := range f.routers {
		deadline := time.Now().Add(ready)
		for f.revision(i) < 7 && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
		}
		must.Eq(f.t, 7, f.revision(i))
	}
}

func (f *fleet) revision(i int) int64 {
	reply, err := f.operator(i).Status(f.t.Context(), &wire.StatusRequest{})
	if err != nil {
		return -1
	}
	return reply.Revision
}
