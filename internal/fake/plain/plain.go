// Package plain simulates a plain service for tests: a booking service that counts how often each booking ran, with injectable faults.
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

// Faults are the injected faults, set by PUT /faults.
type Faults struct {
	// LoseResponse closes the connection after the booking ran, instead of responding.
	LoseResponse bool `json:"lose_answer"`
	// Hang runs each booking but sends no response until the caller disconnects.
	Hang bool `json:"freeze"`
	// SlowMillis delays each response by that many milliseconds.
	SlowMillis int `json:"slow_millis"`
}

// Booking is the JSON response to one booking.
type Booking struct {
	Number    int    `json:"number"`
	Workspace string `json:"workspace"`
	Request   string `json:"request"`
}

// SeenCount is the JSON response of GET /seen: how many received values contain the text.
type SeenCount struct {
	Count int `json:"count"`
}

// Server is one simulated booking service.
type Server struct {
	mu     sync.Mutex
	faults Faults
	// runs counts the executed bookings by request body.
	runs   map[string]int
	number int
	// received holds the header values, queries and bodies of all requests.
	received []string
}

// NewServer returns a service without bookings.
func NewServer() *Server {
	return &Server{runs: make(map[string]int)}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each booking ran, by request body.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

// Received returns the header values, queries and bodies received so far.
func (s *Server) Received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

// Handler returns the service's HTTP handler.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/faults", s.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/runs", s.getRuns).Methods(http.MethodGet)
	m.HandleFunc("/seen", s.getSeen).Methods(http.MethodGet)
	m.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(s.serve)
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

// getSeen returns how many received values contain a text.
func (s *Server) getSeen(w http.ResponseWriter, r *http.Request) {
	n := 0
	for _, v := range s.Received() {
		if strings.Contains(v, r.URL.Query().Get("text")) {
			n++
		}
	}
	_ = json.NewEncoder(w).Encode(SeenCount{Count: n})
}

// serve runs the booking, then responds unless a fault prevents it. GET requests run nothing.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
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
		s.received = append(s.received, values...)
	}
	s.received = append(s.received, r.URL.RawQuery, string(body))
	booking := Booking{Number: s.number, Workspace: r.Header.Get("X-Workspace"), Request: string(body)}
	f := s.faults
	s.mu.Unlock()
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.SlowMillis > 0 {
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	}
	if f.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(booking)
}
