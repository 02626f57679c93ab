package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkquay/skylarkquay/internal/base/logger"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// logQueue is the number of lines that may wait to be written; it holds some seconds of a busy instance.
const logQueue = 2048

type options struct {
	Config string `long:"config" required:"true" description:"settings file in YAML"`
}

// Main runs the program's command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("skylarkedge", flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = "[run | check] --config FILE"
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
	settings, err := Load(o.Config)
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
		return run(settings, o.Config, stdout)
	case "check":
		_, _ = fmt.Fprintln(stdout, "settings are good")
		return exitOK
	default:
		_, _ = fmt.Fprintf(stderr, "unknown command %q; the commands are run and check\n", command)
		return exitSettings
	}
}

func run(s Settings, path string, stdout io.Writer) int {
	out := logger.NewAsyncWriter(stdout, logQueue)
	defer out.Close()
	log := logger.New(s.Level, out)
	e, err := New(s, path, log, out.Dropped)
	if err != nil {
		log.Error(err, "edge: could not start")
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := e.Run(ctx); err != nil {
		log.Error(err, "edge: ended by a failure")
		return exitFailure
	}
	return exitOK
}
