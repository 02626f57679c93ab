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
	applyTries = 4
	applyPause = 500 * time.Millisecond
	// baseMark begins the first line of a printed section; it carries the revision for apply.
	baseMark = "# section-revision: "
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
	return g.c.print(reply, func() { g.c.printf("%s%d\n%s", baseMark, reply.Revision, reply.Text) })
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
	text, err := d.c.read(d.Args.File)
	if err != nil {
		return err
	}
	reply, err := d.c.fetch(d.Args.Section)
	if err != nil {
		return err
	}
	lines := compare(strings.Split(reply.Text, "\n"), strings.Split(stripBase(text), "\n"))
	return d.c.print(lines, func() {
		for _, l := range lines {
			d.c.printf("%s\n", l)
		}
	})
}

// applyCommand replaces a section by a file.
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
	text, err := a.c.read(a.Args.File)
	if err != nil {
		return err
	}
	base := a.Base
	if base < 0 {
		if _, err := fmt.Sscanf(text, baseMark+"%d", &base); err != nil {
			return errors.New("the file has no line \"" + baseMark + "N\"; name the revision with --base")
		}
	}
	edit := a.Edit
	if edit == "" {
		edit = rand.Text()
	}
	return a.c.apply(a.Args.Section, text, base, edit)
}

// editCommand changes one item of a section in place.
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
	return e.c.change(e.Args.Section, func(items map[string]any) error {
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

// issueCommand issues a key and prints it once; only its hash is kept.
type issueCommand struct {
	c    *client
	Args struct {
		Workspace string `positional-arg-name:"WORKSPACE"`
		Name      string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// issued is the answer of key-issue.
type issued struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Execute implements flags.Commander.
func (i *issueCommand) Execute([]string) error {
	key := "sq-" + rand.Text()
	err := i.c.change(string(rules.Keys), func(items map[string]any) error {
		if _, ok := items[i.Args.Name]; ok {
			return fmt.Errorf("a key named %q exists already", i.Args.Name)
		}
		items[i.Args.Name] = rules.Key{Workspace: i.Args.Workspace, Hash: gate.HashKey(key)}
		return nil
	})
	if err != nil {
		return err
	}
	return i.c.print(issued{i.Args.Name, key}, func() { i.c.printf("%s\n", key) })
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
	return w.c.change(string(rules.Keys), func(items map[string]any) error {
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

// change edits the items of a section and applies it, beginning anew when another operator was first.
func (c *client) change(section string, edit func(items map[string]any) error) error {
	var last error
	for range applyTries {
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
		last = c.apply(section, string(text), reply.Revision, rand.Text())
		var remote twirp.Error
		if !errors.As(last, &remote) || remote.Code() != twirp.FailedPrecondition {
			return last
		}
	}
	return last
}

// apply sends an edit; after a lost answer it asks again with the same identity.
func (c *client) apply(section, text string, base int64, edit string) error {
	var last error
	for range applyTries {
		reply, err := c.applyOnce(section, text, base, edit)
		if err == nil {
			return c.print(reply, func() { _, _ = fmt.Fprintf(c.stderr, "accepted at revision %d\n", reply.Revision) })
		}
		last = err
		var remote twirp.Error
		if !errors.As(err, &remote) || (remote.Code() != twirp.Internal && remote.Code() != twirp.DeadlineExceeded) {
			break
		}
		time.Sleep(applyPause)
	}
	_, _ = fmt.Fprintf(c.stderr, "the edit's id is %s\n", edit)
	return last
}

func (c *client) applyOnce(section, text string, base int64, edit string) (*wire.ApplyReply, error) {
	ctx, cancel := callContext()
	defer cancel()
	return c.api.Apply(ctx, &wire.ApplyRequest{Section: section, Text: text, Base: base, Edit: edit, Operator: c.Operator})
}

// stripBase drops the first line that a printed section carries.
func stripBase(text string) string {
	if strings.HasPrefix(text, baseMark) {
		_, rest, _ := strings.Cut(text, "\n")
		return rest
	}
	return text
}

// compare lists removed lines with "-" and added ones with "+", by the longest common subsequence.
func compare(old, fresh []string) []string {
	common := make([][]int, len(old)+1)
	for i := range common {
		common[i] = make([]int, len(fresh)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(fresh) - 1; j >= 0; j-- {
			if old[i] == fresh[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var lines []string
	i, j := 0, 0
	for i < len(old) || j < len(fresh) {
		switch {
		case i < len(old) && j < len(fresh) && old[i] == fresh[j]:
			i++
			j++
		case j == len(fresh) || (i < len(old) && common[i+1][j] >= common[i][j+1]):
			lines = append(lines, "-"+old[i])
			i++
		default:
			lines = append(lines, "+"+fresh[j])
			j++
		}
	}
	return lines
}
