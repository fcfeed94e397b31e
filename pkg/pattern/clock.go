package pattern

import (
	"container/heap"
	"time"
)

// clock is simulated time: what is due runs in order, and nothing else passes.
//
// Invariant: now never falls; what is due at the same time runs in the order in
// which it was asked for.
type clock struct {
	now   time.Duration
	asked int
	queue dueQueue
}

// due is one function and when it runs.
type due struct {
	at    time.Duration
	order int
	run   func()
}

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.asked++
	heap.Push(&c.queue, &due{
		at:    c.now + max(0, d),
		order: c.asked,
		run:   f,
	})
}

// runUntil runs what is due up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		d := heap.Pop(&c.queue).(*due)
		c.now = d.at
		d.run()
	}
	c.now = end
}

// dueQueue implements heap.Interface.
type dueQueue []*due

// Len implements sort.Interface.
func (q dueQueue) Len() int {
	return len(q)
}

// Less implements sort.Interface.
func (q dueQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap implements sort.Interface.
func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	*q = append(*q, x.(*due))
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
