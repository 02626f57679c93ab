package fatal

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// maxRequestReports limits the requests in a report to an instance that starts.
const maxRequestReports = 1024

// RequestReport is what an instance hands on of a request to one that starts.
type RequestReport struct {
	// Request is the hexadecimal fingerprint.
	Request string `json:"request"`
	// Counts are the crashes that each instance has counted, by its address.
	Counts map[string]int `json:"counts"`
	// AgeMs is the time in milliseconds since one of them last changed.
	AgeMs int64 `json:"age"`
}

// ReportRequests returns all counts that this instance, whose address is self, knows, the latest first.
func (tr *Tracker) ReportRequests(now time.Time, self string) []RequestReport {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.removeExpired(now)
	fingerprints := slices.SortedFunc(maps.Keys(tr.records), func(a, b uint64) int {
		return cmp.Or(tr.records[b].last.Compare(tr.records[a].last), cmp.Compare(a, b))
	})
	var reports []RequestReport
	for _, fingerprint := range fingerprints[:min(len(fingerprints), maxRequestReports)] {
		r := tr.records[fingerprint]
		counts := maps.Clone(r.peers)
		if r.own() > 0 {
			counts[self] = r.own()
		}
		reports = append(reports, RequestReport{Request: strconv.FormatUint(fingerprint, 16), Counts: counts, AgeMs: now.Sub(r.last).Milliseconds()})
	}
	return reports
}

// LearnRequests records the counts that another instance has handed on to this one, whose address is self. Those of this address are from
// before its start. Now is a time before the report was made, so that no crash is taken for later than it was.
func (tr *Tracker) LearnRequests(now time.Time, self string, reports []RequestReport) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, report := range reports {
		fingerprint, err := strconv.ParseUint(report.Request, 16, 64)
		age := time.Duration(report.AgeMs) * time.Millisecond
		if err != nil || report.AgeMs < 0 || report.AgeMs > window.Milliseconds() {
			continue
		}
		r := tr.getOrCreate(now, fingerprint)
		if r == nil {
			return
		}
		for peer, n := range report.Counts {
			if peer == self {
				r.former = max(r.former, n)
			} else {
				r.peers[peer] = max(r.peers[peer], n)
			}
		}
		if at := now.Add(-age); at.After(r.last) {
			r.last = at
		}
	}
}
