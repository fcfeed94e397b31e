package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Restore adds endpoints that were read from disk, unless they are known already, and returns
// how many were added. They are silent until they answer, and DropRestored drops them unless a
// heartbeat arrives.
func (t *Table) Restore(list []fleet.Endpoint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range list {
		if t.entries[e.ID] != nil {
			continue
		}
		e.Restored = true
		e.Silent = true
		e.Loading = false
		e.LastHeartbeat = time.Time{}
		t.markDeparted(&e)
		t.entries[e.ID] = &entry{
			Endpoint: e,
			silentAt: t.svc.Now(),
		}
		t.markChanged(t.entries[e.ID])
		n++
	}
	return n
}

// DropRestored drops the restored endpoints that sent no heartbeat since, and returns how many:
// they may have crashed or announced that they are leaving after the disk was written.
func (t *Table) DropRestored() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, ent := range t.entries {
		if ent.Restored {
			delete(t.entries, id)
			t.bumpVersion()
			n++
		}
	}
	return n
}

// Announced returns the entries with a heartbeat received since this replica started.
func (t *Table) Announced() []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, e := range t.All() {
		if !e.Restored {
			list = append(list, e)
		}
	}
	return list
}

// HasRestored reports whether there are entries known only from disk.
func (t *Table) HasRestored() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ent := range t.entries {
		if ent.Restored {
			return true
		}
	}
	return false
}
