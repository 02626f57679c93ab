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

// Problem is one error in an edit, with its position.
type Problem struct {
	// Section is the edited section.
	Section Section
	// Line is the line in the section's text, from 1, or 0 for none.
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

var fieldValidator = validator.New(validator.WithRequiredStructEnabled())

// lineIndex maps an item's name to its line in the section's text.
type lineIndex map[string]int

// Replace returns the document with the section's content replaced by the parsed text, at the next revision.
func (d *Document) Replace(section Section, text string) (*Document, error) {
	next := d.clone()
	next.Revision = d.Revision + 1
	next.Changed[section] = next.Revision
	lines, err := next.parseSection(section, text)
	if err != nil {
		return nil, err
	}
	if p := next.checkReferences(section, lines); p != nil {
		return nil, p
	}
	next.derive()
	return next, nil
}

// parseSection parses the text into one section.
func (d *Document) parseSection(section Section, text string) (lineIndex, error) {
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

// parse decodes a section, rejects unknown fields and validates each item.
func parse[T any](section Section, text string, into *map[string]T) (lineIndex, error) {
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
	lines := lineNumbers(text)
	for name, item := range items {
		if name == "" || len(name) > maxNameBytes {
			return nil, &Problem{Section: section, Line: lines[name], Reason: "a name needs 1 to 100 characters"}
		}
		if err := fieldValidator.Struct(item); err != nil {
			return nil, &Problem{Section: section, Line: lines[name], Reason: name + ": " + fieldReason(err)}
		}
	}
	*into = items
	return lines, nil
}

const maxNameBytes = 100

// yamlProblem extracts the line number from the text of a YAML error.
func yamlProblem(section Section, err error) *Problem {
	text := err.Error()
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		text = typeError.Errors[0]
	}
	text = strings.TrimPrefix(text, "yaml: ")
	var line int
	if n, _ := fmt.Sscanf(text, "line %d:", &line); n == 1 {
		_, text, _ = strings.Cut(text, ": ")
	}
	return &Problem{Section: section, Line: line, Reason: text}
}

// fieldReason describes the first field that failed validation.
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

// lineNumbers returns the line of each top-level key.
func lineNumbers(text string) lineIndex {
	lines := make(lineIndex)
	var root yaml.Node
	if yaml.Unmarshal([]byte(text), &root) != nil || len(root.Content) == 0 {
		return lines
	}
	pairs := root.Content[0].Content
	for i := 0; i+1 < len(pairs); i += 2 {
		lines[pairs[i].Value] = pairs[i].Line
	}
	return lines
}

// checkReferences verifies the references between sections; only a problem in the edited section has a line.
func (d *Document) checkReferences(section Section, lines lineIndex) *Problem {
	problem := func(in Section, name, reason string) *Problem {
		p := &Problem{Section: in, Reason: name + ": " + reason}
		if in == section {
			p.Line = lines[name]
		}
		return p
	}
	hashes := make(map[string]string, len(d.Keys))
	for name, k := range d.Keys {
		if _, ok := d.Workspaces[k.Workspace]; !ok {
			return problem(Keys, name, fmt.Sprintf("workspace %q is not in section workspaces", k.Workspace))
		}
		if other, ok := hashes[k.Hash]; ok {
			return problem(Keys, name, fmt.Sprintf("has the same hash as %q", other))
		}
		hashes[k.Hash] = name
	}
	for name := range d.Rates {
		if _, ok := d.Workspaces[name]; !ok {
			return problem(Rates, name, "no workspace of that name")
		}
	}
	services := make(map[string]bool)
	for name, u := range d.Upstreams {
		services[u.Service] = true
		for _, m := range u.Models {
			if _, ok := d.Models[m]; !ok {
				return problem(Upstreams, name, fmt.Sprintf("model %q is not in section models", m))
			}
		}
	}
	for name, r := range d.Routes {
		if !services[r.Service] {
			return problem(Routes, name, fmt.Sprintf("no upstream runs service %q", r.Service))
		}
	}
	for name := range d.Site {
		if name != PolicyName {
			return problem(Site, name, "the section has one item, "+PolicyName)
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
