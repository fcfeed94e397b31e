package timer

import (
	"sync"
	"time"
)

// Manual is a service whose time changes only by Advance. It is safe for concurrent
// use.
//
// Invariant: no waiter's due time lies in the past once Advance has returned.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []*waiter
}

type waiter struct {
	due    time.Time
	period time.Duration
	c      chan time.Time
}

// NewManual returns a service whose time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{
		now: start,
	}
}

// Now implements Service.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall implements Service.
func (m *Manual) Wall() time.Time {
	return m.Now()
}

// After implements Service.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	return m.add(d, 0).c
}

// Every implements Service.
func (m *Manual) Every(d time.Duration) *Subscription {
	w := m.add(d, d)
	return &Subscription{
		c: w.c,
		stop: func() {
			m.remove(w)
		},
	}
}

// Advance adds d to the time and wakes every waiter that is due. A periodic waiter
// that is due several times is woken once.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.waiters[:0]
	for _, w := range m.waiters {
		if w.due.After(m.now) {
			kept = append(kept, w)
			continue
		}
		wake(w.c, m.now)
		if w.period == 0 {
			continue
		}
		for !w.due.After(m.now) {
			w.due = w.due.Add(w.period)
		}
		kept = append(kept, w)
	}
	m.waiters = kept
}

// Waiters returns the number of pending wake-ups, including subscriptions.
func (m *Manual) Waiters() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}

func (m *Manual) add(d, period time.Duration) *waiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &waiter{
		due:    m.now.Add(d),
		period: period,
		c:      make(chan time.Time, 1),
	}
	if d <= 0 && period == 0 {
		wake(w.c, m.now)
		return w
	}
	m.waiters = append(m.waiters, w)
	return w
}

func (m *Manual) remove(gone *waiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, w := range m.waiters {
		if w == gone {
			m.waiters = append(m.waiters[:i], m.waiters[i+1:]...)
			return
		}
	}
}

func wake(c chan time.Time, now time.Time) {
	select {
	case c <- now:
	default:
	}
}
