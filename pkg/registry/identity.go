package registry

import (
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// contradictionsToBelieve is how many announcements in a row must contradict what is known of
// an incarnation before they are believed: the first one may have been another writer's.
const contradictionsToBelieve = 3

// identity is what an endpoint can't change while it runs.
type identity struct {
	service string
	address string
	domain  string
}

func identityOf(e *fleet.Endpoint) identity {
	return identity{
		service: e.Service,
		address: e.Address,
		domain:  e.Domain,
	}
}

// contradiction counts the announcements in a row that contradict an entry.
type contradiction struct {
	identity identity
	seen     int
	sequence uint64 // of the last one
}

// contradicts reports whether an announcement isn't believed because it contradicts what is
// known of its incarnation: it may be another program's, while the endpoint goes on sending its
// own. Each sequence counts once, since replicas pass announcements on repeatedly.
func (t *Table) contradicts(ent *entry, e *fleet.Endpoint) bool {
	if e.Address == "" || ent.Address == "" {
		return false // it says only that the endpoint is gone
	}
	if identityOf(e) == identityOf(&ent.Endpoint) {
		ent.contradiction = contradiction{}
		return false
	}
	c := &ent.contradiction
	if c.identity != identityOf(e) {
		*c = contradiction{
			identity: identityOf(e),
		}
	}
	if c.seen == 0 {
		t.log.Event(eventlog.HeartbeatRejected, eventlog.Str("endpoint", e.ID), eventlog.Str("service", e.Service),
			eventlog.Str("address", e.Address), eventlog.Str("error", "it contradicts earlier heartbeats of the endpoint"))
	}
	if c.seen == 0 || e.Sequence > c.sequence {
		c.seen++
		c.sequence = e.Sequence
	}
	return c.seen < contradictionsToBelieve
}
