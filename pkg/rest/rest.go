// Package rest keeps which endpoints asked this host for rest, and until when.
package rest

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// probeDelay is how long after it was asked for a rest isn't disturbed at all: the
	// endpoint has just said so.
	probeDelay = time.Second
	// sweepInterval is how often rests that are over are forgotten.
	sweepInterval = time.Second
)

// Tracker is the rests that endpoints asked for. It is safe for use by several goroutines.
//
// A new start of an endpoint ends its rest, unless that was asked for after the start: a
// request that expects the endpoint by its own id is answered by whichever start is there,
// and a host learns of a new one up to a heartbeat and a held call later.
//
// Invariants: an end never moves nearer: neither a shorter rest nor a good answer takes
// back what was asked for. In spite of a rest an endpoint is called once at most, until it
// was free: endpoints bear two, and a call may be on its way when they ask.
type Tracker struct {
	svc timer.Service

	mu      sync.Mutex
	entries map[string]*entry // by the endpoint's own id
	sweptAt time.Time
}

// entry is rests without a pause between them.
type entry struct {
	id            string    // the newest incarnation that asked
	requestedAt   time.Time // the last time
	requestedWall time.Time // the same by the time of day, which endpoints' starts are told in
	until         time.Time
	probed        bool // the one call in spite of it
}

// New returns a book without rests.
func New(svc timer.Service) *Tracker {
	return &Tracker{
		svc:     svc,
		entries: map[string]*entry{},
	}
}

// Record notes that an endpoint wants nothing for d from now on.
func (t *Tracker) Record(id string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	e := t.open(id, now)
	e.requestedAt = now
	e.requestedWall = t.svc.Wall()
	e.extend(now.Add(d))
}

// Merge notes that another process of this host was asked for a rest which lasts for left
// from now on. It may be told again and again.
func (t *Tracker) Merge(id string, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	e := t.open(id, now)
	e.extend(now.Add(remaining))
}

// open returns the row of an endpoint, a new one if it doesn't rest.
func (t *Tracker) open(id string, now time.Time) *entry {
	t.sweep(now)
	own, startedAt := fleet.SplitIncarnation(id)
	e := t.entries[own]
	if e == nil || !now.Before(e.until) || !e.appliesTo(id) {
		e = &entry{
			id:            id,
			requestedAt:   now,
			requestedWall: t.svc.Wall(),
		}
		t.entries[own] = e
	}
	if _, newestStart := fleet.SplitIncarnation(e.id); startedAt > newestStart {
		e.id = id
	}
	return e
}

// clockSlack is by how much the clocks of a host and an endpoint may differ: a rest that
// was asked for so little before a start may be that start's. Kept for nothing, it costs
// the new start what is left of it; dropped, the endpoint gets what it didn't want.
const clockSlack = time.Second

// appliesTo reports whether the rests are of an incarnation: it asked, or an earlier one did
// that had started again by then. An endpoint that doesn't tell its start has one.
func (e *entry) appliesTo(id string) bool {
	if e.id == id {
		return true
	}
	_, startedAt := fleet.SplitIncarnation(id)
	_, newestStart := fleet.SplitIncarnation(e.id)
	return startedAt <= newestStart || !e.requestedWall.Before(time.UnixMilli(startedAt).Add(-clockSlack))
}

// extend makes rests last until end at least.
func (e *entry) extend(until time.Time) {
	if until.After(e.until) {
		e.until = until
	}
}

// sweep forgets what is over.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for id, e := range t.entries {
		if !now.Before(e.until) {
			delete(t.entries, id)
		}
	}
}

// Remaining returns how much longer an endpoint wants nothing; 0: it may be called.
func (t *Tracker) Remaining(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remaining(id)
}

func (t *Tracker) remaining(id string) time.Duration {
	e := t.find(id)
	if e == nil || !e.appliesTo(id) {
		return 0
	}
	return max(0, e.until.Sub(t.svc.Now()))
}

// find returns the row of an endpoint, or nil.
func (t *Tracker) find(id string) *entry {
	if len(t.entries) == 0 {
		return nil
	}
	own, _ := fleet.SplitIncarnation(id)
	return t.entries[own]
}

// MayCall reports whether an endpoint may be called now: it doesn't rest, or some time has
// passed and nothing has called it since. That is for what can't be done elsewhere: a
// request for which there is no other endpoint, or a question about streams that it runs.
func (t *Tracker) MayCall(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayCall(id)
}

func (t *Tracker) mayCall(id string) bool {
	if t.remaining(id) == 0 {
		return true
	}
	e := t.find(id)
	return !e.probed && t.svc.Now().Sub(e.requestedAt) >= probeDelay
}

// TryAcquire is May for who then calls; others that ask for it in the same rest may not.
func (t *Tracker) TryAcquire(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mayCall(id) {
		return false
	}
	if t.remaining(id) > 0 {
		t.find(id).probed = true
	}
	return true
}

// Active returns how much longer each endpoint that rests wants nothing.
func (t *Tracker) Active() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[string]time.Duration{}
	for _, e := range t.entries {
		if remaining := t.remaining(e.id); remaining > 0 {
			list[e.id] = remaining
		}
	}
	return list
}

// HasAny reports whether an endpoint may rest now.
func (t *Tracker) HasAny() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(t.svc.Now())
	return len(t.entries) > 0
}

// Len returns how many rests are kept.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
