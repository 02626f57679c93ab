package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func checkRevocation(h *Ledger, s *Sent, runs []Ran) string {
	for _, e := range h.Events {
		if late := s.At.Sub(e.At); e.Key != "" && e.Key == s.Key && len(runs) > 0 && late > h.Bounds.Revocation {
			return fmt.Sprintf("ran with a key revoked %s earlier", late)
		}
	}
	return ""
}

func checkApplied(h *Ledger, s *Sent, _ []Ran) string {
	if s.Kind != Later || !s.Answered || s.Reply.Status != http.StatusNotFound || !h.faultFree(s.Router, s.At, s.At) {
		return ""
	}
	for _, e := range h.Events {
		if late := s.At.Sub(e.At); e.Route && late > h.Bounds.Apply+h.Bounds.Stretch {
			return fmt.Sprintf("router %d answered 404 on a route added %s earlier", s.Router, late)
		}
	}
	return ""
}

// checkValidAccepted considers only calls that every document of the run allows, so that none may be rejected as unknown.
func checkValidAccepted(_ *Ledger, s *Sent, _ []Ran) string {
	unknown := s.Reply.Status == http.StatusUnauthorized || s.Reply.Status == http.StatusForbidden || s.Reply.Status == http.StatusNotFound
	if s.Kind != Later && s.Kind != Withdrawn && s.Answered && unknown {
		return fmt.Sprintf("valid %s call was rejected with %d", s.Kind, s.Reply.Status)
	}
	return ""
}

// checkPlannedStop considers calls whose router was stopped as planned while no unplanned fault was active on any router.
func checkPlannedStop(h *Ledger, s *Sent, runs []Ran) string {
	// A call that races with the close of its connection and is not forwarded does not count as lost.
	racedClose := len(runs) == 0 && s.Done.Sub(s.At) <= h.Bounds.Loss
	if s.Written && !s.Reply.Whole && !racedClose && h.onlyPlannedFaults(s) {
		return fmt.Sprintf("%s lost at a planned stop of router %d after %s", s.Kind, s.Router, s.Done.Sub(s.At))
	}
	return ""
}

// onlyPlannedFaults reports whether a call overlaps a planned fault of its router and no unplanned fault of any.
func (h *Ledger) onlyPlannedFaults(s *Sent) bool {
	planned := false
	for _, f := range h.Spells {
		if !f.overlaps(s.At, s.Done, h.Bounds.Contact) {
			continue
		}
		if !f.Planned {
			return false
		}
		planned = planned || f.Router == s.Router
	}
	return planned
}

func checkRateLimit(h *Ledger) []Breach {
	units := make(map[string]float64)
	for _, s := range h.Sent {
		if s.Kind == Narrow {
			units[s.ID] = s.Units()
		}
	}
	var runs []Ran
	counted := make(map[string]bool)
	for _, r := range h.Ran {
		if units[r.ID] > 0 && !counted[r.ID] {
			counted[r.ID] = true
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b Ran) int { return a.At.Compare(b.At) })
	allowed := (h.Bounds.Rate*h.Bounds.Window.Seconds()+h.Bounds.Burst)*(1+h.Bounds.Overshoot) + h.Bounds.Slack
	sum, first := 0.0, 0
	for _, r := range runs {
		sum += units[r.ID]
		for r.At.Sub(runs[first].At) > h.Bounds.Window {
			sum -= units[runs[first].ID]
			first++
		}
		if sum > allowed {
			return []Breach{violation(r.ID, "%.0f units in %s, %.0f allowed", sum, h.Bounds.Window, allowed)}
		}
	}
	return nil
}

func checkSingleLeader(h *Ledger) []Breach {
	orders := slices.Clone(h.Turns)
	slices.SortFunc(orders, func(a, b Turn) int { return a.At.Compare(b.At) })
	holders := make(map[int64]string)
	last := make(map[string]Turn)
	var out []Breach
	for _, o := range orders {
		if holder, ok := holders[o.Token]; ok && holder != o.Holder {
			out = append(out, violation("", "token %d used by %s and %s", o.Token, holder, o.Holder))
		}
		holders[o.Token] = o.Holder
		prev, ok := last[o.Upstream]
		last[o.Upstream] = o
		if ok && prev.Holder != o.Holder && o.At.Sub(prev.At) < h.Bounds.Turn && !h.recentlyResumed(o.At) {
			out = append(out, violation("", "%s accepted orders of %s and %s within %s", o.Upstream, prev.Holder, o.Holder, o.At.Sub(prev.At)))
		}
		if ok && o.Token < prev.Token && !h.recentlyResumed(o.At) {
			out = append(out, violation("", "%s accepted token %d after %d", o.Upstream, o.Token, prev.Token))
		}
	}
	return out
}

// recentlyResumed reports whether a fault, such as a router pause or a stalled link, ended within Bounds.Thaw before at.
func (h *Ledger) recentlyResumed(at time.Time) bool {
	for _, f := range h.Spells {
		if !f.To.IsZero() && !at.Before(f.To) && at.Sub(f.To) < h.Bounds.Thaw {
			return true
		}
	}
	return false
}

func checkWeights(h *Ledger, r Ran, s *Sent) string {
	if s == nil || !s.Kind.streams() {
		return ""
	}
	for _, e := range h.Events {
		late := r.At.Sub(e.At)
		if r.Version < e.Weights && late > h.Bounds.Weights && h.faultFree(s.Router, e.At, r.At) {
			return fmt.Sprintf("began on weights %d, %s after %d were announced", r.Version, late, e.Weights)
		}
	}
	return ""
}

// faultFree reports whether no fault, the store's included, affected a router between from and to and for Bounds.Contact before.
func (h *Ledger) faultFree(router int, from, to time.Time) bool {
	for _, f := range h.Spells {
		if (f.Router == Everywhere || f.Router == router) && f.overlaps(from, to, h.Bounds.Contact) {
			return false
		}
	}
	return true
}

func checkDrained(h *Ledger, r Ran, s *Sent) string {
	for _, e := range h.Leaves {
		late := r.At.Sub(e.From)
		if s != nil && e.Upstream == r.Upstream && late > h.Bounds.Drain+h.Bounds.Stretch && r.At.Before(e.To) && h.faultFree(s.Router, e.From, r.At) {
			return fmt.Sprintf("ran at %s, %s after its drain notice", r.Upstream, late)
		}
	}
	return ""
}

// minServedRatio is the share of calls that must be served after the last fault, from the users' rule.
const minServedRatio = 0.25

func checkRecovered(h *Ledger) []Breach {
	if h.Over.IsZero() || h.Quiet.IsZero() {
		return nil
	}
	total, served := 0, 0
	for _, s := range h.Sent {
		if s.Kind == Narrow || s.Kind == Withdrawn || s.At.Sub(h.Quiet) < h.Bounds.Recovery {
			continue
		}
		total++
		if s.served() {
			served++
		}
	}
	if total == 0 || float64(served) < minServedRatio*float64(total) {
		return []Breach{violation("", "%d of %d calls served %s after the last fault", served, total, h.Bounds.Recovery)}
	}
	return nil
}

func checkCrashes(h *Ledger) []Breach {
	if h.Crashed == 0 {
		return nil
	}
	return []Breach{violation("", "%d unexpected router exits", h.Crashed)}
}
