package opctl

import (
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/twitchtv/twirp"
	"gopkg.in/yaml.v3"

	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/front/gate"
	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

const (
	maxApplyAttempts = 4
	applyRetryDelay  = 500 * time.Millisecond
	// revisionPrefix starts the first line of a printed section; apply reads the base revision from that line.
	revisionPrefix = "# section-revision: "
)

// getCommand prints a section.
type getCommand struct {
	c    *client
	Args struct {
		Section string `positional-arg-name:"SECTION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (g *getCommand) Execute([]string) error {
	reply, err := g.c.fetch(g.Args.Section)
	if err != nil {
		return err
	}
	return g.c.print(reply, func() { g.c.printf("%s%d\n%s", revisionPrefix, reply.Revision, reply.Text) })
}

// diffCommand compares a file with a section.
type diffCommand struct {
	c    *client
	Args struct {
		Section string `positional-arg-name:"SECTION"`
		File    string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (d *diffCommand) Execute([]string) error {
	text, err := d.c.readInput(d.Args.File)
	if err != nil {
		return err
	}
	reply, err := d.c.fetch(d.Args.Section)
	if err != nil {
		return err
	}
	lines := diffLines(strings.Split(reply.Text, "\n"), strings.Split(stripRevision(text), "\n"))
	return d.c.print(lines, func() {
		for _, l := range lines {
			d.c.printf("%s\n", l)
		}
	})
}

// applyCommand replaces a section with the content of a file.
type applyCommand struct {
	c    *client
	Base int64  `long:"base" default:"-1" description:"section revision that the file started from; by default the one in its first line"`
	Edit string `long:"edit" description:"identity of the edit, to ask again after a lost answer"`
	Args struct {
		Section string `positional-arg-name:"SECTION"`
		File    string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (a *applyCommand) Execute([]string) error {
	text, err := a.c.readInput(a.Args.File)
	if err != nil {
		return err
	}
	base := a.Base
	if base < 0 {
		if _, err := fmt.Sscanf(text, revisionPrefix+"%d", &base); err != nil {
			return errors.New("the file has no line \"" + revisionPrefix + "N\"; name the revision with --base")
		}
	}
	edit := a.Edit
	if edit == "" {
		edit = rand.Text()
	}
	return a.c.apply(a.Args.Section, text, base, edit)
}

// editCommand sets or removes one item of a section.
type editCommand struct {
	c    *client
	Args struct {
		Section string `positional-arg-name:"SECTION"`
		Name    string `positional-arg-name:"NAME"`
		Item    string `positional-arg-name:"ITEM" description:"the item as one line of YAML, or '-' to remove it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (e *editCommand) Execute([]string) error {
	return e.c.editSection(e.Args.Section, func(items map[string]any) error {
		if e.Args.Item == "-" {
			delete(items, e.Args.Name)
			return nil
		}
		var item any
		if err := yaml.Unmarshal([]byte(e.Args.Item), &item); err != nil {
			return err
		}
		items[e.Args.Name] = item
		return nil
	})
}

// issueCommand issues a key and prints it once; only its hash is stored.
type issueCommand struct {
	c    *client
	Args struct {
		Workspace string `positional-arg-name:"WORKSPACE"`
		Name      string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// issuedKey is the output of key-issue.
type issuedKey struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Execute implements flags.Commander.
func (i *issueCommand) Execute([]string) error {
	key := "sq-" + rand.Text()
	err := i.c.editSection(string(rules.Keys), func(items map[string]any) error {
		if _, ok := items[i.Args.Name]; ok {
			return fmt.Errorf("a key named %q exists already", i.Args.Name)
		}
		items[i.Args.Name] = rules.Key{Workspace: i.Args.Workspace, Hash: gate.HashKey(key)}
		return nil
	})
	if err != nil {
		return err
	}
	return i.c.print(issuedKey{i.Args.Name, key}, func() { i.c.printf("%s\n", key) })
}

// withdrawCommand withdraws a key.
type withdrawCommand struct {
	c    *client
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (w *withdrawCommand) Execute([]string) error {
	return w.c.editSection(string(rules.Keys), func(items map[string]any) error {
		if _, ok := items[w.Args.Name]; !ok {
			return fmt.Errorf("no key is named %q", w.Args.Name)
		}
		delete(items, w.Args.Name)
		return nil
	})
}

func (c *client) fetch(section string) (*wire.FetchReply, error) {
	ctx, cancel := callContext()
	defer cancel()
	return c.api.Fetch(ctx, &wire.FetchRequest{Section: section})
}

// editSection edits the items of a section and applies it. It retries when another edit was applied in between.
func (c *client) editSection(section string, edit func(items map[string]any) error) error {
	var lastErr error
	for range maxApplyAttempts {
		reply, err := c.fetch(section)
		if err != nil {
			return err
		}
		items := make(map[string]any)
		if err := yaml.Unmarshal([]byte(reply.Text), &items); err != nil {
			return err
		}
		if err := edit(items); err != nil {
			return err
		}
		text, err := yaml.Marshal(items)
		if err != nil {
			return err
		}
		lastErr = c.apply(section, string(text), reply.Revision, rand.Text())
		var rpcErr twirp.Error
		if !errors.As(lastErr, &rpcErr) || rpcErr.Code() != twirp.FailedPrecondition {
			return lastErr
		}
	}
	return lastErr
}

// apply sends an edit; after a lost response it retries with the same edit id, so that the edit is applied once.
func (c *client) apply(section, text string, base int64, edit string) error {
	var lastErr error
	for range maxApplyAttempts {
		reply, err := c.applyOnce(section, text, base, edit)
		if err == nil {
			return c.print(reply, func() { _, _ = fmt.Fprintf(c.stderr, "accepted at revision %d\n", reply.Revision) })
		}
		lastErr = err
		var rpcErr twirp.Error
		if !errors.As(err, &rpcErr) || (rpcErr.Code() != twirp.Internal && rpcErr.Code() != twirp.DeadlineExceeded) {
			break
		}
		time.Sleep(applyRetryDelay)
	}
	_, _ = fmt.Fprintf(c.stderr, "the edit's id is %s\n", edit)
	return lastErr
}

func (c *client) applyOnce(section, text string, base int64, edit string) (*wire.ApplyReply, error) {
	ctx, cancel := callContext()
	defer cancel()
	return c.api.Apply(ctx, &wire.ApplyRequest{Section: section, Text: text, Base: base, Edit: edit, Operator: c.Operator})
}

// stripRevision drops the revision line of a printed section.
func stripRevision(text string) string {
	if strings.HasPrefix(text, revisionPrefix) {
		_, rest, _ := strings.Cut(text, "\n")
		return rest
	}
	return text
}

// diffLines lists removed lines with "-" and added ones with "+", by the longest common subsequence.
func diffLines(old, updated []string) []string {
	common := make([][]int, len(old)+1)
	for i := range common {
		common[i] = make([]int, len(updated)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(updated) - 1; j >= 0; j-- {
			if old[i] == updated[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var lines []string
	i, j := 0, 0
	for i < len(old) || j < len(updated) {
		switch {
		case i < len(old) && j < len(updated) && old[i] == updated[j]:
			i++
			j++
		case j == len(updated) || (i < len(old) && common[i+1][j] >= common[i][j+1]):
			lines = append(lines, "-"+old[i])
			i++
		default:
			lines = append(lines, "+"+updated[j])
			j++
		}
	}
	return lines
}
