package fleetcontrol

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	// hostTimeout is after how long without a call an entry host isn't named to
	// callers any more: two calls and a half.
	hostTimeout = 1200 * time.Millisecond
	// documentInterval is the least time between two configurations that a host is
	// sent: in a storm of changes most are overtaken before they are read, and one
	// of many routes is large for every host. With the held call's 400 ms it stays
	// well under the 2 s in which a change must be in force.
	documentInterval = 500 * time.Millisecond
	// earlyAnswerRate is how many held calls a second are answered before their time
	// because there is news. One costs the leader some 0.3 ms of processor time (0.8
	// ms a host and second at 2.5 calls); so changes without end cost it a third of a
	// core, however many hosts there are: 10 hosts learn of a change after 10 ms, 300
	// after 0.3 s.
	earlyAnswerRate = 1000
)

// hosts is what the leader knows of entry hosts: which are ready, and what
// they have under way at each endpoint. A new leader learns it anew.
type hosts struct {
	mu      sync.Mutex
	entries map[string]*hostEntry
	// ready counts the ready hosts, and readyVersion rises whenever they change.
	ready        int
	readyVersion uint64
	totals       loadTotals
}

type hostEntry struct {
	info  *rpc.FleetHost
	at    time.Time
	loads *rpc.LoadTable
	// documentAt, loadsAt and addressesAt are when it was last sent these.
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

// observe takes what an entry host tells of itself, and reports whether it is the first
// that this leader hears of it.
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
		entry.documentAt = time.Time{} // it began anew
	}
	h.totals.replace(entry.loads, q.GetLoads())
	entry.info = q.GetHost()
	entry.loads = q.GetLoads()
	entry.at = now
	return first
}

// touch keeps a host whose call is still held from being forgotten.
func (h *hosts) touch(now time.Time, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry := h.entries[name]; entry != nil {
		entry.at = now
	}
}

// expire forgets the hosts that were not heard of.
func (h *hosts) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, entry := range h.entries {
		if now.Sub(entry.at) > hostTimeout {
			delete(h.entries, name)
			h.totals.replace(entry.loads, nil)
			h.updateReady(entry.info, &rpc.FleetHost{})
		}
	}
}

// reset drops everything: this replica doesn't lead.
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

// updateReady counts a host that has become ready, or isn't any more.
func (h *hosts) updateReady(before, now *rpc.FleetHost) {
	if before.GetReady() == now.GetReady() && before.GetCallerAddress() == now.GetCallerAddress() {
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

// count returns how many hosts call.
func (h *hosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries)
}

// batchDelay is how long a held call waits for more news before it is answered.
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

// allowDocument reports whether a host may be sent a configuration now, and
// notes that it is.
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
