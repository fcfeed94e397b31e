package registry

import (
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Get returns the entry of an incarnation.
func (t *Table) Get(id string) (fleet.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ent := t.entries[id]; ent != nil {
		return ent.Endpoint, true
	}
	return fleet.Endpoint{}, false
}

// Silence returns for how long an endpoint has been marked as silent, 0 if it isn't, and whether it
// accepts connections nevertheless.
func (t *Table) Silence(id string) (d time.Duration, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ent := t.entries[id]
	if ent == nil || !ent.Silent {
		return 0, false
	}
	return t.svc.Now().Sub(ent.silentAt), ent.accepting
}

// Find returns any incarnation that fits; empty if there is none.
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

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Version returns the current version.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangesSince returns the entries that changed after version known, and the current version.
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

// LeavingSince returns the endpoints that were found to be leaving or gone after the given
// time, the newest first. Its cost depends on their number, not on the size of the table.
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

// ChangesUpTo returns the entries that changed after version known, and the current version.
// If there are more than limit, it returns none, and complete is false.
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

// All returns every entry, sorted by incarnation.
func (t *Table) All() []fleet.Endpoint {
	list, _ := t.ChangesSince(0)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// AnnouncedWithin returns the entries whose last heartbeat is younger than age.
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
