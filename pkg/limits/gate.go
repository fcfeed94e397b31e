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

	mu      sync.Mutex
	running int
	queue   []*ticket
	flows   map[string]float64 // virtual time by account
	virtual float64
	hold    time.Duration // average time in the engines
}

type ticket struct {
	account  string
	weight   int
	priority int
	arrived  time.Time
	admitted chan struct{}
}

const (
	// ageStep is how long a request waits to count one priority higher.
	ageStep   = 500 * time.Millisecond
	holdShare = 0.05
	firstHold = 500 * time.Millisecond
	// maxFlows bounds the accounts whose virtual time is remembered.
	maxFlows = 10_000
)

// NewAdmissionQueue returns a gate that lets capacity() requests in.
func NewAdmissionQueue(svc timer.Service, budget time.Duration, capacity func() int) *AdmissionQueue {
	return &AdmissionQueue{
		svc:      svc,
		capacity: capacity,
		budget:   budget,
		flows:    map[string]float64{},
		hold:     firstHold,
	}
}

// Acquire waits until the request may go to the engines. Each Enter that
// returns nil must be followed by one Leave.
func (g *AdmissionQueue) Acquire(ctx context.Context, account bundle.Account, priority int) error {
	t, err := g.join(account, priority)
	if t == nil || err != nil {
		return err
	}
	select {
	case <-t.admitted:
		return nil
	case <-ctx.Done():
	}
	if g.withdraw(t) {
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, "the request's time ran out in the queue").WithRan(failure.RanNo)
	}
	return nil // it was let in at the same moment
}

// join lets the request in, queues it, or refuses it. The ticket is nil if
// there is nothing to wait for.
func (g *AdmissionQueue) join(account bundle.Account, priority int) (*ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	room := g.capacity()
	if len(g.queue) == 0 && g.running < room {
		g.running++
		g.charge(account.Name, account.Weight)
		return nil, nil
	}
	if wait := g.expectedWait(room, priority); wait > g.budget {
		return nil, refuse(failure.Overloaded, wait, "%d requests wait; this one would wait for %s, and %s is allowed",
			len(g.queue), wait.Round(time.Millisecond), g.budget)
	}
	t := &ticket{
		account:  account.Name,
		weight:   account.Weight,
		priority: priority,
		arrived:  g.svc.Now(),
		admitted: make(chan struct{}),
	}
	g.queue = append(g.queue, t)
	return t, nil
}

// expectedWait is how long those ahead of a new request take to be let in.
func (g *AdmissionQueue) expectedWait(room, priority int) time.Duration {
	now := g.svc.Now()
	ahead := 1
	for _, t := range g.queue {
		if t.rank(now) >= priority {
			ahead++
		}
	}
	return time.Duration(ahead) * g.hold / time.Duration(max(1, room))
}

// Release ends a request that was let in; held is how long it was in the engines.
func (g *AdmissionQueue) Release(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.hold += time.Duration(holdShare * float64(held-g.hold))
	g.admit()
}

// CapacityChanged lets in whom a risen capacity has room for.
func (g *AdmissionQueue) CapacityChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admit()
}

// Counts returns how many requests wait, and how many are let in.
func (g *AdmissionQueue) Counts() (waiting, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue), g.running
}

func (g *AdmissionQueue) admit() {
	room := g.capacity()
	for len(g.queue) > 0 && g.running < room {
		i := g.first()
		t := g.queue[i]
		g.queue = append(g.queue[:i], g.queue[i+1:]...)
		g.charge(t.account, t.weight)
		g.running++
		close(t.admitted)
	}
}

// first returns the place in the queue of who goes next.
func (g *AdmissionQueue) first() int {
	now := g.svc.Now()
	best := 0
	for i := 1; i < len(g.queue); i++ {
		if g.before(g.queue[i], g.queue[best], now) {
			best = i
		}
	}
	return best
}

func (g *AdmissionQueue) before(a, b *ticket, now time.Time) bool {
	if ra, rb := a.rank(now), b.rank(now); ra != rb {
		return ra > rb
	}
	if fa, fb := g.flow(a.account), g.flow(b.account); fa != fb {
		return fa < fb
	}
	return a.arrived.Before(b.arrived)
}

func (t *ticket) rank(now time.Time) int {
	return t.priority + int(now.Sub(t.arrived)/ageStep)
}

// flow returns an account's virtual time; one that was away begins at now.
func (g *AdmissionQueue) flow(account string) float64 {
	return max(g.flows[account], g.virtual)
}

// charge moves the account's virtual time on by what one request costs it.
func (g *AdmissionQueue) charge(account string, weight int) {
	start := g.flow(account)
	g.virtual = start
	if len(g.flows) >= maxFlows {
		g.flows = map[string]float64{}
	}
	g.flows[account] = start + 1/float64(max(1, weight))
}

// withdraw takes a ticket out of the queue, and reports whether it was there.
func (g *AdmissionQueue) withdraw(gone *ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, t := range g.queue {
		if t == gone {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}
