// Package opctl is the operators' client: it edits sections of the routing document, issues and withdraws keys, and queries a router for its state.
package opctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/twitchtv/twirp"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

// Exit codes of the client.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
)

const (
	callTimeout = 15 * time.Second
	// maxResponseBytes bounds a router's response; the longest holds a routing document.
	maxResponseBytes = 16 << 20
)

// client is one run of the command line.
type client struct {
	Router   string `long:"router" env:"SKYLARKCTL_ROUTER" default:"http://127.0.0.1:8082" description:"operators' address of any router"`
	Operator string `long:"operator" env:"SKYLARKCTL_OPERATOR" description:"who makes the edit; the login name by default"`
	JSON     bool   `long:"json" description:"print JSON"`

	api    wire.Operator
	in     io.Reader
	out    io.Writer
	stderr io.Writer
}

// Main runs the client and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	c := &client{in: stdin, out: stdout, stderr: stderr}
	p := flags.NewNamedParser("skylarkctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := c.addCommands(p); err != nil {
		panic(err)
	}
	p.CommandHandler = func(command flags.Commander, rest []string) error {
		c.api = wire.NewOperatorProtobufClient(c.Router, &http.Client{Timeout: callTimeout, Transport: bound.Transport(http.DefaultTransport.(*http.Transport).Clone(), maxResponseBytes)})
		if c.Operator == "" {
			c.Operator = loginName()
		}
		return command.Execute(rest)
	}
	_, err := p.ParseArgs(args)
	return c.report(err)
}

// addCommands adds the flags and all commands to the parser.
func (c *client) addCommands(p *flags.Parser) error {
	if _, err := p.AddGroup("Client", "", c); err != nil {
		return err
	}
	commands := []struct {
		name, short string
		data        flags.Commander
	}{
		{"status", "show a router and the members that it knows", &statusCommand{c: c}},
		{"get", "print a section of the routing document", &getCommand{c: c}},
		{"diff", "compare a file with a section", &diffCommand{c: c}},
		{"apply", "replace a section by a file", &applyCommand{c: c}},
		{"edit", "set or remove one item of a section", &editCommand{c: c}},
		{"key-issue", "issue a key for a workspace", &issueCommand{c: c}},
		{"key-withdraw", "withdraw a key by its name", &withdrawCommand{c: c}},
		{"explain", "show how a prompt would be placed", &explainCommand{c: c}},
		{"drain", "begin a router's planned stop", &drainCommand{c: c}},
	}
	for _, d := range commands {
		if _, err := p.AddCommand(d.name, d.short, "", d.data); err != nil {
			return err
		}
	}
	return nil
}

// report prints an error and returns the exit code.
func (c *client) report(err error) int {
	var flagErr *flags.Error
	var rpcErr twirp.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr):
		_, _ = fmt.Fprintln(c.stderr, flagErr.Message)
		if flagErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	case errors.As(err, &rpcErr):
		_, _ = fmt.Fprintln(c.stderr, "skylarkctl:", rpcErr.Msg())
		if rpcErr.Code() == twirp.FailedPrecondition {
			return exitConflict
		}
		return exitFailure
	default:
		_, _ = fmt.Fprintln(c.stderr, "skylarkctl:", err)
		return exitFailure
	}
}

// print writes a value as JSON if --json is set, or else calls text.
func (c *client) print(value any, text func()) error {
	if !c.JSON {
		text()
		return nil
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func (c *client) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...)
}

// readInput returns the content of a file, or of standard input for "-".
func (c *client) readInput(path string) (string, error) {
	if path == "-" {
		data, err := io.ReadAll(c.in)
		return string(data), err
	}
	data, err := os.ReadFile(path)
	return string(data), err
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

func loginName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
