package limits

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// AdmissionQueue is the queue in front of the engines. It admits as many requests as the
// engines have capacity for. The waiting request with the highest priority is next; within one
// priority, client accounts share by their weights. Waiting raises a request's priority, so
// that none starves. A request that would have to wait for longer than the latency budget is
// refused at once.
//
// Invariants: running is at most the capacity whenever a request is admitted; a queued request
// is either admitted or withdrawn when its context ends, never both.
type AdmissionQueue struct {
	svc      timer.Service
	capacity func() int
	budget   time.Duration

	mu           sync.Mutex
	running      int
	queue        []*waiter
	virtualTimes map[string]float64 // by account, for weighted fair queueing
	virtualNow   float64
	serviceTime  time.Duration // moving average of the time in the engines
}

type waiter struct {
	account  string
	weight   int
	priority int
	arrived  time.Time
	admitted chan struct{}
}

const (
	// ageStep is the waiting time that raises a request's priority by one.
	ageStep            = 500 * time.Millisecond
	serviceTimeWeight  = 0.05 // of the newest value in the moving average
	initialServiceTime = 500 * time.Millisecond
	// maxVirtualTimes bounds the accounts whose virtual time is kept.
	maxVirtualTimes = 10_000
)

// NewAdmissionQueue returns a queue that admits up to capacity() requests at a time.
func NewAdmissionQueue(svc timer.Service, budget time.Duration, capacity func() int) *AdmissionQueue {
	return &AdmissionQueue{
		svc:          svc,
		capacity:     capacity,
		budget:       budget,
		virtualTimes: map[string]float64{},
		serviceTime:  initialServiceTime,
	}
}

// Acquire waits until the request may go to the engines. Each Acquire that returns nil must be
// followed by one Release.
func (q *AdmissionQueue) Acquire(ctx context.Context, account bundle.Account, priority int) error {
	w, err := q.join(account, priority)
	if w == nil || err != nil {
		return err
	}
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	if q.withdraw(w) {
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, "the request's time ran out in the queue").WithRan(failure.RanNo)
	}
	return nil // it was admitted at the same moment
}

// join admits the request, queues it, or refuses it. The waiter is nil if the request was
// admitted or refused.
func (q *AdmissionQueue) join(account bundle.Account, priority int) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	capacity := q.capacity()
	if len(q.queue) == 0 && q.running < capacity {
		q.running++
		q.charge(account.Name, account.Weight)
		return nil, nil
	}
	if wait := q.expectedWait(capacity, priority); wait > q.budget {
		return nil, refuse(failure.Overloaded, wait, "%d requests wait; this one would wait for %s, and %s is allowed",
			len(q.queue), wait.Round(time.Millisecond), q.budget)
	}
	w := &waiter{
		account:  account.Name,
		weight:   account.Weight,
		priority: priority,
		arrived:  q.svc.Now(),
		admitted: make(chan struct{}),
	}
	q.queue = append(q.queue, w)
	return w, nil
}

// expectedWait returns how long a new request of the given priority would wait.
func (q *AdmissionQueue) expectedWait(capacity, priority int) time.Duration {
	now := q.svc.Now()
	ahead := 1
	for _, w := range q.queue {
		if w.rank(now) >= priority {
			ahead++
		}
	}
	return time.Duration(ahead) * q.serviceTime / time.Duration(max(1, capacity))
}

// Release ends a request that was admitted; took is how long it was in the engines.
func (q *AdmissionQueue) Release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.serviceTime += time.Duration(serviceTimeWeight * float64(took-q.serviceTime))
	q.admit()
}

// CapacityChanged admits waiting requests after the capacity may have risen.
func (q *AdmissionQueue) CapacityChanged() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admit()
}

// Counts returns how many requests wait, and how many were admitted and still run.
func (q *AdmissionQueue) Counts() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue), q.running
}

func (q *AdmissionQueue) admit() {
	capacity := q.capacity()
	for len(q.queue) > 0 && q.running < capacity {
		i := q.next()
		w := q.queue[i]
		q.queue = append(q.queue[:i], q.queue[i+1:]...)
		q.charge(w.account, w.weight)
		q.running++
		close(w.admitted)
	}
}

// next returns the index of the waiter to admit next.
func (q *AdmissionQueue) next() int {
	now := q.svc.Now()
	best := 0
	for i := 1; i < len(q.queue); i++ {
		if q.before(q.queue[i], q.queue[best], now) {
			best = i
		}
	}
	return best
}

func (q *AdmissionQueue) before(a, b *waiter, now time.Time) bool {
	if ra, rb := a.rank(now), b.rank(now); ra != rb {
		return ra > rb
	}
	if fa, fb := q.virtualTime(a.account), q.virtualTime(b.account); fa != fb {
		return fa < fb
	}
	return a.arrived.Before(b.arrived)
}

func (w *waiter) rank(now time.Time) int {
	return w.priority + int(now.Sub(w.arrived)/ageStep)
}

// virtualTime returns an account's virtual time. An account that was idle resumes at virtualNow,
// so that it can't save up its share.
func (q *AdmissionQueue) virtualTime(account string) float64 {
	return max(q.virtualTimes[account], q.virtualNow)
}

// charge advances the account's virtual time by the cost of one request, the inverse of its
// weight.
func (q *AdmissionQueue) charge(account string, weight int) {
	start := q.virtualTime(account)
	q.virtualNow = start
	if len(q.virtualTimes) >= maxVirtualTimes {
		q.virtualTimes = map[string]float64{}
	}
	q.virtualTimes[account] = start + 1/float64(max(1, weight))
}

// withdraw removes a waiter from the queue, and reports whether it was still queued.
func (q *AdmissionQueue) withdraw(target *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, w := range q.queue {
		if w == target {
			q.queue = append(q.queue[:i], q.queue[i+1:]...)
			return true
		}
	}
	return false
}
