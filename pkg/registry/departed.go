package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Departed is an incarnation that is known to have announced that it is leaving or gone, although its
// entry may have been lost.
type Departed struct {
	ID   string
	Gone bool
	// Until is until when it holds; zero if the id is used by one start of the endpoint only.
	Until time.Time
}

// SetDeparted replaces the departed incarnations, and marks those that the table has.
func (t *Table) SetDeparted(list []Departed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departed = make(map[string]Departed, len(list))
	for _, d := range list {
		t.departed[d.ID] = d
		ent := t.entries[d.ID]
		if ent == nil {
			continue
		}
		next := ent.Endpoint
		t.markDeparted(&next)
		if next.Leaving != ent.Leaving || next.Gone != ent.Gone {
			t.recordChange(&next)
		}
		t.replace(ent, next)
	}
}

// markDeparted marks an incarnation that has departed as leaving or gone. The caller holds mu.
func (t *Table) markDeparted(e *fleet.Endpoint) {
	d, ok := t.departed[e.ID]
	if !ok || !d.Until.IsZero() && t.svc.Now().After(d.Until) {
		return
	}
	e.Leaving = true
	e.Gone = e.Gone || d.Gone
}

// NewestIncarnation returns the newest incarnation of an endpoint whose own id is given, and any
// other id unchanged.
func (t *Table) NewestIncarnation(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest(id)
}
