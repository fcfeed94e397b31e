package registry

import (
	"math"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Status is what an endpoint tells of itself when it is asked.
type Status struct {
	Layers fleet.Range
	Orders uint64 // taken since its start
	Busy   bool   // with an order
	// Slowdown is how many times as slow as its kind the endpoint is.
	Slowdown float64
	// Notice is told with any answer, also with one that is no report.
	Notice fleet.Notice
}

// UpdateStatus takes what an endpoint answered when it was asked.
func (t *Table) UpdateStatus(id string, report Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	if r == nil || r.Gone {
		return
	}
	next := r.Endpoint
	r.answeredAt = t.svc.Now()
	next.Silent = false
	next.Layers = report.Layers
	next.Orders = report.Orders
	next.Loading = report.Busy
	next.Slowdown = roundSlow(report.Slowdown)
	if next.Layers != r.Layers || next.Loading != r.Loading || next.Slowdown != r.Slowdown {
		t.logLayers(&next)
	}
	t.replace(r, next)
}

// MarkLeaving notes that an endpoint said in an answer, to this host or another, that it leaves.
// Its heartbeats may not tell that, or later.
func (t *Table) MarkLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	if r == nil || r.Leaving {
		return
	}
	r.Leaving = true
	t.noteChange(&r.Endpoint)
	t.note(r)
}

// MarkReassigned notes that an endpoint took an order to hold other layers: it has
// given up those that it held, and loads. taken is how many orders it has taken.
func (t *Table) MarkReassigned(id string, taken uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	if r == nil || r.Gone {
		return
	}
	next := r.Endpoint
	next.Layers = fleet.Range{}
	next.Loading = true
	next.Orders = taken
	t.replace(r, next)
}

// logLayers tells what an endpoint holds and how it does.
func (t *Table) logLayers(e *fleet.Endpoint) {
	loading := int64(0)
	if e.Loading {
		loading = 1
	}
	t.log.Event(eventlog.EndpointLayers, eventlog.Str("endpoint", e.ID), eventlog.Str("address", e.Address),
		eventlog.Int("from", int64(e.Layers.From)), eventlog.Int("to", int64(e.Layers.To)),
		eventlog.Int("loading", loading), eventlog.Int("slow_percent", int64(100*e.Slowdown)))
}

// slowStep is how finely slowness is told: a finer one is news all the time.
const slowStep = 0.5

// roundSlow rounds to slowStep; what is hardly slow counts as it should be.
func roundSlow(slow float64) float64 {
	if slow < 1+slowStep {
		return 1
	}
	return math.Round(slow/slowStep) * slowStep
}

// MarkAnswered notes that an endpoint is there, though it told nothing of itself.
func (t *Table) MarkAnswered(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil && r.Silent && !r.Gone {
		r.Silent = false
		t.note(r)
	}
}
