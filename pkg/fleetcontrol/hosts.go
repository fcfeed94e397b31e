package fleetcontrol

import (
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// hostGone is after how long without a call an entry host isn't named to
// callers any more: two calls and a half.
const hostGone = 1200 * time.Millisecond

// hosts is what the leader knows of entry hosts: which are ready, and what
// they have under way at each endpoint. A new leader learns it anew.
type hosts struct {
	mu      sync.Mutex
	rows    map[string]*hostRow
	version uint64
	changed chan struct{}
}

type hostRow struct {
	info  *rpc.FleetHost
	at    time.Time
	loads []*rpc.EndpointLoad
	// documentAt is when it was last sent a configuration.
	documentAt time.Time
}

// documentPause is the least time between two configurations that a host is
// sent: in a storm of changes most are overtaken before they are read, and one
// of many routes is large for every host. With the held call's 400 ms it stays
// well under the 2 s in which a change must be in force.
const documentPause = 500 * time.Millisecond

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

func newHosts() *hosts {
	return &hosts{
		rows:    map[string]*hostRow{},
		changed: make(chan struct{}),
	}
}

// hear takes what an entry host tells of itself.
func (h *hosts) hear(now time.Time, q *rpc.SyncRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := q.GetHost().GetName()
	old := h.rows[name]
	row := &hostRow{
		info:  q.GetHost(),
		at:    now,
		loads: q.GetLoads(),
	}
	if old != nil && q.GetDocumentVersion() > 0 {
		row.documentAt = old.documentAt
	}
	h.rows[name] = row
	if old == nil || old.info.GetReady() != q.GetHost().GetReady() ||
		old.info.GetCallerAddress() != q.GetHost().GetCallerAddress() {
		h.note()
	}
}

func (h *hosts) note() {
	h.version++
	close(h.changed)
	h.changed = make(chan struct{})
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
			h.note()
		}
	}
}

// list returns the ready hosts if they changed since a version.
func (h *hosts) list(known uint64, fresh bool) ([]*rpc.FleetHost, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known == h.version && !fresh {
		return nil, h.version
	}
	var list []*rpc.FleetHost
	for _, row := range h.rows {
		if row.info.GetReady() {
			list = append(list, row.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list, h.version
}

func (h *hosts) changes() (<-chan struct{}, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed, h.version
}

// loadsBut returns the sum of what all hosts but one have under way.
func (h *hosts) loadsBut(name string) []*rpc.EndpointLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	sums := map[string]*rpc.EndpointLoad{}
	for other, row := range h.rows {
		if other == name {
			continue
		}
		for _, l := range row.loads {
			sum := sums[l.GetId()]
			if sum == nil {
				sum = &rpc.EndpointLoad{
					Id: l.GetId(),
				}
				sums[l.GetId()] = sum
			}
			sum.Requests += l.GetRequests()
			sum.Tokens += l.GetTokens()
		}
	}
	list := make([]*rpc.EndpointLoad, 0, len(sums))
	for _, l := range sums {
		list = append(list, l)
	}
	return list
}
