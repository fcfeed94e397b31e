// Package resumption delays resumed streams where many callers resume theirs at once, so
// that new streams aren't held up by them.
package resumption

import (
	"math"
	"sync"
	"time"
)

const (
	// decayTime is the time constant with which counted streams decay: callers resume
	// within a second after all hosts have stopped.
	decayTime = 500 * time.Millisecond
	// minBurst is how many resumed streams make a burst, if they aren't fewer than the
	// new ones: after the loss of one host, each of a few dozen others gets one resumed
	// stream or none.
	minBurst = 2
	// spreadTime is the time over which a burst is spread: about as long as the first
	// events of all its streams take.
	spreadTime = 800 * time.Millisecond
	// maxHold bounds how long after its arrival a resumed stream is held: callers give
	// up after two seconds without an event.
	maxHold = 1200 * time.Millisecond
)

// Clock returns the time.
type Clock interface {
	Now() time.Time
}

// Random returns pseudo-random numbers in [0, 1).
type Random interface {
	Float64() float64
}

// Spreader delays resumed streams where they arrive in a burst, as after a stop of all
// hosts. The interruption has made these streams late already; new streams can still be
// on time, but not if they wait behind the prompts of all resumed ones. It is safe for
// concurrent use.
//
// Invariant: a new stream is never held.
type Spreader struct {
	clock Clock

	mu        sync.Mutex
	random    Random
	resumed   float64 // decaying count
	started   float64 // decaying count
	updatedAt time.Time
}

// New returns a spreader that has counted no stream. Only the spreader may use random, which
// need not be safe for concurrent use.
func New(clock Clock, random Random) *Spreader {
	return &Spreader{
		clock:     clock,
		random:    random,
		updatedAt: clock.Now(),
	}
}

// NoteNew counts a new stream.
func (s *Spreader) NoteNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay()
	s.started++
}

// ResumeDelay counts a stream that its caller resumes, received at the given time, and
// returns how long to hold it.
func (s *Spreader) ResumeDelay(received time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.decay()
	s.resumed++
	if s.resumed < minBurst || s.resumed < s.started {
		return 0
	}
	d := time.Duration(s.random.Float64() * float64(spreadTime))
	return max(0, min(d, maxHold-now.Sub(received)))
}

// decay decays the counts to the current time, which it returns.
func (s *Spreader) decay() time.Time {
	now := s.clock.Now()
	f := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(decayTime))
	s.resumed *= f
	s.started *= f
	s.updatedAt = now
	return now
}
