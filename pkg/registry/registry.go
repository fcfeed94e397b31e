// Package registry holds what endpoints announce about themselves. Each control replica has
// one table; the replicas pass announcements on to each other.
package registry

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// After silentHeartbeats missed heartbeats, Sweep returns an endpoint as late. Two may be
	// lost with a daemon that is killed between them.
	silentHeartbeats = 3
	// forgetAfter is how long an incarnation is kept after the last contact, so that a late
	// heartbeat, which may be delayed by seconds, can't bring it back.
	forgetAfter = 60 * time.Second
)

// Table holds the announcements by incarnation. It is safe for use by several goroutines.
//
// Invariants: the announcement with the highest sequence wins for each incarnation; Leaving and
// Gone are never reset; the service, address and failure domain of an incarnation change only
// after several announcements in a row; version rises with each change that entry hosts must learn.
type Table struct {
	svc      timer.Service
	log      *eventlog.Log
	interval time.Duration // between heartbeats

	mu      sync.Mutex
	entries map[string]*entry
	version uint64
	changed chan struct{}
	// departures lists the endpoints that were last found to be leaving or gone, the newest
	// last.
	departures []departure
	departed   map[string]Departed
}

// departure is when this replica learned that an endpoint is leaving or gone.
type departure struct {
	id string
	at time.Time
}

type entry struct {
	fleet.Endpoint
	version uint64
	// answeredAt is when the endpoint last answered a status query. Another incarnation at its
	// address may have answered, so it doesn't show which one is newer.
	answeredAt time.Time
	// silentAt is when a silent endpoint was marked so; accepting says that it accepts connections.
	silentAt  time.Time
	accepting bool
	// occupied says that another endpoint is at the address; set by Sweep.
	occupied bool
	// contradiction is what other announcements of the incarnation say it is.
	contradiction contradiction
}

// sinceLastContact returns the time since the last heartbeat or answer.
func (ent *entry) sinceLastContact(now time.Time) time.Duration {
	if ent.answeredAt.After(ent.LastHeartbeat) {
		return now.Sub(ent.answeredAt)
	}
	return now.Sub(ent.LastHeartbeat)
}

// New returns an empty table of endpoints that send a heartbeat every interval.
func New(svc timer.Service, log *eventlog.Log, interval time.Duration) *Table {
	return &Table{
		svc:      svc,
		log:      log,
		interval: interval,
		entries:  map[string]*entry{},
		changed:  make(chan struct{}),
	}
}

// Announce applies a heartbeat that was just received, and reports whether it changed
// anything that others must learn.
func (t *Table) Announce(e fleet.Endpoint) bool {
	e.LastHeartbeat = t.svc.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(e)
}

// Merge applies announcements from another replica, and returns how many of them changed
// anything that others must learn.
func (t *Table) Merge(list []fleet.Endpoint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range list {
		if t.merge(e) {
			n++
		}
	}
	return n
}

// MarkGone marks an incarnation gone, the newest of an endpoint if only the endpoint's own id
// is given, and returns its entry.
func (t *Table) MarkGone(id string) fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	id = t.newest(id)
	old := t.entries[id]
	e := fleet.Endpoint{
		ID: id,
	}
	if old != nil {
		e = old.Endpoint
	}
	e.Gone = true
	e.Leaving = true
	e.LastHeartbeat = t.svc.Now()
	t.merge(e)
	return t.entries[id].Endpoint
}

// newest returns the newest incarnation of an endpoint whose own id is given, and any other id
// unchanged.
func (t *Table) newest(id string) string {
	if t.entries[id] != nil {
		return id
	}
	newest, newestStart := id, int64(0)
	for other := range t.entries {
		if own, startedAt := fleet.SplitIncarnation(other); own == id && startedAt > newestStart {
			newest, newestStart = other, startedAt
		}
	}
	return newest
}

// goneSince reports whether an unknown incarnation was last heard from before its endpoint,
// identified by its own id without a start time, was marked gone.
func (t *Table) goneSince(e *fleet.Endpoint) bool {
	own, _ := fleet.SplitIncarnation(e.ID)
	ent := t.entries[own]
	return own != e.ID && ent != nil && ent.Gone && e.LastHeartbeat.Before(ent.LastHeartbeat)
}

func (t *Table) merge(e fleet.Endpoint) bool {
	if e.Address == "" {
		e.ID = t.newest(e.ID) // says only that the endpoint is gone
	}
	old := t.entries[e.ID]
	if old == nil && t.isDelayed(&e) {
		t.log.Event(eventlog.EndpointGone, eventlog.Str("endpoint", e.ID), eventlog.Str("address", e.Address),
			eventlog.Str("why", "a late heartbeat"), eventlog.Int("sequence", int64(e.Sequence)))
		return false
	}
	if old == nil {
		e.Gone = e.Gone || t.goneSince(&e)
		t.markDeparted(&e)
		e.Silent = false
		t.entries[e.ID] = &entry{
			Endpoint: e,
		}
		t.markChanged(t.entries[e.ID])
		t.recordChange(&e)
		t.supersede(&e)
		return true
	}
	if t.contradicts(old, &e) {
		// Only that it is leaving or gone is believed: requests sent to an endpoint that has
		// left do more harm than one endpoint less.
		leaving, gone := e.Leaving, e.Gone
		e = old.Endpoint
		e.Leaving, e.Gone = leaving, gone
	}
	next := old.Endpoint
	if e.Sequence > old.Sequence || e.Address != "" && identityOf(&e) != identityOf(&old.Endpoint) {
		next = e
		next.Slowdown = old.Slowdown // heartbeats don't include these
		next.Orders = old.Orders
		next.Loading = old.Loading && e.Layers == old.Layers
	}
	next.Leaving = e.Leaving || old.Leaving
	next.Gone = e.Gone || old.Gone
	next.LastHeartbeat = old.LastHeartbeat
	if e.LastHeartbeat.After(old.LastHeartbeat) {
		next.LastHeartbeat = e.LastHeartbeat
	}
	heard := next.LastHeartbeat.After(old.LastHeartbeat)
	next.Silent = old.Silent && !heard
	old.occupied = old.occupied && !heard
	next.Restored = old.Restored && e.Restored
	if next.Layers != old.Layers {
		t.logLayers(&next)
	}
	if next.Leaving != old.Leaving || next.Gone != old.Gone {
		t.recordChange(&next)
	}
	return t.replace(old, next)
}

// replace updates an entry, and reports whether others must learn of the change.
func (t *Table) replace(ent *entry, next fleet.Endpoint) bool {
	same := sameState(&ent.Endpoint, &next)
	ent.Endpoint = next
	if !same {
		t.markChanged(ent)
	}
	return !same
}

// isDelayed reports whether a heartbeat of an unknown incarnation is of an earlier one than
// that at its address: a network partition may delay it until its sender has crashed and
// another has announced itself. Start times decide if both have them. Otherwise the higher
// sequence is the earlier one's, since sequences restart with each incarnation. If the other
// incarnation has crashed too, heartbeats are accepted again two intervals after its last one.
// An announcement for another service shows nothing: it may be another program's.
func (t *Table) isDelayed(e *fleet.Endpoint) bool {
	if e.Gone || e.Address == "" {
		return false
	}
	now := t.svc.Now()
	for _, ent := range t.entries {
		if ent.Service != e.Service {
			continue
		}
		if ent.StartedAt > 0 && e.StartedAt > 0 {
			if e.StartedAt < ent.StartedAt && sameEndpoint(e, &ent.Endpoint) {
				return true
			}
			continue
		}
		if ent.Address == e.Address && !ent.Gone && !ent.Restored && e.Sequence > ent.Sequence && now.Sub(ent.LastHeartbeat) < 2*t.interval {
			return true
		}
	}
	return false
}

// supersede marks the earlier incarnations at a new one's address, and of the same endpoint,
// as gone: each start of an endpoint is a new incarnation, and an address has one endpoint at
// a time. It leaves alone those of other services: an announcement for a wrong service mustn't end
// the endpoint whose address it contains. Sweep finds whether that one is still heard.
func (t *Table) supersede(e *fleet.Endpoint) {
	if e.Gone || e.Address == "" {
		return
	}
	for id, ent := range t.entries {
		if id == e.ID || !sameEndpoint(e, &ent.Endpoint) || ent.Gone || !replaces(e, &ent.Endpoint) {
			continue
		}
		ent.Gone = true
		ent.Leaving = true
		t.markChanged(ent)
		t.recordChange(&ent.Endpoint)
	}
}

// sameEndpoint reports whether two incarnations can't both be running: they have the same
// address, or are incarnations of one endpoint, which may come back at another address.
func sameEndpoint(a, b *fleet.Endpoint) bool {
	if a.Address == b.Address {
		return true
	}
	own, startedAt := fleet.SplitIncarnation(a.ID)
	otherOwn, otherStartedAt := fleet.SplitIncarnation(b.ID)
	return own == otherOwn && startedAt > 0 && otherStartedAt > 0
}

// replaces reports whether a new incarnation at the address of another of its service shows that
// the other is gone.
func replaces(e, other *fleet.Endpoint) bool {
	if e.Service != other.Service {
		return false
	}
	if e.StartedAt > 0 && other.StartedAt > 0 {
		return e.StartedAt > other.StartedAt
	}
	return !e.LastHeartbeat.Before(other.LastHeartbeat)
}

// sameState reports whether a change concerns neither entry hosts nor other replicas.
func sameState(a, b *fleet.Endpoint) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && a.Gone == b.Gone && a.Kind == b.Kind && a.Model == b.Model &&
		a.Layers == b.Layers && a.Loading == b.Loading && a.Silent == b.Silent && a.Slowdown == b.Slowdown &&
		a.Restored == b.Restored
}

// recordChange logs that an endpoint joined, is leaving or is gone, and records the latter two
// as departures.
func (t *Table) recordChange(e *fleet.Endpoint) {
	event := eventlog.EndpointJoined
	switch {
	case e.Gone:
		event = eventlog.EndpointGone
		t.recordDeparture(e.ID)
	case e.Leaving:
		event = eventlog.EndpointLeaving
		t.recordDeparture(e.ID)
	}
	t.log.Event(event, eventlog.Str("endpoint", e.ID), eventlog.Str("address", e.Address),
		eventlog.Str("service", e.Service), eventlog.Int("sequence", int64(e.Sequence)))
}

func (t *Table) markChanged(ent *entry) {
	t.bumpVersion()
	ent.version = t.version
}

// bumpVersion increments the version, and wakes those who wait for a change.
func (t *Table) bumpVersion() {
	t.version++
	close(t.changed)
	t.changed = make(chan struct{})
}

// Sweep drops old entries, marks those silent whose addresses others have taken, and returns the
// endpoints whose heartbeats are late: they may have sent them to a replica that can't pass them
// on. Only a replica that receives the heartbeats of all endpoints may call it.
func (t *Table) Sweep() []fleet.Endpoint {
	now := t.svc.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var late []fleet.Endpoint
	occupants := t.occupants(now)
	for id, ent := range t.entries {
		t.markOccupied(ent, occupants[ent.Address], now)
		age := ent.sinceLastContact(now)
		if ent.Restored {
			continue
		}
		if age > forgetAfter {
			delete(t.entries, id)
			t.bumpVersion()
			continue
		}
		if age > silentHeartbeats*t.interval && !ent.Silent && !ent.Gone {
			late = append(late, ent.Endpoint)
		}
	}
	return late
}

// MarkSilent marks an endpoint that neither answers nor accepts connections as silent; its next
// heartbeat or answer resets that.
func (t *Table) MarkSilent(id string) {
	t.markSilent(id, false)
}

// MarkPaused marks an endpoint that doesn't answer but accepts connections as silent.
func (t *Table) MarkPaused(id string) {
	t.markSilent(id, true)
}

func (t *Table) markSilent(id string, accepting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ent := t.entries[id]
	if ent == nil || ent.Gone {
		return
	}
	ent.accepting = accepting
	if ent.Silent {
		return
	}
	t.setSilent(ent, "doesn't answer")
}

// setSilent marks an entry as silent. The caller holds mu.
func (t *Table) setSilent(ent *entry, why string) {
	now := t.svc.Now()
	ent.Silent = true
	ent.silentAt = now
	t.markChanged(ent)
	t.log.Event(eventlog.EndpointSilent, eventlog.Str("endpoint", ent.ID), eventlog.Str("address", ent.Address),
		eventlog.Str("why", why), eventlog.Ms("age_ms", ent.sinceLastContact(now)))
}

// recordDeparture adds an endpoint to departures, and drops those older than forgetAfter.
func (t *Table) recordDeparture(id string) {
	now := t.svc.Now()
	old := 0
	for old < len(t.departures) && now.Sub(t.departures[old].at) > forgetAfter {
		old++
	}
	t.departures = append(t.departures[old:], departure{
		id: id,
		at: now,
	})
}
