package limits

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// AdmissionQueue is the queue in front of the engines. It lets as many requests in as
// the engines have room for. Of those that wait, the highest priority goes
// first; within one, client accounts share by their weights. Waiting raises a
// request's priority, so that nothing starves. A request that would wait for
// longer than the latency budget is refused at once.
//
// The refusal by queue length and the ageing follow the single-node serving
// layer in the paper by the related-work note of DESIGN.md, which measured
// both; weights and the measured time in the engines are ours.
//
// Invariants: running <= capacity at the moment of each entry; a queued
// request is either let in, or leaves by its own context, never both.
type AdmissionQueue struct {
	svc      timer.Service
	capacity func() int
	budget   time.Duration

	mu           sync.Mutex
	running      int
	queue        []*waiter
	virtualTimes map[string]float64 // virtual time by account
	virtualNow   float64
	serviceTime  time.Duration // average time in the engines
}

type waiter struct {
	account  string
	weight   int
	priority int
	arrived  time.Time
	admitted chan struct{}
}

const (
	// ageStep is how long a request waits to count one priority higher.
	ageStep            = 500 * time.Millisecond
	serviceTimeWeight  = 0.05
	initialServiceTime = 500 * time.Millisecond
	// maxVirtualTimes bounds the accounts whose virtual time is remembered.
	maxVirtualTimes = 10_000
)

// NewAdmissionQueue returns a gate that lets capacity() requests in.
func NewAdmissionQueue(svc timer.Service, budget time.Duration, capacity func() int) *AdmissionQueue {
	return &AdmissionQueue{
		svc:          svc,
		capacity:     capacity,
		budget:       budget,
		virtualTimes: map[string]float64{},
		serviceTime:  initialServiceTime,
	}
}

// Acquire waits until the request may go to the engines. Each Enter that
// returns nil must be followed by one Leave.
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
	return nil // it was let in at the same moment
}

// join lets the request in, queues it, or refuses it. The ticket is nil if
// there is nothing to wait for.
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

// expectedWait is how long those ahead of a new request take to be let in.
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

// Release ends a request that was let in; held is how long it was in the engines.
func (q *AdmissionQueue) Release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.serviceTime += time.Duration(serviceTimeWeight * float64(took-q.serviceTime))
	q.admit()
}

// CapacityChanged lets in whom a risen capacity has room for.
func (q *AdmissionQueue) CapacityChanged() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admit()
}

// Counts returns how many requests wait, and how many are let in.
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

// next returns the place in the queue of who goes next.
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

// virtualTime returns an account's virtual time; one that was away begins at now.
func (q *AdmissionQueue) virtualTime(account string) float64 {
	return max(q.virtualTimes[account], q.virtualNow)
}

// charge moves the account's virtual time on by what one request costs it.
func (q *AdmissionQueue) charge(account string, weight int) {
	start := q.virtualTime(account)
	q.virtualNow = start
	if len(q.virtualTimes) >= maxVirtualTimes {
		q.virtualTimes = map[string]float64{}
	}
	q.virtualTimes[account] = start + 1/float64(max(1, weight))
}

// withdraw takes a ticket out of the queue, and reports whether it was there.
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
