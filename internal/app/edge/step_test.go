package edge

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"gopkg.in/yaml.v3"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// routerVariable names the settings file of a router that the test binary runs.
const routerVariable = "SKYLARKEDGE_TEST_ROUTER"

func TestMain(m *testing.M) {
	if path := os.Getenv(routerVariable); path != "" {
		os.Exit(Main([]string{"run", "--config", path}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// routerProcess is a router that runs as a process of its own.
type routerProcess struct {
	settings Settings
	process  *os.Process
}

func startRouterProcess(t *testing.T, settings Settings) *routerProcess {
	t.Helper()
	text, err := yaml.Marshal(settings)
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, os.WriteFile(path, text, 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), routerVariable+"="+path)
	must.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	eventually(t, "ready", func() bool { return isReady(settings) })
	return &routerProcess{settings: settings, process: cmd.Process}
}

func (p *routerProcess) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	must.NoError(t, p.process.Signal(s))
}

// startSteppedSite starts a site with two engines of v1 and two of v2 that are not listed yet.
func startSteppedSite(t *testing.T) *fake.Site {
	t.Helper()
	s := newSite(t, 4, 1)
	for i, build := range []string{"v1", "v1", "v2", "v2"} {
		s.Engines[i].Build = build
		s.Register(s.Engines[i], "ready")
	}
	s.Deregister(s.Engines[2])
	s.Deregister(s.Engines[3])
	return s
}

// Guards against streams that are joined of two builds at an instance that stood still while upstreams of the second one joined and
// streams began there through others.
func TestStreamsTakenUpAfterAFreezeAreNotJoined(t *testing.T) {
	s := startSteppedSite(t)
	frozen := startRouterProcess(t, testSettings(t, s))
	time.Sleep(time.Second)
	frozen.signal(t, syscall.SIGSTOP)
	time.Sleep(time.Second)
	for _, u := range s.Engines[2:] {
		s.Register(u, "ready")
	}
	time.Sleep(3 * time.Second)
	var callers sync.WaitGroup
	var calls []fake.Call
	for range 12 {
		call := resume(newUnsharedCall())
		calls = append(calls, call)
		callers.Go(func() {
			// The outcome is judged by the engines.
			_, _ = fake.Send(context.Background(), frozen.settings.Listen, call)
		})
	}
	time.Sleep(200 * time.Millisecond)
	frozen.signal(t, syscall.SIGCONT)
	callers.Wait()
	for _, call := range calls {
		must.Eq(t, "", buildOf(s, call.ID))
	}
}

// Guards against streams that are joined of two builds at an instance that is cut off from the store and the other instances. What it
// cannot know is refused at once.
func TestStreamsTakenUpAtACutOffInstanceAreNotJoined(t *testing.T) {
	s := startSteppedSite(t)
	r := startRouter(t, testSettings(t, s))
	eventually(t, "ready", r.isReady)
	must.Eq(t, http.StatusOK, r.send(t, resume(fake.Call{ID: "feedfeed"})).Status)
	s.Store.SetFault(fake.Unresponsive)
	time.Sleep(3 * time.Second)
	started := time.Now()
	call := resume(fake.Call{ID: "feedfeed"})
	reply := r.send(t, call)
	must.Eq(t, http.StatusServiceUnavailable, reply.Status)
	must.Positive(t, reply.RetryAfter)
	must.Less(t, 500*time.Millisecond, time.Since(started))
	must.Eq(t, "", buildOf(s, call.ID))
	s.Store.SetFault(fake.NoFault)
	eventually(t, "in step", func() bool { return r.send(t, resume(fake.Call{ID: "feedfeed"})).Status == http.StatusOK })
}

// Streams go on at any instance while the store is away, because the instances report where they began.
func TestStreamsGoOnWhileTheStoreIsAway(t *testing.T) {
	s, routers := startMixedSite(t, "v1", "v1")
	for _, r := range routers {
		// The age of keys is not the subject. A confirmation is 0.6 s old when it is replaced, so that keys could be refused here.
		r.handler.Settings.MaxKeyAge = time.Minute
	}
	early := newUnsharedCall()
	must.Eq(t, http.StatusOK, routers[0].send(t, early).Status)
	s.Store.SetFault(fake.Unresponsive)
	time.Sleep(3 * time.Second)
	late := newUnsharedCall()
	must.Eq(t, http.StatusOK, routers[0].send(t, late).Status)
	time.Sleep(time.Second)
	for _, first := range []fake.Call{early, late} {
		reply := routers[1].send(t, resume(first))
		must.Eq(t, http.StatusOK, reply.Status, must.Sprint(reply.Body))
		must.Eq(t, events(3, 5), reply.Body)
	}
}
