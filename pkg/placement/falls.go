package placement

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// fallsAllowed is how many incarnations in a row may end at an address while they
	// load what was ordered, before the address gets no orders for a while: the order
	// may be what ends them. With fewer, endpoints that merely crash often would count.
	fallsAllowed = 3
	// firstRest and mostRest are for how long: the first is about what an endpoint
	// takes to come back, and each fall more doubles it.
	firstRest = 5 * time.Second
	mostRest  = 2 * time.Minute
)

// falls knows the addresses whose endpoints end under their orders. Keeper's mutex
// guards it.
type falls struct {
	rows map[string]*fall // by address
}

// fall is one address.
type fall struct {
	id    string // of the newest incarnation
	times int    // in a row
	until time.Time
}

func newFalls() *falls {
	return &falls{
		rows: map[string]*fall{},
	}
}

// see takes which incarnation is at an address. loads says whether one loads what it
// was ordered.
func (f *falls) see(e *fleet.Endpoint, now time.Time, loads func(id string) bool) (rests bool) {
	r := f.rows[e.Address]
	if r == nil {
		r = &fall{
			id: e.ID,
		}
		f.rows[e.Address] = r
	}
	if r.id != e.ID {
		r.next(loads(r.id), now)
		r.id = e.ID
	}
	if e.Layers.Len() > 0 && !e.Loading {
		r.times = 0
	}
	return now.Before(r.until)
}

// next notes that another incarnation is there; fell says that the one before ended
// while it loaded.
func (r *fall) next(fell bool, now time.Time) {
	if !fell {
		return
	}
	r.times++
	if over := r.times - fallsAllowed; over >= 0 {
		r.until = now.Add(min(mostRest, firstRest<<min(over, 8)))
	}
}

// loads reports whether an incarnation was ordered to hold what it didn't show yet.
func (k *Controller) loads(id string) bool {
	s := k.known[id]
	return s != nil && !s.shown
}

// rests reports whether an endpoint gets no orders for now, since those before it at
// its address ended under theirs.
func (k *Controller) rests(e *fleet.Endpoint, now time.Time) bool {
	if s := k.known[e.ID]; s != nil && s.layers == e.Layers && !e.Loading {
		s.shown = true
	}
	was := k.falls.rows[e.Address]
	before := was != nil && now.Before(was.until)
	rests := k.falls.see(e, now, k.loads)
	if rests && !before {
		k.log.Event(eventlog.EndpointAvoided, eventlog.Str("endpoint", e.ID), eventlog.Str("why", "endpoints at its address ended under their orders"),
			eventlog.Ms("for_ms", k.falls.rows[e.Address].until.Sub(now)))
	}
	return rests
}
