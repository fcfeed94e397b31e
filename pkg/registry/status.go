package registry

import (
	"math"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Status is an endpoint's answer to a status query.
type Status struct {
	Layers fleet.Range
	Orders uint64 // accepted since its start
	Busy   bool   // carrying out an order
	// Slowdown is how many times as slow as its kind the endpoint is.
	Slowdown float64
	// Notice comes with any answer, also with one that contains no status.
	Notice fleet.Notice
}

// UpdateStatus applies an endpoint's answer to a status query.
func (t *Table) UpdateStatus(id string, report Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ent := t.entries[id]
	if ent == nil || ent.Gone || ent.occupied {
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

// MarkLeaving notes that an endpoint said in an answer, to this host or another, that it is
// leaving. Its heartbeats may say so later, or not at all.
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

// MarkReassigned notes that an endpoint accepted an order to hold other layers: it has released
// those that it held, and is loading. accepted is the number of orders that it has accepted.
func (t *Table) MarkReassigned(id string, accepted uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ent := t.entries[id]
	if ent == nil || ent.Gone {
		return
	}
	next := ent.Endpoint
	next.Layers = fleet.Range{}
	next.Loading = true
	next.Orders = accepted
	t.replace(ent, next)
}

// logLayers logs the layers that an endpoint holds, whether it is loading, and its slowdown.
func (t *Table) logLayers(e *fleet.Endpoint) {
	loading := int64(0)
	if e.Loading {
		loading = 1
	}
	t.log.Event(eventlog.EndpointLayers, eventlog.Str("endpoint", e.ID), eventlog.Str("address", e.Address),
		eventlog.Int("from", int64(e.Layers.From)), eventlog.Int("to", int64(e.Layers.To)),
		eventlog.Int("loading", loading), eventlog.Int("slow_percent", int64(100*e.Slowdown)))
}

// slowdownStep is the resolution of slowdowns: with a finer one they would change all the time.
const slowdownStep = 0.5

// roundSlowdown rounds to slowdownStep; a slowdown of less than one step counts as none.
func roundSlowdown(slowdown float64) float64 {
	if slowdown < 1+slowdownStep {
		return 1
	}
	return math.Round(slowdown/slowdownStep) * slowdownStep
}

// MarkAnswered notes that an endpoint answered without a status, so that it isn't silent.
func (t *Table) MarkAnswered(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ent := t.entries[id]; ent != nil && ent.Silent && !ent.Gone && !ent.occupied {
		ent.Silent = false
		t.markChanged(ent)
	}
}
