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

// init fixes the seed and the number of checks, so that every run gives the same result; flags override them.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "500")
}

// memoryObjects is an object store in memory.
type memoryObjects map[string][]byte

func (s memoryObjects) Get(_ context.Context, key string) ([]byte, bool, error) {
	data, ok := s[key]
	return data, ok, nil
}

func (s memoryObjects) Put(_ context.Context, key string, data []byte) error {
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

func TestEditsOfDifferentSectionsAreBothAccepted(t *testing.T) {
	ctx := t.Context()
	l := New(store.NewMemory(), memoryObjects{})
	empty := rules.Empty()
	_, err := l.Commit(ctx, start, empty, edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.NoError(t, err)
	// Both edits are based on the empty document; they do not conflict, because their sections differ.
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
	l := New(store.NewMemory(), memoryObjects{})
	_, err := l.Commit(ctx, start, rules.Empty(), edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.NoError(t, err)
	_, err = l.Commit(ctx, start, rules.Empty(), edit(rules.Workspaces, 0, "e2", twoWorkspaces))
	must.True(t, fault.Is(err, fault.Conflict))
}

func TestRetriedEditReturnsFirstOutcome(t *testing.T) {
	ctx := t.Context()
	l := New(store.NewMemory(), memoryObjects{})
	first, err := l.Commit(ctx, start, rules.Empty(), edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.NoError(t, err)
	again, err := l.Commit(ctx, start, rules.Empty(), edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.NoError(t, err)
	must.True(t, again.AlreadyAccepted)
	must.Eq(t, first.Entry.Revision, again.Entry.Revision)
}

func TestCommitDuringOutageReturnsStoreDown(t *testing.T) {
	memory := store.NewMemory()
	memory.SetDown(true)
	_, err := New(memory, memoryObjects{}).Commit(t.Context(), start, rules.Empty(), edit(rules.Workspaces, 0, "e1", oneWorkspace))
	must.True(t, fault.Is(err, fault.ClaimStoreDown))
}

func TestLoadFromSnapshot(t *testing.T) {
	ctx := t.Context()
	memory := store.NewMemory()
	l := New(memory, memoryObjects{})
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

// TestConcurrentOperators runs concurrent operators on a store with outages and lost responses, and routers that follow by
// stale reads and outdated peers. Every accepted edit is in the log once, and no router's revision decreases.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newSchedule()
		rt.Repeat(map[string]func(*rapid.T){
			"edit":  func(rt *rapid.T) { r.edit(rt, rapid.IntRange(0, 2).Draw(rt, "operator")) },
			"again": func(rt *rapid.T) { r.commit(rt, rapid.IntRange(0, 2).Draw(rt, "operator")) },
			"read":  func(rt *rapid.T) { r.read(rapid.IntRange(0, 2).Draw(rt, "router")) },
			"gossip": func(rt *rapid.T) {
				r.gossip(rapid.IntRange(0, 2).Draw(rt, "from"), rapid.IntRange(0, 2).Draw(rt, "to"))
			},
			"old":     func(rt *rapid.T) { r.installOld(rt, rapid.IntRange(0, 2).Draw(rt, "router")) },
			"restart": func(rt *rapid.T) { r.restart(rapid.IntRange(0, 2).Draw(rt, "router")) },
			"outage":  func(rt *rapid.T) { r.memory.SetDown(rapid.Bool().Draw(rt, "down")) },
			"lose":    func(rt *rapid.T) { r.memory.SetLoseEvery(rapid.IntRange(0, 2).Draw(rt, "every")) },
			"fail":    func(rt *rapid.T) { r.memory.SetFailEvery(rapid.IntRange(0, 2).Draw(rt, "every")) },
			"":        func(rt *rapid.T) { r.check(rt) },
		})
	})
}

// schedule is the state of one random schedule.
type schedule struct {
	memory    *store.Memory
	ledger    *Ledger
	operators [3]operator
	feeds     [3]*feed.Feed
	// highest holds each router's highest revision since its start.
	highest [3]int64
	// accepted maps edits reported as accepted to their revisions.
	accepted map[string]int64
	// rejected holds edits reported as rejected.
	rejected  map[string]bool
	editCount int
	// history holds all documents that routers have loaded.
	history []*rules.Document
}

func newSchedule() *schedule {
	memory := store.NewMemory()
	r := &schedule{memory: memory, ledger: New(memory, memoryObjects{}), accepted: make(map[string]int64), rejected: make(map[string]bool)}
	for i := range r.feeds {
		r.feeds[i] = feed.New()
	}
	return r
}

// edit prepares and commits an edit of an operator who has none pending.
func (r *schedule) edit(rt *rapid.T, who int) {
	o := &r.operators[who]
	if o.pending != nil {
		return
	}
	r.editCount++
	sections := []rules.Section{rules.Workspaces, rules.Models}
	section := rapid.SampledFrom(sections).Draw(rt, "section")
	text := fmt.Sprintf("x%d: {title: T, weight: 1}\n", r.editCount)
	if section == rules.Models {
		text = fmt.Sprintf("x%d: {weights: v}\n", r.editCount)
	}
	doc, err := r.ledger.Load(context.Background(), rules.Empty())
	if err != nil {
		return
	}
	o.pending = &Edit{ID: fmt.Sprint("e", r.editCount), Section: section, Text: text, Base: doc.Changed[section], Operator: fmt.Sprint(who)}
	r.commit(rt, who)
}

// commit sends the pending edit, for the first time or again after an unknown outcome.
func (r *schedule) commit(rt *rapid.T, who int) {
	o := &r.operators[who]
	if o.pending == nil {
		return
	}
	out, err := r.ledger.Commit(context.Background(), start, rules.Empty(), *o.pending)
	switch {
	case err == nil:
		if revision, ok := r.accepted[o.pending.ID]; ok && revision != out.Entry.Revision {
			rt.Fatalf("edit %s was accepted at %d and at %d", o.pending.ID, revision, out.Entry.Revision)
		}
		r.accepted[o.pending.ID] = out.Entry.Revision
		o.pending = nil
	case fault.Is(err, fault.Conflict):
		r.rejected[o.pending.ID] = true
		o.pending = nil
	case fault.Is(err, fault.ClaimStoreDown), fault.Is(err, fault.OutcomeUnknown):
	case errors.Is(err, table.ErrUnavailable):
	default:
		rt.Fatalf("edit failed: %v", err)
	}
}

// read loads the latest document into a router's feed.
func (r *schedule) read(router int) {
	doc, _ := r.feeds[router].Document()
	if doc == nil {
		doc = rules.Empty()
	}
	loaded, err := r.ledger.Load(context.Background(), doc)
	if err == nil {
		r.history = append(r.history, loaded)
		r.feeds[router].InstallIfNewer(loaded)
	}
}

// gossip sends a router the entries that it lacks, or else the complete document of another router.
func (r *schedule) gossip(from, to int) {
	doc, _ := r.feeds[from].Document()
	if doc == nil {
		return
	}
	entries, ok := r.feeds[from].EntriesAfter(r.feeds[to].Revision())
	if !ok {
		r.feeds[to].InstallIfNewer(doc)
		return
	}
	_ = r.feeds[to].ApplyEntries(entries)
}

// installOld offers a router a document that some router loaded earlier.
func (r *schedule) installOld(rt *rapid.T, router int) {
	if len(r.history) > 0 {
		r.feeds[router].InstallIfNewer(rapid.SampledFrom(r.history).Draw(rt, "old"))
	}
}

// restart clears a router's feed. Its revision may start lower, because it serves only once it has a current document.
func (r *schedule) restart(router int) {
	r.feeds[router] = feed.New()
	r.highest[router] = 0
}

func (r *schedule) check(rt *rapid.T) {
	for i, f := range r.feeds {
		revision := f.Revision()
		if revision < r.highest[i] {
			rt.Fatalf("router %d went back from revision %d to %d", i, r.highest[i], revision)
		}
		r.highest[i] = revision
	}
	seen := make(map[string]bool)
	for _, row := range r.memory.Peek(logPart) {
		if seen[row.WriteID] {
			rt.Fatalf("edit %s is in the log twice", row.WriteID)
		}
		seen[row.WriteID] = true
	}
	for id := range r.rejected {
		if seen[id] {
			rt.Fatalf("rejected edit %s is in the log", id)
		}
	}
	for id := range r.accepted {
		if !seen[id] {
			rt.Fatalf("accepted edit %s is not in the log", id)
		}
	}
}

// lossyTable commits transactions but loses their responses; reads then fail until down is cleared.
type lossyTable struct {
	*store.Memory
	down bool
}

func (l *lossyTable) Get(ctx context.Context, part, sort string) (table.Record, bool, error) {
	if l.down {
		return table.Record{}, false, table.ErrUnavailable
	}
	return l.Memory.Get(ctx, part, sort)
}

func (l *lossyTable) Transact(ctx context.Context, puts []table.Put) error {
	if err := l.Memory.Transact(ctx, puts); err != nil {
		return err
	}
	l.down = true
	return table.ErrUnavailable
}

func TestLostCommitResponseIsFoundByRetry(t *testing.T) {
	lossy := &lossyTable{Memory: store.NewMemory()}
	l := New(lossy, memoryObjects{})
	e := edit(rules.Workspaces, 0, "e1", oneWorkspace)
	_, err := l.Commit(t.Context(), start, rules.Empty(), e)
	must.True(t, fault.Is(err, fault.OutcomeUnknown))
	lossy.down = false
	out, err := l.Commit(t.Context(), start, rules.Empty(), e)
	must.NoError(t, err)
	must.True(t, out.AlreadyAccepted)
	must.Eq(t, 1, out.Entry.Revision)
}
