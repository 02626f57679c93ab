package fatal

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// maxSoundReports limits the parts in a report to an instance that starts.
const maxSoundReports = 1024

// ReportSound returns the parts that are known from sound requests, the latest first. It is for an instance that starts and would take
// popular parts for as suspect as the one that crashes upstreams.
func (tr *PartTracker) ReportSound(now time.Time) []PartReport {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sound := maps.Clone(tr.sound)
	for id, p := range tr.parts {
		if !p.latest().IsZero() {
			sound[id] = p.soundness
		}
	}
	ids := slices.SortedFunc(maps.Keys(sound), func(a, b uint64) int {
		return cmp.Or(sound[b].latest().Compare(sound[a].latest()), cmp.Compare(a, b))
	})
	var reports []PartReport
	for _, id := range ids[:min(len(ids), maxSoundReports)] {
		s := sound[id]
		reports = append(reports, PartReport{Part: strconv.FormatUint(id, 16), Survived: ageOf(now, s.survived), Began: ageOf(now, s.began)})
	}
	return reports
}

// LearnSound records the sound requests that another instance has reported. Now is a time before the report was made, so that none of them is
// taken for later than it was.
func (tr *PartTracker) LearnSound(now time.Time, reports []PartReport) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, r := range reports {
		id, err := strconv.ParseUint(r.Part, 16, 64)
		if err != nil {
			continue
		}
		if p, ok := tr.parts[id]; ok {
			p.learn(now, r)
			continue
		}
		s := tr.sound[id]
		s.learn(now, r)
		tr.setSound(now, id, s)
	}
}
