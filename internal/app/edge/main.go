package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkquay/skylarkquay/internal/base/logger"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	// exitSettings is for invalid settings or arguments.
	exitSettings = 2
)

// logQueueSize is the number of log lines that may wait to be written, some seconds' worth on a busy instance.
const logQueueSize = 2048

type options struct {
	Config  string         `long:"config" required:"true" description:"settings file in YAML"`
	Explain explainOptions `group:"Explain"`
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	// Without a handler, SIGHUP ends the process. It may come at any time after the start.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	var o options
	parser := flags.NewNamedParser("skylarkedge", flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = "[run | check | explain] --config FILE"
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailure
	}
	rest, err := parser.ParseArgs(args)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprint(stdout, usage.Message)
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	settings, err := LoadSettings(o.Config)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "settings:", err)
		return exitSettings
	}
	command := "run"
	if len(rest) > 0 {
		command = rest[0]
	}
	switch command {
	case "run":
		return run(settings, o.Config, hup, stdout)
	case "check":
		_, _ = fmt.Fprintln(stdout, "settings are good")
		return exitOK
	case "explain":
		if err := explain(settings, o.Explain, stdout); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return exitFailure
		}
		return exitOK
	default:
		_, _ = fmt.Fprintf(stderr, "unknown command %q; the commands are run, check and explain\n", command)
		return exitSettings
	}
}

func run(s Settings, path string, hup <-chan os.Signal, stdout io.Writer) int {
	out := logger.NewAsyncWriter(stdout, logQueueSize)
	defer out.Close()
	log := logger.New(s.Level, out)
	e, err := New(s, path, log, out.Dropped)
	if err != nil {
		log.Error(err, "edge: cannot start")
		return exitFailure
	}
	e.hup = hup
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := e.Run(ctx); err != nil {
		log.Error(err, "edge: run failed")
		return exitFailure
	}
	return exitOK
}
