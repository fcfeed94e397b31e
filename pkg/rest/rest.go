// Package rest keeps which endpoints asked this host for rest, and until when.
package rest

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// tryAfter is how long after it was asked for a rest isn't disturbed at all: the
	// endpoint has just said so.
	tryAfter = time.Second
	// sweepEvery is how often rests that are over are forgotten.
	sweepEvery = time.Second
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

	mu    sync.Mutex
	rows  map[string]*row // by the endpoint's own id
	swept time.Time
}

// row is rests without a pause between them.
type row struct {
	id    string    // the newest incarnation that asked
	asked time.Time // the last time
	wall  time.Time // the same by the time of day, which endpoints' starts are told in
	end   time.Time
	taken bool // the one call in spite of it
}

// New returns a book without rests.
func New(svc timer.Service) *Tracker {
	return &Tracker{
		svc:  svc,
		rows: map[string]*row{},
	}
}

// Record notes that an endpoint wants nothing for d from now on.
func (b *Tracker) Record(id string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.svc.Now()
	r := b.open(id, now)
	r.asked = now
	r.wall = b.svc.Wall()
	r.last(now.Add(d))
}

// Merge notes that another process of this host was asked for a rest which lasts for left
// from now on. It may be told again and again.
func (b *Tracker) Merge(id string, left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.svc.Now()
	r := b.open(id, now)
	r.last(now.Add(left))
}

// open returns the row of an endpoint, a new one if it doesn't rest.
func (b *Tracker) open(id string, now time.Time) *row {
	b.sweep(now)
	own, born := fleet.SplitIncarnation(id)
	r := b.rows[own]
	if r == nil || !now.Before(r.end) || !r.holds(id) {
		r = &row{
			id:    id,
			asked: now,
			wall:  b.svc.Wall(),
		}
		b.rows[own] = r
	}
	if _, last := fleet.SplitIncarnation(r.id); born > last {
		r.id = id
	}
	return r
}

// bornSlack is by how much the clocks of a host and an endpoint may differ: a rest that
// was asked for so little before a start may be that start's. Kept for nothing, it costs
// the new start what is left of it; dropped, the endpoint gets what it didn't want.
const bornSlack = time.Second

// holds reports whether the rests are of an incarnation: it asked, or an earlier one did
// that had started again by then. An endpoint that doesn't tell its start has one.
func (r *row) holds(id string) bool {
	if r.id == id {
		return true
	}
	_, born := fleet.SplitIncarnation(id)
	_, last := fleet.SplitIncarnation(r.id)
	return born <= last || !r.wall.Before(time.UnixMilli(born).Add(-bornSlack))
}

// last makes rests last until end at least.
func (r *row) last(end time.Time) {
	if end.After(r.end) {
		r.end = end
	}
}

// sweep forgets what is over.
func (b *Tracker) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery {
		return
	}
	b.swept = now
	for id, r := range b.rows {
		if !now.Before(r.end) {
			delete(b.rows, id)
		}
	}
}

// Remaining returns how much longer an endpoint wants nothing; 0: it may be called.
func (b *Tracker) Remaining(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(id)
}

func (b *Tracker) left(id string) time.Duration {
	r := b.of(id)
	if r == nil || !r.holds(id) {
		return 0
	}
	return max(0, r.end.Sub(b.svc.Now()))
}

// of returns the row of an endpoint, or nil.
func (b *Tracker) of(id string) *row {
	if len(b.rows) == 0 {
		return nil
	}
	own, _ := fleet.SplitIncarnation(id)
	return b.rows[own]
}

// MayCall reports whether an endpoint may be called now: it doesn't rest, or some time has
// passed and nothing has called it since. That is for what can't be done elsewhere: a
// request for which there is no other endpoint, or a question about streams that it runs.
func (b *Tracker) MayCall(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.may(id)
}

func (b *Tracker) may(id string) bool {
	if b.left(id) == 0 {
		return true
	}
	r := b.of(id)
	return !r.taken && b.svc.Now().Sub(r.asked) >= tryAfter
}

// TryAcquire is May for who then calls; others that ask for it in the same rest may not.
func (b *Tracker) TryAcquire(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.may(id) {
		return false
	}
	if b.left(id) > 0 {
		b.of(id).taken = true
	}
	return true
}

// Active returns how much longer each endpoint that rests wants nothing.
func (b *Tracker) Active() map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]time.Duration{}
	for _, r := range b.rows {
		if left := b.left(r.id); left > 0 {
			list[r.id] = left
		}
	}
	return list
}

// HasAny reports whether an endpoint may rest now.
func (b *Tracker) HasAny() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(b.svc.Now())
	return len(b.rows) > 0
}

// Len returns how many rests are kept.
func (b *Tracker) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rows)
}
