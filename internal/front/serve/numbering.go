package serve

import "strconv"

// numbering describes the ids of a stream's events. Upstreams may number events consecutively or not.
type numbering struct {
	// last is the latest id; zero if there is none or it is no number.
	last int64
	// steps is how often an id followed its predecessor by one, jumps how often by more.
	steps, jumps int
}

// add adds the id of the next event.
func (n *numbering) add(id string) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		n.last = 0
		return
	}
	switch {
	case n.last == 0:
	case number == n.last+1:
		n.steps++
	default:
		n.jumps++
	}
	n.last = number
}

// skips reports whether an event with that id leaves out others, which is known only of events that are numbered consecutively.
func (n *numbering) skips(id string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n.steps > 0 && n.jumps == 0 && number > n.last+1
}
