// Package backoff records which endpoints asked this host for backoff, and until when.
package backoff

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// probeDelay is how long after a request for backoff the endpoint isn't called at all.
	probeDelay = time.Second
	// sweepInterval is how often expired entries are dropped.
	sweepInterval = time.Second
)

// Tracker records the backoffs that endpoints asked for. It is safe for use by several
// goroutines.
//
// A new incarnation of an endpoint ends its backoff, unless that was asked for after the new
// one had started: a request addressed to the endpoint's own id is answered by whichever
// incarnation runs, and a host learns of a new one as late as a heartbeat interval and a long
// poll after its start.
//
// Invariants: the end of a backoff never moves earlier; neither a request for a shorter one
// nor a successful answer cuts it short. From when an endpoint asks for backoff until it is out
// of backoff, it is called at most once, however often the backoff is extended: endpoints
// tolerate two calls, and one may be in flight when they ask.
type Tracker struct {
	svc timer.Service

	mu      sync.Mutex
	entries map[string]*entry // by the endpoint's own id, without the incarnation
	sweptAt time.Time
}

// entry is the backoffs of an endpoint that followed each other without a break.
type entry struct {
	id            string    // the newest incarnation that asked
	requestedAt   time.Time // when it last asked this process, or when the entry was created
	requestedWall time.Time // requestedAt in wall time, to compare with the start of an incarnation
	until         time.Time
	probed        bool // the one call allowed during the backoff was made
}

// New returns a tracker without backoffs.
func New(svc timer.Service) *Tracker {
	return &Tracker{
		svc:     svc,
		entries: map[string]*entry{},
	}
}

// Record notes that an endpoint asked this process to send it nothing for d from now on.
func (t *Tracker) Record(id string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	e := t.open(id, now)
	e.requestedAt = now
	e.requestedWall = t.svc.Wall()
	e.extend(now.Add(d))
}

// Merge notes that an endpoint asked another process of this host for a backoff that ends
// after the given time from now. It may be called again for the same backoff.
func (t *Tracker) Merge(id string, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	e := t.open(id, now)
	e.extend(now.Add(remaining))
}

// open returns the entry of an endpoint, a new one if the endpoint isn't in backoff.
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

// clockSlack bounds the difference between the clocks of a host and an endpoint: a backoff that
// was asked for less than that before an incarnation started may have been asked for by it.
// Kept wrongly, it costs the new incarnation the rest of the backoff; dropped wrongly, the
// endpoint gets calls that it asked not to get.
const clockSlack = time.Second

// appliesTo reports whether the backoffs apply to an incarnation: it asked for them, or an
// earlier one did when this one had already started. An endpoint whose id doesn't include a
// start time counts as a single incarnation.
func (e *entry) appliesTo(id string) bool {
	if e.id == id {
		return true
	}
	_, startedAt := fleet.SplitIncarnation(id)
	_, newestStart := fleet.SplitIncarnation(e.id)
	return startedAt <= newestStart || !e.requestedWall.Before(time.UnixMilli(startedAt).Add(-clockSlack))
}

// extend makes the backoff last until the given time at least.
func (e *entry) extend(until time.Time) {
	if until.After(e.until) {
		e.until = until
	}
}

// sweep drops expired entries, every sweepInterval at most.
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

// Remaining returns how much longer an endpoint is in backoff; 0 if it may be called.
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

// find returns the entry of an endpoint, or nil.
func (t *Tracker) find(id string) *entry {
	if len(t.entries) == 0 {
		return nil
	}
	own, _ := fleet.SplitIncarnation(id)
	return t.entries[own]
}

// MayCall reports whether an endpoint may be called now: it isn't in backoff, or probeDelay has
// passed and nothing has called it during the backoff. Only calls that no other endpoint can
// serve should use the latter: a request that no other endpoint can take, or a status query
// about streams that the endpoint runs.
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

// TryAcquire is MayCall for a caller that then calls all of these endpoints, or none if the
// result is false; during the same backoffs no other call is allowed.
func (t *Tracker) TryAcquire(ids ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if !t.mayCall(id) {
			return false
		}
	}
	for _, id := range ids {
		if t.remaining(id) > 0 {
			t.find(id).probed = true
		}
	}
	return true
}

// Release returns what TryAcquire allowed, for calls that were not made.
func (t *Tracker) Release(ids ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if t.remaining(id) > 0 {
			t.find(id).probed = false
		}
	}
}

// Active returns the remaining time of each endpoint that is in backoff.
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

// HasAny reports whether any endpoint may be in backoff now.
func (t *Tracker) HasAny() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(t.svc.Now())
	return len(t.entries) > 0
}

// Len returns the number of entries.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
