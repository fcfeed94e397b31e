// Package registry keeps what endpoints announce of themselves. Each control
// replica has one table; they hand announcements to each other.
package registry

import (
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// silentHeartbeats is after how many missed heartbeats an endpoint counts as
	// silent: two may be lost with a daemon that is killed between them.
	silentHeartbeats = 3
	// forgetAfter is how long a gone or silent incarnation is remembered, so
	// that a late heartbeat can't bring it back. Heartbeats are seconds late.
	forgetAfter = 60 * time.Second
)

// Table is the announcements by incarnation. It is safe for use by several
// goroutines.
//
// Invariants: of one incarnation the highest sequence stands; leaving and gone
// never go back; version rises with each change that entry hosts must learn.
type Table struct {
	svc      timer.Service
	log      *eventlog.Log
	interval time.Duration // between heartbeats

	mu      sync.Mutex
	entries map[string]*entry
	version uint64
	changed chan struct{}
	// departures are the endpoints that last were told to leave or to have ended, the
	// newest last.
	departures []departure
}

// departure is when it became known here that an endpoint leaves or has ended.
type departure struct {
	id string
	at time.Time
}

type entry struct {
	fleet.Endpoint
	version uint64
	// answeredAt is when it last answered a question; another incarnation at its address
	// may have, so that it tells nothing of which one is the newer.
	answeredAt time.Time
}

// sinceLastContact returns for how long nothing was heard of an endpoint.
func (ent *entry) sinceLastContact(now time.Time) time.Duration {
	if ent.answeredAt.After(ent.LastHeartbeat) {
		return now.Sub(ent.answeredAt)
	}
	return now.Sub(ent.LastHeartbeat)
}

// New returns an empty table of endpoints that announce themselves at interval.
func New(svc timer.Service, log *eventlog.Log, interval time.Duration) *Table {
	return &Table{
		svc:      svc,
		log:      log,
		interval: interval,
		entries:  map[string]*entry{},
		changed:  make(chan struct{}),
	}
}

// Announce takes a heartbeat that was just received, and reports whether it
// told something that others must learn.
func (t *Table) Announce(e fleet.Endpoint) bool {
	e.LastHeartbeat = t.svc.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(e)
}

// Merge takes announcements from another replica, and returns those whose
// news are new here.
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

// MarkGone notes that an incarnation has ended, the newest of an endpoint if only its own
// id is given, and returns its row.
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

// newest returns the newest incarnation of an endpoint whose own id is given, and any
// other id as it is.
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

// goneSince reports whether an incarnation that isn't known was last heard of before the
// endpoint of its id, which didn't tell when it started, said that it ended.
func (t *Table) goneSince(e *fleet.Endpoint) bool {
	own, _ := fleet.SplitIncarnation(e.ID)
	ent := t.entries[own]
	return own != e.ID && ent != nil && ent.Gone && e.LastHeartbeat.Before(ent.LastHeartbeat)
}

func (t *Table) merge(e fleet.Endpoint) bool {
	if e.Address == "" {
		e.ID = t.newest(e.ID) // nothing is told but that it ended
	}
	old := t.entries[e.ID]
	if old == nil && t.isDelayed(&e) {
		t.log.Event(eventlog.EndpointGone, eventlog.Str("endpoint", e.ID), eventlog.Str("address", e.Address),
			eventlog.Str("why", "a late heartbeat"), eventlog.Int("sequence", int64(e.Sequence)))
		return false
	}
	if old == nil {
		e.Gone = e.Gone || t.goneSince(&e)
		e.Silent = false
		t.entries[e.ID] = &entry{
			Endpoint: e,
		}
		t.markChanged(t.entries[e.ID])
		t.recordChange(&e)
		t.supersede(&e)
		return true
	}
	next := old.Endpoint
	if e.Sequence > old.Sequence {
		next = e
		next.Slowdown = old.Slowdown // heartbeats don't tell these
		next.Orders = old.Orders
		next.Loading = old.Loading && e.Layers == old.Layers
	}
	next.Leaving = e.Leaving || old.Leaving
	next.Gone = e.Gone || old.Gone
	next.LastHeartbeat = old.LastHeartbeat
	if e.LastHeartbeat.After(old.LastHeartbeat) {
		next.LastHeartbeat = e.LastHeartbeat
	}
	next.Silent = old.Silent && !next.LastHeartbeat.After(old.LastHeartbeat)
	next.Recalled = old.Recalled && e.Recalled
	if next.Layers != old.Layers {
		t.logLayers(&next)
	}
	if next.Leaving != old.Leaving || next.Gone != old.Gone {
		t.recordChange(&next)
	}
	return t.replace(old, next)
}

// replace puts what is now known of an endpoint in a row, and reports whether
// it is news.
func (t *Table) replace(ent *entry, next fleet.Endpoint) bool {
	same := sameState(&ent.Endpoint, &next)
	ent.Endpoint = next
	if !same {
		t.markChanged(ent)
	}
	return !same
}

// isDelayed reports whether a heartbeat of an incarnation that isn't known is of an
// earlier one than that at its address: a cut may hold one back until its sender
// has crashed and another has announced itself. Where they tell when they started,
// that decides. Numbers begin anew with each incarnation, so that else the earlier one's
// is the higher. If the other is gone itself, the next heartbeat is taken, two intervals
// later at most.
func (t *Table) isDelayed(e *fleet.Endpoint) bool {
	if e.Gone || e.Address == "" {
		return false
	}
	now := t.svc.Now()
	for _, ent := range t.entries {
		if ent.StartedAt > 0 && e.StartedAt > 0 {
			if e.StartedAt < ent.StartedAt && sameEndpoint(e, &ent.Endpoint) {
				return true
			}
			continue
		}
		if ent.Address == e.Address && !ent.Gone && !ent.Recalled && e.Sequence > ent.Sequence && now.Sub(ent.LastHeartbeat) < 2*t.interval {
			return true
		}
	}
	return false
}

// supersede ends the earlier incarnations at a new one's address: each start
// of an endpoint is a new one, and an address has one endpoint at a time.
func (t *Table) supersede(e *fleet.Endpoint) {
	if e.Gone || e.Address == "" {
		return
	}
	for id, ent := range t.entries {
		if id == e.ID || !sameEndpoint(e, &ent.Endpoint) || ent.Gone || !t.replaces(e, &ent.Endpoint) {
			continue
		}
		ent.Gone = true
		ent.Leaving = true
		t.markChanged(ent)
		t.recordChange(&ent.Endpoint)
	}
}

// sameEndpoint reports whether two incarnations can't both run: they have one address,
// or are starts of one endpoint, which may come back at another.
func sameEndpoint(a, b *fleet.Endpoint) bool {
	if a.Address == b.Address {
		return true
	}
	own, startedAt := fleet.SplitIncarnation(a.ID)
	otherOwn, otherStartedAt := fleet.SplitIncarnation(b.ID)
	return own == otherOwn && startedAt > 0 && otherStartedAt > 0
}

// addressReuseIntervals is for how many heartbeat intervals an endpoint must not have been heard
// of before one of another service has its address: addresses are given to other
// services some seconds after their endpoints ended. An entry that names a service
// which isn't there mustn't end the endpoint whose address it holds.
const addressReuseIntervals = 1.5

// replaces reports whether a new incarnation at the address of another shows that the
// other has ended.
func (t *Table) replaces(e, other *fleet.Endpoint) bool {
	silence := e.LastHeartbeat.Sub(other.LastHeartbeat)
	if e.Service != other.Service && float64(silence) < addressReuseIntervals*float64(t.interval) {
		return false
	}
	if e.StartedAt > 0 && other.StartedAt > 0 {
		return e.StartedAt > other.StartedAt
	}
	return silence >= 0
}

// sameState reports whether neither entry hosts nor other replicas need to learn
// of a change.
func sameState(a, b *fleet.Endpoint) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && a.Gone == b.Gone && a.Kind == b.Kind && a.Model == b.Model &&
		a.Layers == b.Layers && a.Loading == b.Loading && a.Silent == b.Silent && a.Slowdown == b.Slowdown &&
		a.Recalled == b.Recalled
}

// recordChange logs that an endpoint came, leaves or has ended, and remembers the latter.
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

// bumpVersion numbers a change, and wakes who waits for one.
func (t *Table) bumpVersion() {
	t.version++
	close(t.changed)
	t.changed = make(chan struct{})
}

// Sweep forgets old rows, and returns the endpoints that should have sent a
// heartbeat: they may have sent it to a replica that can't pass it on.
func (t *Table) Sweep() []fleet.Endpoint {
	now := t.svc.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var late []fleet.Endpoint
	for id, ent := range t.entries {
		age := ent.sinceLastContact(now)
		if ent.Recalled {
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

// MarkSilent marks an endpoint silent that doesn't answer; its next heartbeat or
// answer takes that back.
func (t *Table) MarkSilent(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ent := t.entries[id]
	if ent == nil || ent.Silent || ent.Gone {
		return
	}
	ent.Silent = true
	t.markChanged(ent)
	t.log.Event(eventlog.EndpointSilent, eventlog.Str("endpoint", id), eventlog.Str("address", ent.Address),
		eventlog.Str("why", "doesn't answer"), eventlog.Ms("age_ms", ent.sinceLastContact(t.svc.Now())))
}

// Get returns the row of an incarnation.
func (t *Table) Get(id string) (fleet.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ent := t.entries[id]; ent != nil {
		return ent.Endpoint, true
	}
	return fleet.Endpoint{}, false
}

// Find returns an incarnation that fits; empty if there is none.
func (t *Table) Find(fits func(id string) bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.entries {
		if fits(id) {
			return id
		}
	}
	return ""
}

// Changed returns a channel that is closed with the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Version returns the newest version.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangesSince returns the rows that changed after version known, and the newest
// version.
func (t *Table) ChangesSince(known uint64) ([]fleet.Endpoint, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []fleet.Endpoint
	if known == t.version {
		return nil, t.version
	}
	for _, ent := range t.entries {
		if ent.version > known {
			list = append(list, ent.Endpoint)
		}
	}
	return list, t.version
}

// LeavingSince returns the rows of endpoints of which it became known since a time that they
// leave or have ended. Its cost goes with these, and not with all that there are.
func (t *Table) LeavingSince(since time.Time) []fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.Endpoint
	for i := len(t.departures) - 1; i >= 0 && t.departures[i].at.After(since); i-- {
		if ent := t.entries[t.departures[i].id]; ent != nil {
			out = append(out, ent.Endpoint)
		}
	}
	return out
}

// recordDeparture remembers that an endpoint leaves, and forgets what is old.
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

// ChangesUpTo returns the rows that changed after version known, if they are no more than
// most, and the newest version; few says whether they are.
func (t *Table) ChangesUpTo(known uint64, limit int) (list []fleet.Endpoint, version uint64, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known == t.version {
		return nil, t.version, true
	}
	for _, ent := range t.entries {
		if ent.version <= known {
			continue
		}
		if len(list) == limit {
			return nil, t.version, false
		}
		list = append(list, ent.Endpoint)
	}
	return list, t.version, true
}

// All returns every row, sorted by incarnation.
func (t *Table) All() []fleet.Endpoint {
	list, _ := t.ChangesSince(0)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// AnnouncedWithin returns the rows whose last heartbeat is younger than age.
func (t *Table) AnnouncedWithin(age time.Duration) []fleet.Endpoint {
	from := t.svc.Now().Add(-age)
	var list []fleet.Endpoint
	for _, e := range t.Announced() {
		if e.LastHeartbeat.After(from) {
			list = append(list, e)
		}
	}
	return list
}
