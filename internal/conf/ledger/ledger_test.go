package ledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/feed"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/fake/store"
	"github.com/skylarkquay/skylarkquay/internal/plat/table"
)

// init fixes seed and size, so that every run gives the same verdict; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "500")
}

// shelf is an object store in memory.
type shelf map[string][]byte

func (s shelf) Get(_ context.Context, key string) ([]byte, bool, error) {
	data, ok := s[key]
	return data, ok, nil
}

func (s shelf) Put(_ context.Context, key string, data []byte) error {
	s[key] = data
	return nil
}

var start = time.Unix(1_800_000_000, 0)

func edit(section rules.Section, base int64, id, text string) Edit {
	return Edit{ID: id, Section: section, Text: text, Base: base, Operator: "op"}
}

const (
	oneWorkspace  = "a: {title: A, weight: 1}\n"
	twoWorkspaces = "a: {title: A, weight: 1}\nb: {title: B, weight: 2}\n"
	oneModel      = "m: {weights: v1}\n"
)

func TestEditsOfDifferentSectionsLand(t *testing.T) {
	ctx := t.Context()
	l := New(store.NewMemory(), shelf{})
	empty := rules.Empty()
	_, err := l.Commit(ctx, start, empty, edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.NoError(t, err)
	// Both operators start from the empty document; neither conflicts, because each has a section of its own.
	_, err = l.Commit(ctx, start, empty, edit(rules.Models, 0, "e2", oneModel))
	must.NoError(t, err)
	doc, err := l.Load(ctx, empty)
	must.NoError(t, err)
	must.Eq(t, 2, doc.Revision)
	must.MapLen(t, 1, doc.Workspaces)
	must.MapLen(t, 1, doc.Models)
}

func TestEditOfSameSectionConflicts(t *testing.T) {
	ctx := t.Context()
	l := New(store.NewMemory(), shelf{})
	_, err := l.Commit(ctx, start, rules.Empty(), edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.NoError(t, err)
	_, err = l.Commit(ctx, start, rules.Empty(), edit(rules.Workspaces, 0, "e2", twoWorkspaces))
	must.True(t, fault.Is(err, fault.Conflict))
}

func TestEditAskedAgainIsFound(t *testing.T) {
	ctx := t.Context()
	l := New(store.NewMemory(), shelf{})
	first, err := l.Commit(ctx, start, rules.Empty(), edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.NoError(t, err)
	again, err := l.Commit(ctx, start, rules.Empty(), edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.NoError(t, err)
	must.True(t, again.Again)
	must.Eq(t, first.Entry.Revision, again.Entry.Revision)
}

func TestEditDuringOutageSaysSo(t *testing.T) {
	memory := store.NewMemory()
	memory.SetDown(true)
	_, err := New(memory, shelf{}).Commit(t.Context(), start, rules.Empty(), edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.True(t, fault.Is(err, fault.ClaimStoreDown))
}

func TestLoadFromSnapshot(t *testing.T) {
	ctx := t.Context()
	memory := store.NewMemory()
	l := New(memory, shelf{})
	doc := rules.Empty()
	for i := range 3 {
		out, err := l.Commit(ctx, start, doc, edit(rules.Workspaces, doc.Changed[rules.Workspaces], fmt.Sprint(i), fmt.Sprintf("w%d: {title: T, weight: 1}\n", i)))
		must.NoError(t, err)
		doc = out.Document
		if i == 1 {
			must.NoError(t, l.SaveSnapshot(ctx, doc))
		}
	}
	before, _ := memory.Counts()
	loaded, err := l.Load(ctx, rules.Empty())
	must.NoError(t, err)
	must.Eq(t, doc.Digest, loaded.Digest)
	after, _ := memory.Counts()
	must.Eq(t, 1, after-before)
}

// operator is one operator's client in the random schedules.
type operator struct {
	pending *Edit
}

// TestOperatorsRace runs operators that race on one document over a store with outages and lost answers, and routers
// that follow it by stale reads and old peers. Every accepted edit is in the log once, and no router goes back.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRace()
		rt.Repeat(map[string]func(*rapid.T){
			"edit":  func(rt *rapid.T) { r.edit(rt, rapid.IntRange(0, 2).Draw(rt, "operator")) },
			"again": func(rt *rapid.T) { r.again(rt, rapid.IntRange(0, 2).Draw(rt, "operator")) },
			"read":  func(rt *rapid.T) { r.read(rapid.IntRange(0, 2).Draw(rt, "router")) },
			"gossip": func(rt *rapid.T) {
				r.gossip(rapid.IntRange(0, 2).Draw(rt, "from"), rapid.IntRange(0, 2).Draw(rt, "to"))
			},
			"old":     func(rt *rapid.T) { r.offerOld(rt, rapid.IntRange(0, 2).Draw(rt, "router")) },
			"restart": func(rt *rapid.T) { r.restart(rapid.IntRange(0, 2).Draw(rt, "router")) },
			"outage":  func(rt *rapid.T) { r.memory.SetDown(rapid.Bool().Draw(rt, "down")) },
			"lose":    func(rt *rapid.T) { r.memory.SetLoseEvery(rapid.IntRange(0, 2).Draw(rt, "every")) },
			"fail":    func(rt *rapid.T) { r.memory.SetFailEvery(rapid.IntRange(0, 2).Draw(rt, "every")) },
			"":        func(rt *rapid.T) { r.check(rt) },
		})
	})
}

// race is the state of one schedule.
type race struct {
	memory    *store.Memory
	ledger    *Ledger
	operators [3]operator
	feeds     [3]*feed.Feed
	highest   [3]int64
	// accepted are the identities of the edits that an operator was told of, by revision.
	accepted map[string]int64
	// refused are the identities of the edits that an operator was told are not accepted.
	refused map[string]bool
	edits   int
	// history holds all documents that routers were given.
	history []*rules.Document
}

func newRace() *race {
	memory := store.NewMemory()
	r := &race{memory: memory, ledger: New(memory, shelf{}), accepted: make(map[string]int64), refused: make(map[string]bool)}
	for i := range r.feeds {
		r.feeds[i] = feed.New()
	}
	return r
}

func (r *race) edit(rt *rapid.T, who int) {
	o := &r.operators[who]
	if o.pending != nil {
		return
	}
	r.edits++
	sections := []rules.Section{rules.Workspaces, rules.Models}
	section := rapid.SampledFrom(sections).Draw(rt, "section")
	text := fmt.Sprintf("x%d: {title: T, weight: 1}\n", r.edits)
	if section == rules.Models {
		text = fmt.Sprintf("x%d: {weights: v}\n", r.edits)
	}
	doc, err := r.ledger.Load(context.Background(), rules.Empty())
	if err != nil {
		return
	}
	o.pending = &Edit{ID: fmt.Sprint("e", r.edits), Section: section, Text: text, Base: doc.Changed[section], Operator: fmt.Sprint(who)}
	r.again(rt, who)
}

// again sends the pending edit, for the first time or after an unknown outcome.
func (r *race) again(rt *rapid.T, who int) {
	o := &r.operators[who]
	if o.pending == nil {
		return
	}
	out, err := r.ledger.Commit(context.Background(), start, rules.Empty(), *o.pending)
	switch {
	case err == nil:
		if was, ok := r.accepted[o.pending.ID]; ok && was != out.Entry.Revision {
			rt.Fatalf("edit %s was accepted at %d and at %d", o.pending.ID, was, out.Entry.Revision)
		}
		r.accepted[o.pending.ID] = out.Entry.Revision
		o.pending = nil
	case fault.Is(err, fault.Conflict):
		r.refused[o.pending.ID] = true
		o.pending = nil
	case fault.Is(err, fault.ClaimStoreDown), fault.Is(err, fault.OutcomeUnknown):
	case errors.Is(err, table.ErrUnavailable):
	default:
		rt.Fatalf("edit failed: %v", err)
	}
}

func (r *race) read(router int) {
	doc, _ := r.feeds[router].Document()
	if doc == nil {
		doc = rules.Empty()
	}
	loaded, err := r.ledger.Load(context.Background(), doc)
	if err == nil {
		r.history = append(r.history, loaded)
		r.feeds[router].Offer(loaded)
	}
}

func (r *race) gossip(from, to int) {
	doc, _ := r.feeds[from].Document()
	if doc == nil {
		return
	}
	entries, ok := r.feeds[from].After(r.feeds[to].Revision())
	if !ok {
		r.feeds[to].Offer(doc)
		return
	}
	_ = r.feeds[to].Extend(entries)
}

func (r *race) offerOld(rt *rapid.T, router int) {
	if len(r.history) > 0 {
		r.feeds[router].Offer(rapid.SampledFrom(r.history).Draw(rt, "old"))
	}
}

// restart begins a router anew; it may serve only once it has a document that is known to be current.
func (r *race) restart(router int) {
	r.feeds[router] = feed.New()
	r.highest[router] = 0
}

func (r *race) check(rt *rapid.T) {
	for i, f := range r.feeds {
		revision := f.Revision()
		if revision < r.highest[i] {
			rt.Fatalf("router %d went from revision %d back to %d", i, r.highest[i], revision)
		}
		r.highest[i] = revision
	}
	seen := make(map[string]bool)
	for _, row := range r.memory.Peek(logPart) {
		if seen[row.Write] {
			rt.Fatalf("edit %s is in the log twice", row.Write)
		}
		seen[row.Write] = true
	}
	for id := range r.refused {
		if seen[id] {
			rt.Fatalf("refused edit %s is in the log", id)
		}
	}
	for id := range r.accepted {
		if !seen[id] {
			rt.Fatalf("accepted edit %s is not in the log", id)
		}
	}
}

// blind is a table whose commits lose their answers and whose reads then fail until sight is given back.
type blind struct {
	*store.Memory
	down bool
}

func (b *blind) Get(ctx context.Context, part, sort string) (table.Record, bool, error) {
	if b.down {
		return table.Record{}, false, table.ErrUnavailable
	}
	return b.Memory.Get(ctx, part, sort)
}

func (b *blind) Transact(ctx context.Context, puts []table.Put) error {
	if err := b.Memory.Transact(ctx, puts); err != nil {
		return err
	}
	b.down = true
	return table.ErrUnavailable
}

func TestLostAnswerIsFoundLater(t *testing.T) {
	b := &blind{Memory: store.NewMemory()}
	l := New(b, shelf{})
	e := edit(rules.Workspaces, 0, "e1", oneWorkspace)
	_, err := l.Commit(t.Context(), start, rules.Empty(), e)
	must.True(t, fault.Is(err, fault.OutcomeUnknown))
	b.down = false
	out, err := l.Commit(t.Context(), start, rules.Empty(), e)
	must.NoError(t, err)
	must.True(t, out.Again)
	must.Eq(t, 1, out.Entry.Revision)
}
