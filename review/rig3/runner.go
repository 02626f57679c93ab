package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runner is the process of a model runner, or of one that looks orders up and books visits. The streams of a model runner have neither a
// length nor chunks and end with their connection, unless it sends chunks.
type runner struct {
	id, build string
	events    int
	// read is the time to the first event, pause that between two.
	read, pause time.Duration
	chunks      bool
	// work is how long a request takes that is no stream. The process ends within a request whose path begins with crash.
	work  time.Duration
	crash string
	mu    sync.Mutex
}

func runRunner(args []string) int {
	r := &runner{}
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	address := flags.String("address", "", "address to listen on")
	flags.StringVar(&r.id, "id", "", "identifier")
	flags.IntVar(&r.events, "events", 60, "events of a stream")
	flags.DurationVar(&r.pause, "pause", 50*time.Millisecond, "pause between events")
	flags.StringVar(&r.build, "build", "v1", "software version")
	flags.DurationVar(&r.read, "read", 0, "time to the first event")
	flags.BoolVar(&r.chunks, "chunks", false, "send chunks")
	flags.DurationVar(&r.work, "work", 0, "time for a request that is no stream, zero if all are streams")
	flags.StringVar(&r.crash, "crash", "", "beginning of the path of requests that end the process")
	if err := flags.Parse(args); err != nil {
		return exitFailed
	}
	l, err := net.Listen("tcp4", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r.say("listens")
	for {
		c, err := l.Accept()
		if err != nil {
			return exitFailed
		}
		go r.serve(c)
	}
}

// say reports what the runner does, a line each.
func (r *runner) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve answers the requests of a connection.
func (r *runner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if want := req.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Identifier: %s\r\nX-Instance-Identifier: %s\r\nContent-Length: 0\r\n\r\n",
				req.Header.Get("X-Attempt-Identifier"), r.id)
			continue
		}
		if req.URL.Path == "/report" {
			body := fmt.Sprintf(`{"Stage":"prefill_decode","Models":[{"Name":%q,"Version":1,"Adapters":[]}],"Busy":false,"Sequence":0}`, model)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		if r.work > 0 {
			r.answer(c, req)
			continue
		}
		if !r.stream(c, req) {
			return
		}
	}
}

// answer answers a request that is no stream, or ends the process.
func (r *runner) answer(c net.Conn, req *http.Request) {
	id := req.Header.Get("X-Attempt-Identifier")
	r.say("runs %s", id)
	if r.crash != "" && strings.HasPrefix(req.URL.Path, r.crash) {
		// It ends while it runs the request.
		time.Sleep(crashTime)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	time.Sleep(r.work)
	body := "done " + id + "\n"
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Identifier: %s\r\nX-Server-Signature: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		id, r.id, id, len(body), body)
}

// stream writes the events of a stream after the client's last one. It reports whether the connection can be used again.
func (r *runner) stream(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Identifier")
	// An absent header counts as no event.
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	events := r.events
	// The path names the number of events.
	if n, err := strconv.Atoi(strings.Split(req.URL.Path+"//", "/")[2]); err == nil && n > 0 {
		events = n
	}
	r.say("runs %s after event %d", id, last)
	time.Sleep(r.read)
	head := []string{
		"HTTP/1.1 200 OK", "X-Attempt-Identifier: " + id, "X-Server-Signature: " + r.id + "." + id, "X-Weight-Versions: 1",
		"Content-Type: text/event-stream",
	}
	if r.chunks {
		head = append(head, "Transfer-Encoding: chunked")
	} else {
		head = append(head, "Connection: close")
	}
	if _, err := io.WriteString(c, strings.Join(head, "\r\n")+"\r\n\r\n"); err != nil {
		return false
	}
	for i := last + 1; i <= events; i++ {
		if i > last+1 {
			time.Sleep(r.pause)
		}
		text := fmt.Sprintf("id: %d\ndata: token %d of version %s\n\n", i, i, r.build)
		if r.chunks {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	r.say("ends %s with event %d", id, events)
	if !r.chunks {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
