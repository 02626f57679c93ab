// Package engine is the stand-in for a model engine: the OpenAI API with a prompt cache, a compute queue, and faults that can be switched on.
package engine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/skylarkquay/skylarkquay/internal/plat/runner"
	"github.com/skylarkquay/skylarkquay/internal/route/prefix"
	"github.com/skylarkquay/skylarkquay/internal/route/status"
)

// Settings are the stand-in's speeds and sizes.
type Settings struct {
	// PerToken is the time to compute one prompt token.
	PerToken time.Duration
	// PerEvent is the time between two output events.
	PerEvent time.Duration
	// CachePieces is the number of cached pieces before the oldest is dropped.
	CachePieces int
	// Weights is the loaded version by model.
	Weights map[string]string
}

// Faults is the set of faults, set by PUT /faults.
type Faults struct {
	// CutAfter ends each stream after that many events; zero is never.
	CutAfter int `json:"cut_after"`
	// Empty ends each answer before its first event.
	Empty bool `json:"empty"`
	// Freeze stops all answers where they are.
	Freeze bool `json:"freeze"`
	// Cross answers with another request's identity.
	Cross bool `json:"cross"`
	// Silent holds back all answers on connections that were open when the fault was set; new ones work.
	Silent bool `json:"silent"`
	// Poison makes the engine restart when a prompt contains the text.
	Poison string `json:"poison"`
}

// Server is one engine.
type Server struct {
	settings Settings

	mu          sync.Mutex
	faults      Faults
	faultsAt    time.Time
	incarnation string
	cache       map[prefix.Hash]uint64
	used        uint64
	queued      int64
	running     int
	// ended is closed when the incarnation ends.
	ended   chan struct{}
	compute chan struct{}
	// seen holds the header values and queries received so far.
	seen []string
}

// NewServer returns an engine with an empty cache.
func NewServer(s Settings) *Server {
	e := &Server{settings: s, compute: make(chan struct{}, 1)}
	e.restart()
	return e
}

// restart begins a new incarnation with an empty cache; open answers are cut.
func (e *Server) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended != nil {
		close(e.ended)
	}
	e.ended = make(chan struct{})
	e.incarnation = rand.Text()[:12]
	e.cache = make(map[prefix.Hash]uint64)
	e.queued = 0
}

// SetFaults replaces the faults.
func (e *Server) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultsAt = time.Now()
}

// Restart begins a new incarnation, as a crash does.
func (e *Server) Restart() {
	e.restart()
}

// Seen returns all header values, queries and bodies received so far, for checks that no key came through.
func (e *Server) Seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.seen...)
}

// Running returns the requests in progress.
func (e *Server) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Seen is the answer to the question how many received values contain a text.
type Seen struct {
	Count int `json:"count"`
}

func count(values []string, text string) int {
	n := 0
	for _, v := range values {
		if strings.Contains(v, text) {
			n++
		}
	}
	return n
}

// Handler returns the engine's HTTP handler.
func (e *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	m.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	m.HandleFunc(runner.LoadPath, e.load).Methods(http.MethodGet)
	m.HandleFunc("/faults", e.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/seen", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(Seen{Count: count(e.Seen(), r.URL.Query().Get("text"))})
	}).Methods(http.MethodGet)
	m.HandleFunc("/restart", func(http.ResponseWriter, *http.Request) { e.restart() }).Methods(http.MethodPost)
	return m
}

func (e *Server) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(status.Report{
		Incarnation: e.incarnation,
		Weights:     e.settings.Weights,
		QueueTokens: e.queued,
		Running:     e.running,
	})
}

func (e *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// body is what the engine reads of a request.
type body struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// work is one request in the engine.
type work struct {
	in     body
	prompt []byte
	salt   string
	offset int
	id     string
	ended  <-chan struct{}
	faults Faults
	chain  []prefix.Hash
	// queued is the number of tokens counted into the queue, cached the number found when the prompt's turn came.
	queued int64
	cached int64
	// incarnation is the one that accepted the request.
	incarnation string
}

// openedKey is the context key of a connection's time of opening.
type openedKey struct{}

// ConnContext is for http.Server.ConnContext; it notes when a connection was opened.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// silent tells whether the request came on a connection that has gone silent.
func (e *Server) silent(r *http.Request) bool {
	opened, ok := r.Context().Value(openedKey{}).(time.Time)
	e.mu.Lock()
	defer e.mu.Unlock()
	return ok && e.faults.Silent && opened.Before(e.faultsAt)
}

func (e *Server) complete(w http.ResponseWriter, r *http.Request) {
	var in body
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.silent(r) {
		<-r.Context().Done()
		return
	}
	k := e.accept(r, in)
	defer e.leave()
	if k.faults.Poison != "" && strings.Contains(string(k.prompt), k.faults.Poison) {
		e.restart()
	}
	if !e.prefill(r.Context(), k) {
		panic(http.ErrAbortHandler)
	}
	e.header(w, k)
	if k.faults.Empty {
		panic(http.ErrAbortHandler)
	}
	if in.Stream {
		e.stream(r.Context(), w, k)
		return
	}
	e.whole(w, k)
}

// accept registers a request.
func (e *Server) accept(r *http.Request, in body) *work {
	k := &work{in: in, prompt: in.Messages, salt: r.Header.Get(runner.HeaderSalt), id: r.Header.Get(runner.HeaderRequest)}
	if k.prompt == nil {
		k.prompt = in.Prompt
	}
	k.offset, _ = strconv.Atoi(r.Header.Get(runner.HeaderOffset))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, values := range r.Header {
		e.seen = append(e.seen, values...)
	}
	e.seen = append(e.seen, r.URL.RawQuery)
	k.ended = e.ended
	k.faults = e.faults
	k.incarnation = e.incarnation
	e.running++
	k.chain = prefix.Chain(prefix.Salt{Workspace: k.salt, Model: k.in.Model, Weights: e.settings.Weights[k.in.Model]}, k.prompt)
	k.queued = prefix.Tokens(k.prompt) - e.lookUp(k)
	e.queued += k.queued
	return k
}

// lookUp returns the number of the prompt's tokens that are cached now.
func (e *Server) lookUp(k *work) int64 {
	cached := int64(0)
	for _, h := range k.chain {
		if _, ok := e.cache[h]; !ok {
			break
		}
		cached += prefix.PieceTokens
	}
	return cached
}

func (e *Server) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Server) header(w http.ResponseWriter, k *work) {
	h := w.Header()
	id := k.id
	if k.faults.Cross {
		id = "another-request"
	}
	h.Set(runner.HeaderRequest, id)
	h.Set(runner.HeaderIncarnation, k.incarnation)
	h.Set(runner.HeaderWeights, e.settings.Weights[k.in.Model])
	h.Set(runner.HeaderCached, strconv.FormatInt(k.cached, 10))
	if k.in.Stream {
		h.Set("Content-Type", "text/event-stream")
	} else {
		h.Set("Content-Type", "application/json")
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
}

// prefill computes the missing part of the prompt, one request after the other.
func (e *Server) prefill(ctx context.Context, k *work) bool {
	defer func() {
		e.mu.Lock()
		e.queued = max(0, e.queued-k.queued)
		e.mu.Unlock()
	}()
	select {
	case e.compute <- struct{}{}:
	case <-ctx.Done():
		return false
	case <-k.ended:
		return false
	}
	defer func() { <-e.compute }()
	e.mu.Lock()
	k.cached = e.lookUp(k)
	e.mu.Unlock()
	if !pause(ctx, k, time.Duration(prefix.Tokens(k.prompt)-k.cached)*e.settings.PerToken) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(k.chain) - 1; i >= 0; i-- {
		e.used++
		e.cache[k.chain[i]] = e.used
	}
	e.evict()
	return true
}

// evict drops the pieces that were used least recently.
func (e *Server) evict() {
	for len(e.cache) > e.settings.CachePieces {
		var oldest prefix.Hash
		least := ^uint64(0)
		for h, at := range e.cache {
			if at < least {
				oldest, least = h, at
			}
		}
		delete(e.cache, oldest)
	}
}

// pause waits; it returns false when the caller or the incarnation has gone.
func pause(ctx context.Context, k *work, d time.Duration) bool {
	var ready <-chan time.Time
	if !k.faults.Freeze {
		ready = time.After(d)
	}
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return false
	case <-k.ended:
		return false
	}
}
