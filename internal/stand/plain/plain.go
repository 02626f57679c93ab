// Package plain is the stand-in for a plain service: a booking book that counts how often each booking ran, with faults that can be switched on.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Faults is the set of faults, set by PUT /faults.
type Faults struct {
	// LoseAnswer breaks the connection after the effect.
	LoseAnswer bool `json:"lose_answer"`
	// Freeze holds every answer back until the caller leaves.
	Freeze bool `json:"freeze"`
	// SlowMillis delays each answer.
	SlowMillis int `json:"slow_millis"`
}

// Booking is the answer to one booking.
type Booking struct {
	Number    int    `json:"number"`
	Workspace string `json:"workspace"`
	Request   string `json:"request"`
}

// Seen is the answer to the question how many received values contain a text.
type Seen struct {
	Count int `json:"count"`
}

// Server is one booking service.
type Server struct {
	mu     sync.Mutex
	faults Faults
	// runs counts the bookings by their body.
	runs   map[string]int
	number int
	seen   []string
}

// NewServer returns an empty service.
func NewServer() *Server {
	return &Server{runs: make(map[string]int)}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each body ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

// Seen returns all header values and queries received so far.
func (s *Server) Seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

// Handler returns the service's HTTP handler.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/faults", s.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/runs", s.getRuns).Methods(http.MethodGet)
	m.HandleFunc("/seen", s.getSeen).Methods(http.MethodGet)
	m.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(s.run)
	return m
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// getSeen tells how many received values contain a text.
func (s *Server) getSeen(w http.ResponseWriter, r *http.Request) {
	n := 0
	for _, v := range s.Seen() {
		if strings.Contains(v, r.URL.Query().Get("text")) {
			n++
		}
	}
	_ = json.NewEncoder(w).Encode(Seen{Count: n})
}

// run has the effect, then answers, unless a fault says otherwise.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if r.Method != http.MethodGet {
		s.runs[string(body)]++
		s.number++
	}
	for _, values := range r.Header {
		s.seen = append(s.seen, values...)
	}
	s.seen = append(s.seen, r.URL.RawQuery, string(body))
	answer := Booking{Number: s.number, Workspace: r.Header.Get("X-Workspace"), Request: string(body)}
	f := s.faults
	s.mu.Unlock()
	if f.Freeze {
		<-r.Context().Done()
		return
	}
	if f.SlowMillis > 0 {
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	}
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
