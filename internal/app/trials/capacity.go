package trials

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"os"
	"regexp"
	"runtime"
	"sort"
	"strconv"
	"strings"

	"github.com/samber/oops"
)

// capacityCommand fits lines to benchmark output and estimates the cost of the target deployment from them.
type capacityCommand struct {
	t      *tool
	In     string `long:"in" default:"build/capacity.txt" description:"output of the capacity benchmarks"`
	Out    string `long:"out" default:"build/capacity.json" description:"where to write the table"`
	Commit string `long:"commit" description:"commit that was measured"`
}

// Fit is a linear fit of one metric of one benchmark over the benchmark's sizes.
type Fit struct {
	Benchmark string `json:"benchmark"`
	// Per is the unit of the size.
	Per    string `json:"per"`
	Metric string `json:"metric"`
	// Sizes and Values are the measured points.
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	// Fixed and Slope are the intercept and the slope per unit of size.
	Fixed float64 `json:"fixed"`
	Slope float64 `json:"slope"`
	// Error is the largest deviation of a point from the line, as a fraction of the largest value.
	Error float64 `json:"error"`
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 {
	return f.Fixed + f.Slope*size
}

// Report is the capacity table.
type Report struct {
	Machine string `json:"machine"`
	Commit  string `json:"commit"`
	Fits    []Fit  `json:"fits"`
	Roles   []Role `json:"roles"`
	// Sum is the total of the control roles of one instance.
	Sum Role `json:"sum"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	file, err := os.Open(c.In)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	results, err := readBenchmarks(file)
	if err != nil {
		return err
	}
	r := Report{
		Machine: fmt.Sprintf("%s, %d processors, %s", results.processor, runtime.NumCPU(), runtime.Version()),
		Commit:  c.Commit,
		Fits:    results.fits(),
	}
	if r.Roles, err = computeRoles(r.Fits); err != nil {
		return err
	}
	for _, role := range r.Roles {
		if role.Control {
			r.Sum.CPU += role.CPU
			r.Sum.Memory += role.Memory
			r.Sum.Bytes += role.Bytes
			r.Sum.Reads += role.Reads
			r.Sum.Writes += role.Writes
		}
	}
	r.Sum.Name = "all control"
	if err := saveJSON(c.Out, r); err != nil {
		return err
	}
	r.print(c.t)
	return nil
}

func (r Report) print(t *tool) {
	t.printf("machine: %s\ncommit:  %s\n\n", r.Machine, r.Commit)
	t.printf("%-22s %-12s %-12s %14s %14s %7s\n", "benchmark", "per", "metric", "fixed", "slope", "error")
	for _, f := range r.Fits {
		t.printf("%-22s %-12s %-12s %14.1f %14.4f %6.1f%%\n", f.Benchmark, f.Per, f.Metric, f.Fixed, f.Slope, 100*f.Error)
	}
	t.printf("\n%-22s %9s %9s %9s %9s %9s  %s\n", "role, per instance", "core %", "MB", "B/s", "reads/s", "writes/s", "mechanism")
	for _, role := range append(r.Roles, r.Sum) {
		t.printf("%-22s %9.3f %9.2f %9.0f %9.3f %9.3f  %s\n", role.Name, 100*role.CPU, role.Memory/1e6, role.Bytes, role.Reads, role.Writes, role.Mechanism)
	}
	t.printf("%-22s %9.3f %9.2f %9.0f\n", "budget", 100*budgetCPU, budgetMemory/1e6, budgetBytes)
}

// point is one measured value.
type point struct {
	size  float64
	value float64
}

// series identifies one metric of one benchmark.
type series struct {
	benchmark string
	per       string
	metric    string
}

// benchmarks holds the points of all series.
type benchmarks struct {
	processor string
	points    map[series][]point
}

var benchLine = regexp.MustCompile(`^BenchmarkCapacity(\w+)/(\w+)/n=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// readBenchmarks parses the output of go test -bench.
func readBenchmarks(in io.Reader) (benchmarks, error) {
	b := benchmarks{points: make(map[series][]point)}
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		if cpu, ok := strings.CutPrefix(lines.Text(), "cpu: "); ok {
			b.processor = cpu
		}
		m := benchLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return b, oops.Errorf("benchmark output line %d: invalid size %q", number, m[3])
		}
		fields := strings.Fields(m[4])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return b, oops.Errorf("benchmark output line %d: invalid value %q", number, fields[i])
			}
			s := series{m[1], m[2], fields[i+1]}
			b.points[s] = append(b.points[s], point{size, value})
		}
	}
	return b, lines.Err()
}

// fits returns a fit for each series with more than one point, except allocation metrics.
func (b benchmarks) fits() []Fit {
	var fits []Fit
	for s, points := range b.points {
		if len(points) > 1 && s.metric != "allocs/op" && s.metric != "B/op" {
			fits = append(fits, fitLine(s, points))
		}
	}
	sort.Slice(fits, func(i, j int) bool {
		if fits[i].Benchmark != fits[j].Benchmark {
			return fits[i].Benchmark < fits[j].Benchmark
		}
		return fits[i].Metric < fits[j].Metric
	})
	return fits
}

// fitLine fits a line by least squares.
func fitLine(s series, points []point) Fit {
	f := Fit{Benchmark: s.benchmark, Per: s.per, Metric: s.metric}
	var meanSize, meanValue, largest float64
	for _, p := range points {
		f.Sizes = append(f.Sizes, p.size)
		f.Values = append(f.Values, p.value)
		meanSize += p.size / float64(len(points))
		meanValue += p.value / float64(len(points))
		largest = math.Max(largest, math.Abs(p.value))
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.size - meanSize) * (p.value - meanValue)
		variance += (p.size - meanSize) * (p.size - meanSize)
	}
	f.Slope = covariance / variance
	f.Fixed = meanValue - f.Slope*meanSize
	for _, p := range points {
		f.Error = math.Max(f.Error, math.Abs(p.value-f.At(p.size))/math.Max(largest, 1))
	}
	return f
}
