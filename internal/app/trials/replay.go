package trials

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"

	"github.com/skylarkquay/skylarkquay/internal/trial/replay"
	"github.com/skylarkquay/skylarkquay/internal/trial/trace"
)

// recordCommand generates the trace files.
type recordCommand struct {
	t      *tool
	Folder string `long:"folder" default:"traces" description:"where to write"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the traffic"`
}

// Execute implements flags.Commander.
func (r *recordCommand) Execute([]string) error {
	if err := os.MkdirAll(r.Folder, 0o755); err != nil {
		return err
	}
	for _, site := range trace.Sites {
		for _, kind := range trace.Kinds {
			t := trace.Generate(site, kind, r.Seed)
			if err := writeTrace(filepath.Join(r.Folder, t.Header.Name+".jsonl.gz"), t); err != nil {
				return err
			}
			r.t.printf("%s: %d requests\n", t.Header.Name, len(t.Rows))
		}
	}
	return nil
}

func writeTrace(path string, t trace.Trace) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := gzip.NewWriter(file)
	if err := t.Write(writer); err != nil {
		return err
	}
	if err := writer.Close(); err != nil {
		return err
	}
	return file.Close()
}

// replayCommand replays traces under the policies.
type replayCommand struct {
	t      *tool
	Trace  string `long:"trace" description:"one trace, by its name under the folder or by its path"`
	Folder string `long:"folder" default:"traces" description:"where the traces are"`
	Policy string `long:"policy" description:"one policy"`
	Out    string `long:"out" default:"build/replay.json" description:"where to write the rows"`
}

// Execute implements flags.Commander.
func (r *replayCommand) Execute([]string) error {
	paths, err := r.paths()
	if err != nil {
		return err
	}
	var results []replay.Result
	for i, path := range paths {
		_, _ = fmt.Fprintf(r.t.stderr, "replaying %s (%d of %d)\n", path, i+1, len(paths))
		t, err := trace.Read(path)
		if err != nil {
			return err
		}
		results = append(results, r.replay(t)...)
	}
	if err := saveJSON(r.Out, results); err != nil {
		return err
	}
	if r.t.JSON {
		return json.NewEncoder(r.t.out).Encode(results)
	}
	r.t.printf("%-16s %-15s %8s %6s %7s %7s %7s %7s %7s %9s\n", "trace", "policy", "requests", "hit", "p50", "p95", "p99", "waste", "worst", "wrongful")
	for _, result := range results {
		r.t.printf("%-16s %-15s %8d %6.3f %7.3f %7.3f %7.3f %7.4f %7.4f %9.5f\n", result.Trace, result.Policy, result.Requests, result.HitRate, result.P50, result.P95, result.P99, result.Waste, result.WorstWithinTarget, result.Rejected)
	}
	return nil
}

func (r *replayCommand) paths() ([]string, error) {
	if r.Trace == "" {
		paths, err := filepath.Glob(filepath.Join(r.Folder, "*.jsonl*"))
		sort.Strings(paths)
		return paths, err
	}
	named := filepath.Join(r.Folder, r.Trace+".jsonl.gz")
	if _, err := os.Stat(named); err == nil {
		return []string{named}, nil
	}
	return []string{r.Trace}, nil
}

// replay runs a trace under the policies concurrently.
func (r *replayCommand) replay(t trace.Trace) []replay.Result {
	policies := replay.Policies
	if r.Policy != "" {
		policies = []replay.Policy{replay.Policy(r.Policy)}
	}
	results := make([]replay.Result, len(policies))
	var wg sync.WaitGroup
	for i, p := range policies {
		wg.Go(func() { results[i] = replay.Run(t, p) })
	}
	wg.Wait()
	return results
}
