package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func revoked(l *Ledger, s *Sent, runs []Ran) string {
	for _, e := range l.Events {
		if late := s.At.Sub(e.At); e.Key != "" && e.Key == s.Key && len(runs) > 0 && late > l.Bounds.Revocation {
			return fmt.Sprintf("ran with a key withdrawn %s before", late)
		}
	}
	return ""
}

func applied(l *Ledger, s *Sent, _ []Ran) string {
	if s.Kind != Later || !s.Answered || s.Reply.Status != http.StatusNotFound || !l.calm(s.Router, s.At, s.At) {
		return ""
	}
	for _, e := range l.Events {
		if late := s.At.Sub(e.At); e.Route && late > l.Bounds.Apply+l.Bounds.Stretch {
			return fmt.Sprintf("router %d knows no route that was added %s before", s.Router, late)
		}
	}
	return ""
}

// known counts only calls that every document of the run allows; none of them is owed a refusal as unknown.
func known(_ *Ledger, s *Sent, _ []Ran) string {
	unknown := s.Reply.Status == http.StatusUnauthorized || s.Reply.Status == http.StatusForbidden || s.Reply.Status == http.StatusNotFound
	if s.Kind != Later && s.Kind != Withdrawn && s.Answered && unknown {
		return fmt.Sprintf("%s was refused with %d", s.Kind, s.Reply.Status)
	}
	return ""
}

// kept looks at calls whose router was stopped as planned while nothing else was wrong anywhere.
func kept(l *Ledger, s *Sent, runs []Ran) string {
	// A call that crosses the close of its connection and is not passed on is no loss.
	crossed := len(runs) == 0 && s.Done.Sub(s.At) <= l.Bounds.Loss
	if s.Written && !s.Reply.Complete && !crossed && l.onlyPlanned(s) {
		return fmt.Sprintf("%s lost at a planned stop of router %d after %s", s.Kind, s.Router, s.Done.Sub(s.At))
	}
	return ""
}

func (l *Ledger) onlyPlanned(s *Sent) bool {
	planned := false
	for _, f := range l.Spells {
		if !f.touches(s.At, s.Done, l.Bounds.Contact) {
			continue
		}
		if !f.Planned {
			return false
		}
		planned = planned || f.Router == s.Router
	}
	return planned
}

func judgeRated(l *Ledger) []Breach {
	units := make(map[string]float64)
	for _, s := range l.Sent {
		if s.Kind == Narrow {
			units[s.ID] = s.Tokens()
		}
	}
	var runs []Ran
	counted := make(map[string]bool)
	for _, r := range l.Ran {
		if units[r.ID] > 0 && !counted[r.ID] {
			counted[r.ID] = true
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b Ran) int { return a.At.Compare(b.At) })
	allowed := (l.Bounds.Rate*l.Bounds.Window.Seconds()+l.Bounds.Burst)*(1+l.Bounds.Overshoot) + l.Bounds.Slack
	sum, first := 0.0, 0
	for _, r := range runs {
		sum += units[r.ID]
		for r.At.Sub(runs[first].At) > l.Bounds.Window {
			sum -= units[runs[first].ID]
			first++
		}
		if sum > allowed {
			return []Breach{breach(r.ID, "%.0f units in %s, %.0f allowed", sum, l.Bounds.Window, allowed)}
		}
	}
	return nil
}

func judgeOne(l *Ledger) []Breach {
	turns := slices.Clone(l.Turns)
	slices.SortFunc(turns, func(a, b Turn) int { return a.At.Compare(b.At) })
	holders := make(map[int64]string)
	last := make(map[string]Turn)
	var out []Breach
	for _, t := range turns {
		if h, ok := holders[t.Token]; ok && h != t.Holder {
			out = append(out, breach("", "token %d of %s and %s", t.Token, h, t.Holder))
		}
		holders[t.Token] = t.Holder
		before, ok := last[t.Upstream]
		last[t.Upstream] = t
		if ok && before.Holder != t.Holder && t.At.Sub(before.At) < l.Bounds.Turn && !l.thawed(t.At) {
			out = append(out, breach("", "%s took orders of %s and %s within %s", t.Upstream, before.Holder, t.Holder, t.At.Sub(before.At)))
		}
		if ok && t.Token < before.Token && !l.thawed(t.At) {
			out = append(out, breach("", "%s took token %d after %d", t.Upstream, t.Token, before.Token))
		}
	}
	return out
}

// thawed tells whether some router had just been let go on or some link had just healed.
func (l *Ledger) thawed(at time.Time) bool {
	for _, s := range l.Spells {
		if !s.To.IsZero() && !at.Before(s.To) && at.Sub(s.To) < l.Bounds.Thaw {
			return true
		}
	}
	return false
}

func fresh(l *Ledger, r Ran, s *Sent) string {
	if s == nil || !s.Kind.streams() {
		return ""
	}
	for _, e := range l.Events {
		late := r.At.Sub(e.At)
		if r.Version < e.Weights && late > l.Bounds.Weights && l.calm(s.Router, e.At, r.At) {
			return fmt.Sprintf("began on weights %d, %s after %d were announced", r.Version, late, e.Weights)
		}
	}
	return ""
}

// calm tells whether a router was without any fault, the store's included, for a time and the contact time before it.
func (l *Ledger) calm(router int, from, to time.Time) bool {
	for _, s := range l.Spells {
		if (s.Router == Everywhere || s.Router == router) && s.touches(from, to, l.Bounds.Contact) {
			return false
		}
	}
	return true
}

func drained(l *Ledger, r Ran, s *Sent) string {
	for _, e := range l.Leaves {
		late := r.At.Sub(e.From)
		if s != nil && e.Upstream == r.Upstream && late > l.Bounds.Drain+l.Bounds.Stretch && r.At.Before(e.To) && l.calm(s.Router, e.From, r.At) {
			return fmt.Sprintf("ran at %s, %s after the notice that it leaves", r.Upstream, late)
		}
	}
	return ""
}

// leastServed is the part of calls that must be served after the last fault, as in the users' rule.
const leastServed = 0.25

func judgeRecovered(l *Ledger) []Breach {
	if l.Over.IsZero() || l.Quiet.IsZero() {
		return nil
	}
	asked, served := 0, 0
	for _, s := range l.Sent {
		if s.Kind == Narrow || s.Kind == Withdrawn || s.At.Sub(l.Quiet) < l.Bounds.Recovery {
			continue
		}
		asked++
		if s.served() {
			served++
		}
	}
	if asked == 0 || float64(served) < leastServed*float64(asked) {
		return []Breach{breach("", "%d of %d calls served %s after the last fault", served, asked, l.Bounds.Recovery)}
	}
	return nil
}

func judgeUpright(l *Ledger) []Breach {
	if l.Crashed == 0 {
		return nil
	}
	return []Breach{breach("", "routers ended by themselves %d times", l.Crashed)}
}
