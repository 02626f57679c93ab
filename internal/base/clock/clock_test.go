package clock

import (
	"go/ast"
	"go/build"
	"go/parser"
	"go/token"
	"go/types"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	module = "github.com/skylarkquay/skylarkquay/"
	root   = "../../.."
	// inPast is the reason of deadlines that end a read or write at once: one of 1970 has passed whatever the time of day is.
	inPast = "a deadline long past"
	// roundsDuration is the reason of calls on durations.
	roundsDuration = "rounds a duration"
)

// allowed maps uses of the time of day, by file and expression, to the reason why none of them decides anything.
var allowed = map[string]string{
	"internal/front/detour/ask.go: time.Unix(1, 0)":                                         inPast,
	"internal/front/link/link.go: time.Unix(1, 0)":                                          inPast,
	"internal/front/link/watch.go: time.Unix(1, 0)":                                         inPast,
	"internal/front/serve/stop.go: time.Unix(1, 0)":                                         inPast,
	"internal/front/serve/serve.go: x.docAge.Round(time.Millisecond)":                       roundsDuration,
	"internal/front/serve/stop.go: x.Stop.due(x.deadline).Sub(now).Round(time.Millisecond)": roundsDuration,
	"internal/front/serve/stop.go: x.deadline.Sub(now).Round(time.Millisecond)":             roundsDuration,
	"internal/once/fatal/judge.go: at.Sub(tr.base).Truncate(outageTime)":                    roundsDuration,
	"internal/route/fleet/limit.go: math.Round(count * 100)":                                "rounds a number",
	"internal/route/learn/learn.go: math.Round(value * paceUnits)":                          "rounds a number",
	"internal/peer/gossip/exchange.go: e.Clock()":                                           "the time since boot",
	"internal/peer/gossip/hub.go: e.Clock()":                                                "the time since boot",
	"internal/limit/hold/conn.go: time.Unix(1, 0)":                                          inPast,
	"platform/header.go: http.ParseTime(text)":                                              "compared with the date of the same response only",
	"platform/header.go: http.ParseTime(h.Get(\"Date\"))":                                   "compared with a date of the same response only",
}

// wallMethods are the methods of time.Time that read its time of day, or return a time without the steady clock's reading.
var wallMethods = []string{
	"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Format", "AppendFormat", "GoString", "Date", "Clock", "Weekday", "ISOWeek", "Year", "Month", "Day",
	"YearDay", "Hour", "Minute", "Second", "Nanosecond", "Zone", "ZoneBounds", "Location", "UTC", "Local", "In", "AddDate", "Round", "Truncate",
	"MarshalJSON", "MarshalText", "MarshalBinary", "GobEncode",
}

// wallNames are functions and constants of packages that give the time of day or a time without the steady clock's reading.
var wallNames = []string{
	"time.Unix", "time.UnixMilli", "time.UnixMicro", "time.Date", "time.Parse", "time.ParseInLocation", "http.ParseTime",
	"unix.CLOCK_REALTIME", "unix.CLOCK_REALTIME_COARSE", "unix.CLOCK_TAI", "unix.Gettimeofday", "unix.Time", "syscall.Gettimeofday", "syscall.Time",
}

// The time of day may jump while the router on the users' platform runs, and differs between machines: nothing that decides reads it.
func TestNothingThatDecidesReadsTheTimeOfDay(t *testing.T) {
	found := make(map[string]bool)
	for _, pkg := range linkedPackages(t, "cmd/skylarkedge") {
		for _, file := range pkg.files {
			for _, use := range wallUses(file.tree) {
				found[file.path+": "+use] = true
			}
		}
	}
	for use := range found {
		if allowed[use] == "" {
			t.Errorf("%s: reads the time of day, or strips the steady clock's reading", use)
		}
	}
	for use := range allowed {
		must.MapContainsKey(t, found, use, must.Sprint("no longer in the code"))
	}
}

func TestWallUses(t *testing.T) {
	for _, c := range []struct {
		statement string
		want      []string
	}{
		{"_ = time.Now().Unix() / 5", []string{"time.Now().Unix()"}},
		{"_ = now.Sub(start)", nil},
		{"_ = time.Since(start).Seconds()", nil},
		{"at := now.Round(0); _ = at", []string{"now.Round(0)"}},
		{"_ = time.Unix(row.At, 0)", []string{"time.Unix(row.At, 0)"}},
		{"f := now.UnixNano; _ = f", []string{"now.UnixNano"}},
		{"_ = unix.ClockGettime(unix.CLOCK_REALTIME, &ts)", []string{"unix.CLOCK_REALTIME"}},
		{"type row struct { At time.Time `json:\"at\"` }", []string{"At time.Time with a tag"}},
		{"type row struct { At []time.Time `yaml:\"at\"` }", []string{"At []time.Time with a tag"}},
		{"type row struct { At time.Time }", nil},
	} {
		tree, err := parser.ParseFile(token.NewFileSet(), "", "package p\nfunc f() {\n"+c.statement+"\n}", 0)
		must.NoError(t, err)
		must.Eq(t, c.want, wallUses(tree), must.Sprint(c.statement))
	}
}

// wallUses returns the expressions of a file that read the time of day. Names are taken for what they usually mean, so that a method of
// another type with the same name is found too.
func wallUses(tree *ast.File) []string {
	var uses []string
	called := make(map[ast.Expr]*ast.CallExpr)
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			called[n.Fun] = n
		case *ast.SelectorExpr:
			if !slices.Contains(wallNames, types.ExprString(n)) && !isWallMethod(n, called[n]) {
				return true
			}
			if call := called[n]; call != nil {
				uses = append(uses, types.ExprString(call))
			} else {
				uses = append(uses, types.ExprString(n))
			}
		case *ast.Field:
			if text := types.ExprString(n.Type); n.Tag != nil && len(n.Names) > 0 && strings.Contains(text, "time.Time") {
				uses = append(uses, n.Names[0].Name+" "+text+" with a tag")
			}
		}
		return true
	})
	return uses
}

// isWallMethod reports whether a selector names a method of time.Time that reads the time of day: it is called, or its name has no
// other meaning.
func isWallMethod(s *ast.SelectorExpr, call *ast.CallExpr) bool {
	if !slices.Contains(wallMethods, s.Sel.Name) {
		return false
	}
	return call != nil || strings.HasPrefix(s.Sel.Name, "Unix")
}

// linked is a package of the module.
type linked struct {
	files []sourceFile
}

type sourceFile struct {
	path string
	tree *ast.File
}

// linkedPackages returns the module's packages that a program is linked from, without their tests.
func linkedPackages(t *testing.T, program string) []linked {
	t.Helper()
	var packages []linked
	seen := map[string]bool{program: true}
	for open := []string{program}; len(open) > 0; open = open[1:] {
		folder := open[0]
		p, err := build.ImportDir(filepath.Join(root, folder), 0)
		must.NoError(t, err)
		var l linked
		imports := make(map[string]bool)
		for _, name := range p.GoFiles {
			path := filepath.Join(folder, name)
			tree, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.SkipObjectResolution)
			must.NoError(t, err)
			l.files = append(l.files, sourceFile{path, tree})
			for _, i := range tree.Imports {
				text, err := strconv.Unquote(i.Path.Value)
				must.NoError(t, err)
				if rest, ok := strings.CutPrefix(text, module); ok {
					imports[rest] = true
				}
			}
		}
		packages = append(packages, l)
		for _, i := range slices.Sorted(maps.Keys(imports)) {
			if !seen[i] {
				seen[i] = true
				open = append(open, i)
			}
		}
	}
	must.Greater(t, 20, len(packages))
	return packages
}
