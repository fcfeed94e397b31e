package fleetcontrol

import (
	"fmt"
	"strings"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/metrics"
)

// demandSlots is the number of intervals over which demand is summed for the log: those of
// one second.
const demandSlots = 5

// demandWindow sums the demand for a service over the last second.
type demandWindow struct {
	slots   [demandSlots]float64 // tokens, each of one allocateInterval
	current int
}

func (w *demandWindow) add(tokens float64) {
	w.slots[w.current] += tokens
}

// advance begins the next interval, and drops the oldest one.
func (w *demandWindow) advance() {
	w.current = (w.current + 1) % demandSlots
	w.slots[w.current] = 0
}

func (w *demandWindow) sum() float64 {
	sum := 0.0
	for _, tokens := range w.slots {
		sum += tokens
	}
	return sum
}

// recordChanges sets the metrics, logs the shortages that begin or end, and wakes the long
// polls if there are any. The caller holds mu.
func (c *admissionControl) recordChanges(next map[string]admission.Allocation) {
	changed := false
	for service, a := range next {
		c.setGauges(a)
		before := c.allocations[service]
		if isShortage(a) == isShortage(before) {
			continue
		}
		changed = true
		if isShortage(a) {
			c.logChange("begins", a)
			continue
		}
		a.Shortage = before.Shortage
		c.logChange("ends", a)
	}
	for service, before := range c.allocations {
		if _, kept := next[service]; kept {
			continue
		}
		c.setGauges(admission.Allocation{
			Service: service,
		})
		if isShortage(before) {
			changed = true
			c.logChange("no longer under admission control", before)
		}
	}
	if changed {
		c.version++
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

func (c *admissionControl) setGauges(a admission.Allocation) {
	label := metrics.Label{
		Name:  "service",
		Value: a.Service,
	}
	c.metrics.Gauge("admission_capacity_tokens", label).Update(int64(a.Capacity))
	c.metrics.Gauge("admission_in_flight_tokens", label).Update(int64(a.InFlight))
	c.metrics.Gauge("admission_shortage_ms", label).Update(a.Shortage.Milliseconds())
}

// logChange logs a shortage that begins or ends. The caller holds mu.
func (c *admissionControl) logChange(status string, a admission.Allocation) {
	demand := 0.0
	if w := c.demand[a.Service]; w != nil {
		demand = w.sum()
	}
	c.log.Event(eventlog.AdmissionChanged, eventlog.Str("service", a.Service), eventlog.Str("shortage", status),
		eventlog.Ms("shortage_ms", a.Shortage), eventlog.Int("capacity_tokens", int64(a.Capacity)),
		eventlog.Int("in_flight_tokens", int64(a.InFlight)), eventlog.Int("demand_tokens", int64(demand)),
		eventlog.Str("shares", formatShares(a.Classes)))
}

// formatShares returns the classes' shares in the order of admission, and the number of
// accounts that have another one.
func formatShares(classes []admission.ClassShare) string {
	list := make([]string, 0, len(classes))
	for _, s := range classes {
		name := fmt.Sprintf("rank %d", s.Class.Rank)
		if s.Class.Late {
			name += " late"
		}
		if len(s.Accounts) > 0 {
			name += fmt.Sprintf(" (accounts apart: %d)", len(s.Accounts))
		}
		list = append(list, fmt.Sprintf("%s: %.3f", name, s.Share))
	}
	return strings.Join(list, ", ")
}
