// Package prefix identifies the shared prefixes of prompts.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PieceTokens is the number of tokens in one cached piece.
	PieceTokens = 2000
	// BytesPerToken is the mean length of a token in prompt bytes.
	BytesPerToken = 4
	pieceBytes    = PieceTokens * BytesPerToken
	// MaxPieces bounds the pieces that are told apart in one prompt.
	MaxPieces = 64
)

// Hash identifies a prefix by everything before it and its salt.
type Hash uint64

// Salt separates prefixes that may not share a cache.
type Salt struct {
	Workspace string
	Model     string
	Weights   string
}

// Chain returns the hashes of the prompt's whole pieces; each covers all earlier ones.
func Chain(salt Salt, prompt []byte) []Hash {
	n := min(len(prompt)/pieceBytes, MaxPieces)
	if n == 0 {
		return nil
	}
	chain := make([]Hash, 0, n)
	last := seed(salt)
	for i := range n {
		last = link(last, prompt[i*pieceBytes:(i+1)*pieceBytes])
		chain = append(chain, last)
	}
	return chain
}

// Tokens estimates the number of tokens in a prompt.
func Tokens(prompt []byte) int64 {
	return int64(len(prompt)+BytesPerToken-1) / BytesPerToken
}

func seed(s Salt) Hash {
	d := xxhash.New()
	for _, part := range []string{s.Workspace, s.Model, s.Weights} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return Hash(d.Sum64())
}

func link(last Hash, piece []byte) Hash {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], uint64(last))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.Write(piece)
	return Hash(d.Sum64())
}

// Named returns the hash of a prefix that is known by a name instead of its text, as in recorded traces.
func Named(s Salt, name string) Hash {
	return link(seed(s), []byte(name))
}
