package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// waitBucket is the time of which the shortest wait counts: a host begins a few
// streams at each first endpoint in it.
const waitBucket = 500 * time.Millisecond

// waits tells how long a stream that is sent now would wait at the first endpoint
// of its path for its first event, by what this host's own streams see: whatever
// the cause, a queue of prompts, memory that is full or passes that take long, it
// shows there. Streams that share a first endpoint may go on by different paths,
// one of which holds them up, so of all waits in a bucket the shortest counts.
// What nothing tells anew shrinks as fast as time passes, as a queue does that
// nothing joins. It is safe for use by several goroutines.
type waits struct {
	svc timer.Service

	mu   sync.Mutex
	rows map[string]*waitRow // by endpoint
}

type waitRow struct {
	pending map[*waiting]bool
	// least is the shortest wait in the bucket that began at since, and before
	// that of the bucket before; negative if there was none.
	least  time.Duration
	before time.Duration
	since  time.Time
	// told is the newest estimate, and when it was made.
	told   time.Duration
	toldAt time.Time
}

// waiting is one send of a stream before its first event.
type waiting struct {
	id    string // of the first endpoint
	began time.Time
}

func newWaits(svc timer.Service) *waits {
	return &waits{
		svc:  svc,
		rows: map[string]*waitRow{},
	}
}

// begin notes a send to a first endpoint.
func (w *waits) begin(id string) *waiting {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.svc.Now()
	r := w.rows[id]
	if r == nil {
		r = &waitRow{
			pending: map[*waiting]bool{},
			least:   -1,
			before:  -1,
			since:   now,
		}
		w.rows[id] = r
	}
	s := &waiting{
		id:    id,
		began: now,
	}
	r.pending[s] = true
	return s
}

// first notes an event: the first one of a send ends its wait.
func (w *waits) first(s *waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.rows[s.id]
	if r == nil || !r.pending[s] {
		return
	}
	delete(r.pending, s)
	now := w.svc.Now()
	r.note(now, now.Sub(s.began))
}

// end notes that a send has ended.
func (w *waits) end(s *waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.rows[s.id]
	if r == nil {
		return
	}
	delete(r.pending, s)
	if len(r.pending) == 0 && r.at(w.svc.Now()) == 0 {
		delete(w.rows, s.id)
	}
}

// expect returns how long a stream that begins at an endpoint now would wait.
func (w *waits) expect(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.rows[id]; r != nil {
		return r.at(w.svc.Now())
	}
	return 0
}

// turn begins a new bucket if it is time.
func (r *waitRow) turn(now time.Time) {
	age := now.Sub(r.since)
	if age < waitBucket {
		return
	}
	r.before = r.least
	if age >= 2*waitBucket {
		r.before = -1
	}
	r.least = -1
	r.since = now
}

func (r *waitRow) note(now time.Time, d time.Duration) {
	r.turn(now)
	if r.least < 0 || d < r.least {
		r.least = d
	}
	r.told = r.shortest()
	r.toldAt = now
}

// shortest returns the shortest wait of both buckets; negative if there was none.
func (r *waitRow) shortest() time.Duration {
	if r.least < 0 || r.before >= 0 && r.before < r.least {
		return r.before
	}
	return r.least
}

// at returns the estimate at now.
func (r *waitRow) at(now time.Time) time.Duration {
	r.turn(now)
	if seen := r.shortest(); seen >= 0 {
		r.told = seen
		r.toldAt = now
		return seen
	}
	est := max(0, r.told-now.Sub(r.toldAt))
	for s := range r.pending {
		est = max(est, now.Sub(s.began))
	}
	return est
}
