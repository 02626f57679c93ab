package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// Names of the deployment.
const (
	host   = "quotes.example"
	apiKey = "key-of-acme-0123456789"
	model  = "quotes"
	engine = "fanwriter"
	// desk is the service that books visits and looks orders up.
	desk = "jobdesk"
)

// rig is one small deployment: a store, runners and routers, with a record of what is seen.
type rig struct {
	router  string
	trouble bool
	folder  string
	started time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closed    bool

	store     *fake.Store
	storeAddr string
	revision  int64
}

func newRig(router, record string, trouble bool) (*rig, error) {
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{router: router, trouble: trouble, folder: folder, started: time.Now(), record: file, store: fake.NewStore()}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, r.store.Handler()) }()
	r.note("trouble: %t", trouble)
	return r, nil
}

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record == nil {
		return
	}
	_, _ = fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// isClosed reports whether the rig has ended its processes.
func (r *rig) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// close ends all processes.
func (r *rig) close() {
	r.mu.Lock()
	processes := r.processes
	closed := r.closed
	r.closed = true
	r.mu.Unlock()
	if closed {
		return
	}
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Close()
	r.record = nil
	_ = os.RemoveAll(r.folder)
}

// process is one that the rig has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts a process whose output lines are passed to a function, or to a file if that is nil.
func (r *rig) start(name string, lines func(string), args ...string) (*process, error) {
	c := exec.Command(args[0], args[1:]...)
	p := &process{cmd: c, exited: make(chan struct{})}
	var out io.Reader
	if lines == nil {
		file, err := os.OpenFile(filepath.Join(r.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		c.Stdout, c.Stderr = file, file
	} else {
		pipe, err := c.StdoutPipe()
		if err != nil {
			return nil, err
		}
		out = pipe
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	go func() {
		if out != nil {
			for s := bufio.NewScanner(out); s.Scan(); {
				lines(s.Text())
			}
		}
		_ = c.Wait()
		close(p.exited)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, p)
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// router is a router process.
type router struct {
	*process
	name, listen, ready string
	// settings is the path of its settings file.
	settings string
}

// startRouter starts a router with the settings of a small deployment, and waits until it is ready.
func (r *rig) startRouter(name, zone string) (*router, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	settings := fmt.Sprintf(`name: %q
zone: %q
listen: %q
ready: %q
peer: %q
metrics: %q
store: %q
memory: 120
descriptors: 2870
cores: 0.272
link: 700.0
grace: 8
heartbeat: 1200
revocation: 5000
weights: 8000
turn: 3000
ratio: 0.2
slack: 122
window: 10
quota_window: 8
quota_overshoot: 0.1
quota_slack: 110000
level: info
`, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], r.storeAddr)
	path := filepath.Join(r.folder, name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	rt := &router{name: name, listen: addresses[0], ready: addresses[1], settings: path}
	return rt, r.restartRouter(rt)
}

// restartRouter starts the process of a router, and waits until it is ready.
func (r *rig) restartRouter(rt *router) error {
	var err error
	if rt.process, err = r.start(rt.name, nil, r.router, "run", "--config", rt.settings); err != nil {
		return err
	}
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + rt.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.note("router %s is ready", rt.name)
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready", rt.name)
}

// publish writes the next version of the configuration.
func (r *rig) publish() {
	r.revision += 2
	tenant := func(name, key string, isolated bool) map[string]any {
		return map[string]any{
			"Name": name, "ApiKeys": []string{key}, "Priority": 1, "Unit": "token_count", "UncachedTokens": 200, "Isolated": isolated,
			"RatePerS": 1e6, "Burst": 1e6,
		}
	}
	r.store.Put("op", "config", map[string]any{
		"Version": r.revision,
		"Routes": []map[string]any{{
			"Name": "crew-brief", "Host": host, "PathPrefix": "/brief/", "RouteKind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 800,
			"TargetGapMs": 300, "Priority": 0, "Service": engine, "MaxAttempts": 1, "Public": false, "StickySessions": true, "Resumable": false,
		}, {
			"Name": "quote-draft", "Host": host, "PathPrefix": "/quote/", "RouteKind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 600,
			"TargetGapMs": 300, "Priority": 1, "Service": engine, "MaxAttempts": 2, "Public": false, "StickySessions": true, "Resumable": true,
		}, {
			"Name": "visit-book", "Host": host, "PathPrefix": bookPath, "RouteKind": "non_idempotent", "TimeoutMs": 800, "TargetLatencyMs": 150,
			"Priority": 2, "Service": desk, "MaxAttempts": 1, "Public": false, "StickySessions": false, "Resumable": false,
		}, {
			"Name": "order-look", "Host": host, "PathPrefix": lookPath, "RouteKind": "idempotent", "TimeoutMs": 800, "TargetLatencyMs": 150,
			"Priority": 2, "Service": desk, "MaxAttempts": 2, "Public": false, "StickySessions": false, "Resumable": false,
		}},
		"Services": []map[string]any{{
			"Name": engine, "HealthCheckPath": "/health", "MaxConnections": 654,
			"Engine": map[string]any{"Slots": 48, "KvCacheTokens": 106776, "Models": []map[string]any{{"Name": model}}},
		}, {
			"Name": desk, "HealthCheckPath": "/health", "MaxConnections": 208,
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{tenant("acme", apiKey, false)},
	})
}
