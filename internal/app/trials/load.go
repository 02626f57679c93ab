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

// trafficFlags are the flags shared by load and demo.
type trafficFlags struct {
	Trace string        `long:"trace" default:"traces/bizerte-steady.jsonl.gz" description:"trace file"`
	Speed float64       `long:"speed" default:"1" description:"times faster than recorded"`
	Limit time.Duration `long:"limit" default:"20s" description:"how long to send"`
	Out   string        `long:"out" default:"build/load.json" description:"where to write the report; the plot goes beside it"`
}

// sendTrace sends a trace to the target and writes the report and its plot.
func (f trafficFlags) sendTrace(t *tool, target load.Target) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rows, err := trace.Read(f.Trace)
	if err != nil {
		return err
	}
	report := load.Run(ctx, rows, target, load.Options{Speed: f.Speed, MaxDuration: f.Limit, Progress: t.stderr})
	if err := saveJSON(f.Out, report); err != nil {
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

// loadCommand sends a trace to running routers.
type loadCommand struct {
	t *tool
	trafficFlags
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
		return fmt.Errorf("parse keys file %s: %w", l.Keys, err)
	}
	return l.sendTrace(l.t, load.Target{Routers: l.Routers, Keys: keys, Model: l.Model})
}

// demoCommand runs the whole system in one process and sends a trace to it.
type demoCommand struct {
	t *tool
	trafficFlags
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
	s, err := site.Start(site.Options{
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
	return d.sendTrace(d.t, target)
}
