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
	"time"
)

// runner is the process of a model runner whose answers have neither a length nor chunks and end with their connection.
type runner struct {
	id     string
	events int
	pause  time.Duration
	mu     sync.Mutex
}

func runRunner(args []string) int {
	r := &runner{}
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	address := flags.String("address", "", "address to listen on")
	flags.StringVar(&r.id, "id", "", "identifier")
	flags.IntVar(&r.events, "events", 60, "events of a stream")
	flags.DurationVar(&r.pause, "pause", 50*time.Millisecond, "pause between events")
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
		r.stream(c, req)
		return
	}
}

// stream writes the events of a stream and closes the connection.
func (r *runner) stream(c net.Conn, req *http.Request) {
	id := req.Header.Get("X-Attempt-Identifier")
	r.say("runs %s", id)
	head := []string{
		"HTTP/1.1 200 OK", "X-Attempt-Identifier: " + id, "X-Server-Signature: " + r.id + "." + id, "X-Weight-Versions: 1",
		"Content-Type: text/event-stream", "Connection: close",
	}
	if _, err := io.WriteString(c, strings.Join(head, "\r\n")+"\r\n\r\n"); err != nil {
		return
	}
	for i := range r.events {
		number := strconv.Itoa(i + 1)
		if _, err := io.WriteString(c, "id: "+number+"\ndata: token "+number+"\n\n"); err != nil {
			return
		}
		time.Sleep(r.pause)
	}
	r.say("ends %s with event %d", id, r.events)
}
