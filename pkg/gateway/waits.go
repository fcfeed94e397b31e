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
	e := w.entries[id]
	if e == nil {
		e = &waitEntry{
			pending:     map[*pendingSend]bool{},
			current:     -1,
			previous:    -1,
			bucketStart: now,
		}
		w.entries[id] = e
	}
	s := &pendingSend{
		id:     id,
		sentAt: now,
	}
	e.pending[s] = true
	return s
}

// firstEvent notes an event: the first one of a send ends its wait.
func (w *waitEstimator) firstEvent(s *pendingSend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.entries[s.id]
	if e == nil || !e.pending[s] {
		return
	}
	delete(e.pending, s)
	now := w.svc.Now()
	e.record(now, now.Sub(s.sentAt))
}

// end notes that a send has ended.
func (w *waitEstimator) end(s *pendingSend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.entries[s.id]
	if e == nil {
		return
	}
	delete(e.pending, s)
	if len(e.pending) == 0 && e.estimateAt(w.svc.Now()) == 0 {
		delete(w.entries, s.id)
	}
}

// estimate returns how long a stream that begins at an endpoint now would wait.
func (w *waitEstimator) estimate(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.entries[id]; e != nil {
		return e.estimateAt(w.svc.Now())
	}
	return 0
}

// rotate begins a new bucket if it is time.
func (e *waitEntry) rotate(now time.Time) {
	age := now.Sub(e.bucketStart)
	if age < waitBucket {
		return
	}
	e.previous = e.current
	if age >= 2*waitBucket {
		e.previous = -1
	}
	e.current = -1
	e.bucketStart = now
}

func (e *waitEntry) record(now time.Time, d time.Duration) {
	e.rotate(now)
	if e.current < 0 || d < e.current {
		e.current = d
	}
	e.estimate = e.shortest()
	e.estimatedAt = now
}

// shortest returns the shortest wait of both buckets; negative if there was none.
func (e *waitEntry) shortest() time.Duration {
	if e.current < 0 || e.previous >= 0 && e.previous < e.current {
		return e.previous
	}
	return e.current
}

// estimateAt returns the estimate at now.
func (e *waitEntry) estimateAt(now time.Time) time.Duration {
	e.rotate(now)
	if shortest := e.shortest(); shortest >= 0 {
		e.estimate = shortest
		e.estimatedAt = now
		return shortest
	}
	est := max(0, e.estimate-now.Sub(e.estimatedAt))
	for s := range e.pending {
		est = max(est, now.Sub(s.sentAt))
	}
	return est
}
