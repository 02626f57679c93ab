package rules

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func buildDocument(t *testing.T, edits ...[2]string) *Document {
	t.Helper()
	doc := Empty()
	for _, e := range edits {
		next, err := doc.Replace(Section(e[0]), e[1])
		must.NoError(t, err)
		doc = next
	}
	return doc
}

func TestProblemsNameSectionAndLine(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	doc := buildDocument(t, [2]string{"workspaces", "a: {title: A, weight: 1}\n"}, [2]string{"models", "m: {weights: v1}\n"})
	cases := []struct {
		name    string
		section Section
		text    string
		want    string
	}{
		{"unknown field", Workspaces, "a:\n  title: A\n  weight: 1\n  color: red\n", "section workspaces, line 4: field color not found"},
		{"syntax", Workspaces, "a: {title: [\n", "section workspaces, line"},
		{"duplicate", Workspaces, "a: {title: A, weight: 1}\na: {title: B, weight: 1}\n", "section workspaces, line 2: mapping key \"a\" already defined"},
		{"range", Workspaces, "a: {title: A, weight: 1}\nb: {title: B, weight: 0}\n", "section workspaces, line 2: b: field Weight"},
		{"type", Rates, "a: {tokens_per_second: many, burst_tokens: 1}\n", "section rates, line 1:"},
		{"key of unknown workspace", Keys, "\nk: {workspace: z, hash: " + hash + "}\n", "section keys, line 2: k: workspace \"z\" is not in section workspaces"},
		{"rate of unknown workspace", Rates, "z: {tokens_per_second: 1, burst_tokens: 1}\n", "section rates, line 1: z: no workspace of that name"},
		{"engine with unknown model", Upstreams, "u: {address: '127.0.0.1:1', zone: a, kind: engine, models: [x]}\n", "section upstreams, line 1: u: model \"x\""},
		{"engine without models", Upstreams, "u: {address: '127.0.0.1:1', zone: a, kind: engine}\n", "line 1: u: field Models"},
		{"route to unknown service", Routes, "r: {method: GET, path: /x, service: s, idempotent: true, timeout_millis: 100}\n", "section routes, line 1: r: no upstream runs service \"s\""},
		{"two documents", Workspaces, "a: {title: A, weight: 1}\n---\nb: {title: B, weight: 1}\n", "more than one YAML document"},
		{"no section", Section("nonsense"), "", "section nonsense: no such section"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := doc.Replace(c.section, c.text)
			must.ErrorContains(t, err, c.want)
		})
	}
}

func TestRemovalOfReferencedItemIsRejected(t *testing.T) {
	doc := buildDocument(t, [2]string{"workspaces", "a: {title: A, weight: 1}\n"}, [2]string{"rates", "a: {tokens_per_second: 1, burst_tokens: 1}\n"})
	_, err := doc.Replace(Workspaces, "")
	must.ErrorContains(t, err, "section rates: a: no workspace of that name")
}

func TestDiffAndApply(t *testing.T) {
	before := buildDocument(t, [2]string{"workspaces", "a: {title: A, weight: 1}\nb: {title: B, weight: 1}\n"})
	after, err := before.Replace(Workspaces, "a: {title: A, weight: 1}\nb: {title: B, weight: 2}\nc: {title: C, weight: 1}\n")
	must.NoError(t, err)
	changes, err := before.Diff(after, Workspaces)
	must.NoError(t, err)
	must.SliceLen(t, 2, changes)
	got, err := before.Apply(Entry{Revision: 2, Section: Workspaces, Changes: changes, Digest: after.Digest})
	must.NoError(t, err)
	must.Eq(t, after.Workspaces, got.Workspaces)
	_, err = before.Apply(Entry{Revision: 2, Section: Workspaces, Changes: changes[:1], Digest: after.Digest})
	must.ErrorContains(t, err, "digest")
	_, err = before.Apply(Entry{Revision: 3, Section: Workspaces, Changes: changes, Digest: after.Digest})
	must.ErrorContains(t, err, "does not follow")
}

func TestSnapshotIsVerified(t *testing.T) {
	doc := buildDocument(t, [2]string{"workspaces", "a: {title: A, weight: 1}\n"})
	data, err := doc.Encode()
	must.NoError(t, err)
	got, err := Decode(data)
	must.NoError(t, err)
	must.Eq(t, doc.Digest, got.Digest)
	_, err = Decode([]byte(strings.Replace(string(data), "\"weight\":1", "\"weight\":2", 1)))
	must.ErrorContains(t, err, "does not match its digest")
}

func TestTextRoundTrip(t *testing.T) {
	doc := buildDocument(t, [2]string{"workspaces", "b: {title: B, weight: 2}\na: {title: A, weight: 1}\n"})
	text, err := doc.Text(Workspaces)
	must.NoError(t, err)
	again, err := doc.Replace(Workspaces, text)
	must.NoError(t, err)
	must.Eq(t, doc.Digest, again.Digest)
}

// FuzzReplace checks that no text panics and that an accepted one is unchanged after printing and parsing.
func FuzzReplace(f *testing.F) {
	f.Add("workspaces", "a: {title: A, weight: 1}\n")
	f.Add("routes", "r: {method: GET, path: /x}\n")
	f.Add("site", "policy: {placers: 1, token_micros: 100}\n")
	f.Fuzz(func(t *testing.T, section, text string) {
		doc, err := Empty().Replace(Section(section), text)
		if err != nil {
			return
		}
		printed, err := doc.Text(Section(section))
		must.NoError(t, err)
		again, err := Empty().Replace(Section(section), printed)
		must.NoError(t, err)
		must.Eq(t, doc.Digest, again.Digest)
	})
}
