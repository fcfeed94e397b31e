package fleet

import "time"

// Endpoint is the newest that is known of one incarnation of an endpoint.
type Endpoint struct {
	// ID is the incarnation's (IncarnationID).
	ID string
	// StartedAt is when it started by its own clock, as a Unix time in ms; 0: it doesn't tell.
	StartedAt int64
	Service   string
	Address   string
	Domain    string
	Slots     int
	// Leaving endpoints take no new work; Gone ones have ended.
	Leaving bool
	Gone    bool
	// Sequence is the number of the heartbeat that told it; a lower one is late.
	Sequence uint64
	// Kind is the accelerator's; empty for ordinary services.
	Kind  string
	Model string
	// Layers is what the endpoint holds.
	Layers Range
	// Orders is how many orders it has taken, as far as known.
	Orders uint64
	// Loading says that an order is under way.
	Loading bool
	// LastHeartbeat is when a control host last had a heartbeat.
	LastHeartbeat time.Time
	// Silent endpoints have missed heartbeats.
	Silent bool
	// Recalled says that only a control host's own disk told of it: no heartbeat
	// came since that host was started.
	Recalled bool
	// Slowdown is how many times as slow as its kind the endpoint said it was.
	Slowdown float64
}

// Usable reports whether new work may be sent to the endpoint.
func (e *Endpoint) Usable() bool {
	return !e.Leaving && !e.Gone
}

// Range is layers From up to but without To.
type Range struct {
	From int
	To   int
}

// Len returns how many layers the range has.
func (r Range) Len() int {
	return r.To - r.From
}

// Stage is one endpoint's share of a path.
type Stage struct {
	ID      string
	Address string
	Domain  string
	Layers  Range
}
