package fleetcontrol

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	// hostGone is after how long without a call an entry host isn't named to
	// callers any more: two calls and a half.
	hostGone = 1200 * time.Millisecond
	// documentPause is the least time between two configurations that a host is
	// sent: in a storm of changes most are overtaken before they are read, and one
	// of many routes is large for every host. With the held call's 400 ms it stays
	// well under the 2 s in which a change must be in force.
	documentPause = 500 * time.Millisecond
	// earlyAnswers is how many held calls a second are answered before their time
	// because there is news. One costs the leader some 0.3 ms of processor time (0.8
	// ms a host and second at 2.5 calls); so changes without end cost it a third of a
	// core, however many hosts there are: 10 hosts learn of a change after 10 ms, 300
	// after 0.3 s.
	earlyAnswers = 1000
)

// hosts is what the leader knows of entry hosts: which are ready, and what
// they have under way at each endpoint. A new leader learns it anew.
type hosts struct {
	mu   sync.Mutex
	rows map[string]*hostRow
	// ready counts the ready hosts, and readyVersion rises whenever they change.
	ready        int
	readyVersion uint64
	totals       totals
}

type hostRow struct {
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
		rows:   map[string]*hostRow{},
		totals: newTotals(),
	}
}

// hear takes what an entry host tells of itself, and reports whether it is the first
// that this leader hears of it.
func (h *hosts) hear(now time.Time, q *rpc.SyncRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := q.GetHost().GetName()
	row := h.rows[name]
	first := row == nil
	if first {
		row = &hostRow{
			info: &rpc.FleetHost{},
		}
		h.rows[name] = row
	}
	h.noteReady(row.info, q.GetHost())
	if q.GetDocumentVersion() == 0 {
		row.documentAt = time.Time{} // it began anew
	}
	h.totals.replace(row.loads, q.GetLoads())
	row.info = q.GetHost()
	row.loads = q.GetLoads()
	row.at = now
	return first
}

// touch keeps a host whose call is still held from being forgotten.
func (h *hosts) touch(now time.Time, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if row := h.rows[name]; row != nil {
		row.at = now
	}
}

// bury forgets the hosts that were not heard of.
func (h *hosts) bury(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, row := range h.rows {
		if now.Sub(row.at) > hostGone {
			delete(h.rows, name)
			h.totals.replace(row.loads, nil)
			h.noteReady(row.info, &rpc.FleetHost{})
		}
	}
}

// forget drops everything: this replica doesn't lead.
func (h *hosts) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.rows) == 0 {
		return
	}
	h.rows = map[string]*hostRow{}
	h.totals = newTotals()
	h.ready = 0
	h.readyVersion++
}

// noteReady counts a host that has become ready, or isn't any more.
func (h *hosts) noteReady(before, now *rpc.FleetHost) {
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
	return len(h.rows)
}

// gather is how long a held call waits for more news before it is answered.
func (h *hosts) gather() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(len(h.rows)) * time.Second / earlyAnswers
}

// documentDue reports whether a host may be sent a configuration now.
func (h *hosts) documentDue(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.rows[name]
	return row == nil || now.Sub(row.documentAt) >= documentPause
}

// mayHaveDocument reports whether a host may be sent a configuration now, and
// notes that it is.
func (h *hosts) mayHaveDocument(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.rows[name]
	if row == nil {
		return true
	}
	if now.Sub(row.documentAt) < documentPause {
		return false
	}
	row.documentAt = now
	return true
}
