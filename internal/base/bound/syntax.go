package bound

import (
	"errors"
	"io"
	"net/http"
)

// ErrMalformed is returned when another process sent bytes that are no answer. Its text never quotes them.
var ErrMalformed = errors.New("the bytes are no answer")

// headPart is the place in a head of the byte that comes next.
type headPart string

// The places in a head.
const (
	inStatusLine headPart = "status line"
	inReason     headPart = "reason"
	atLineStart  headPart = "line start"
	inName       headPart = "name"
	inValue      headPart = "value"
	// atLineEnd comes after a CR, atHeadEnd after that of the empty line.
	atLineEnd headPart = "line end"
	atHeadEnd headPart = "head end"
	// afterHead is the place after a whole head.
	afterHead headPart = "after the head"
)

// statusLine is the form of a status line up to its reason: 9 stands for a digit, 1 for one from 1 on.
const statusLine = "HTTP/9.9 199"

// headSyntax checks heads byte by byte. Readers of heads accept more: blanks in names and before the status, folded lines and statuses below
// 100. What they make of it may not be what the sender meant, up to another body. The zero value expects a status line.
type headSyntax struct {
	part headPart
	// at is the position in the status line.
	at int
}

// next checks the next byte of a head.
func (s *headSyntax) next(b byte) error {
	switch s.part {
	case "", inStatusLine:
		return s.nextOfStatusLine(b)
	case atLineStart:
		switch {
		case b == '\r':
			s.part = atHeadEnd
		case b == '\n':
			s.part = afterHead
		case isTokenByte(b):
			s.part = inName
		default:
			return ErrMalformed
		}
	case inName:
		switch {
		case b == ':':
			s.part = inValue
		case !isTokenByte(b):
			return ErrMalformed
		}
	case inReason, inValue:
		switch {
		case b == '\n':
			s.part = atLineStart
		case b == '\r':
			s.part = atLineEnd
		case !isTextByte(b):
			return ErrMalformed
		}
	case atLineEnd, atHeadEnd:
		if b != '\n' {
			return ErrMalformed
		}
		if s.part == atHeadEnd {
			s.part = afterHead
		} else {
			s.part = atLineStart
		}
	}
	return nil
}

func (s *headSyntax) nextOfStatusLine(b byte) error {
	s.part = inStatusLine
	if s.at == len(statusLine) {
		switch b {
		case ' ':
			s.part = inReason
		case '\r':
			s.part = atLineEnd
		case '\n':
			s.part = atLineStart
		default:
			return ErrMalformed
		}
		return nil
	}
	want := statusLine[s.at]
	s.at++
	switch {
	case want == '9' && '0' <= b && b <= '9', want == '1' && '1' <= b && b <= '9', want != '9' && want != '1' && b == want:
		return nil
	default:
		return ErrMalformed
	}
}

// check checks a whole head, without the empty line that ends it.
func check(head []byte) error {
	var s headSyntax
	for _, b := range head {
		if err := s.next(b); err != nil {
			return err
		}
	}
	return nil
}

// isTokenByte reports whether a byte may be in the name of a field (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case '0' <= b && b <= '9', 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// isTextByte reports whether a byte may be in the value of a field or in a reason.
func isTextByte(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// checkNames returns ErrMalformed if the name of a field is none.
func checkNames(header http.Header) error {
	for name := range header {
		if name == "" {
			return ErrMalformed
		}
		for i := range len(name) {
			if !isTokenByte(name[i]) {
				return ErrMalformed
			}
		}
	}
	return nil
}

// trailerBody is a body that ends with ErrMalformed if the name of a field of its trailer is none.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// CheckTrailer makes the body of a response end with ErrMalformed if the name of a field of its trailer is none.
func CheckTrailer(r *http.Response) io.ReadCloser { return &trailerBody{r.Body, r} }

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && checkNames(b.response.Trailer) != nil {
		return n, ErrMalformed
	}
	return n, err
}
