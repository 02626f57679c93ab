package whole

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// serverProcessEnv makes the test binary run a server.
const serverProcessEnv = "WHOLE_TEST_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(serverProcessEnv) != "" {
		runServerProcess()
		return
	}
	os.Exit(m.Run())
}

// runServerProcess prints the address of a server, and serves until it is killed or its parent has ended.
func runServerProcess() {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	server := newServer()
	wrapped := Listener(server, l)
	go func() { _ = server.Serve(wrapped) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

const half = "half"

// newServer returns a server whose responses begin with half. Paths choose how they go on.
func newServer() *http.Server {
	return &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, half)
		if r.URL.Path != "/short" {
			_ = http.NewResponseController(w).Flush()
		}
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/hang":
			<-r.Context().Done()
		case "/long":
			_, _ = io.WriteString(w, strings.Repeat("x", longBytes))
		default:
			_, _ = io.WriteString(w, half)
		}
	}), ReadHeaderTimeout: time.Second}
}

const longBytes = 1 << 20

func startServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	server := newServer()
	wrapped := Listener(server, l)
	go func() { _ = server.Serve(wrapped) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// startServerProcess starts a server as a process. It returns its address and a function that kills it.
func startServerProcess(t *testing.T) (address string, kill func()) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serverProcessEnv+"=1")
	stdin, err := cmd.StdinPipe()
	must.NoError(t, err)
	stdout, err := cmd.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	must.NoError(t, err)
	return strings.TrimSpace(line), func() { must.NoError(t, cmd.Process.Kill()) }
}

// caller is a connection to a server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) caller {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return caller{conn, bufio.NewReader(conn)}
}

// get sends a request of HTTP/1.0 and reads the head of the response.
func (c caller) get(t *testing.T, path, header string) *http.Response {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: router\r\n%s\r\n", path, header)
	must.NoError(t, err)
	res, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	return res
}

// A caller that is cut off sees no proper end of its connection.
func TestResponsesWithoutLength(t *testing.T) {
	address := startServer(t)
	for _, c := range []struct {
		path string
		body string
		err  error
	}{
		{"/whole", half + half, nil},
		{"/long", half + strings.Repeat("x", longBytes), nil},
		{"/abort", half, syscall.ECONNRESET},
	} {
		t.Run(c.path, func(t *testing.T) {
			res := dial(t, address).get(t, c.path, "")
			must.Eq(t, -1, res.ContentLength)
			body, err := io.ReadAll(res.Body)
			must.ErrorIs(t, err, c.err)
			if c.err == nil {
				must.Eq(t, c.body, string(body))
			}
		})
	}
}

func TestResponseOfKilledProcessIsReset(t *testing.T) {
	address, kill := startServerProcess(t)
	res := dial(t, address).get(t, "/hang", "")
	received := make([]byte, len(half))
	_, err := io.ReadFull(res.Body, received)
	must.NoError(t, err)
	must.Eq(t, half, string(received))
	kill()
	_, err = io.ReadAll(res.Body)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// A response with a length leaves the connection open for the next one, whose end counts.
func TestKeptConnection(t *testing.T) {
	c := dial(t, startServer(t))
	res := c.get(t, "/short", "Connection: keep-alive\r\n")
	must.Eq(t, int64(len(half+half)), res.ContentLength)
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, half+half, string(body))
	res = c.get(t, "/abort", "")
	_, err = io.ReadAll(res.Body)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
