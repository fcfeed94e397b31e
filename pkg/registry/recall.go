package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Restore takes endpoints that a disk told of, where nothing newer is known, and
// returns how many. They count as silent until they answer, and are dropped by
// DropRecalled unless a heartbeat comes.
func (t *Table) Restore(list []fleet.Endpoint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range list {
		if t.entries[e.ID] != nil {
			continue
		}
		e.Recalled = true
		e.Silent = true
		e.Loading = false
		e.LastHeartbeat = time.Time{}
		t.entries[e.ID] = &entry{
			Endpoint: e,
		}
		t.markChanged(t.entries[e.ID])
		n++
	}
	return n
}

// DropRestored drops the endpoints that were recalled and sent no heartbeat
// since, and returns how many: they may have ended, or said that they leave,
// after the disk was written.
func (t *Table) DropRestored() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, ent := range t.entries {
		if ent.Recalled {
			delete(t.entries, id)
			t.bumpVersion()
			n++
		}
	}
	return n
}

// Announced returns the rows of which a heartbeat came since this replica started.
func (t *Table) Announced() []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, e := range t.All() {
		if !e.Recalled {
			list = append(list, e)
		}
	}
	return list
}

// HasRestored reports whether there are rows of which only the disk told.
func (t *Table) HasRestored() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ent := range t.entries {
		if ent.Recalled {
			return true
		}
	}
	return false
}
