package rules

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"gopkg.in/yaml.v3"
)

// Problem is one fault in an edit, with its place.
type Problem struct {
	// Section is the edited section.
	Section Section
	// Line is the line in the section's text, from 1, or 0 when no line is to blame.
	Line int
	// Reason is one sentence.
	Reason string
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("section %s: %s", p.Section, p.Reason)
	}
	return fmt.Sprintf("section %s, line %d: %s", p.Section, p.Line, p.Reason)
}

var checker = validator.New(validator.WithRequiredStructEnabled())

// lines maps an item's name to its line in the section's text.
type lines map[string]int

// Replace returns the document with the section's content replaced by the parsed text, at the next revision.
func (d *Document) Replace(section Section, text string) (*Document, error) {
	next := d.clone()
	next.Revision = d.Revision + 1
	next.Changed[section] = next.Revision
	at, err := next.fill(section, text)
	if err != nil {
		return nil, err
	}
	if p := next.check(section, at); p != nil {
		return nil, p
	}
	next.finish()
	return next, nil
}

// fill parses the text into one section.
func (d *Document) fill(section Section, text string) (lines, error) {
	switch section {
	case Workspaces:
		return parse(section, text, &d.Workspaces)
	case Keys:
		return parse(section, text, &d.Keys)
	case Rates:
		return parse(section, text, &d.Rates)
	case Models:
		return parse(section, text, &d.Models)
	case Upstreams:
		return parse(section, text, &d.Upstreams)
	case Routes:
		return parse(section, text, &d.Routes)
	case Site:
		return parse(section, text, &d.Site)
	default:
		return nil, &Problem{Section: section, Reason: "no such section"}
	}
}

// parse decodes a section strictly and checks each item's fields.
func parse[T any](section Section, text string, into *map[string]T) (lines, error) {
	items := make(map[string]T)
	decoder := yaml.NewDecoder(strings.NewReader(text))
	decoder.KnownFields(true)
	err := decoder.Decode(&items)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, yamlProblem(section, err)
	}
	var rest yaml.Node
	if decoder.Decode(&rest) == nil {
		return nil, &Problem{Section: section, Line: rest.Line, Reason: "more than one YAML document"}
	}
	at := lineNumbers(text)
	for name, item := range items {
		if name == "" || len(name) > maxNameBytes {
			return nil, &Problem{Section: section, Line: at[name], Reason: "a name needs 1 to 100 characters"}
		}
		if err := checker.Struct(item); err != nil {
			return nil, &Problem{Section: section, Line: at[name], Reason: name + ": " + fieldReason(err)}
		}
	}
	*into = items
	return at, nil
}

const maxNameBytes = 100

// yamlProblem takes the line out of a YAML error's text.
func yamlProblem(section Section, err error) *Problem {
	text := err.Error()
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		text = typed.Errors[0]
	}
	text = strings.TrimPrefix(text, "yaml: ")
	var line int
	if n, _ := fmt.Sscanf(text, "line %d:", &line); n == 1 {
		_, text, _ = strings.Cut(text, ": ")
	}
	return &Problem{Section: section, Line: line, Reason: text}
}

// fieldReason renders the first failed field check.
func fieldReason(err error) string {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err.Error()
	}
	f := fields[0]
	rule := f.Tag()
	if f.Param() != "" {
		rule += "=" + f.Param()
	}
	return fmt.Sprintf("field %s breaks the rule %q", f.Field(), rule)
}

// lineNumbers finds the line of each top-level key.
func lineNumbers(text string) lines {
	at := make(lines)
	var root yaml.Node
	if yaml.Unmarshal([]byte(text), &root) != nil || len(root.Content) == 0 {
		return at
	}
	pairs := root.Content[0].Content
	for i := 0; i+1 < len(pairs); i += 2 {
		at[pairs[i].Value] = pairs[i].Line
	}
	return at
}

// check verifies the references between sections; the edited section's line is named where it is to blame.
func (d *Document) check(section Section, at lines) *Problem {
	blame := func(owner Section, name, reason string) *Problem {
		p := &Problem{Section: owner, Reason: name + ": " + reason}
		if owner == section {
			p.Line = at[name]
		}
		return p
	}
	hashes := make(map[string]string, len(d.Keys))
	for name, k := range d.Keys {
		if _, ok := d.Workspaces[k.Workspace]; !ok {
			return blame(Keys, name, fmt.Sprintf("workspace %q is not in section workspaces", k.Workspace))
		}
		if other, ok := hashes[k.Hash]; ok {
			return blame(Keys, name, fmt.Sprintf("has the same hash as %q", other))
		}
		hashes[k.Hash] = name
	}
	for name := range d.Rates {
		if _, ok := d.Workspaces[name]; !ok {
			return blame(Rates, name, "no workspace of that name")
		}
	}
	services := make(map[string]bool)
	for name, u := range d.Upstreams {
		services[u.Service] = true
		for _, m := range u.Models {
			if _, ok := d.Models[m]; !ok {
				return blame(Upstreams, name, fmt.Sprintf("model %q is not in section models", m))
			}
		}
	}
	for name, r := range d.Routes {
		if !services[r.Service] {
			return blame(Routes, name, fmt.Sprintf("no upstream runs service %q", r.Service))
		}
	}
	for name := range d.Site {
		if name != PolicyName {
			return blame(Site, name, "the section has one item, "+PolicyName)
		}
	}
	return nil
}

// Text renders a section as YAML.
func (d *Document) Text(section Section) (string, error) {
	var content any
	switch section {
	case Workspaces:
		content = d.Workspaces
	case Keys:
		content = d.Keys
	case Rates:
		content = d.Rates
	case Models:
		content = d.Models
	case Upstreams:
		content = d.Upstreams
	case Routes:
		content = d.Routes
	case Site:
		content = d.Site
	default:
		return "", &Problem{Section: section, Reason: "no such section"}
	}
	if reflect.ValueOf(content).Len() == 0 {
		return "", nil
	}
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(content); err != nil {
		return "", err
	}
	return out.String(), nil
}
