package placement

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// crashesBeforeBackoff is how many incarnations in a row may crash at an address
	// while they load what was ordered, until the address gets no orders for a while:
	// the order itself may crash them. A lower number would include endpoints that just
	// crash often.
	crashesBeforeBackoff = 3
	// minBackoff is the first backoff of an address, about as long as an endpoint takes
	// to restart. Each further crash doubles it, up to maxBackoff.
	minBackoff = 5 * time.Second
	maxBackoff = 2 * time.Minute
)

// crashTracker records the addresses whose endpoints crash while they carry out orders.
// The mutex of Controller guards it.
type crashTracker struct {
	entries map[string]*addressCrashes // by address
}

// addressCrashes is the record of one address.
type addressCrashes struct {
	id           string // of the newest incarnation
	count        int    // consecutive crashes while loading
	backoffUntil time.Time
}

func newCrashTracker() *crashTracker {
	return &crashTracker{
		entries: map[string]*addressCrashes{},
	}
}

// observe records which incarnation is at an address, and reports whether the address
// is in backoff. isLoading reports whether an incarnation hasn't yet shown the layers
// that it was ordered to hold.
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

// replaced records that another incarnation is at the address. crashed says that the
// previous one was still loading what it was ordered to hold.
func (a *addressCrashes) replaced(crashed bool, now time.Time) {
	if !crashed {
		return
	}
	a.count++
	if over := a.count - crashesBeforeBackoff; over >= 0 {
		a.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(over, 8)))
	}
}

// isLoading reports whether an incarnation hasn't yet shown the layers that it was
// ordered to hold.
func (c *Controller) isLoading(id string) bool {
	s := c.orders[id]
	return s != nil && !s.applied
}

// inBackoff reports whether an endpoint gets no orders for now because previous
// incarnations at its address crashed while they carried out theirs.
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
