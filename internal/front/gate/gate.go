// Package gate finds out for whom a request runs and ends the requests of withdrawn keys.
package gate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
)

// Feed gives the document in force and tells whether it is current.
type Feed interface {
	Document() (*rules.Document, <-chan struct{})
	Check(now time.Time, members int) error
}

// Caller is whom a request runs for.
type Caller struct {
	// Workspace is the key's workspace, or "" on an open route.
	Workspace string
	// Key is the key itself, kept only to strip it from what is forwarded.
	Key string
	// Hash is the key's hash.
	Hash string
}

// Gate admits callers. It is safe for concurrent use.
type Gate struct {
	feed        Feed
	size        func(now time.Time) int
	headerBytes int
	bodyBytes   int64

	mu       sync.Mutex
	next     uint64
	sessions map[uint64]session
}

// session is an open request under a key.
type session struct {
	hash   string
	cancel context.CancelCauseFunc
}

// NewGate returns a gate; size tells how many instances there may be.
func NewGate(feed Feed, size func(now time.Time) int, headerBytes int, bodyBytes int64) *Gate {
	return &Gate{feed: feed, size: size, headerBytes: headerBytes, bodyBytes: bodyBytes, sessions: make(map[uint64]session)}
}

// HashKey returns the form in which keys are kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyOf returns the key that came with a request, or "".
func KeyOf(r *http.Request) string {
	if scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(token)
	}
	for _, name := range []string{"X-Api-Key", "Api-Key"} {
		if v := r.Header.Get(name); v != "" {
			return v
		}
	}
	return ""
}

// Document returns the document in force when it is known to be current.
func (g *Gate) Document(now time.Time) (*rules.Document, error) {
	if err := g.feed.Check(now, g.size(now)); err != nil {
		return nil, err
	}
	doc, _ := g.feed.Document()
	return doc, nil
}

// Enter identifies the caller and binds the request to its key: the returned context ends with a fault of kind
// KeyWithdrawn when the key is withdrawn. Leave must be called at the end.
func (g *Gate) Enter(r *http.Request, now time.Time) (ctx context.Context, c Caller, leave func(), err error) {
	if _, err := g.Document(now); err != nil {
		return nil, Caller{}, nil, err
	}
	key := KeyOf(r)
	if key == "" {
		return nil, Caller{}, nil, fault.New(fault.BadKey, "the request carries no key")
	}
	hash := HashKey(key)
	ctx, cancel := context.WithCancelCause(r.Context())
	id := g.open(hash, cancel)
	leave = func() {
		g.close(id)
		cancel(context.Canceled)
	}
	// The key is looked up after the session is open, so that no withdrawal falls in between.
	doc, _ := g.feed.Document()
	workspace, ok := doc.WorkspaceByHash(hash)
	if !ok {
		leave()
		return nil, Caller{}, nil, fault.New(fault.BadKey, "the key is not known or was withdrawn")
	}
	return ctx, Caller{Workspace: workspace, Key: key, Hash: hash}, leave, nil
}

func (g *Gate) open(hash string, cancel context.CancelCauseFunc) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	g.sessions[g.next] = session{hash: hash, cancel: cancel}
	return g.next
}

func (g *Gate) close(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sessions, id)
}

// Sweep ends the open requests whose key is not in the document, and returns how many.
func (g *Gate) Sweep(doc *rules.Document) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := 0
	for _, s := range g.sessions {
		if _, ok := doc.WorkspaceByHash(s.hash); !ok {
			s.cancel(fault.New(fault.KeyWithdrawn, "the key was withdrawn"))
			ended++
		}
	}
	return ended
}

// Open returns the number of open requests under keys.
func (g *Gate) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

// Body reads the whole request body within the limits on header and body.
func (g *Gate) Body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.bodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, fault.New(fault.BadRequest, "the body could not be read: %s", err.Error())
	}
	return body, nil
}
