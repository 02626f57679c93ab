package detour

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// framedName is the query parameter by which an instance asks for frames, and the header by which the other one confirms them.
const framedName = "Framed"

// frameHeadBytes is the length of a frame's head, which holds the number of bytes that follow. A frame without bytes marks the end.
const frameHeadBytes = 2

// frameWriter writes frames, so that the end of the bytes differs from the end of their connection. The kernel closes the connections
// of a process that is killed as if it had closed them itself.
type frameWriter struct {
	io.Writer
	buffer [frameHeadBytes + relayBufferBytes]byte
}

// Write implements io.Writer.
func (w *frameWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n := copy(w.buffer[frameHeadBytes:], p[written:])
		if err := w.writeFrame(n); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// end writes the mark of the end.
func (w *frameWriter) end() error { return w.writeFrame(0) }

// writeFrame writes the first n bytes after the head in the buffer.
func (w *frameWriter) writeFrame(n int) error {
	binary.BigEndian.PutUint16(w.buffer[:], uint16(n))
	_, err := w.Writer.Write(w.buffer[:frameHeadBytes+n])
	return err
}

// frameReader reads what a frameWriter wrote. It returns io.EOF only after the mark of the end. Reads go on after a timeout.
type frameReader struct {
	reader *bufio.Reader
	// left is the number of bytes of the current frame that have not been read.
	left  int
	ended bool
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.left == 0 && !r.ended {
		// Peek keeps a part of the head if it fails.
		head, err := r.reader.Peek(frameHeadBytes)
		if err != nil {
			return 0, unexpectedEnd(err)
		}
		r.left = int(binary.BigEndian.Uint16(head))
		r.ended = r.left == 0
		if _, err := r.reader.Discard(frameHeadBytes); err != nil {
			return 0, err
		}
	}
	if r.ended {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, unexpectedEnd(err)
}

// unmarkedReader reads bytes without frames, whose end looks the same as that of the instance that sent them.
type unmarkedReader struct{ io.Reader }

// Read implements io.Reader.
func (r unmarkedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	return n, unexpectedEnd(err)
}

// unexpectedEnd returns the error of an end without a mark.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
