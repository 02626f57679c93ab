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
	// complete reports whether the answer ended as complete.
	complete bool
	err      error
}

// ask sends a streaming request to a router on a new connection and reads its answer.
func ask(address, id, path string) answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	const body = "brief"
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Model: %s\r\nX-Token-Usage: 826,73\r\n"+
		"X-Prompt-Prefix: 5c1e07a2:198,%s:628\r\nX-Deadline-Milliseconds: 15000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		path, id, host, id, model, id, apiKey, len(body), body)
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("X-Server-Signature") != ""}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "id:"); ok {
			if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil {
				a.events = append(a.events, n)
			}
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
