package link

import (
	"bytes"
	"net/http"
	"regexp"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// HoldsHead reports whether text holds the head of a response: a status line, which may follow other text on its line, and header
// lines that isAnswer accepts. Where nothing bounds a body, a second response that the upstream writes on the same connection
// becomes a part of it.
func HoldsHead(text []byte, isAnswer func(http.Header) bool) bool {
	return newHeadScanner(isAnswer).scan(text)
}

// BodyHoldsHead is HoldsHead for a whole body, which may also hold a whole head with any header lines, as servers write for errors
// before an application sees the request, and end with a head that is cut or that of an interim response.
func BodyHoldsHead(body []byte, isAnswer func(http.Header) bool) bool {
	s := newHeadScanner(isAnswer)
	s.acceptAny = true
	return s.scan(body) || s.inHead && s.strict || s.afterInterim
}

// headScanner reads text line by line.
type headScanner struct {
	isAnswer func(http.Header) bool
	// acceptAny reports whether a whole head counts whatever its header lines, if all its lines end with CRLF.
	acceptAny bool
	// inHead reports whether a status line and only header lines after it have been read, of the given size.
	inHead bool
	header http.Header
	size   int
	// interim reports whether the head is that of an interim response, strict whether its lines end with CRLF.
	interim, strict bool
	// afterInterim reports whether the last line ended the head of an interim response.
	afterInterim bool
}

func newHeadScanner(isAnswer func(http.Header) bool) *headScanner {
	return &headScanner{isAnswer: isAnswer}
}

// scan reports whether a head was found.
func (s *headScanner) scan(text []byte) bool {
	if !bytes.Contains(text, []byte(protocolName)) {
		return false
	}
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n') + 1
		if end == 0 {
			return s.last(text)
		}
		if s.next(text[:end]) {
			return true
		}
		text = text[end:]
	}
	return s.found()
}

// next reads a line with its end. It reports whether a head ended before it or with it.
func (s *headScanner) next(line []byte) bool {
	content, strict := bytes.CutSuffix(line, []byte("\r\n"))
	content = bytes.TrimSuffix(content, []byte("\n"))
	s.afterInterim = false
	if s.inHead {
		name, value, ok := FieldLine(content)
		s.size += len(line)
		if ok && s.size <= bound.MaxHeaderBytes {
			s.header.Add(string(name), string(bytes.TrimSpace(value)))
			s.strict = s.strict && strict
			return false
		}
		if s.found() {
			return true
		}
		s.inHead = false
		if len(content) == 0 {
			if s.acceptAny && s.strict && strict && len(s.header) > 0 && !s.interim {
				return true
			}
			s.afterInterim = s.interim && s.strict && strict
			return false
		}
	}
	if status, ok := statusLine(content); ok {
		s.inHead, s.header, s.size = true, make(http.Header), 0
		s.interim, s.strict = status < '2', strict
	}
	return false
}

// last reads what follows the last end of a line.
func (s *headScanner) last(rest []byte) bool {
	s.afterInterim = false
	if !s.inHead {
		return false
	}
	name, value, ok := FieldLine(rest)
	if ok {
		s.header.Add(string(name), string(bytes.TrimSpace(value)))
	}
	found := s.found()
	s.inHead = ok || isName(bytes.TrimSuffix(rest, []byte("\r"))) || string(rest) == "\r"
	return found
}

// found reports whether the header lines that have been read belong to a response.
func (s *headScanner) found() bool { return s.inHead && s.isAnswer(s.header) }

// protocolName begins each status line.
const protocolName = "HTTP/"

// statusPattern matches a line that ends with a status line.
var statusPattern = regexp.MustCompile(protocolName + `\d\.\d (\d)\d\d(?: .*)?$`)

// statusLine returns the first digit of the status if a line ends with a status line.
func statusLine(line []byte) (status byte, ok bool) {
	if !bytes.Contains(line, []byte(protocolName)) {
		return 0, false
	}
	match := statusPattern.FindSubmatch(line)
	if match == nil {
		return 0, false
	}
	return match[1][0], true
}
