package registry

import "time"

// occupantHeartbeats is within how many heartbeat intervals an incarnation must have been heard to
// count as the one that is at its address.
const occupantHeartbeats = 2

// occupants returns, for each address that several incarnations have announced, the one that was
// heard last, if that was lately. The caller holds mu.
func (t *Table) occupants(now time.Time) map[string]*entry {
	last := make(map[string]*entry, len(t.entries))
	shared := map[string]*entry{}
	for _, ent := range t.entries {
		if ent.Gone || ent.Restored || ent.Address == "" {
			continue
		}
		other := last[ent.Address]
		if other == nil {
			last[ent.Address] = ent
			continue
		}
		if ent.LastHeartbeat.After(other.LastHeartbeat) {
			last[ent.Address] = ent
		}
		shared[ent.Address] = last[ent.Address]
	}
	for address, ent := range shared {
		if now.Sub(ent.LastHeartbeat) > occupantHeartbeats*t.interval {
			delete(shared, address)
		}
	}
	return shared
}

// markOccupied notes whether an endpoint of another service has come to an entry's address: it is
// heard there, and the entry's own heartbeats are late. Such an entry is silent, whatever answers
// at its address, until it sends a heartbeat. It isn't gone, since another program may announce any
// address. The caller holds mu.
func (t *Table) markOccupied(ent, occupant *entry, now time.Time) {
	ent.occupied = occupant != nil && occupant != ent && !ent.Gone && !ent.Restored &&
		now.Sub(ent.LastHeartbeat) > silentHeartbeats*t.interval
	if !ent.occupied {
		return
	}
	ent.accepting = false
	if !ent.Silent {
		t.setSilent(ent, "another is at its address")
	}
}
