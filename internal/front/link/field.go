package link

import (
	"bytes"
	"errors"
	"io"
	"net"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// ErrMalformed is returned when an upstream sent bytes that are no answer. Its text never quotes them.
var ErrMalformed = errors.New("the upstream sent bytes that are no answer")

// withoutQuotes returns ErrMalformed for errors whose text may quote what the upstream sent, and other errors unchanged.
func withoutQuotes(err error) error {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, bound.ErrTooLong) || errors.As(err, &network) {
		return err
	}
	return ErrMalformed
}

// quietBody is a body whose errors do not quote it.
type quietBody struct{ io.Reader }

// Read implements io.Reader.
func (b quietBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		err = withoutQuotes(err)
	}
	return n, err
}

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
