package simulation

import (
	"container/heap"
	"time"
)

// clock is simulated time. Functions run in the order in which they are due; time
// passes only between them.
//
// Invariant: now never decreases, and functions that are due at the same time run in
// the order in which they were scheduled.
type clock struct {
	now       time.Duration
	scheduled int
	queue     timerQueue
}

// timer is a function and when it runs.
type timer struct {
	at       time.Duration
	sequence int
	run      func()
}

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.queue, &timer{
		at:       c.now + max(0, d),
		sequence: c.scheduled,
		run:      f,
	})
}

// runUntil runs all functions that are due up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		t := heap.Pop(&c.queue).(*timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// timerQueue implements heap.Interface.
type timerQueue []*timer

// Len implements sort.Interface.
func (q timerQueue) Len() int {
	return len(q)
}

// Less implements sort.Interface.
func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements sort.Interface.
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
}

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) {
	*q = append(*q, x.(*timer))
}

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
