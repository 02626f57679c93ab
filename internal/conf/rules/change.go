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

// Entry is one accepted edit, as stored in the log and sent between instances.
type Entry struct {
	// Revision is the document's revision after the edit, at least 1.
	Revision int64 `json:"revision"`
	// Section is the edited section.
	Section Section `json:"section"`
	// Edit is the ID that the operator's client gave the edit.
	Edit string `json:"edit"`
	// Operator is the author of the edit.
	Operator string `json:"operator"`
	// At is when the edit was accepted.
	At time.Time `json:"at"`
	// Changes are the changed items, sorted by name.
	Changes []Change `json:"changes"`
	// Digest is the document's digest after the edit.
	Digest string `json:"digest"`
}

// Empty returns the document at revision 0.
func Empty() *Document {
	d := &Document{Changed: make(map[Section]int64)}
	d.derive()
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
		oldItem, ok := old[name]
		oldBody, _ := json.Marshal(oldItem)
		if !ok || !bytes.Equal(oldBody, body) {
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
		return nil, oops.Errorf("log entry of revision %d does not follow revision %d", e.Revision, d.Revision)
	}
	next := d.clone()
	next.Revision = e.Revision
	next.Changed[e.Section] = e.Revision
	if err := next.patch(e); err != nil {
		return nil, err
	}
	next.derive()
	if next.Digest != e.Digest {
		return nil, oops.Errorf("digest of revision %d does not match the log entry", e.Revision)
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
		return oops.Errorf("log entry of unknown section %q", e.Section)
	}
}

// patch changes a copy of the items, because other documents share the map.
func patch[T any](items *map[string]T, changes []Change) error {
	patched := maps.Clone(*items)
	if patched == nil {
		patched = make(map[string]T)
	}
	for _, c := range changes {
		if len(c.Body) == 0 {
			delete(patched, c.Name)
			continue
		}
		var item T
		if err := json.Unmarshal(c.Body, &item); err != nil {
			return oops.Wrapf(err, "item %s", c.Name)
		}
		patched[c.Name] = item
	}
	*items = patched
	return nil
}

// clone copies the document; the section maps are shared and must be replaced whole.
func (d *Document) clone() *Document {
	next := *d
	next.Changed = maps.Clone(d.Changed)
	if next.Changed == nil {
		next.Changed = make(map[Section]int64)
	}
	return &next
}

// derive computes the key index and the digest.
func (d *Document) derive() {
	d.workspaceByHash = make(map[string]string, len(d.Keys))
	for _, k := range d.Keys {
		d.workspaceByHash[k.Hash] = k.Workspace
	}
	d.Digest = d.digest()
}

// digest hashes all items, independently of their order.
func (d *Document) digest() string {
	var sum [sha256.Size]byte
	xorItems(&sum, Workspaces, d.Workspaces)
	xorItems(&sum, Keys, d.Keys)
	xorItems(&sum, Rates, d.Rates)
	xorItems(&sum, Models, d.Models)
	xorItems(&sum, Upstreams, d.Upstreams)
	xorItems(&sum, Routes, d.Routes)
	xorItems(&sum, Site, d.Site)
	return hex.EncodeToString(sum[:])
}

func xorItems[T any](sum *[sha256.Size]byte, section Section, items map[string]T) {
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
	want := d.Digest
	d.derive()
	if d.Digest != want {
		return nil, oops.Errorf("snapshot of revision %d does not match its digest", d.Revision)
	}
	return d, nil
}
