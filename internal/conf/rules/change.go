package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"sort"
	"time"

	"github.com/samber/oops"
)

// Change sets or removes one item of a section.
type Change struct {
	// Name is the item's name.
	Name string `json:"name"`
	// Body is the item as JSON; empty removes the item.
	Body json.RawMessage `json:"body,omitempty"`
}

// Entry is one accepted edit, as kept in the log and sent between instances.
type Entry struct {
	// Revision is the document's revision after the edit, at least 1.
	Revision int64 `json:"revision"`
	// Section is the edited section.
	Section Section `json:"section"`
	// Edit is the identity that the operator's client gave the edit.
	Edit string `json:"edit"`
	// Operator made the edit.
	Operator string `json:"operator"`
	// At is when the edit was accepted.
	At time.Time `json:"at"`
	// Changes are the changed items, in order of name.
	Changes []Change `json:"changes"`
	// Digest is the document's digest after the edit.
	Digest string `json:"digest"`
}

// Empty returns the document at revision 0.
func Empty() *Document {
	d := &Document{Changed: make(map[Section]int64)}
	d.finish()
	return d
}

// Diff returns the changes that turn a section of d into that of next.
func (d *Document) Diff(next *Document, section Section) ([]Change, error) {
	switch section {
	case Workspaces:
		return diff(d.Workspaces, next.Workspaces)
	case Keys:
		return diff(d.Keys, next.Keys)
	case Rates:
		return diff(d.Rates, next.Rates)
	case Models:
		return diff(d.Models, next.Models)
	case Upstreams:
		return diff(d.Upstreams, next.Upstreams)
	case Routes:
		return diff(d.Routes, next.Routes)
	default:
		return diff(d.Site, next.Site)
	}
}

func diff[T any](old, next map[string]T) ([]Change, error) {
	var changes []Change
	for name, item := range next {
		body, err := json.Marshal(item)
		if err != nil {
			return nil, oops.Wrapf(err, "item %s", name)
		}
		before, ok := old[name]
		was, _ := json.Marshal(before)
		if !ok || !bytes.Equal(was, body) {
			changes = append(changes, Change{Name: name, Body: body})
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			changes = append(changes, Change{Name: name})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes, nil
}

// Apply returns the document after an entry. The entry must be the next revision and its digest must match.
func (d *Document) Apply(e Entry) (*Document, error) {
	if e.Revision != d.Revision+1 {
		return nil, oops.Errorf("entry of revision %d does not follow revision %d", e.Revision, d.Revision)
	}
	next := d.clone()
	next.Revision = e.Revision
	next.Changed[e.Section] = e.Revision
	if err := next.patch(e); err != nil {
		return nil, err
	}
	next.finish()
	if next.Digest != e.Digest {
		return nil, oops.Errorf("digest of revision %d differs from the entry's", e.Revision)
	}
	return next, nil
}

func (d *Document) patch(e Entry) error {
	switch e.Section {
	case Workspaces:
		return patch(&d.Workspaces, e.Changes)
	case Keys:
		return patch(&d.Keys, e.Changes)
	case Rates:
		return patch(&d.Rates, e.Changes)
	case Models:
		return patch(&d.Models, e.Changes)
	case Upstreams:
		return patch(&d.Upstreams, e.Changes)
	case Routes:
		return patch(&d.Routes, e.Changes)
	case Site:
		return patch(&d.Site, e.Changes)
	default:
		return oops.Errorf("entry of unknown section %q", e.Section)
	}
}

func patch[T any](items *map[string]T, changes []Change) error {
	fresh := maps.Clone(*items)
	if fresh == nil {
		fresh = make(map[string]T)
	}
	for _, c := range changes {
		if len(c.Body) == 0 {
			delete(fresh, c.Name)
			continue
		}
		var item T
		if err := json.Unmarshal(c.Body, &item); err != nil {
			return oops.Wrapf(err, "item %s", c.Name)
		}
		fresh[c.Name] = item
	}
	*items = fresh
	return nil
}

// clone copies the document; the section maps are shared until replaced whole.
func (d *Document) clone() *Document {
	next := *d
	next.Changed = maps.Clone(d.Changed)
	if next.Changed == nil {
		next.Changed = make(map[Section]int64)
	}
	return &next
}

// finish derives the key index and the digest.
func (d *Document) finish() {
	d.hashes = make(map[string]string, len(d.Keys))
	for _, k := range d.Keys {
		d.hashes[k.Hash] = k.Workspace
	}
	d.Digest = d.digest()
}

// digest hashes all items, independent of their order.
func (d *Document) digest() string {
	var sum [sha256.Size]byte
	mix(&sum, Workspaces, d.Workspaces)
	mix(&sum, Keys, d.Keys)
	mix(&sum, Rates, d.Rates)
	mix(&sum, Models, d.Models)
	mix(&sum, Upstreams, d.Upstreams)
	mix(&sum, Routes, d.Routes)
	mix(&sum, Site, d.Site)
	return hex.EncodeToString(sum[:])
}

func mix[T any](sum *[sha256.Size]byte, section Section, items map[string]T) {
	for name, item := range items {
		body, err := json.Marshal(item)
		if err != nil {
			continue
		}
		line := make([]byte, 0, len(section)+len(name)+len(body)+2)
		line = append(line, section...)
		line = append(line, 0)
		line = append(line, name...)
		line = append(line, 0)
		line = append(line, body...)
		h := sha256.Sum256(line)
		for i := range sum {
			sum[i] ^= h[i]
		}
	}
}

// Encode renders a snapshot of the document.
func (d *Document) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// Decode reads a snapshot and verifies its digest.
func Decode(data []byte) (*Document, error) {
	d := Empty()
	if err := json.Unmarshal(data, d); err != nil {
		return nil, oops.Wrapf(err, "snapshot")
	}
	stated := d.Digest
	d.finish()
	if d.Digest != stated {
		return nil, oops.Errorf("snapshot of revision %d does not match its digest", d.Revision)
	}
	return d, nil
}
