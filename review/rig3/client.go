package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// patience is the longest gap in a stream that a client bears: two seconds, four times the objective or eight times the pause.
const patience = 3200 * time.Millisecond

// answer is what a client got.
type answer struct {
	status int
	signed bool
	// events are the ids of the events in order.
	events []int
	// versions is the software version that the events name.
	versions string
	// retryAfter is when the client may come back.
	retryAfter time.Duration
	// complete reports whether the answer ended as complete.
	complete bool
	err      error
}

// request is a streaming request.
type request struct {
	path string
	// events is the number of events that the runner shall make, zero for its default.
	events   int
	deadline time.Duration
	// last is the last event that the client has of the stream that an attempt began, zero for a new stream.
	last    int
	resumes string
}

// ask sends a request for a new stream of the default length.
func ask(address, id, path string) answer {
	return askFor(address, id, request{path: path, deadline: 15 * time.Second})
}

// askFor sends a streaming request to a router on a new connection and reads its answer.
func askFor(address, id string, q request) answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	const body = "notes"
	header := ""
	if q.last > 0 {
		header = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", q.last, q.resumes)
	}
	_, err = fmt.Fprintf(c, "POST %s%d/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Model: %s\r\nX-Token-Usage: 826,73\r\n"+
		"X-Prompt-Prefix: 5c1e07a2:198,%s:628\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		q.path, q.events, id, host, id, model, id, q.deadline.Milliseconds(), apiKey, header, len(body), body)
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("X-Server-Signature") != ""}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "id:"); ok {
			if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil {
				a.events = append(a.events, n)
			}
		}
		if _, version, ok := strings.Cut(line, " of version "); ok {
			a.versions = strings.TrimSpace(version)
		}
		if err != nil {
			a.complete, a.err = errors.Is(err, io.EOF), err
			return a
		}
		_ = c.SetDeadline(time.Now().Add(patience))
	}
}

// last returns the id of the last event.
func (a *answer) last() int {
	if len(a.events) == 0 {
		return 0
	}
	return a.events[len(a.events)-1]
}

// askPlain sends a request that is no stream to a router on a new connection and returns the status, zero if there is no whole answer.
func askPlain(address, method, path, id, body string, deadline time.Duration) int {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Token %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, path, host, id, deadline.Milliseconds(), apiKey, len(body), body)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
