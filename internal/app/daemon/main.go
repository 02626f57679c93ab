package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkquay/skylarkquay/internal/base/logger"
	"github.com/skylarkquay/skylarkquay/internal/base/memory"
	"github.com/skylarkquay/skylarkquay/internal/conf/option"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// Main runs the daemon's command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	settings, rest, err := option.Load(args)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprint(stdout, usage.Message)
		return exitOK
	}
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
		return run(settings, stderr)
	case "check":
		_, _ = fmt.Fprintln(stdout, "settings are good")
		return exitOK
	case "help":
		_, _ = fmt.Fprint(stdout, option.Help())
		return exitOK
	default:
		_, _ = fmt.Fprintf(stderr, "unknown command %q; the commands are run, check and help\n", command)
		return exitSettings
	}
}

func run(s option.Settings, stderr io.Writer) int {
	log := logger.New(s.LogLevel, stderr)
	limitHeap(memoryBytes(s, memory.OfMachine()))
	router, err := New(s, log)
	if err != nil {
		log.Error(err, "router: could not start")
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := router.Run(ctx); err != nil {
		log.Error(err, "router: stopped after a failure")
		return exitFailure
	}
	return exitOK
}
