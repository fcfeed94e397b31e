package fleet

import "time"

// Endpoint is the newest known state of one incarnation of an endpoint.
type Endpoint struct {
	// ID is the incarnation's id (see IncarnationID).
	ID string
	// StartedAt is when it started by its own clock, as a Unix time in ms; 0 if
	// it doesn't report that.
	StartedAt int64
	Service   string
	Address   string
	Domain    string
	Slots     int
	// Leaving endpoints take no new work; Gone ones have deregistered or were
	// replaced.
	Leaving bool
	Gone    bool
	// Sequence is the number of the newest heartbeat; one with a lower number
	// arrived late.
	Sequence uint64
	// Kind is the accelerator's kind; empty for services without an Engine.
	Kind  string
	Model string
	// Layers are the layers that the endpoint holds.
	Layers Range
	// Orders is how many orders it is known to have accepted.
	Orders uint64
	// Loading says that an order is in progress.
	Loading bool
	// LastHeartbeat is when a control host last received a heartbeat.
	LastHeartbeat time.Time
	// Silent endpoints have missed heartbeats.
	Silent bool
	// Restored says that the endpoint was read from a control host's disk, and
	// that no heartbeat has come since that host started.
	Restored bool
	// Slowdown is how many times as slow as its kind the endpoint reports to be.
	Slowdown float64
}

// Usable reports whether new work may be sent to the endpoint.
func (e *Endpoint) Usable() bool {
	return !e.Leaving && !e.Gone
}

// Range is the layers from From up to but not including To.
type Range struct {
	From int
	To   int
}

// Len returns the number of layers.
func (r Range) Len() int {
	return r.To - r.From
}

// Stage is one endpoint on a path, with the consecutive layers that it runs.
type Stage struct {
	ID      string
	Address string
	Domain  string
	Layers  Range
}
