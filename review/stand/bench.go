package main

import (
	"errors"
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

	"gopkg.in/yaml.v3"

	"github.com/skylarkquay/skylarkquay/internal/app/edge"
	"github.com/skylarkquay/skylarkquay/internal/trial/site"
)

// The bounds and times of sites/vbpfans.toml.
const (
	revocation  = 5 * time.Second
	gracePeriod = 8 * time.Second
	// storeDelay is the time of an answer of the store, as on the sheets.
	storeDelay    = 4 * time.Millisecond
	leaseDuration = 3 * time.Second
)

// router is one process of the router.
type router struct {
	name          string
	listen, ready string
	peer          string
	config        string
	logPath       string
	cmd           *exec.Cmd
	done          chan struct{}
}

// bench starts routers and ends them.
type bench struct {
	trouble bool
	folder  string
	program string
	started time.Time
	mu      sync.Mutex
	record  io.Writer
	routers []*router
	// closed reports whether all processes have been ended.
	closed bool
}

func newBench(record io.Writer, trouble bool) (*bench, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/skylarkedge")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	return &bench{trouble: trouble, folder: folder, program: program, record: record, started: time.Now()}, nil
}

// notef writes a line with the time since the start to the record.
func (b *bench) notef(format string, args ...any) { b.noteAt(time.Now(), format, args...) }

func (b *bench) noteAt(at time.Time, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%9.4f  %s\n", at.Sub(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// addRouter writes the settings of a router, as deploy/edge.yaml has them, and starts it.
func (b *bench) addRouter(name, zone, store string) (*router, error) {
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = site.FreeAddress(); err != nil {
			return nil, err
		}
	}
	s := edge.Settings{
		Name: name, Zone: zone, Listen: addrs[0], Ready: addrs[1], Peer: addrs[2], Metrics: addrs[3], Store: store,
		MemoryMB: 120, Cores: 0.272, Link: 700, Grace: gracePeriod.Seconds(), Revocation: revocation.Milliseconds(), Weights: 8000,
		Turn: leaseDuration.Milliseconds(), RetryRatio: 0.2, RetrySlack: 122, RetryWindow: 10, QuotaWindow: 8, QuotaOvershoot: 0.1,
		QuotaSlack: 110000, Level: "info",
	}
	text, err := yaml.Marshal(s)
	if err != nil {
		return nil, err
	}
	r := &router{
		name: name, listen: addrs[0], ready: addrs[1], peer: addrs[2], config: filepath.Join(b.folder, name+".yaml"),
		logPath: filepath.Join(b.folder, name+".log"),
	}
	if err := os.WriteFile(r.config, text, 0o600); err != nil {
		return nil, err
	}
	b.routers = append(b.routers, r)
	return r, b.start(r)
}

// start starts a router's process with the command of the deploy file.
func (b *bench) start(r *router) error {
	if err := b.startProcess(r); err != nil {
		return err
	}
	b.notef("%s started, process %d, listens on %s", r.name, r.cmd.Process.Pid, r.listen)
	return nil
}

func (b *bench) startProcess(r *router) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errors.New("the case has ended")
	}
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd, done := exec.Command(b.program, "run", "--config", r.config), make(chan struct{})
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd, r.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to a router's process.
func (b *bench) signal(r *router, s syscall.Signal) {
	b.notef("%s to %s", s, r.name)
	_ = r.cmd.Process.Signal(s)
}

// waitReady waits until all routers say that they are ready.
func (b *bench) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for _, r := range b.routers {
		for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
			resp, err := client.Get("http://" + r.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(began) > 20*time.Second {
				return fmt.Errorf("%s is not ready after 20 s", r.name)
			}
		}
	}
	b.notef("all routers are ready")
	return nil
}

// close ends all processes and removes the folder.
func (b *bench) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, r := range b.routers {
		if r.cmd == nil {
			continue
		}
		// A process that has ended is not signalled.
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		<-r.done
	}
	// The folder is a temporary one.
	_ = os.RemoveAll(b.folder)
}

// listen serves a handler on a free loopback address.
func listen(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), server, nil
}
