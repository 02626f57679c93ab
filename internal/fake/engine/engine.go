// Package engine simulates a model engine for tests: the OpenAI API with a prompt cache, a compute queue and injectable faults.
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

// Settings are the simulated speeds and sizes.
type Settings struct {
	// PerToken is the time to compute one prompt token.
	PerToken time.Duration
	// PerEvent is the time between two output events.
	PerEvent time.Duration
	// CachePieces is the maximum number of cached pieces.
	CachePieces int
	// Weights maps each model to its loaded version.
	Weights map[string]string
}

// Faults are the injected faults, set by PUT /faults.
type Faults struct {
	// CutAfter cuts each stream after that many events; zero disables it.
	CutAfter int `json:"cut_after"`
	// NoEvents cuts each response after its headers.
	NoEvents bool `json:"empty"`
	// Hang stops the progress of all new requests.
	Hang bool `json:"freeze"`
	// PauseAfter and Pause make each stream send nothing for a time after that many events, and then go on.
	PauseAfter int           `json:"pause_after"`
	Pause      time.Duration `json:"pause"`
	// Fail answers each request with status 500.
	Fail bool `json:"fail"`
	// WrongID returns the ID of another request.
	WrongID bool `json:"cross"`
	// HangOldConns blocks requests on connections that were opened before the fault was set; later connections work.
	HangOldConns bool `json:"silent"`
	// Poison restarts the engine when a prompt contains this text.
	Poison string `json:"poison"`
}

// Server is one simulated engine.
type Server struct {
	settings Settings

	mu          sync.Mutex
	faults      Faults
	faultsSetAt time.Time
	incarnation string
	cache       map[prefix.Hash]uint64
	cacheUses   uint64
	queued      int64
	running     int
	// disconnected is the number of requests whose connection ended before their handler.
	disconnected int
	// resumed is closed to end the pauses of streams.
	resumed chan struct{}
	// ended is closed when the incarnation ends.
	ended chan struct{}
	// prefillSlot admits one prefill at a time.
	prefillSlot chan struct{}
	// received holds the header values and queries of all requests.
	received []string
}

// NewServer returns an engine with an empty cache.
func NewServer(s Settings) *Server {
	e := &Server{settings: s, prefillSlot: make(chan struct{}, 1), resumed: make(chan struct{})}
	e.restart()
	return e
}

// restart starts a new incarnation with an empty cache and cuts the responses in progress.
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

// SetFaults replaces the injected faults.
func (e *Server) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultsSetAt = time.Now()
}

// Restart simulates a crash: it starts a new incarnation with an empty cache.
func (e *Server) Restart() {
	e.restart()
}

// Received returns the header values and queries received so far. Tests check that no workspace key was forwarded.
func (e *Server) Received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.received...)
}

// Running returns the number of requests in progress.
func (e *Server) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Disconnected returns the number of requests whose connection ended before their handler.
func (e *Server) Disconnected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disconnected
}

// Resume ends the pauses of all streams. It may be called once.
func (e *Server) Resume() {
	close(e.resumed)
}

// SeenCount is the JSON response of GET /seen: how many received values contain the text.
type SeenCount struct {
	Count int `json:"count"`
}

func countContaining(values []string, text string) int {
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
	m.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	m.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	m.HandleFunc(runner.LoadPath, e.getLoad).Methods(http.MethodGet)
	m.HandleFunc("/faults", e.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/seen", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(SeenCount{Count: countContaining(e.Received(), r.URL.Query().Get("text"))})
	}).Methods(http.MethodGet)
	m.HandleFunc("/restart", func(http.ResponseWriter, *http.Request) { e.restart() }).Methods(http.MethodPost)
	return m
}

func (e *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
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

// completionRequest holds the request fields that the engine uses.
type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// job is one accepted request.
type job struct {
	in     completionRequest
	prompt []byte
	salt   string
	offset int
	id     string
	ended  <-chan struct{}
	faults Faults
	chain  []prefix.Hash
	// queued is the number of tokens added to the queue, cached the number found in the cache when prefill started.
	queued int64
	cached int64
	// incarnation is the engine's incarnation that accepted the request.
	incarnation string
}

// openedKey is the context key for the time at which the connection was opened.
type openedKey struct{}

// ConnContext is for http.Server.ConnContext; it records when the connection was opened.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// blocked reports whether the HangOldConns fault applies to the request's connection.
func (e *Server) blocked(r *http.Request) bool {
	opened, ok := r.Context().Value(openedKey{}).(time.Time)
	e.mu.Lock()
	defer e.mu.Unlock()
	return ok && e.faults.HangOldConns && opened.Before(e.faultsSetAt)
}

func (e *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var in completionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.blocked(r) {
		<-r.Context().Done()
		return
	}
	j := e.accept(r, in)
	defer e.finish(r.Context())
	if j.faults.Fail {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	if j.faults.Poison != "" && strings.Contains(string(j.prompt), j.faults.Poison) {
		e.restart()
	}
	if !e.prefill(r.Context(), j) {
		panic(http.ErrAbortHandler)
	}
	e.writeHeader(w, j)
	if j.faults.NoEvents {
		panic(http.ErrAbortHandler)
	}
	if in.Stream {
		e.stream(r.Context(), w, j)
		return
	}
	e.writeResponse(w, j)
}

// accept records a request and adds its uncached tokens to the queue.
func (e *Server) accept(r *http.Request, in completionRequest) *job {
	j := &job{in: in, prompt: in.Messages, salt: r.Header.Get(runner.HeaderSalt), id: r.Header.Get(runner.HeaderRequest)}
	if j.prompt == nil {
		j.prompt = in.Prompt
	}
	j.offset, _ = strconv.Atoi(r.Header.Get(runner.HeaderOffset))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, values := range r.Header {
		e.received = append(e.received, values...)
	}
	e.received = append(e.received, r.URL.RawQuery)
	j.ended = e.ended
	j.faults = e.faults
	j.incarnation = e.incarnation
	e.running++
	j.chain = prefix.Chain(prefix.Salt{Workspace: j.salt, Model: j.in.Model, Weights: e.settings.Weights[j.in.Model]}, j.prompt)
	j.queued = prefix.Tokens(j.prompt) - e.cachedTokens(j)
	e.queued += j.queued
	return j
}

// cachedTokens returns the number of the prompt's leading tokens that are cached.
func (e *Server) cachedTokens(j *job) int64 {
	cached := int64(0)
	for _, h := range j.chain {
		if _, ok := e.cache[h]; !ok {
			break
		}
		cached += prefix.PieceTokens
	}
	return cached
}

func (e *Server) finish(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if ctx.Err() != nil {
		e.disconnected++
	}
}

func (e *Server) writeHeader(w http.ResponseWriter, j *job) {
	h := w.Header()
	id := j.id
	if j.faults.WrongID {
		id = "another-request"
	}
	h.Set(runner.HeaderRequest, id)
	h.Set(runner.HeaderIncarnation, j.incarnation)
	h.Set(runner.HeaderWeights, e.settings.Weights[j.in.Model])
	h.Set(runner.HeaderCached, strconv.FormatInt(j.cached, 10))
	if j.in.Stream {
		h.Set("Content-Type", "text/event-stream")
	} else {
		h.Set("Content-Type", "application/json")
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
}

// prefill computes the uncached part of the prompt, one request at a time. It returns false when the request or the incarnation ends first.
func (e *Server) prefill(ctx context.Context, j *job) bool {
	defer func() {
		e.mu.Lock()
		e.queued = max(0, e.queued-j.queued)
		e.mu.Unlock()
	}()
	select {
	case e.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	case <-j.ended:
		return false
	}
	defer func() { <-e.prefillSlot }()
	e.mu.Lock()
	j.cached = e.cachedTokens(j)
	e.mu.Unlock()
	if !wait(ctx, j, time.Duration(prefix.Tokens(j.prompt)-j.cached)*e.settings.PerToken) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(j.chain) - 1; i >= 0; i-- {
		e.cacheUses++
		e.cache[j.chain[i]] = e.cacheUses
	}
	e.evict()
	return true
}

// evict removes the least recently used pieces beyond the cache size.
func (e *Server) evict() {
	for len(e.cache) > e.settings.CachePieces {
		var oldest prefix.Hash
		oldestUse := ^uint64(0)
		for h, lastUse := range e.cache {
			if lastUse < oldestUse {
				oldest, oldestUse = h, lastUse
			}
		}
		delete(e.cache, oldest)
	}
}

// wait returns true after d, or false when the request or the incarnation ends first. With the Hang fault it never returns true.
func wait(ctx context.Context, j *job, d time.Duration) bool {
	return waitOrResume(ctx, j, d, nil)
}

// waitOrResume is like wait, but also returns true when resumed is closed.
func waitOrResume(ctx context.Context, j *job, d time.Duration, resumed <-chan struct{}) bool {
	var ready <-chan time.Time
	if !j.faults.Hang {
		ready = time.After(d)
	}
	select {
	case <-ready:
		return true
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	case <-j.ended:
		return false
	}
}
