// Command rig2 plays the script cases of the second review: routers as separate processes on loopback, in front of stand-ins of the
// platform's store, of plain servers and of callers, which run in this process.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	host = "crews.example"
	key  = "wu3fexd9dnn2ctnfzs98"
	// model is what the engines run, in its first version.
	model = "daka510000"
	// contactTimeout and drainTimeout are the bounds ContactTimeoutMs and DrainTimeoutMs of the site, heartbeat is its HeartbeatIntervalMs.
	contactTimeout = 3 * time.Second
	drainTimeout   = 2 * time.Second
	heartbeat      = 1200 * time.Millisecond
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 8 * time.Second
)

// site is a small deployment.
type site struct {
	folder  string
	record  *record
	store   *fake.Store
	routers []*router
	mu      sync.Mutex
	servers []*server
	lastID  atomic.Int64
	prefix  string
	// revision is that of the latest configuration.
	revision int64
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// newSite starts a store and routers.
func newSite(out io.Writer, routers int, routes []map[string]any) (*site, error) {
	folder, err := os.MkdirTemp("", "rig2")
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, record: &record{out: out, began: time.Now()}, store: fake.NewStore(), prefix: fmt.Sprintf("%08x", rand.Uint32())}
	s.putConfig(routes, []string{key})
	for i := range routers {
		r, err := s.newRouter(i)
		if err != nil {
			return s, err
		}
		s.routers = append(s.routers, r)
	}
	return s, nil
}

// putConfig writes the next configuration.
func (s *site) putConfig(routes []map[string]any, keys []string) {
	s.revision += 3
	s.store.Put("op", "config", map[string]any{
		"Version": s.revision, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "bookings", "HealthCheckPath": "/health", "MaxConnections": 208},
			{"Name": "writers", "HealthCheckPath": "/health", "MaxConnections": 780, "Engine": map[string]any{
				"Slots": 64, "KvCacheTokens": 102881, "Models": []map[string]any{{"Name": model}},
			}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{
			"Name": "sese880", "ApiKeys": keys, "Priority": 1, "Unit": "token_count", "UncachedTokens": 200, "Isolated": false,
			"RatePerS": 400000, "Burst": 800000,
		}},
	})
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "RouteKind": kind, "TimeoutMs": 2000, "TargetLatencyMs": 100, "Priority": 2,
		"Service": service, "MaxAttempts": attempts, "Public": false, "StickySessions": false, "Resumable": false,
	}
}

func (s *site) close() {
	for _, r := range s.routers {
		r.close()
	}
	s.mu.Lock()
	servers := slices.Clone(s.servers)
	s.mu.Unlock()
	for _, u := range servers {
		u.end()
	}
	_ = os.RemoveAll(s.folder)
}

// newID returns the identifier of a client attempt.
func (s *site) newID() string { return fmt.Sprintf("%s%08x", s.prefix, s.lastID.Add(1)) }

// router is a router process with its own way to the store.
type router struct {
	site          *site
	name          string
	listen, ready string
	peer          string
	config        string
	log           *os.File
	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	// startedAt is when the process was started last.
	startedAt time.Time
	// turnedAway reports whether the store answers 503 to this machine.
	turnedAway atomic.Bool
}

const (
	// firstPort and lastPort bound the ports that are used, outside of those that the kernel gives to connections.
	firstPort = 12000
	lastPort  = 30000
)

// taken holds the addresses that were given out.
var taken sync.Map

// freeAddress returns an unused loopback address, for TCP and UDP.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, used := taken.LoadOrStore(address, true); used {
			continue
		}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		_ = p.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

func (s *site) newRouter(i int) (*router, error) {
	r := &router{site: s, name: fmt.Sprintf("frontend-%d", i)}
	store, err := freeAddress()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", store)
	if err != nil {
		return nil, err
	}
	handler := s.store.Handler()
	go func() {
		// It ends with this process.
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if r.turnedAway.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			handler.ServeHTTP(w, req)
		}))
	}()
	addresses := make([]string, 4)
	for j := range addresses {
		if addresses[j], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	r.listen, r.ready, r.peer = addresses[0], addresses[1], addresses[2]
	// The fields of deploy/edge.yaml, filled in with those of the site basinc-kira.
	settings := map[string]any{
		"name": r.name, "zone": []string{"ankara-a", "konya-b", "kayseri-c"}[i%3], "listen": r.listen, "ready": r.ready, "peer": r.peer,
		"metrics": addresses[3], "store": store, "memory": 206, "descriptors": 2870, "cores": 0.272, "link": 700.0, "grace": 8,
		"revocation": 5000, "weights": 8000, "turn": 3000, "ratio": 0.2, "slack": 113, "window": 10, "quota_window": 8, "quota_overshoot": 0.1,
		"quota_slack": 110000, "level": "info",
		"terms": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
	}
	// JSON is YAML too.
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	r.config = filepath.Join(s.folder, r.name+".yaml")
	if err := os.WriteFile(r.config, text, 0o644); err != nil {
		return nil, err
	}
	if r.log, err = os.Create(filepath.Join(s.folder, r.name+".log")); err != nil {
		return nil, err
	}
	return r, r.start()
}

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := exec.Command("target/skylarkedge", "run", "--config", r.config)
	c.Stdout, c.Stderr = r.log, r.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.cmd, r.exited, r.startedAt = c, exited, time.Now()
	r.site.record.add("%s started", r.name)
	go func() {
		// How it ended does not matter here.
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (r *router) signal(sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.exited:
	default:
		// It may have ended meanwhile.
		_ = r.cmd.Process.Signal(sig)
	}
}

// restart stops the process with SIGTERM, as planned work does, and starts it again when it has ended.
func (r *router) restart() error {
	r.site.record.add("%s gets SIGTERM", r.name)
	r.signal(syscall.SIGTERM)
	select {
	case <-r.exited:
	case <-time.After(gracePeriod):
		r.signal(syscall.SIGKILL)
		<-r.exited
	}
	if err := r.start(); err != nil {
		return err
	}
	return r.site.waitReady()
}

func (r *router) close() {
	if r.cmd != nil {
		r.signal(syscall.SIGKILL)
		<-r.exited
	}
	_ = r.log.Close()
}

// inTouch reports whether the machine has had no disruption for ContactTimeoutMs.
func (r *router) inTouch(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.startedAt) > contactTimeout
}

// isReady asks as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// errNotReady is returned when the routers do not start.
var errNotReady = errors.New("the routers are not ready")

func (s *site) waitReady() error {
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		if !slices.ContainsFunc(s.routers, func(r *router) bool { return !r.isReady() }) {
			return nil
		}
	}
	return errNotReady
}

// first returns the router that polls the store's list for all: the one with the lowest address.
func (s *site) first() *router {
	return slices.MinFunc(s.routers, func(a, b *router) int { return strings.Compare(a.peer, b.peer) })
}

// answer is what a client got.
type answer struct {
	status int
	whole  bool
	body   string
	err    error
}

// send sends one client attempt to a router, on a connection of its own.
func (s *site) send(r *router, method, path, id, body string, timeout time.Duration) answer {
	return s.sendWith(r, method, path, id, body, timeout, nil)
}

// sendWith sends one client attempt with more headers.
func (s *site) sendWith(r *router, method, path, id, body string, timeout time.Duration, header map[string]string) answer {
	s.record.add("sent %s %s %s to %s", id, method, path, r.name)
	a := s.exchange(r, method, path, id, body, timeout, header)
	s.record.add("answered %s by %s: status %d whole %t error %v", id, r.name, a.status, a.whole, a.err)
	return a
}

// exchange sends a client attempt and reads the answer.
func (s *site) exchange(r *router, method, path, id, body string, timeout time.Duration, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.listen+path, reader)
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Attempt-Identifier", id)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, whole: err == nil && resp.Header.Get("X-Server-Signature") != "", body: string(text), err: err}
}
