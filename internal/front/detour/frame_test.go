package detour

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
)

// relayProcessEnv makes the test binary run an instance that relays.
const relayProcessEnv = "DETOUR_TEST_RELAY"

func TestMain(m *testing.M) {
	if os.Getenv(relayProcessEnv) != "" {
		runRelayProcess()
		return
	}
	os.Exit(m.Run())
}

// runRelayProcess prints the address of an instance that relays, and serves until it is killed or its parent has ended.
func runRelayProcess() {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	relay := &Relay{
		Dialer: newDialer(dialTCP), Max: 10,
		Accepts: func(time.Time, Target) bool { return true },
		OnHead:  func(_, _ time.Time, _ Target, _ *http.Response) {},
	}
	go func() { _ = http.Serve(l, relay) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startRelayProcess starts an instance that relays as a process. It returns its address and a function that kills it.
func startRelayProcess(t *testing.T) (address string, kill func()) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), relayProcessEnv+"=1")
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
	return line[:len(line)-1], func() { must.NoError(t, cmd.Process.Kill()) }
}

const cutResponse = "HTTP/1.1 200 OK\r\n\r\nhalf"

// startHalfUpstream starts an upstream that sends the first half of a response without a length, and then nothing.
func startHalfUpstream(t *testing.T) Target {
	t.Helper()
	return startUpstream(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, cutResponse)
		_, _ = io.ReadAll(c)
	})
}

// Guards against answers that look whole after the instance that relayed them was killed.
func TestResponseThroughKilledInstanceIsIncomplete(t *testing.T) {
	relay, kill := startRelayProcess(t)
	conn, err := newDialer(noPath, relay).Dial(context.Background(), startHalfUpstream(t), time.Second)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	received := make([]byte, len(cutResponse))
	_, err = io.ReadFull(conn, received)
	must.NoError(t, err)
	must.Eq(t, cutResponse, string(received))
	kill()
	_, err = conn.Read(received)
	must.Error(t, err)
	must.False(t, errors.Is(err, io.EOF))
}

// askUnframed asks for a connection as instances of builds before frames do.
func askUnframed(t *testing.T, relay string, target Target) net.Conn {
	t.Helper()
	conn, err := dialTCP(context.Background(), relay, time.Second)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	query := url.Values{"id": {target.ID}, "address": {target.Address}, "left": {"1000"}}
	_, err = fmt.Fprintf(conn, "POST %s?%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", Path, query.Encode(), relay)
	must.NoError(t, err)
	return conn
}

// Guards against cut-off answers that look whole to instances of builds before frames.
func TestConnectionOfEarlierBuildIsResetByKilledInstance(t *testing.T) {
	relay, kill := startRelayProcess(t)
	conn := askUnframed(t, relay, startHalfUpstream(t))
	const want = "HTTP/1.1 200 OK\r\n\r\n" + cutResponse
	received := make([]byte, len(want))
	_, err := io.ReadFull(conn, received)
	must.NoError(t, err)
	must.Eq(t, want, string(received))
	kill()
	_, err = conn.Read(received)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestConnectionOfEarlierBuildEndsWithTheUpstreams(t *testing.T) {
	upstream := startUpstream(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, cutResponse)
		_ = c.Close()
	})
	conn := askUnframed(t, startRelay(t, &Relay{Dialer: newDialer(dialTCP), Max: 1}), upstream)
	received, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 200 OK\r\n\r\n"+cutResponse, string(received))
}

// Guards against answers that look whole after an instance of a build before frames was killed.
func TestResponseThroughInstanceOfEarlierBuildHasNoKnownEnd(t *testing.T) {
	relay := startUpstream(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+cutResponse)
		}
		_ = c.Close()
	})
	conn, err := newDialer(noPath, relay.Address).Dial(context.Background(), Target{ID: "u", Address: "127.0.0.1:1"}, time.Second)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	received, err := io.ReadAll(conn)
	must.Eq(t, cutResponse, string(received))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestFrames(t *testing.T) {
	long := bytes.Repeat([]byte("01234567"), relayBufferBytes/4)
	var framed bytes.Buffer
	w := &frameWriter{Writer: &framed}
	for _, p := range [][]byte{[]byte("a"), nil, long} {
		n, err := w.Write(p)
		must.NoError(t, err)
		must.Eq(t, len(p), n)
	}
	unmarked := bytes.Clone(framed.Bytes())
	must.NoError(t, w.end())
	want := append([]byte("a"), long...)
	for name, c := range map[string]struct {
		framed []byte
		err    error
	}{
		"complete":         {framed.Bytes(), nil},
		"without the mark": {unmarked, io.ErrUnexpectedEOF},
		"half a head":      {append(bytes.Clone(unmarked), 0), io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := io.ReadAll(&frameReader{reader: bufio.NewReader(iotest.OneByteReader(bytes.NewReader(c.framed)))})
			must.Eq(t, c.err, err)
			must.True(t, bytes.Equal(want, got))
		})
	}
	_, err := io.ReadAll(&frameReader{reader: bufio.NewReader(bytes.NewReader(unmarked[:len(unmarked)-1]))})
	must.Eq(t, io.ErrUnexpectedEOF, err)
}

// A read that timed out within the head of a frame goes on.
func TestFramesAfterTimeout(t *testing.T) {
	r := &frameReader{reader: bufio.NewReader(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader([]byte{0, 1, 'a', 0, 0}))))}
	p := make([]byte, 10)
	_, err := r.Read(p)
	must.ErrorIs(t, err, iotest.ErrTimeout)
	rest, err := io.ReadAll(r)
	must.NoError(t, err)
	must.Eq(t, "a", string(rest))
}
