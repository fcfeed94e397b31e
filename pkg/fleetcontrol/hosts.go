package fleetcontrol

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	// hostTimeout is how long after its last call an entry host is no longer named to
	// callers: as long as three long polls of 400 ms.
	hostTimeout = 1200 * time.Millisecond
	// documentInterval is the least time between two configurations that a host is
	// sent. In a burst of changes most would be outdated on arrival, and one of many
	// routes is large for every host. With a long poll of 400 ms it stays well below
	// the 2 s within which a change must be active.
	documentInterval = 500 * time.Millisecond
	// earlyAnswerRate bounds the long polls per second that are ended early by changes,
	// and so the leader's processor time during endless changes, however many hosts
	// there are. One takes about 0.3 ms, so endless changes cost a third of a core. Ten
	// hosts receive a change after 10 ms, and 300 after 0.3 s.
	earlyAnswerRate = 1000
)

// hosts holds the leader's knowledge of the entry hosts: which are ready, and their
// load in flight at each endpoint. A new leader builds it anew from their calls.
type hosts struct {
	mu      sync.Mutex
	entries map[string]*hostEntry
	// ready is the number of ready hosts; readyVersion increases whenever they, or those
	// that are isolated from all endpoints, change.
	ready        int
	readyVersion uint64
	totals       loadTotals
}

type hostEntry struct {
	info  *rpc.FleetHost
	at    time.Time // of the last call, or of the answer to it
	loads *rpc.LoadTable
	// documentAt, loadsAt and addressesAt are when the host was last sent these.
	documentAt  time.Time
	loadsAt     time.Time
	addressesAt time.Time
	sample      sample
}

func newHosts() *hosts {
	return &hosts{
		entries: map[string]*hostEntry{},
		totals:  newLoadTotals(),
	}
}

// observe records a call of an entry host, and reports whether it is the first one to
// this leader.
func (h *hosts) observe(now time.Time, q *rpc.SyncRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := q.GetHost().GetName()
	entry := h.entries[name]
	first := entry == nil
	if first {
		entry = &hostEntry{
			info: &rpc.FleetHost{},
		}
		h.entries[name] = entry
	}
	h.updateReady(entry.info, q.GetHost())
	if q.GetDocumentVersion() == 0 {
		entry.documentAt = time.Time{} // the host has restarted
	}
	h.totals.replace(entry.loads, q.GetLoads())
	entry.info = q.GetHost()
	entry.loads = q.GetLoads()
	entry.at = now
	return first
}

// touch keeps a host from expiring after its call was held open.
func (h *hosts) touch(now time.Time, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry := h.entries[name]; entry != nil {
		entry.at = now
	}
}

// expire removes the hosts that have not called for hostTimeout, and returns their names.
func (h *hosts) expire(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var gone []string
	for name, entry := range h.entries {
		if now.Sub(entry.at) > hostTimeout {
			delete(h.entries, name)
			h.totals.replace(entry.loads, nil)
			h.updateReady(entry.info, &rpc.FleetHost{})
			gone = append(gone, name)
		}
	}
	return gone
}

// reset removes all hosts. It is called while this replica doesn't lead.
func (h *hosts) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) == 0 {
		return
	}
	h.entries = map[string]*hostEntry{}
	h.totals = newLoadTotals()
	h.ready = 0
	h.readyVersion++
}

// updateReady updates the count of ready hosts, and its version if the host's
// readiness or address has changed.
func (h *hosts) updateReady(before, now *rpc.FleetHost) {
	if before.GetReady() == now.GetReady() && before.GetIsolated() == now.GetIsolated() && before.GetCallerAddress() == now.GetCallerAddress() {
		return
	}
	h.readyVersion++
	if before.GetReady() {
		h.ready--
	}
	if now.GetReady() {
		h.ready++
	}
}

// count returns the number of entry hosts.
func (h *hosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries)
}

// batchDelay returns how long a long poll collects changes before it is answered.
func (h *hosts) batchDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(len(h.entries)) * time.Second / earlyAnswerRate
}

// documentDue reports whether a host may be sent a configuration now.
func (h *hosts) documentDue(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.entries[name]
	return entry == nil || now.Sub(entry.documentAt) >= documentInterval
}

// allowDocument reports whether a host may be sent a configuration now, and if so
// records that it is.
func (h *hosts) allowDocument(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.entries[name]
	if entry == nil {
		return true
	}
	if now.Sub(entry.documentAt) < documentInterval {
		return false
	}
	entry.documentAt = now
	return true
}
