package trials

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/logger"
	"github.com/skylarkquay/skylarkquay/internal/trial/soak"
)

// soakCommand injects random faults into routers that run as separate processes.
type soakCommand struct {
	t        *tool
	Bin      string        `long:"bin" default:"build" description:"folder of the programs"`
	Earlier  string        `long:"earlier" description:"skylarkedge of an earlier build, with which the routers begin; each start after that is of the current one"`
	Out      string        `long:"out" default:"build/soak" description:"folder of the report, the plot and the logs"`
	Seed     uint64        `long:"seed" description:"first seed; drawn from the time when it is 0"`
	Runs     int           `long:"runs" description:"number of seeds; 0 goes on until the minutes are over"`
	Minutes  float64       `long:"minutes" description:"begin no run after so many minutes; 0 for no bound"`
	Length   time.Duration `long:"length" default:"20s" description:"how long faults begin in a run"`
	Own      bool          `long:"own" description:"play the product's own interface instead of the platform's"`
	Fault    string        `long:"fault" description:"play only these kinds of fault, separated by commas"`
	Regress  bool          `long:"regress" description:"play the seeds that ever failed first"`
	Routers  int           `long:"routers" default:"0" description:"number of routers; 0 draws 5, 13 or 26 by the seed"`
	Engines  int           `long:"engines" default:"6" description:"number of engines"`
	Services int           `long:"services" default:"3" description:"number of plain services"`
	Callers  int           `long:"callers" default:"24" description:"number of callers"`
	Commit   string        `long:"commit" description:"commit to name in the report"`
}

// routerCounts are the router counts that seeds select from: with and without heads of availability zones.
var routerCounts = []int{5, 13, 26}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Runs <= 0 && c.Minutes <= 0 {
		return oops.Errorf("soak: set --runs, --minutes or both")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64() >> 32
	}
	first := seed
	var results []soak.Result
	runSeed := func(seed uint64, routers int, length time.Duration, fault string) error {
		result, err := c.runSeed(ctx, seed, routers, length, fault)
		results = append(results, result)
		return err
	}
	if c.Regress && !c.Own {
		for _, r := range soak.Regressions {
			if err := runSeed(r.Seed, r.Routers, r.Length, r.Fault); err != nil {
				return err
			}
		}
	}
	start := time.Now()
	for ; ctx.Err() == nil && (c.Runs <= 0 || seed < first+uint64(c.Runs)); seed++ {
		if c.Minutes > 0 && time.Since(start).Minutes() > c.Minutes {
			break
		}
		routers := c.Routers
		if routers <= 0 {
			routers = routerCounts[seed%uint64(len(routerCounts))]
		}
		if err := runSeed(seed, routers, c.Length, c.Fault); err != nil {
			return err
		}
	}
	return c.report(soak.NewReport(results))
}

// runSeed runs the faults of one seed and prints the result.
func (c *soakCommand) runSeed(ctx context.Context, seed uint64, routers int, length time.Duration, fault string) (soak.Result, error) {
	folder := filepath.Join(c.Out, fmt.Sprint("seed-", seed))
	if err := os.RemoveAll(folder); err != nil {
		return soak.Result{}, err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return soak.Result{}, err
	}
	file, err := os.Create(filepath.Join(folder, "soak.log"))
	if err != nil {
		return soak.Result{}, err
	}
	defer func() { _ = file.Close() }()
	run := soak.RunEdge
	if c.Own {
		run = soak.RunQuay
	}
	result, err := run(ctx, soak.Settings{
		Programs: c.Bin, Earlier: c.Earlier, Folder: folder, Seed: seed, Length: length, OnlyFault: fault,
		Size: soak.Size{Routers: routers, Engines: c.Engines, Services: c.Services, Callers: c.Callers}, Log: logger.New("info", file),
	})
	if err != nil {
		return result, err
	}
	c.t.printf("seed %d: %d routers, %d faults, %d calls, %d served, %d broken promises\n", seed, routers, len(result.Injections), result.Calls, result.Served, len(result.Violations))
	for _, b := range result.Violations {
		c.t.printf("  %s: %s %s\n", b.Promise, b.ID, b.Text)
	}
	return result, nil
}

// report writes the report and returns an error if a promise was broken.
func (c *soakCommand) report(r soak.Report) error {
	r.Commit = c.Commit
	if err := saveJSON(filepath.Join(c.Out, "report.json"), r); err != nil {
		return err
	}
	if len(r.Latency) > 0 {
		if err := r.Plot(filepath.Join(c.Out, "report.png")); err != nil {
			return err
		}
	}
	r.Print(c.t.out)
	if r.Violations > 0 {
		return oops.Errorf("%d promises broken", r.Violations)
	}
	return nil
}
