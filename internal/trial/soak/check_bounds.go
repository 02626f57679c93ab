package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func checkRevocation(h *History, c *CallRecord, runs []RunRecord) string {
	for _, e := range h.Events {
		if late := c.At.Sub(e.At); e.Key != "" && e.Key == c.Key && len(runs) > 0 && late > h.Bounds.Revocation {
			return fmt.Sprintf("ran with a key revoked %s earlier", late)
		}
	}
	return ""
}

func checkApplied(h *History, c *CallRecord, _ []RunRecord) string {
	if c.Kind != AddedRoute || !c.Answered || c.Reply.Status != http.StatusNotFound || !h.faultFree(c.Router, c.At, c.At) {
		return ""
	}
	for _, e := range h.Events {
		if late := c.At.Sub(e.At); e.Route && late > h.Bounds.Apply+h.Bounds.StoreOutage {
			return fmt.Sprintf("router %d answered 404 on a route added %s earlier", c.Router, late)
		}
	}
	return ""
}

// checkValidAccepted considers only calls that every document of the run allows, so that none may be rejected as unknown.
func checkValidAccepted(_ *History, c *CallRecord, _ []RunRecord) string {
	unknown := c.Reply.Status == http.StatusUnauthorized || c.Reply.Status == http.StatusForbidden || c.Reply.Status == http.StatusNotFound
	if c.Kind != AddedRoute && c.Kind != RevokedKey && c.Answered && unknown {
		return fmt.Sprintf("valid %s call was rejected with %d", c.Kind, c.Reply.Status)
	}
	return ""
}

// checkPlannedStop considers calls whose router was stopped as planned while no unplanned fault was active anywhere.
func checkPlannedStop(h *History, c *CallRecord, runs []RunRecord) string {
	// A call that races with the close of its connection and is not forwarded does not count as lost.
	racedClose := len(runs) == 0 && c.Done.Sub(c.At) <= h.Bounds.CloseRace
	if c.Written && !c.Reply.Complete && !racedClose && h.onlyPlannedFaults(c) {
		return fmt.Sprintf("%s lost at a planned stop of router %d after %s", c.Kind, c.Router, c.Done.Sub(c.At))
	}
	return ""
}

// onlyPlannedFaults reports whether a call overlaps a planned fault of its router and no unplanned fault anywhere.
func (h *History) onlyPlannedFaults(c *CallRecord) bool {
	planned := false
	for _, f := range h.FaultPeriods {
		if !f.overlaps(c.At, c.Done, h.Bounds.SettleTime) {
			continue
		}
		if !f.Planned {
			return false
		}
		planned = planned || f.Router == c.Router
	}
	return planned
}

func checkRateLimit(h *History) []Violation {
	units := make(map[string]float64)
	for _, c := range h.Calls {
		if c.Kind == Narrow {
			units[c.ID] = c.Tokens()
		}
	}
	var runs []RunRecord
	counted := make(map[string]bool)
	for _, r := range h.Runs {
		if units[r.ID] > 0 && !counted[r.ID] {
			counted[r.ID] = true
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b RunRecord) int { return a.At.Compare(b.At) })
	allowed := (h.Bounds.Rate*h.Bounds.Window.Seconds()+h.Bounds.Burst)*(1+h.Bounds.Overshoot) + h.Bounds.Slack
	sum, first := 0.0, 0
	for _, r := range runs {
		sum += units[r.ID]
		for r.At.Sub(runs[first].At) > h.Bounds.Window {
			sum -= units[runs[first].ID]
			first++
		}
		if sum > allowed {
			return []Violation{newViolation(r.ID, "%.0f units in %s, %.0f allowed", sum, h.Bounds.Window, allowed)}
		}
	}
	return nil
}

func checkSingleLeader(h *History) []Violation {
	orders := slices.Clone(h.Orders)
	slices.SortFunc(orders, func(a, b OrderRecord) int { return a.At.Compare(b.At) })
	holders := make(map[int64]string)
	last := make(map[string]OrderRecord)
	var out []Violation
	for _, o := range orders {
		if holder, ok := holders[o.Token]; ok && holder != o.Holder {
			out = append(out, newViolation("", "token %d used by %s and %s", o.Token, holder, o.Holder))
		}
		holders[o.Token] = o.Holder
		prev, ok := last[o.Upstream]
		last[o.Upstream] = o
		if ok && prev.Holder != o.Holder && o.At.Sub(prev.At) < h.Bounds.LeaseTerm && !h.recentlyResumed(o.At) {
			out = append(out, newViolation("", "%s accepted orders of %s and %s within %s", o.Upstream, prev.Holder, o.Holder, o.At.Sub(prev.At)))
		}
		if ok && o.Token < prev.Token && !h.recentlyResumed(o.At) {
			out = append(out, newViolation("", "%s accepted token %d after %d", o.Upstream, o.Token, prev.Token))
		}
	}
	return out
}

// recentlyResumed reports whether a fault, such as a paused router or stalled link, ended within Bounds.AfterFault before at.
func (h *History) recentlyResumed(at time.Time) bool {
	for _, f := range h.FaultPeriods {
		if !f.To.IsZero() && !at.Before(f.To) && at.Sub(f.To) < h.Bounds.AfterFault {
			return true
		}
	}
	return false
}

func checkWeights(h *History, r RunRecord, c *CallRecord) string {
	if c == nil || !c.Kind.streams() {
		return ""
	}
	for _, e := range h.Events {
		late := r.At.Sub(e.At)
		if r.Version < e.Weights && late > h.Bounds.Weights && h.faultFree(c.Router, e.At, r.At) {
			return fmt.Sprintf("began on weights %d, %s after %d were announced", r.Version, late, e.Weights)
		}
	}
	return ""
}

// faultFree reports whether a router had no fault, including store faults, between from and to and Bounds.SettleTime before.
func (h *History) faultFree(router int, from, to time.Time) bool {
	for _, f := range h.FaultPeriods {
		if (f.Router == AllRouters || f.Router == router) && f.overlaps(from, to, h.Bounds.SettleTime) {
			return false
		}
	}
	return true
}

func checkDrained(h *History, r RunRecord, c *CallRecord) string {
	for _, d := range h.DrainPeriods {
		late := r.At.Sub(d.From)
		if c != nil && d.Upstream == r.Upstream && late > h.Bounds.Drain+h.Bounds.StoreOutage && r.At.Before(d.To) && h.faultFree(c.Router, d.From, r.At) {
			return fmt.Sprintf("ran at %s, %s after its drain notice", r.Upstream, late)
		}
	}
	return ""
}

// minServedRatio is the share of calls that must be served after the last fault, from the users' rule.
const minServedRatio = 0.25

func checkRecovered(h *History) []Violation {
	if h.CallsEnded.IsZero() || h.FaultsEnded.IsZero() {
		return nil
	}
	total, served := 0, 0
	for _, c := range h.Calls {
		if c.Kind == Narrow || c.Kind == RevokedKey || c.At.Sub(h.FaultsEnded) < h.Bounds.Recovery {
			continue
		}
		total++
		if c.served() {
			served++
		}
	}
	if total == 0 || float64(served) < minServedRatio*float64(total) {
		return []Violation{newViolation("", "%d of %d calls served %s after the last fault", served, total, h.Bounds.Recovery)}
	}
	return nil
}

func checkCrashes(h *History) []Violation {
	if h.Crashes == 0 {
		return nil
	}
	return []Violation{newViolation("", "%d unexpected router exits", h.Crashes)}
}
