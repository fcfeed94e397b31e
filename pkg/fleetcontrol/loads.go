package fleetcontrol

import (
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	// loadBytesPerSecond bounds the loads that one host is sent per second, so that the
	// leader's traffic doesn't grow with endpoints times hosts: the loads of 250
	// endpoints come with every answer, those of 3,200 every 5 s.
	loadBytesPerSecond = 5 << 10
	bytesPerLoad       = 8
	// totalsLifetime is how long one list of loads is sent to all hosts: an eighth of
	// the time between two calls of a host.
	totalsLifetime = 50 * time.Millisecond
)

// loadTotals is the sum of the loads that all entry hosts have in flight at each
// endpoint. Each call of a host updates it by the difference to that host's previous
// call. Every host is sent the same list and subtracts its own load: a sum for each host
// and answer would take hosts times endpoints steps.
type loadTotals struct {
	sums   map[uint32]load
	table  *rpc.LoadTable
	madeAt time.Time
}

type load struct {
	requests int64
	tokens   int64
}

func newLoadTotals() loadTotals {
	return loadTotals{
		sums: map[uint32]load{},
	}
}

// replace subtracts a host's earlier loads, and adds its current ones.
func (t *loadTotals) replace(before, now *rpc.LoadTable) {
	t.add(before, -1)
	t.add(now, 1)
}

func (t *loadTotals) add(l *rpc.LoadTable, sign int64) {
	if len(l.GetRequests()) != len(l.GetEndpoints()) || len(l.GetTokens()) != len(l.GetEndpoints()) {
		return // invalid; no entry host sends that
	}
	for i, key := range l.GetEndpoints() {
		sum := t.sums[key]
		sum.requests += sign * int64(l.GetRequests()[i])
		sum.tokens += sign * int64(l.GetTokens()[i])
		if sum == (load{}) {
			delete(t.sums, key)
			continue
		}
		t.sums[key] = sum
	}
}

// list returns the sums. They are at most totalsLifetime old.
func (t *loadTotals) list(now time.Time) *rpc.LoadTable {
	if t.table != nil && now.Sub(t.madeAt) < totalsLifetime {
		return t.table
	}
	keys := make([]uint32, 0, len(t.sums))
	for key := range t.sums {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	t.table = &rpc.LoadTable{
		Endpoints: keys,
	}
	for _, key := range keys {
		t.table.Requests = append(t.table.Requests, uint32(t.sums[key].requests))
		t.table.Tokens = append(t.table.Tokens, uint32(t.sums[key].tokens))
	}
	t.madeAt = now
	return t.table
}

// loads returns the loads of all hosts if the host is due for them, and records that it
// is sent them. The caller must not change the list.
func (h *hosts) loads(now time.Time, name string) *rpc.LoadTable {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.entries[name]
	if entry == nil {
		return nil
	}
	interval := time.Duration(len(h.totals.sums)*bytesPerLoad) * time.Second / loadBytesPerSecond
	if now.Sub(entry.loadsAt) < interval {
		return nil
	}
	entry.loadsAt = now
	return h.totals.list(now)
}
