// Package trace reads, writes and generates traffic traces; docs/TRACES.md describes the format.
package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
)

// Header is the first line of a trace: the site, its rates and its faults.
type Header struct {
	// Name is the trace's name.
	Name string `json:"trace"`
	// Objective is the site's optimization goal, as in the routing document.
	Objective string `json:"favour"`
	// Zones are the availability zones; engines and routers are assigned to them round-robin.
	Zones   []string `json:"zones"`
	Engines int      `json:"engines"`
	Routers int      `json:"routers"`
	// CachePieces is the capacity of an engine's cache in pieces.
	CachePieces int `json:"cache_pieces"`
	// TokenMicros is the time in microseconds to compute one prompt token.
	TokenMicros float64 `json:"token_micros"`
	// EventMillis is the time in milliseconds between two output tokens.
	EventMillis float64 `json:"event_millis"`
	// HopMillis is the one-way time in milliseconds between availability zones.
	HopMillis float64 `json:"hop_millis"`
	// Rates maps workspaces to their rates.
	Rates map[string]Rate `json:"rates"`
	// Faults are the failures during the trace, sorted by time.
	Faults []Fault `json:"faults,omitempty"`
}

// Rate is a workspace's rate limit: tokens per second and burst tokens.
type Rate struct {
	PerSecond int64 `json:"per_second"`
	Burst     int64 `json:"burst"`
}

// Fault is one failure of an engine.
type Fault struct {
	// At is the time in seconds from the start.
	At float64 `json:"at"`
	// Kind is "crash": the engine loses its cache and its requests and accepts new ones after Seconds.
	Kind    string  `json:"kind"`
	Engine  int     `json:"engine"`
	Seconds float64 `json:"seconds"`
}

// Level is one level of a prompt's nested prefixes.
type Level struct {
	// ID identifies the text of the level within its parent.
	ID string `json:"id"`
	// Pieces is the length of the level in whole pieces.
	Pieces int `json:"pieces"`
}

// Row is one request.
type Row struct {
	// At is the arrival time in seconds from the start; rows are sorted by it.
	At        float64 `json:"at"`
	Workspace string  `json:"workspace"`
	Router    int     `json:"router"`
	Levels    []Level `json:"levels"`
	// UniqueTokens is the number of prompt tokens after the shared levels.
	UniqueTokens int64 `json:"own"`
	// OutputTokens is the number of output tokens.
	OutputTokens int64 `json:"output"`
}

// Chain returns the prefix hashes of the row's levels.
func (r Row) Chain() []prefix.Hash {
	var path strings.Builder
	var chain []prefix.Hash
	salt := prefix.Salt{Workspace: r.Workspace}
	for _, l := range r.Levels {
		fmt.Fprintf(&path, "/%s", l.ID)
		for i := range l.Pieces {
			chain = append(chain, prefix.FromName(salt, fmt.Sprintf("%s#%d", path.String(), i)))
		}
	}
	return chain
}

// Tokens returns the number of prompt tokens.
func (r Row) Tokens() int64 {
	n := r.UniqueTokens
	for _, l := range r.Levels {
		n += int64(l.Pieces) * prefix.PieceTokens
	}
	return n
}

// Trace is a parsed or generated trace.
type Trace struct {
	Header Header
	Rows   []Row
}

const maxLineBytes = 1 << 20

// Read reads a trace file; a name that ends in .gz means gzip.
func Read(path string) (Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return Trace{}, err
	}
	defer func() { _ = file.Close() }()
	var in io.Reader = file
	if strings.HasSuffix(path, ".gz") {
		if in, err = gzip.NewReader(file); err != nil {
			return Trace{}, oops.Wrapf(err, "trace %s", path)
		}
	}
	t, err := Parse(in)
	return t, oops.Wrapf(err, "trace %s", path)
}

// Parse reads a trace. Errors contain the line number.
func Parse(in io.Reader) (Trace, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var t Trace
	for number := 1; lines.Scan(); number++ {
		decoder := json.NewDecoder(strings.NewReader(lines.Text()))
		decoder.DisallowUnknownFields()
		if number == 1 {
			if err := decoder.Decode(&t.Header); err != nil {
				return t, oops.Errorf("line 1: %s", err.Error())
			}
			if err := t.Header.check(); err != nil {
				return t, oops.Errorf("line 1: %s", err.Error())
			}
			continue
		}
		var r Row
		if err := decoder.Decode(&r); err != nil {
			return t, oops.Errorf("line %d: %s", number, err.Error())
		}
		if err := t.checkRow(r); err != nil {
			return t, oops.Errorf("line %d: %s", number, err.Error())
		}
		t.Rows = append(t.Rows, r)
	}
	if err := lines.Err(); err != nil {
		return t, err
	}
	if len(t.Rows) == 0 {
		return t, oops.Errorf("the trace has no rows")
	}
	return t, nil
}

func (h Header) check() error {
	if len(h.Zones) == 0 || h.Engines < 1 || h.Routers < 1 || h.CachePieces < 1 || h.TokenMicros <= 0 {
		return oops.Errorf("zones, engines, routers, cache_pieces and token_micros must be set")
	}
	for _, f := range h.Faults {
		if f.Kind != "crash" || f.Engine < 0 || f.Engine >= h.Engines {
			return oops.Errorf("fault %q of engine %d is not known", f.Kind, f.Engine)
		}
	}
	return nil
}

func (t Trace) checkRow(r Row) error {
	if len(t.Rows) > 0 && r.At < t.Rows[len(t.Rows)-1].At {
		return oops.Errorf("rows are not in order of time")
	}
	if r.Router < 0 || r.Router >= t.Header.Routers {
		return oops.Errorf("router %d is not one of %d", r.Router, t.Header.Routers)
	}
	if r.Workspace == "" || r.Tokens() <= 0 || r.OutputTokens < 1 {
		return oops.Errorf("workspace, prompt and output must be set")
	}
	return nil
}

// Write writes a trace that Parse can read.
func (t Trace) Write(out io.Writer) error {
	e := json.NewEncoder(out)
	if err := e.Encode(t.Header); err != nil {
		return err
	}
	for _, r := range t.Rows {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return nil
}
