// Package trials implements the command line of the demo, load, replay, soak and capacity tool.
package trials

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
)

// tool holds the global flags and the output streams.
type tool struct {
	JSON bool `long:"json" description:"print JSON"`

	out    io.Writer
	stderr io.Writer
}

// Main runs the tool and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &tool{out: stdout, stderr: stderr}
	p := flags.NewNamedParser("skylarkload", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Tool", "", t); err != nil {
		panic(err)
	}
	commands := []struct {
		name, short string
		data        flags.Commander
	}{
		{"demo", "show the whole system on embedded stand-ins, in one process", &demoCommand{t: t}},
		{"load", "drive running routers with a recorded trace", &loadCommand{t: t}},
		{"record", "generate the recorded traces anew", &recordCommand{t: t}},
		{"capacity", "work the capacity table out of benchmark output", &capacityCommand{t: t}},
		{"soak", "play random faults against routers in separate processes", &soakCommand{t: t}},
		{"replay", "replay traces under every policy", &replayCommand{t: t}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			panic(err)
		}
	}
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, usage.Message)
		if usage.Type == flags.ErrHelp {
			return 0
		}
		return 2
	default:
		_, _ = fmt.Fprintln(stderr, "skylarkload:", err)
		return 1
	}
}

func (t *tool) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format, args...)
}

// saveJSON writes a value as indented JSON to a file and creates its folder.
func saveJSON(path string, value any) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
