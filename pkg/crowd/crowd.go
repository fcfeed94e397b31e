// Package crowd decides which streams wait where callers come back all at once.
package crowd

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// memory is the time over which streams that begin count: callers whose hosts
	// all stopped come back within a second.
	memory = 500 * time.Millisecond
	// least is how many resumed streams make a crowd, if they aren't fewer than those
	// that begin: a host that is lost under a few dozen others leaves each of them one
	// or none.
	least = 2
	// spread is the time over which a crowd is sent on: about what the first events of
	// all take that come at once.
	spread = 800 * time.Millisecond
	// most bounds how long after its arrival a resumed stream is held: callers give up
	// after two seconds without an event.
	most = 1200 * time.Millisecond
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

	mu      sync.Mutex
	resumed float64 // lately: each counts less as time passes
	begun   float64
	at      time.Time
}

// New returns a crowd of none.
func New(clock Clock) *Spreader {
	return &Spreader{
		clock: clock,
		at:    clock.Now(),
	}
}

// NoteNew notes a stream that begins.
func (c *Spreader) NoteNew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fade()
	c.begun++
}

// ResumeDelay notes a stream that its caller resumes and that came in at a time, and
// returns how long to hold it.
func (c *Spreader) ResumeDelay(received time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.fade()
	c.resumed++
	if c.resumed < least || c.resumed < c.begun {
		return 0
	}
	d := time.Duration(rand.Float64() * float64(spread))
	return max(0, min(d, most-now.Sub(received)))
}

// fade lets what was noted count less, and returns the time.
func (c *Spreader) fade() time.Time {
	now := c.clock.Now()
	f := math.Exp(-float64(now.Sub(c.at)) / float64(memory))
	c.resumed *= f
	c.begun *= f
	c.at = now
	return now
}
