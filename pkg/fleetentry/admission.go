package fleetentry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/shedding"
)

const (
	// minReportedFullTime is the remaining time below which a full endpoint isn't reported.
	// The leader passes it on with the next replies, 0.2 s later on average.
	minReportedFullTime = 100 * time.Millisecond
	// fullRepeatSlack is how much later an endpoint must be full than was reported before,
	// for it to be reported again.
	fullRepeatSlack = 50 * time.Millisecond
)

// Admission counts what callers ask this host for, and applies the leader's allocations.
type Admission interface {
	// TakeReports returns what to report since the previous call.
	TakeReports() []admission.Report
	// Apply replaces all allocations by those that the leader made age ago.
	Apply(list []admission.Allocation, age time.Duration)
}

// FullEndpoints holds the endpoints that rejected a request for lack of capacity a moment
// ago.
type FullEndpoints interface {
	// List returns those that this host itself observed.
	List() []shedding.Entry
	// Merge adds those that other hosts observed.
	Merge(entries []shedding.Entry)
}

// addAdmissionReport adds what callers ask this host for. A demand that is lost with a call
// isn't reported again, as it would seem to be newer than it is. A host without anything to
// report sends a report that names no service, by which the leader tells it from hosts of
// older versions.
func (c *ControlClient) addAdmissionReport(q *rpc.SyncRequest) {
	q.Admission = admission.ReportsToWire(c.admission.TakeReports())
	if len(q.Admission) == 0 {
		q.Admission = []*rpc.AdmissionReport{{}}
	}
}

// addFullReport adds the endpoints that are full by this host's own observations, unless
// the leader was told before, by a call that it answered.
func (c *ControlClient) addFullReport(q *rpc.SyncRequest) {
	now := c.cfg.Timer.Now()
	c.inFlight.full = map[uint32]time.Time{}
	for _, e := range c.full.List() {
		until := now.Add(e.Remaining)
		if e.Remaining < minReportedFullTime || !until.After(c.reportedFull[e.Key].Add(fullRepeatSlack)) {
			continue
		}
		c.inFlight.full[e.Key] = until
		q.Full = append(q.Full, &rpc.FullEndpoint{
			Endpoint: e.Key,
			LeftMs:   uint32(e.Remaining.Milliseconds()),
		})
	}
}

// applyAdmission applies the allocations and the full endpoints of a confirmed reply to a
// call that was sent at the given time. Their age counts from when the leader stopped
// holding the call open.
func (c *ControlClient) applyAdmission(reply *rpc.SyncReply, sent, now time.Time) {
	age := max(0, now.Sub(sent.Add(time.Duration(reply.GetHeldMs())*time.Millisecond)))
	if reply.GetAdmissionValid() {
		c.admission.Apply(admission.AllocationsFromWire(reply.GetAdmission()), age)
	}
	c.acknowledgeFull(now)
	c.full.Merge(fullFromWire(reply.GetFull(), age))
}

// acknowledgeFull records that the leader received the full endpoints of this call.
func (c *ControlClient) acknowledgeFull(now time.Time) {
	for key, until := range c.reportedFull {
		if !until.After(now) {
			delete(c.reportedFull, key)
		}
	}
	for key, until := range c.inFlight.full {
		c.reportedFull[key] = until
	}
}

// fullFromWire decodes the full endpoints of a reply. Those that have ended since, and those
// beyond the number that a leader sends, are dropped.
func fullFromWire(list []*rpc.FullEndpoint, age time.Duration) []shedding.Entry {
	entries := make([]shedding.Entry, 0, len(list))
	for _, e := range list[:min(len(list), shedding.MaxSent)] {
		remaining := time.Duration(e.GetLeftMs())*time.Millisecond - age
		if remaining <= 0 {
			continue
		}
		entries = append(entries, shedding.Entry{
			Key:       e.GetEndpoint(),
			Remaining: remaining,
		})
	}
	return entries
}
