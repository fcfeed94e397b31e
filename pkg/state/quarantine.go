package state

import (
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	// firstQuarantine is how long a request is quarantined when it is first
	// found to crash endpoints, and repeatQuarantine when it is found to do so
	// again after that. A request that was quarantined wrongly passes after the
	// first period; one that does crash endpoints then crashes one more, and
	// after that at most one a day.
	firstQuarantine  = 10 * time.Minute
	repeatQuarantine = 24 * time.Hour
	// maxQuarantined limits the number of records; the oldest are dropped first.
	// A record takes about 20 bytes.
	maxQuarantined = 1024
)

// The same for a part of prompts, for which not all requests are released when its quarantine
// expires, but single ones: if one crashes its endpoint, the next quarantine is
// partQuarantineGrowth times as long, up to repeatQuarantine. A part that many requests
// share is tried sooner, since a wrong quarantine costs all of these.
const (
	partQuarantine       = 30 * time.Second
	sharedPartQuarantine = 3 * time.Second
	partQuarantineGrowth = 10
)

// QuarantinedRequest is a request, or a part of prompts, that is or was quarantined.
type QuarantinedRequest struct {
	Fingerprint uint64
	// SinceMS and UntilMS are when it was quarantined and when the quarantine expires, as
	// Unix times in milliseconds.
	SinceMS int64
	UntilMS int64
	// Part says that it is a part, and Shared that many requests share it.
	Part   bool
	Shared bool
	// Times is how often it was found to crash endpoints.
	Times int
}

// quarantine holds the quarantine records by fingerprint. It is guarded by
// Machine.mu.
type quarantine struct {
	records map[uint64]*rpc.QuarantineRecord
}

func newQuarantine(list []*rpc.QuarantineRecord) *quarantine {
	q := &quarantine{
		records: make(map[uint64]*rpc.QuarantineRecord, len(list)),
	}
	for _, r := range list {
		q.records[r.GetFingerprint()] = r
	}
	return q
}

func quarantinedUntil(r *rpc.QuarantineRecord) int64 {
	if r.GetPart() {
		return r.GetUnixMs() + partDuration(r).Milliseconds()
	}
	if r.GetTimes() > 1 {
		return r.GetUnixMs() + repeatQuarantine.Milliseconds()
	}
	return r.GetUnixMs() + firstQuarantine.Milliseconds()
}

func partDuration(r *rpc.QuarantineRecord) time.Duration {
	d := partQuarantine
	if r.GetShared() {
		d = sharedPartQuarantine
	}
	for range r.GetTimes() - 1 {
		if d *= partQuarantineGrowth; d >= repeatQuarantine {
			return repeatQuarantine
		}
	}
	return d
}

// apply quarantines or releases a request, and reports whether the records
// changed.
func (q *quarantine) apply(c *rpc.Quarantine, clock int64) bool {
	old := q.records[c.GetFingerprint()]
	if c.GetRelease() {
		delete(q.records, c.GetFingerprint())
		return old != nil
	}
	if old != nil && clock < quarantinedUntil(old) {
		return false
	}
	if old == nil && len(q.records) >= maxQuarantined {
		q.dropOldest()
	}
	q.records[c.GetFingerprint()] = &rpc.QuarantineRecord{
		Fingerprint: c.GetFingerprint(),
		UnixMs:      clock,
		Times:       old.GetTimes() + 1,
		Part:        c.GetPart(),
		Shared:      c.GetShared(),
	}
	return true
}

// dropOldest drops the oldest record. Of records of the same age it drops the
// one with the smallest fingerprint, so that every replica drops the same one.
func (q *quarantine) dropOldest() {
	list := q.sorted()
	oldest := list[0]
	for _, r := range list {
		if r.GetUnixMs() < oldest.GetUnixMs() {
			oldest = r
		}
	}
	delete(q.records, oldest.GetFingerprint())
}

// sorted returns all records ordered by fingerprint.
func (q *quarantine) sorted() []*rpc.QuarantineRecord {
	list := make([]*rpc.QuarantineRecord, 0, len(q.records))
	for _, r := range q.records {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetFingerprint() < list[j].GetFingerprint() })
	return list
}

// changeQuarantine applies a quarantine command.
func (m *Machine) changeQuarantine(c *rpc.Quarantine) {
	if m.quarantine.apply(c, m.clock) {
		m.quarantineVersion++
		m.notify()
	}
}

// CrashEvidence returns the crashes that nothing is detected by yet; nil if none are known. The
// caller must not modify them.
func (m *Machine) CrashEvidence() *rpc.CrashEvidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashEvidence
}

// Quarantine returns the requests that are or were quarantined, ordered by
// fingerprint.
func (m *Machine) Quarantine() []QuarantinedRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]QuarantinedRequest, 0, len(m.quarantine.records))
	for _, r := range m.quarantine.sorted() {
		list = append(list, QuarantinedRequest{
			Fingerprint: r.GetFingerprint(),
			SinceMS:     r.GetUnixMs(),
			UntilMS:     quarantinedUntil(r),
			Part:        r.GetPart(),
			Shared:      r.GetShared(),
			Times:       int(r.GetTimes()),
		})
	}
	return list
}

// QuarantineVersion returns a number that increases with every change of the
// quarantine.
func (m *Machine) QuarantineVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantineVersion
}
