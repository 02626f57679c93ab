// Package stands is the command line of the stand-ins for the platform, engines and plain services.
package stands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkquay/skylarkquay/internal/fake/engine"
	"github.com/skylarkquay/skylarkquay/internal/fake/plain"
	"github.com/skylarkquay/skylarkquay/internal/fake/store"
)

// commands are the stand-ins with their flags.
type commands struct {
	Platform listenFlags `command:"platform" description:"table service, object store and instance list"`
	Engine   engineFlags `command:"engine" description:"model engine"`
	Plain    listenFlags `command:"plain" description:"plain booking service"`
}

type listenFlags struct {
	Listen string `long:"listen" default:"127.0.0.1:8000" description:"address to listen on"`
}

type engineFlags struct {
	listenFlags
	PerToken    time.Duration     `long:"per-token" default:"20us" description:"time to compute one prompt token"`
	PerEvent    time.Duration     `long:"per-event" default:"5ms" description:"time between two output events"`
	CachePieces int               `long:"cache-pieces" default:"400" description:"pieces kept in the cache"`
	Weights     map[string]string `long:"weights" default:"quotes:v1" description:"MODEL:VERSION that is loaded"`
}

// Main runs one stand-in until SIGTERM or SIGINT and returns the exit code.
func Main(args []string, stderr io.Writer) int {
	var c commands
	p := flags.NewNamedParser("skylarkstand", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Stand-ins", "", &c); err != nil {
		panic(err)
	}
	if _, err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	var handler http.Handler
	address := ""
	switch p.Active.Name {
	case "platform":
		handler, address = store.NewServer().Handler(), c.Platform.Listen
	case "engine":
		e := c.Engine
		handler, address = engine.NewServer(engine.Settings{
			PerToken: e.PerToken, PerEvent: e.PerEvent, CachePieces: e.CachePieces, Weights: e.Weights,
		}).Handler(), e.Listen
	case "plain":
		handler, address = plain.NewServer().Handler(), c.Plain.Listen
	}
	if err := serve(address, handler); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second, ConnContext: engine.ConnContext}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.ListenAndServe() }()
	select {
	case <-ctx.Done():
		return server.Close()
	case err := <-serveErr:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}
