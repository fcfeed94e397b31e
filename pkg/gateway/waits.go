package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// waitBucket is the time of which the shortest wait counts: a host begins a few
// streams at each first endpoint in it.
const waitBucket = 500 * time.Millisecond

// waitEstimator tells how long a stream that is sent now would wait at the first endpoint
// of its path for its first event, by what this host's own streams see: whatever
// the cause, a queue of prompts, memory that is full or passes that take long, it
// shows there. Streams that share a first endpoint may go on by different paths,
// one of which holds them up, so of all waits in a bucket the shortest counts.
// What nothing tells anew shrinks as fast as time passes, as a queue does that
// nothing joins. It is safe for use by several goroutines.
type waitEstimator struct {
	svc timer.Service

	mu      sync.Mutex
	entries map[string]*waitEntry // by endpoint
}

type waitEntry struct {
	pending map[*pendingSend]bool
	// current is the shortest wait in the bucket that began at since, and before
	// that of the bucket before; negative if there was none.
	current     time.Duration
	previous    time.Duration
	bucketStart time.Time
	// estimate is the newest estimate, and when it was made.
	estimate    time.Duration
	estimatedAt time.Time
}

// pendingSend is one send of a stream before its first event.
type pendingSend struct {
	id     string // of the first endpoint
	sentAt time.Time
}

func newWaitEstimator(svc timer.Service) *waitEstimator {
	return &waitEstimator{
		svc:     svc,
		entries: map[string]*waitEntry{},
	}
}

// begin notes a send to a first endpoint.
func (w *waitEstimator) begin(id string) *pendingSend {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.svc.Now()
	r := w.entries[id]
	if r == nil {
		r = &waitEntry{
			pending:     map[*pendingSend]bool{},
			current:     -1,
			previous:    -1,
			bucketStart: now,
		}
		w.entries[id] = r
	}
	s := &pendingSend{
		id:     id,
		sentAt: now,
	}
	r.pending[s] = true
	return s
}

// firstEvent notes an event: the first one of a send ends its wait.
func (w *waitEstimator) firstEvent(s *pendingSend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.entries[s.id]
	if r == nil || !r.pending[s] {
		return
	}
	delete(r.pending, s)
	now := w.svc.Now()
	r.record(now, now.Sub(s.sentAt))
}

// end notes that a send has ended.
func (w *waitEstimator) end(s *pendingSend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.entries[s.id]
	if r == nil {
		return
	}
	delete(r.pending, s)
	if len(r.pending) == 0 && r.estimateAt(w.svc.Now()) == 0 {
		delete(w.entries, s.id)
	}
}

// estimate returns how long a stream that begins at an endpoint now would wait.
func (w *waitEstimator) estimate(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.entries[id]; r != nil {
		return r.estimateAt(w.svc.Now())
	}
	return 0
}

// rotate begins a new bucket if it is time.
func (r *waitEntry) rotate(now time.Time) {
	age := now.Sub(r.bucketStart)
	if age < waitBucket {
		return
	}
	r.previous = r.current
	if age >= 2*waitBucket {
		r.previous = -1
	}
	r.current = -1
	r.bucketStart = now
}

func (r *waitEntry) record(now time.Time, d time.Duration) {
	r.rotate(now)
	if r.current < 0 || d < r.current {
		r.current = d
	}
	r.estimate = r.shortest()
	r.estimatedAt = now
}

// shortest returns the shortest wait of both buckets; negative if there was none.
func (r *waitEntry) shortest() time.Duration {
	if r.current < 0 || r.previous >= 0 && r.previous < r.current {
		return r.previous
	}
	return r.current
}

// estimateAt returns the estimate at now.
func (r *waitEntry) estimateAt(now time.Time) time.Duration {
	r.rotate(now)
	if seen := r.shortest(); seen >= 0 {
		r.estimate = seen
		r.estimatedAt = now
		return seen
	}
	est := max(0, r.estimate-now.Sub(r.estimatedAt))
	for s := range r.pending {
		est = max(est, now.Sub(s.sentAt))
	}
	return est
}
