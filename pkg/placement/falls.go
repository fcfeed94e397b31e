package placement

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// crashesBeforeBackoff is how many incarnations in a row may end at an address while they
	// load what was ordered, before the address gets no orders for a while: the order
	// may be what ends them. With fewer, endpoints that merely crash often would count.
	crashesBeforeBackoff = 3
	// minBackoff and mostRest are for how long: the first is about what an endpoint
	// takes to come back, and each fall more doubles it.
	minBackoff = 5 * time.Second
	maxBackoff = 2 * time.Minute
)

// crashTracker knows the addresses whose endpoints end under their orders. Keeper's mutex
// guards it.
type crashTracker struct {
	entries map[string]*addressCrashes // by address
}

// addressCrashes is one address.
type addressCrashes struct {
	id           string // of the newest incarnation
	count        int    // in a row
	backoffUntil time.Time
}

func newCrashTracker() *crashTracker {
	return &crashTracker{
		entries: map[string]*addressCrashes{},
	}
}

// observe takes which incarnation is at an address. loads says whether one loads what it
// was ordered.
func (t *crashTracker) observe(e *fleet.Endpoint, now time.Time, isLoading func(id string) bool) (inBackoff bool) {
	a := t.entries[e.Address]
	if a == nil {
		a = &addressCrashes{
			id: e.ID,
		}
		t.entries[e.Address] = a
	}
	if a.id != e.ID {
		a.replaced(isLoading(a.id), now)
		a.id = e.ID
	}
	if e.Layers.Len() > 0 && !e.Loading {
		a.count = 0
	}
	return now.Before(a.backoffUntil)
}

// replaced notes that another incarnation is there; fell says that the one before ended
// while it loaded.
func (a *addressCrashes) replaced(crashed bool, now time.Time) {
	if !crashed {
		return
	}
	a.count++
	if over := a.count - crashesBeforeBackoff; over >= 0 {
		a.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(over, 8)))
	}
}

// isLoading reports whether an incarnation was ordered to hold what it didn't show yet.
func (c *Controller) isLoading(id string) bool {
	s := c.orders[id]
	return s != nil && !s.applied
}

// inBackoff reports whether an endpoint gets no orders for now, since those before it at
// its address ended under theirs.
func (c *Controller) inBackoff(e *fleet.Endpoint, now time.Time) bool {
	if s := c.orders[e.ID]; s != nil && s.layers == e.Layers && !e.Loading {
		s.applied = true
	}
	entry := c.crashes.entries[e.Address]
	wasInBackoff := entry != nil && now.Before(entry.backoffUntil)
	inBackoff := c.crashes.observe(e, now, c.isLoading)
	if inBackoff && !wasInBackoff {
		c.log.Event(eventlog.EndpointAvoided, eventlog.Str("endpoint", e.ID), eventlog.Str("why", "endpoints at its address ended under their orders"),
			eventlog.Ms("for_ms", c.crashes.entries[e.Address].backoffUntil.Sub(now)))
	}
	return inBackoff
}
