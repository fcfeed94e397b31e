package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// maxSilences bounds the sends that are remembered, at 100 bytes for each part of their
	// prompts, and silenceLifetime for how long: control hosts forget an endpoint 60 s after its last
	// heartbeat.
	maxSilences     = 256
	silenceLifetime = 75 * time.Second
)

// Silence is a send whose endpoint fell silent. It isn't known whether the endpoint crashed.
type Silence struct {
	ID      string // of the incarnation
	Address string
	Service string
	At      time.Time // when that was noticed
	// Request and Parts are what is recorded if it did.
	Request Crash
	Parts   EndpointCrash
	// RequestID identifies the attempt of the caller.
	RequestID string
}

// Silences holds the sends to endpoints that fell silent, until it is known whether these crashed. It
// is safe for use by several goroutines.
type Silences struct {
	svc timer.Service

	mu   sync.Mutex
	list []Silence // the oldest first
}

// NewSilences returns an empty set.
func NewSilences(svc timer.Service) *Silences {
	return &Silences{
		svc: svc,
	}
}

// Add adds a send. If there are maxSilences, the oldest is dropped.
func (s *Silences) Add(one Silence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(s.list) >= maxSilences {
		s.list = slices.Delete(s.list, 0, len(s.list)-maxSilences+1)
	}
	s.list = append(s.list, one)
}

func (s *Silences) expire() {
	now := s.svc.Now()
	s.list = slices.DeleteFunc(s.list, func(one Silence) bool { return now.Sub(one.At) > silenceLifetime })
}

// List returns the sends for which it isn't known yet.
func (s *Silences) List() []Silence {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return slices.Clone(s.list)
}

// Drop drops the sends to an incarnation that was alive at a later time, or that left.
func (s *Silences) Drop(id string, alive time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = slices.DeleteFunc(s.list, func(one Silence) bool { return one.ID == id && alive.After(one.At) })
}

// Remove drops the send of a request to an incarnation, and reports whether it was there.
func (s *Silences) Remove(id, requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.list)
	s.list = slices.DeleteFunc(s.list, func(one Silence) bool { return one.ID == id && one.RequestID == requestID })
	return len(s.list) < n
}

// Take returns and drops the sends to an incarnation that has ended.
func (s *Silences) Take(id string) []Silence {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out, kept []Silence
	for _, one := range s.list {
		if one.ID == id {
			out = append(out, one)
			continue
		}
		kept = append(kept, one)
	}
	s.list = kept
	return out
}
