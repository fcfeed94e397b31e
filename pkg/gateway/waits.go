package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// waitWindow is the time window of which the shortest wait counts. A host sends a few
// streams to each first endpoint within it.
const waitWindow = 500 * time.Millisecond

// waitEstimator estimates how long a stream that is sent now would wait for its first
// event, by the first endpoint of its path. It uses what this host's own streams
// observe, because any cause of a delay shows there: queued prompts, full memory or
// slow steps. Streams with the same first endpoint may continue on different paths,
// only one of which delays them, so the shortest wait in a window counts. Without new
// observations an estimate decreases as fast as time passes, like a queue that nothing
// joins. It is safe for use by several goroutines.
type waitEstimator struct {
	svc timer.Service

	mu      sync.Mutex
	entries map[string]*waitEntry // by endpoint
}

type waitEntry struct {
	pending map[*pendingSend]bool
	// current is the shortest wait in the window that began at bucketStart, and
	// previous that of the window before it; negative if there was none.
	current     time.Duration
	previous    time.Duration
	windowStart time.Time
	// estimate is the latest estimate, made at estimatedAt.
	estimate    time.Duration
	estimatedAt time.Time
}

// pendingSend is a send of a stream that is still waiting for its first event.
type pendingSend struct {
	id     string // first endpoint
	sentAt time.Time
}

func newWaitEstimator(svc timer.Service) *waitEstimator {
	return &waitEstimator{
		svc:     svc,
		entries: map[string]*waitEntry{},
	}
}

// begin records that a stream is sent to a first endpoint.
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
			windowStart: now,
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

// firstEvent records an event. The first event of a send ends its wait; further events
// have no effect.
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

// end records that a send has ended.
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

// estimate returns how long a stream that is sent to an endpoint now would wait for its
// first event.
func (w *waitEstimator) estimate(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.entries[id]; e != nil {
		return e.estimateAt(w.svc.Now())
	}
	return 0
}

// rotate starts a new window if the current one is over.
func (e *waitEntry) rotate(now time.Time) {
	age := now.Sub(e.windowStart)
	if age < waitWindow {
		return
	}
	e.previous = e.current
	if age >= 2*waitWindow {
		e.previous = -1
	}
	e.current = -1
	e.windowStart = now
}

func (e *waitEntry) record(now time.Time, d time.Duration) {
	e.rotate(now)
	if e.current < 0 || d < e.current {
		e.current = d
	}
	e.estimate = e.shortest()
	e.estimatedAt = now
}

// shortest returns the shortest wait in both windows; negative if there was none.
func (e *waitEntry) shortest() time.Duration {
	if e.current < 0 || e.previous >= 0 && e.previous < e.current {
		return e.previous
	}
	return e.current
}

// estimateAt returns the shortest recent wait. If there is none, it returns the last
// estimate less the time since then, but no less than any pending send has waited so
// far.
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
