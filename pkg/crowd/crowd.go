// Package crowd decides which streams wait where callers come back all at once.
package crowd

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// decayTime is the time over which streams that begin count: callers whose hosts
	// all stopped come back within a second.
	decayTime = 500 * time.Millisecond
	// minBurst is how many resumed streams make a crowd, if they aren't fewer than those
	// that begin: a host that is lost under a few dozen others leaves each of them one
	// or none.
	minBurst = 2
	// spreadTime is the time over which a crowd is sent on: about what the first events of
	// all take that come at once.
	spreadTime = 800 * time.Millisecond
	// maxHold bounds how long after its arrival a resumed stream is held: callers give up
	// after two seconds without an event.
	maxHold = 1200 * time.Millisecond
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Spreader holds streams back that callers resume, where these come all at once, as after
// a stop of all hosts. Their pause has made them late already; streams that begin can
// still be in time, but not behind the prompts of all others. It is safe for use by
// several goroutines.
//
// Invariant: a stream that begins is never held.
type Spreader struct {
	clock Clock

	mu        sync.Mutex
	resumed   float64 // lately: each counts less as time passes
	started   float64
	updatedAt time.Time
}

// New returns a crowd of none.
func New(clock Clock) *Spreader {
	return &Spreader{
		clock:     clock,
		updatedAt: clock.Now(),
	}
}

// NoteNew notes a stream that begins.
func (s *Spreader) NoteNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay()
	s.started++
}

// ResumeDelay notes a stream that its caller resumes and that came in at a time, and
// returns how long to hold it.
func (s *Spreader) ResumeDelay(received time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.decay()
	s.resumed++
	if s.resumed < minBurst || s.resumed < s.started {
		return 0
	}
	d := time.Duration(rand.Float64() * float64(spreadTime))
	return max(0, min(d, maxHold-now.Sub(received)))
}

// decay lets what was noted count less, and returns the time.
func (s *Spreader) decay() time.Time {
	now := s.clock.Now()
	f := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(decayTime))
	s.resumed *= f
	s.started *= f
	s.updatedAt = now
	return now
}
