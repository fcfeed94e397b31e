// Package rest keeps which endpoints asked this host for rest, and until when.
package rest

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// tryAfter is how long after it was asked for a rest isn't disturbed at all: the
	// endpoint has just said so.
	tryAfter = time.Second
	// sweepEvery is how often rests that are over are forgotten.
	sweepEvery = time.Second
)

// Book is the rests by incarnation of an endpoint, so that a new start of one ends them.
// It is safe for use by several goroutines.
//
// Invariants: an end never moves nearer: neither a shorter rest nor a good answer takes
// back what was asked for. In spite of a rest an endpoint is called once at most, until it
// was free: endpoints bear two, and a call may be on its way when they ask.
type Book struct {
	svc timer.Service

	mu    sync.Mutex
	rows  map[string]*row
	swept time.Time
}

// row is rests without a pause between them.
type row struct {
	asked time.Time // the last time
	end   time.Time
	taken bool // the one call in spite of it
}

// New returns a book without rests.
func New(svc timer.Service) *Book {
	return &Book{
		svc:  svc,
		rows: map[string]*row{},
	}
}

// Ask notes that an endpoint wants nothing for d from now on.
func (b *Book) Ask(id string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.svc.Now()
	r := b.open(id, now)
	r.asked = now
	r.last(now.Add(d))
}

// Told notes that another process of this host was asked for a rest which lasts for left
// from now on. It may be told again and again.
func (b *Book) Told(id string, left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.svc.Now()
	r := b.open(id, now)
	r.last(now.Add(left))
}

// open returns the row of an endpoint, a new one if it doesn't rest.
func (b *Book) open(id string, now time.Time) *row {
	b.sweep(now)
	r := b.rows[id]
	if r == nil || !now.Before(r.end) {
		r = &row{
			asked: now,
		}
		b.rows[id] = r
	}
	return r
}

// last makes rests last until end at least.
func (r *row) last(end time.Time) {
	if end.After(r.end) {
		r.end = end
	}
}

// sweep forgets what is over.
func (b *Book) sweep(now time.Time) {
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

// Left returns how much longer an endpoint wants nothing; 0: it may be called.
func (b *Book) Left(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(id)
}

func (b *Book) left(id string) time.Duration {
	r := b.rows[id]
	if r == nil {
		return 0
	}
	return max(0, r.end.Sub(b.svc.Now()))
}

// May reports whether an endpoint may be called now: it doesn't rest, or some time has
// passed and nothing has called it since. That is for what can't be done elsewhere: a
// request for which there is no other endpoint, or a question about streams that it runs.
func (b *Book) May(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.may(id)
}

func (b *Book) may(id string) bool {
	if b.left(id) == 0 {
		return true
	}
	r := b.rows[id]
	return !r.taken && b.svc.Now().Sub(r.asked) >= tryAfter
}

// Take is May for who then calls; others that ask for it in the same rest may not.
func (b *Book) Take(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.may(id) {
		return false
	}
	if b.left(id) > 0 {
		b.rows[id].taken = true
	}
	return true
}

// Resting returns how much longer each endpoint that rests wants nothing.
func (b *Book) Resting() map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]time.Duration{}
	for id := range b.rows {
		if left := b.left(id); left > 0 {
			list[id] = left
		}
	}
	return list
}

// Any reports whether an endpoint may rest now.
func (b *Book) Any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rows) > 0
}

// Size returns how many rests are kept.
func (b *Book) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rows)
}
