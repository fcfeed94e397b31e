package state

import "github.com/larchwinch/larchwinch/pkg/rpc"

// maxDepartures limits the recorded departures; the oldest are dropped first. One takes about 40
// bytes in a snapshot. It is more than the endpoints of the largest deployment, which may all leave
// at once.
const maxDepartures = 4096

// Departure is an endpoint that announced that it is leaving or gone.
type Departure struct {
	ID   string // of the incarnation
	Gone bool   // for good
	// AtMS is when it was recorded, as a Unix time in milliseconds.
	AtMS int64
}

// departures holds the newest departures. It is guarded by Machine.mu.
type departures struct {
	list []*rpc.Departure // the oldest first
	byID map[string]*rpc.Departure
}

func newDepartures(list []*rpc.Departure) *departures {
	d := &departures{
		byID: make(map[string]*rpc.Departure, len(list)),
	}
	for _, one := range list {
		d.add(one)
	}
	return d
}

// add records a departure, and reports whether that is news. That an endpoint is gone is news of one
// that was leaving.
func (d *departures) add(one *rpc.Departure) bool {
	if old := d.byID[one.GetEndpoint()]; old != nil {
		if old.GetGone() || !one.GetGone() {
			return false
		}
		old.Gone = true
		return true
	}
	d.list = append(d.list, one)
	d.byID[one.GetEndpoint()] = one
	for len(d.list) > maxDepartures {
		delete(d.byID, d.list[0].GetEndpoint())
		d.list = d.list[1:]
	}
	return true
}

// recordDepartures applies a command.
func (m *Machine) recordDepartures(c *rpc.Departures) {
	news := false
	for _, one := range c.GetList() {
		news = m.departures.add(&rpc.Departure{
			Endpoint: one.GetEndpoint(),
			Gone:     one.GetGone(),
			UnixMs:   m.clock,
		}) || news
	}
	if news {
		m.departuresVersion++
		m.notify()
	}
}

// HasDeparture reports whether it is recorded that an incarnation is leaving; or gone, if gone is
// set.
func (m *Machine) HasDeparture(id string, gone bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	one := m.departures.byID[id]
	return one != nil && (one.GetGone() || !gone)
}

// Departures returns the recorded departures, the oldest first, and a number that increases with
// every change of them.
func (m *Machine) Departures() ([]Departure, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Departure, 0, len(m.departures.list))
	for _, one := range m.departures.list {
		list = append(list, Departure{
			ID:   one.GetEndpoint(),
			Gone: one.GetGone(),
			AtMS: one.GetUnixMs(),
		})
	}
	return list, m.departuresVersion
}

// DeparturesVersion returns the number of Departures.
func (m *Machine) DeparturesVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departuresVersion
}
