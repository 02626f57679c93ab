package gossip

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
)

const (
	// packedMark is the first byte of a packed message; a plain one begins with the brace of its JSON.
	packedMark = 1
	// maxUnpackedBytes bounds a message after decompression.
	maxUnpackedBytes = 1 << 20
)

// errMalformed means that a message could not be unpacked.
var errMalformed = errors.New("malformed message")

// ownPart is the part of a total that its receiver reported itself. The total is the same for all members of a zone, so that it is
// encoded and compressed once.
type ownPart struct {
	Used    map[string]float64    `json:"u,omitempty"`
	Loads   map[string]fleet.Load `json:"l,omitempty"`
	Crashes map[string]int        `json:"x,omitempty"`
}

// subtractFrom removes the part from a total.
func (o *ownPart) subtractFrom(m *Message) {
	for workspace, units := range o.Used {
		m.Rates.Used[workspace] -= units
	}
	for id, l := range o.Loads {
		m.Loads[id] = m.Loads[id].Minus(l)
	}
	for fingerprint, n := range o.Crashes {
		m.Crashes[fingerprint] -= n
	}
}

// packer compresses messages and keeps its memory between them. It is not safe for concurrent use.
type packer struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

// compress returns the compressed JSON of a message, which is valid until the next call.
func (p *packer) compress(m *Message) ([]byte, error) {
	p.buffer.Reset()
	if p.writer == nil {
		var err error
		if p.writer, err = flate.NewWriter(&p.buffer, flate.BestSpeed); err != nil {
			return nil, err
		}
	} else {
		p.writer.Reset(&p.buffer)
	}
	if err := json.NewEncoder(p.writer).Encode(m); err != nil {
		return nil, err
	}
	if err := p.writer.Close(); err != nil {
		return nil, err
	}
	return p.buffer.Bytes(), nil
}

// pack returns a packed message: the mark, the length of the receiver's own part, that part, and the compressed total.
func pack(own *ownPart, compressed []byte) ([]byte, error) {
	part, err := json.Marshal(own)
	if err != nil {
		return nil, err
	}
	out := append(make([]byte, 0, 1+binary.MaxVarintLen64+len(part)+len(compressed)), packedMark)
	out = binary.AppendUvarint(out, uint64(len(part)))
	return append(append(out, part...), compressed...), nil
}

// inflaters holds the decompressors that are not in use.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// unpack decodes a message, packed or not.
func unpack(body []byte) (*Message, error) {
	m := &Message{}
	if len(body) == 0 || body[0] != packedMark {
		return m, json.Unmarshal(body, m)
	}
	length, n := binary.Uvarint(body[1:])
	if n <= 0 || length > uint64(len(body)-1-n) {
		return nil, errMalformed
	}
	part, compressed := body[1+n:1+n+int(length)], body[1+n+int(length):]
	var own ownPart
	if err := json.Unmarshal(part, &own); err != nil {
		return nil, err
	}
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	// The readers of package flate implement Resetter.
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, err
	}
	if err := json.NewDecoder(bound.Reader(inflater, maxUnpackedBytes)).Decode(m); err != nil {
		return nil, err
	}
	if m.Rates.Used == nil {
		m.Rates.Used = make(map[string]float64)
	}
	if m.Loads == nil {
		m.Loads = make(map[string]fleet.Load)
	}
	if m.Crashes == nil {
		m.Crashes = make(map[string]int)
	}
	own.subtractFrom(m)
	return m, nil
}
