package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Recall takes endpoints that a disk told of, where nothing newer is known, and
// returns how many. They count as silent until they answer, and are dropped by
// DropRecalled unless a heartbeat comes.
func (t *Table) Recall(list []fleet.Endpoint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range list {
		if t.rows[e.ID] != nil {
			continue
		}
		e.Recalled = true
		e.Silent = true
		e.Loading = false
		e.HeardAt = time.Time{}
		t.rows[e.ID] = &row{
			Endpoint: e,
		}
		t.note(t.rows[e.ID])
		n++
	}
	return n
}

// DropRecalled drops the endpoints that were recalled and sent no heartbeat
// since, and returns how many: they may have ended, or said that they leave,
// after the disk was written.
func (t *Table) DropRecalled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, r := range t.rows {
		if r.Recalled {
			delete(t.rows, id)
			t.raise()
			n++
		}
	}
	return n
}

// Heard returns the rows of which a heartbeat came since this replica started.
func (t *Table) Heard() []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, e := range t.All() {
		if !e.Recalled {
			list = append(list, e)
		}
	}
	return list
}

// HasRecalled reports whether there are rows of which only the disk told.
func (t *Table) HasRecalled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		if r.Recalled {
			return true
		}
	}
	return false
}
