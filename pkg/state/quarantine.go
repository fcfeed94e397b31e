package state

import (
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	// firstQuarantine and nextHold are how long a request is kept from endpoints when it is
	// found to end them, and when it does so again after that. One that was found
	// wrongly gets through after the first; one that wasn't ends an endpoint more then,
	// and one a day from then on.
	firstQuarantine  = 10 * time.Minute
	repeatQuarantine = 24 * time.Hour
	// maxQuarantined bounds what is kept, at 20 bytes each; the oldest go first.
	maxQuarantined = 1024
)

// Held is one request that is or was kept from endpoints.
type Held struct {
	Fingerprint uint64
	// UntilMS is when it is let go, as a Unix time in milliseconds.
	UntilMS int64
}

// quarantine is the requests that end endpoints, by fingerprint. Machine's mutex
// guards it.
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
	if r.GetTimes() > 1 {
		return r.GetUnixMs() + repeatQuarantine.Milliseconds()
	}
	return r.GetUnixMs() + firstQuarantine.Milliseconds()
}

// apply holds or releases a request, and reports whether that changed anything.
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
	}
	return true
}

// dropOldest makes room; of two as old, the one with the smaller fingerprint goes, so
// that every replica drops the same.
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

// sorted returns all records by fingerprint.
func (q *quarantine) sorted() []*rpc.QuarantineRecord {
	list := make([]*rpc.QuarantineRecord, 0, len(q.records))
	for _, r := range q.records {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetFingerprint() < list[j].GetFingerprint() })
	return list
}

// changeQuarantine applies a command.
func (m *Machine) changeQuarantine(c *rpc.Quarantine) {
	if m.quarantine.apply(c, m.clock) {
		m.quarantineVersion++
		m.notify()
	}
}

// Quarantine returns the requests that are or were kept from endpoints, by
// fingerprint.
func (m *Machine) Quarantine() []Held {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Held, 0, len(m.quarantine.records))
	for _, r := range m.quarantine.sorted() {
		list = append(list, Held{
			Fingerprint: r.GetFingerprint(),
			UntilMS:     quarantinedUntil(r),
		})
	}
	return list
}

// QuarantineVersion returns a number that rises whenever that changes.
func (m *Machine) QuarantineVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantineVersion
}
