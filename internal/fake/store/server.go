package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/skylarkquay/skylarkquay/internal/plat/roster"
)

// Faults are the injected faults, set by PUT /faults.
type Faults struct {
	// Down fails every call of the table and the object store.
	Down bool `json:"down"`
	// SlowMillis delays each call by that many milliseconds.
	SlowMillis int `json:"slow_millis"`
	// LoseEvery executes one in that many table writes but returns an error; zero disables it.
	LoseEvery int `json:"lose_every"`
}

// Counts holds the numbers of executed table calls.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Server is the simulated platform: table service, object store and instance list on one address.
type Server struct {
	// Table holds the rows.
	Table *Memory

	mu      sync.Mutex
	objects map[string][]byte
	listing roster.Listing
	faults  Faults
}

// NewServer returns a platform with empty stores and an empty instance list.
func NewServer() *Server {
	return &Server{Table: NewMemory(), objects: make(map[string][]byte)}
}

// SetListing replaces the instance list.
func (s *Server) SetListing(l roster.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listing = l
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.Table.SetDown(f.Down)
	s.Table.SetLoseEvery(f.LoseEvery)
}

// Handler returns the platform's HTTP handler.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/instances", s.getListing).Methods(http.MethodGet)
	m.HandleFunc("/instances", s.putListing).Methods(http.MethodPut)
	m.HandleFunc("/faults", s.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/counts", s.getCounts).Methods(http.MethodGet)
	m.HandleFunc("/", s.serveTable).Methods(http.MethodPost)
	m.HandleFunc("/{bucket}/{object:.+}", s.getObject).Methods(http.MethodGet)
	m.HandleFunc("/{bucket}/{object:.+}", s.putObject).Methods(http.MethodPut)
	return m
}

func (s *Server) getListing(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.listing)
}

func (s *Server) putListing(w http.ResponseWriter, r *http.Request) {
	var l roster.Listing
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetListing(l)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	reads, writes := s.Table.Counts()
	_ = json.NewEncoder(w).Encode(Counts{Reads: reads, Writes: writes})
}

// delay waits for Faults.SlowMillis, or until ctx is done.
func (s *Server) delay(ctx context.Context) {
	s.mu.Lock()
	slow := time.Duration(s.faults.SlowMillis) * time.Millisecond
	s.mu.Unlock()
	if slow <= 0 {
		return
	}
	select {
	case <-time.After(slow):
	case <-ctx.Done():
	}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.delay(r.Context())
	s.mu.Lock()
	data, ok := s.objects[mux.Vars(r)["object"]]
	down := s.faults.Down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !ok {
		w.Header().Set("Content-Type", "application/xml")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "<Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>")
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	s.delay(r.Context())
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.objects[mux.Vars(r)["object"]] = data
}
