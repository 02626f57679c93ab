package serve

import "strconv"

// eventOrder checks that the ids of one upstream's events increase.
type eventOrder struct {
	// last is the id of the last event, or "".
	last string
	// resumed is the id after which the stream was taken up, or "". An upstream may repeat the events up to it.
	resumed string
}

// follow reports whether an event with the given ids may come next. Events without an id come only before the first one with an
// id: later, nothing shows that they belong to the stream.
func (o *eventOrder) follow(ids []string) bool {
	if len(ids) == 0 {
		return o.last == "" && o.resumed == ""
	}
	id := ids[0]
	if len(ids) > 1 || id == "" || o.last != "" && !isHigher(id, o.last) || isNumber(o.resumed) && !isNumber(id) {
		return false
	}
	o.last = id
	return true
}

// isHigher reports whether an id is higher than another one. Ids that are no numbers just differ.
func isHigher(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	before, errBefore := strconv.ParseInt(last, 10, 64)
	if err == nil && errBefore == nil {
		return n > before
	}
	return errBefore != nil && id != last
}

func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}
