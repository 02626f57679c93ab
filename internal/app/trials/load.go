package trials

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"gopkg.in/yaml.v3"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
	"github.com/skylarkquay/skylarkquay/internal/trial/load"
	"github.com/skylarkquay/skylarkquay/internal/trial/site"
	"github.com/skylarkquay/skylarkquay/internal/trial/trace"
)

// traffic are the flags that load and demo share.
type traffic struct {
	Trace string        `long:"trace" default:"traces/bizerte-steady.jsonl.gz" description:"trace file"`
	Speed float64       `long:"speed" default:"1" description:"times faster than recorded"`
	Limit time.Duration `long:"limit" default:"20s" description:"how long to send"`
	Out   string        `long:"out" default:"build/load.json" description:"where to write the report; the plot goes beside it"`
}

// run sends a trace and reports.
func (f traffic) run(t *tool, target load.Target) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rows, err := trace.Read(f.Trace)
	if err != nil {
		return err
	}
	report := load.Run(ctx, rows, target, load.Options{Speed: f.Speed, MaxDuration: f.Limit, Progress: t.stderr})
	if err := save(f.Out, report); err != nil {
		return err
	}
	if err := report.Plot(f.Out[:len(f.Out)-len(filepath.Ext(f.Out))] + ".png"); err != nil {
		return err
	}
	if t.JSON {
		return json.NewEncoder(t.out).Encode(report)
	}
	report.Print(t.out)
	return nil
}

// loadCommand drives running routers.
type loadCommand struct {
	t *tool
	traffic
	Routers []string `long:"router" required:"yes" description:"base URL of a router; may be given several times"`
	Keys    string   `long:"keys" required:"yes" description:"YAML file that maps workspaces to keys"`
	Model   string   `long:"model" default:"quotes" description:"model to ask for"`
}

// Execute implements flags.Commander.
func (l *loadCommand) Execute([]string) error {
	data, err := os.ReadFile(l.Keys)
	if err != nil {
		return err
	}
	keys := make(map[string]string)
	if err := yaml.Unmarshal(data, &keys); err != nil {
		return fmt.Errorf("keys file %s: %w", l.Keys, err)
	}
	return l.run(l.t, load.Target{Routers: l.Routers, Keys: keys, Model: l.Model})
}

// demoCommand shows the whole system in one process.
type demoCommand struct {
	t *tool
	traffic
	Count int `long:"routers" default:"3" description:"number of routers"`
}

// Execute implements flags.Commander.
func (d *demoCommand) Execute([]string) error {
	rows, err := trace.Read(d.Trace)
	if err != nil {
		return err
	}
	rates := make(map[string]rules.Rate)
	for name, r := range rows.Header.Rates {
		rates[name] = rules.Rate{TokensPerSecond: r.PerSecond, BurstTokens: r.Burst}
	}
	_, _ = fmt.Fprintf(d.t.stderr, "starting %d routers and %d engines in this process\n", d.Count, rows.Header.Engines)
	s, err := site.Start(site.Plan{
		Routers: d.Count, Engines: rows.Header.Engines, Services: 2, Rates: rates, Log: logr.Discard(),
		Engine: engine.Settings{
			PerToken:    time.Duration(rows.Header.TokenMicros * float64(time.Microsecond)),
			PerEvent:    time.Duration(rows.Header.EventMillis * float64(time.Millisecond)),
			CachePieces: rows.Header.CachePieces,
		},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	target := load.Target{Keys: s.Keys, Model: site.Model}
	for _, n := range s.Routers {
		target.Routers = append(target.Routers, n.URL())
	}
	return d.run(d.t, target)
}
