package fatal

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// PartReport is what an instance knows of one prompt part. Ages are in milliseconds.
type PartReport struct {
	// Part is the hexadecimal identity of the part.
	Part    string        `json:"p"`
	Crashes []CrashReport `json:"c,omitempty"`
	// Survived is the time since a request with the part last survived, plus one; zero if none did.
	Survived int64 `json:"s,omitempty"`
	// Began is the time since an upstream last went on with its answer to a request with the part, plus one; zero if none did, and from
	// earlier builds.
	Began int64 `json:"g,omitempty"`
	// Position is the part's place in prompts; zero from earlier builds.
	Position int `json:"n,omitempty"`
	// Blocked is the time since requests with the part began to be refused, plus one; zero if they are not.
	Blocked int64 `json:"b,omitempty"`
	// Kept reports whether the block comes from an earlier run; otherwise the crashes show it.
	Kept bool `json:"k,omitempty"`
	// Others are the hexadecimal identities of the parts that might have caused the crashes of a kept block as well.
	Others []string `json:"o,omitempty"`
}

// CrashReport is one crash in a PartReport.
type CrashReport struct {
	// Upstream is the hexadecimal identity of the upstream's incarnation.
	Upstream string `json:"u"`
	Sent     int64  `json:"s"`
	Age      int64  `json:"a"`
}

// Report returns what this instance knows, from its own requests and from other instances: refused parts first, then those with
// the latest crashes.
func (tr *PartTracker) Report(now time.Time) []PartReport {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.removeExpired(now)
	ids := make([]uint64, 0, len(tr.parts))
	for id := range tr.parts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		return cmp.Or(compareBlocked(tr.parts[a], tr.parts[b]), tr.parts[b].lastCrash().Compare(tr.parts[a].lastCrash()), cmp.Compare(a, b))
	})
	var reports []PartReport
	for _, id := range ids[:min(len(ids), maxPartReports)] {
		reports = append(reports, tr.parts[id].report(now, id))
	}
	return reports
}

// compareBlocked orders refused parts before others.
func compareBlocked(a, b *part) int {
	switch {
	case a.blockedAt.IsZero() == b.blockedAt.IsZero():
		return 0
	case b.blockedAt.IsZero():
		return -1
	default:
		return 1
	}
}

func (p *part) report(now time.Time, id uint64) PartReport {
	r := PartReport{Part: strconv.FormatUint(id, 16), Survived: ageOf(now, p.survived), Blocked: ageOf(now, p.blockedAt), Kept: p.kept}
	r.Began, r.Position = ageOf(now, p.began), p.position
	r.Others = FormatParts(p.others)
	for _, c := range p.crashes {
		if !c.at.After(p.survived) {
			continue
		}
		r.Crashes = append(r.Crashes, CrashReport{strconv.FormatUint(c.upstream, 16), now.Sub(c.sent).Milliseconds(), now.Sub(c.at).Milliseconds()})
	}
	return r
}

// ageOf returns the age of a time in milliseconds plus one, or zero for no time.
func ageOf(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(0, now.Sub(at).Milliseconds()) + 1
}

// timeOf is the inverse of ageOf.
func timeOf(now time.Time, age int64) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age-1) * time.Millisecond)
}

// Merge records what another instance reported.
func (tr *PartTracker) Merge(now time.Time, reports []PartReport) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var merged []*part
	for _, r := range reports {
		id, err := strconv.ParseUint(r.Part, 16, 64)
		if err != nil {
			continue
		}
		p := tr.getOrCreate(now, id)
		tr.merge(now, p, r)
		merged = append(merged, p)
	}
	// Parts are judged against each other.
	for _, p := range merged {
		if tr.parts[p.id] == p {
			tr.update(now, p)
		}
	}
}

func (tr *PartTracker) merge(now time.Time, p *part, r PartReport) {
	for _, c := range r.Crashes {
		upstream, err := strconv.ParseUint(c.Upstream, 16, 64)
		if err != nil || c.Age < 0 || c.Sent < c.Age || c.Sent > partTTL.Milliseconds() {
			continue
		}
		tr.add(p, partCrash{upstream, now.Add(-time.Duration(c.Sent) * time.Millisecond), now.Add(-time.Duration(c.Age) * time.Millisecond)})
	}
	p.learn(now, r)
	p.position = max(p.position, min(r.Position, maxPosition))
	if r.Blocked > 0 && r.Kept {
		p.keep(now, timeOf(now, r.Blocked), ParseParts(r.Others))
	}
}

// maxPosition limits the position in a report.
const maxPosition = 1 << 10

// learn records the sound requests of a report.
func (s *soundness) learn(now time.Time, r PartReport) {
	if survived := timeOf(now, r.Survived); survived.Sub(s.survived) > reportTolerance {
		s.survived = survived
	}
	if began := timeOf(now, r.Began); began.Sub(s.began) > reportTolerance {
		s.began = began
	}
}

// ParseParts returns the parts with hexadecimal identities, without those that are none.
func ParseParts(texts []string) []uint64 {
	var parts []uint64
	for _, text := range texts[:min(len(texts), maxOthers)] {
		if id, err := strconv.ParseUint(text, 16, 64); err == nil {
			parts = append(parts, id)
		}
	}
	return parts
}

// FormatParts returns the hexadecimal identities of parts.
func FormatParts(parts []uint64) []string {
	var texts []string
	for _, id := range parts {
		texts = append(texts, strconv.FormatUint(id, 16))
	}
	return texts
}
