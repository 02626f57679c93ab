// Package prefix identifies common prefixes of prompts by hashes.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PieceTokens is the number of tokens in one piece, the unit of caching.
	PieceTokens = 2000
	// BytesPerToken is the mean number of prompt bytes in a token.
	BytesPerToken = 4
	pieceBytes    = PieceTokens * BytesPerToken
	// MaxPieces bounds the number of pieces of one prompt that are hashed.
	MaxPieces = 64
)

// Hash identifies a prefix by its salt and all its pieces.
type Hash uint64

// Salt separates equal prefixes that must not share a cache entry.
type Salt struct {
	Workspace string
	Model     string
	Weights   string
}

// Chain returns a hash per complete piece of the prompt, which covers all earlier pieces.
func Chain(salt Salt, prompt []byte) []Hash {
	n := min(len(prompt)/pieceBytes, MaxPieces)
	if n == 0 {
		return nil
	}
	chain := make([]Hash, 0, n)
	hash := seed(salt)
	for i := range n {
		hash = extend(hash, prompt[i*pieceBytes:(i+1)*pieceBytes])
		chain = append(chain, hash)
	}
	return chain
}

// Tokens estimates the number of tokens in a prompt.
func Tokens(prompt []byte) int64 {
	return int64(len(prompt)+BytesPerToken-1) / BytesPerToken
}

// seed returns the hash of the empty prefix.
func seed(s Salt) Hash {
	d := xxhash.New()
	for _, part := range []string{s.Workspace, s.Model, s.Weights} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return Hash(d.Sum64())
}

// extend returns the hash of a prefix with one more piece.
func extend(hash Hash, piece []byte) Hash {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], uint64(hash))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.Write(piece)
	return Hash(d.Sum64())
}

// FromName returns the hash of a prefix that is given by name instead of text, as in recorded traces.
func FromName(s Salt, name string) Hash {
	return extend(seed(s), []byte(name))
}
