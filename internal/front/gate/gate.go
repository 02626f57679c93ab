// Package gate authenticates callers, limits the size of requests and cancels the requests of withdrawn keys.
package gate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/skylarkquay/skylarkquay/internal/base/fault"
	"github.com/skylarkquay/skylarkquay/internal/conf/rules"
	"github.com/skylarkquay/skylarkquay/internal/front/caller"
)

// Feed provides the active routing document and checks that it is up to date.
type Feed interface {
	Document() (*rules.Document, <-chan struct{})
	Check(now time.Time, instances int) error
}

// Caller is the authenticated sender of a request.
type Caller struct {
	// Workspace is the key's workspace, or "" on an open route.
	Workspace string
	// Key is the key itself, used only to remove it from forwarded requests.
	Key     string
	KeyHash string
}

// Gate authenticates callers and tracks their open requests. It is safe for concurrent use.
type Gate struct {
	feed           Feed
	instances      func(now time.Time) int
	maxHeaderBytes int
	maxBodyBytes   int64

	mu       sync.Mutex
	lastID   uint64
	requests map[uint64]openRequest
}

// openRequest is a request in progress and the hash of its key.
type openRequest struct {
	hash   string
	cancel context.CancelCauseFunc
}

// NewGate returns a gate; instances returns an upper bound on the number of instances.
func NewGate(feed Feed, instances func(now time.Time) int, maxHeaderBytes int, maxBodyBytes int64) *Gate {
	return &Gate{feed: feed, instances: instances, maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes, requests: make(map[uint64]openRequest)}
}

// HashKey returns the hash under which a key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyOf returns the request's key, or "".
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

// Document returns the active routing document, or an error when it may be out of date.
func (g *Gate) Document(now time.Time) (*rules.Document, error) {
	if err := g.feed.Check(now, g.instances(now)); err != nil {
		return nil, err
	}
	doc, _ := g.feed.Document()
	return doc, nil
}

// Authenticate identifies the caller by its key. The returned context is canceled with a fault of kind KeyWithdrawn when
// the key is withdrawn. The release function must be called when the request ends.
func (g *Gate) Authenticate(r *http.Request, now time.Time) (ctx context.Context, c Caller, release func(), err error) {
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
	release = func() {
		g.close(id)
		cancel(context.Canceled)
	}
	// The key is looked up after the request is registered, so that a withdrawal in between is not missed.
	doc, _ := g.feed.Document()
	workspace, ok := doc.WorkspaceByHash(hash)
	if !ok {
		release()
		return nil, Caller{}, nil, fault.New(fault.BadKey, "the key is not known or was withdrawn")
	}
	caller.Of(r.Context()).Authenticated()
	return ctx, Caller{Workspace: workspace, Key: key, KeyHash: hash}, release, nil
}

func (g *Gate) open(hash string, cancel context.CancelCauseFunc) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	g.requests[g.lastID] = openRequest{hash: hash, cancel: cancel}
	return g.lastID
}

func (g *Gate) close(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.requests, id)
}

// CancelWithdrawn cancels the open requests whose key is not in the document, and returns their number.
func (g *Gate) CancelWithdrawn(doc *rules.Document) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	canceled := 0
	for _, r := range g.requests {
		if _, ok := doc.WorkspaceByHash(r.hash); !ok {
			r.cancel(fault.New(fault.KeyWithdrawn, "the key was withdrawn"))
			canceled++
		}
	}
	return canceled
}

// OpenRequests returns the number of open authenticated requests.
func (g *Gate) OpenRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests)
}
