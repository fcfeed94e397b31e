package permit

import (
	"math"
	"time"
)

// Waiter is a request that waits at the leader for permits: one for each of its endpoints if
// all is set, else one for any of them.
type Waiter struct {
	keys     []uint32
	all      bool
	priority int // 0 is the most urgent
	sequence uint64
}

// before reports whether a waiter is served before another.
func (w *Waiter) before(other *Waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.sequence < other.sequence
}

// Enqueue adds a waiter to the queues of its endpoints; Dequeue must be called for it.
func (g *Granter) Enqueue(keys []uint32, all bool, priority int) *Waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSequence++
	w := &Waiter{
		keys:     keys,
		all:      all,
		priority: priority,
		sequence: g.lastSequence,
	}
	for _, key := range keys {
		if l := g.limiters[key]; l != nil {
			l.waiters = append(l.waiters, w)
		}
	}
	return w
}

// Dequeue removes a waiter from all queues.
func (g *Granter) Dequeue(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range w.keys {
		l := g.limiters[key]
		if l == nil {
			continue
		}
		for i, other := range l.waiters {
			if other == w {
				l.waiters = append(l.waiters[:i:i], l.waiters[i+1:]...)
				break
			}
		}
	}
}

// ahead returns the number of waiters that are served before one.
func (l *limiter) ahead(w *Waiter) int {
	count := 0
	for _, other := range l.waiters {
		if other != w && other.before(w) {
			count++
		}
	}
	return count
}

// TryGrant grants what a waiter waits for, or returns when to try again. Nothing is granted
// for an endpoint without a limiter: the leader may not have learned of the limit yet, and a
// host that learns that the limit is removed needs no permit.
func (g *Granter) TryGrant(w *Waiter) (granted Counts, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var best *limiter
	shortest, longest := maxAvailableIn, time.Duration(0)
	for _, key := range w.keys {
		d := retryInterval
		if l := g.limiters[key]; l != nil {
			l.refill(now)
			d = l.availableIn(l.ahead(w))
			if d == 0 {
				best = l
			}
		}
		shortest = min(shortest, d)
		longest = max(longest, d)
	}
	switch {
	case w.all && longest > 0:
		return nil, longest
	case w.all:
		return g.grantEach(w.keys), 0
	case best == nil:
		return nil, shortest
	}
	best.grant(1)
	return Counts{
		best.key: 1,
	}, 0
}

// grantEach grants one permit for each endpoint; all of them must have one available.
func (g *Granter) grantEach(keys []uint32) Counts {
	granted := Counts{}
	for _, key := range keys {
		g.limiters[key].grant(1)
		granted[key]++
	}
	return granted
}

// GrantInterval returns the mean time that the limits leave between two grants of what a waiter
// waits for, whichever hosts get them; 0 if none of its endpoints has a limit.
func (g *Granter) GrantInterval(w *Waiter) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum, lowest := 0.0, math.Inf(1)
	for _, key := range w.keys {
		if l := g.limiters[key]; l != nil {
			sum += l.limit
			lowest = math.Min(lowest, l.limit)
		}
	}
	switch {
	case sum == 0:
		return 0
	case w.all:
		return time.Duration(float64(time.Second) / lowest)
	default:
		return time.Duration(float64(time.Second) / sum)
	}
}
