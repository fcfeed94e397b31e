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
	ent := t.entries[id]
	if ent == nil || ent.Gone {
		return
	}
	next := ent.Endpoint
	ent.answeredAt = t.svc.Now()
	next.Silent = false
	next.Layers = report.Layers
	next.Orders = report.Orders
	next.Loading = report.Busy
	next.Slowdown = roundSlowdown(report.Slowdown)
	if next.Layers != ent.Layers || next.Loading != ent.Loading || next.Slowdown != ent.Slowdown {
		t.logLayers(&next)
	}
	t.replace(ent, next)
}

// MarkLeaving notes that an endpoint said in an answer, to this host or another, that it leaves.
// Its heartbeats may not tell that, or later.
func (t *Table) MarkLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ent := t.entries[id]
	if ent == nil || ent.Leaving {
		return
	}
	ent.Leaving = true
	t.recordChange(&ent.Endpoint)
	t.markChanged(ent)
}

// MarkReassigned notes that an endpoint took an order to hold other layers: it has
// given up those that it held, and loads. taken is how many orders it has taken.
func (t *Table) MarkReassigned(id string, taken uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ent := t.entries[id]
	if ent == nil || ent.Gone {
		return
	}
	next := ent.Endpoint
	next.Layers = fleet.Range{}
	next.Loading = true
	next.Orders = taken
	t.replace(ent, next)
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

// slowdownStep is how finely slowness is told: a finer one is news all the time.
const slowdownStep = 0.5

// roundSlowdown rounds to slowStep; what is hardly slow counts as it should be.
func roundSlowdown(slow float64) float64 {
	if slow < 1+slowdownStep {
		return 1
	}
	return math.Round(slow/slowdownStep) * slowdownStep
}

// MarkAnswered notes that an endpoint is there, though it told nothing of itself.
func (t *Table) MarkAnswered(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ent := t.entries[id]; ent != nil && ent.Silent && !ent.Gone {
		ent.Silent = false
		t.markChanged(ent)
	}
}
