// Package service is a fake plain service, such as a booking service. It counts
// how often each call ran, which tests use to check that requests that must not
// be retried ran at most once.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// HTTP paths that the fake has in addition to those of a plain service.
const (
	FaultPath   = "/standin/fault"
	CountsPath  = "/standin/counts"
	LeavingPath = "/standin/leaving"
)

// Fault describes the faults to inject. The zero value ends every fault.
type Fault struct {
	// DelayMS delays each answer, in milliseconds, after the call has run.
	DelayMS int `json:"delay_ms"`
	// DropAnswer runs the call and then closes the connection.
	DropAnswer bool `json:"drop_answer"`
	// DropCall closes the connection before the call has run.
	DropCall bool `json:"drop_call"`
}

// Count is how often the call with one key ran.
type Count struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// Service is a running fake service.
type Service struct {
	name        string
	incarnation uint64
	svc         timer.Service

	mu      sync.Mutex
	fault   Fault
	runs    map[string]int
	running int
	leaving bool
}

// New returns a service with this name.
func New(name string, incarnation uint64, svc timer.Service) *Service {
	return &Service{
		name:        name,
		incarnation: incarnation,
		svc:         svc,
		runs:        map[string]int{},
	}
}

// SetFault replaces the injected faults.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Runs returns how often the call with this key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Counts returns how often each call ran, sorted by key.
func (s *Service) Counts() []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make([]Count, 0, len(s.runs))
	for k, n := range s.runs {
		counts = append(counts, Count{
			Key:  k,
			Runs: n,
		})
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Key < counts[j].Key })
	return counts
}

// Handler returns the service's HTTP interface. Every path other than the
// service's own is a call, whose response contains the body that was received.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.ServiceInfoPath, s.serveInfo)
	mux.HandleFunc("POST "+FaultPath, s.serveFault)
	mux.HandleFunc("POST "+LeavingPath, s.serveLeaving)
	mux.HandleFunc("GET "+CountsPath, s.serveCounts)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveInfo(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	info := api.ServiceInfo{
		Service:     s.name,
		Incarnation: s.incarnation,
		Leaving:     s.leaving,
		Running:     s.running,
	}
	s.mu.Unlock()
	writeJSON(w, info)
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	f := Fault{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

func (s *Service) serveLeaving(_ http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

// answer is the body of a call's response.
type answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Run     int    `json:"run"`
	Body    string `json:"body"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.beginCall()
	defer s.endCall()
	if fault.DropCall {
		panic(http.ErrAbortHandler)
	}
	run := s.countRun(callKey(r, body))
	if err := timer.Sleep(r.Context(), s.svc, time.Duration(fault.DelayMS)*time.Millisecond); err != nil {
		return
	}
	if fault.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, answer{
		Service: s.name,
		Path:    r.URL.Path,
		Run:     run,
		Body:    string(body),
	})
}

func callKey(r *http.Request, body []byte) string {
	if k := r.Header.Get(api.HeaderIdempotencyKey); k != "" {
		return k
	}
	return r.URL.Path + " " + string(body)
}

func (s *Service) beginCall() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.fault
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) countRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // it fails only if the caller has disconnected
}
