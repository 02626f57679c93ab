package link

import (
	"bytes"
	"errors"
)

// ErrMalformed is returned when an upstream sent bytes that are no answer. Its text never quotes them.
var ErrMalformed = errors.New("the upstream sent bytes that are no answer")

// FieldLine splits a line, without its end, into a name of letters, digits, "-" and "_", and what follows the colon after it. It
// returns false for any other line.
func FieldLine(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	return name, value, ok && isName(name)
}

func isName(text []byte) bool {
	for _, c := range text {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return len(text) > 0
}
