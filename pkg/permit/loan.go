package permit

import (
	"math"
	"time"
)

// Waiter is a request that waits at the leader for permits: one for each of its endpoints,
// or one for any of them.
type Waiter struct {
	keys     []uint32
	each     bool
	priority int // 0 is the most urgent
	order    uint64
}

// before reports whether a loan is served before another.
func (n *Waiter) before(other *Waiter) bool {
	if n.priority != other.priority {
		return n.priority < other.priority
	}
	return n.order < other.order
}

// Enqueue puts a loan in the queue of its endpoints, until Leave.
func (l *Granter) Enqueue(keys []uint32, each bool, priority int) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders++
	n := &Waiter{
		keys:     keys,
		each:     each,
		priority: priority,
		order:    l.orders,
	}
	for _, key := range keys {
		if a := l.accounts[key]; a != nil {
			a.queue = append(a.queue, n)
		}
	}
	return n
}

// Dequeue takes a loan out of all queues.
func (l *Granter) Dequeue(n *Waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range n.keys {
		a := l.accounts[key]
		if a == nil {
			continue
		}
		for i, one := range a.queue {
			if one == n {
				a.queue = append(a.queue[:i:i], a.queue[i+1:]...)
				break
			}
		}
	}
}

// ahead returns how many loans are served before one.
func (a *account) ahead(n *Waiter) int {
	count := 0
	for _, one := range a.queue {
		if one != n && one.before(n) {
			count++
		}
	}
	return count
}

// TryGrant lends what a loan asks for, or returns when to try again. Nothing is lent for an
// endpoint that this leader doesn't know: it may not have been told yet that there is a
// limit, and who is told that there is none any more needs no permit.
func (l *Granter) TryGrant(n *Waiter) (lent Counts, due time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var best *account
	least, longest := longestDue, time.Duration(0)
	for _, key := range n.keys {
		d := lookAgain
		if a := l.accounts[key]; a != nil {
			a.refill(now)
			d = a.due(a.ahead(n))
			if d == 0 {
				best = a
			}
		}
		least = min(least, d)
		longest = max(longest, d)
	}
	switch {
	case n.each && longest > 0:
		return nil, longest
	case n.each:
		return l.lendEach(n.keys), 0
	case best == nil:
		return nil, least
	}
	best.lend(1)
	return Counts{
		best.key: 1,
	}, 0
}

// lendEach lends one permit for each of the endpoints, all of which have one.
func (l *Granter) lendEach(keys []uint32) Counts {
	lent := Counts{}
	for _, key := range keys {
		l.accounts[key].lend(1)
		lent[key]++
	}
	return lent
}

// GrantInterval returns the time between two permits for what a loan asks for, of all hosts.
func (l *Granter) GrantInterval(n *Waiter) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum, least := 0.0, math.Inf(1)
	for _, key := range n.keys {
		if a := l.accounts[key]; a != nil {
			sum += a.limit
			least = math.Min(least, a.limit)
		}
	}
	switch {
	case sum == 0:
		return 0
	case n.each:
		return time.Duration(float64(time.Second) / least)
	default:
		return time.Duration(float64(time.Second) / sum)
	}
}
