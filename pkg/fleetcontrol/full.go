package fleetcontrol

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/shedding"
)

const (
	// maxFullTime bounds the remaining time that a host reports: no rejection keeps an
	// endpoint full for longer.
	maxFullTime = time.Second
	// minFullTime is the remaining time below which a full endpoint isn't passed on: it
	// would have ended before the host has sent it the next request.
	minFullTime = 50 * time.Millisecond
	// fullRepeatSlack is how much later an endpoint must be full than a host was told
	// before, for it to be told again. Reports of one rejection by several hosts, and the
	// times that calls take, differ by about that.
	fullRepeatSlack = 100 * time.Millisecond
	// fullListInterval is how often the list of all full endpoints is made: 450 hosts with
	// 16 entries each would take 7,200 steps for every reply.
	fullListInterval = 50 * time.Millisecond
	// fullListSize is enough for any host's list, without those that it reported itself.
	fullListSize = shedding.MaxSent + shedding.MaxReported
)

// fullEndpoints holds the endpoints that hosts report as full, and what each host was sent.
type fullEndpoints struct {
	mu    sync.Mutex
	hosts map[string]*fullHost
	// list is made at madeAt, of those that stay full for longest.
	list   []fullEntry
	madeAt time.Time
}

// fullHost is when endpoints end being full, by fleet.LoadKey: what a host reported and
// what it was sent.
type fullHost struct {
	reported map[uint32]time.Time
	sent     map[uint32]time.Time
}

// fullEntry is a full endpoint with the host whose report ends last, and the last end that
// another host reported.
type fullEntry struct {
	key        uint32
	host       string
	until      time.Time
	otherUntil time.Time
}

func newFullEndpoints() *fullEndpoints {
	return &fullEndpoints{
		hosts: map[string]*fullHost{},
	}
}

// observe records the full endpoints that a host reports. Those that it reported before
// stay until they end.
func (f *fullEndpoints) observe(now time.Time, q *rpc.SyncRequest) {
	if len(q.GetFull()) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.host(q.GetHost().GetName())
	dropEnded(h.reported, now)
	for _, e := range q.GetFull()[:min(len(q.GetFull()), shedding.MaxReported)] {
		until := now.Add(min(maxFullTime, time.Duration(e.GetLeftMs())*time.Millisecond))
		if until.After(h.reported[e.GetEndpoint()]) && until.After(now) {
			h.reported[e.GetEndpoint()] = until
		}
	}
}

// host returns what is held of a host. The caller holds mu.
func (f *fullEndpoints) host(name string) *fullHost {
	h := f.hosts[name]
	if h == nil {
		h = &fullHost{
			reported: map[uint32]time.Time{},
			sent:     map[uint32]time.Time{},
		}
		f.hosts[name] = h
	}
	return h
}

func dropEnded(ends map[uint32]time.Time, now time.Time) {
	for key, until := range ends {
		if !until.After(now) {
			delete(ends, key)
		}
	}
}

// forget drops what is held of hosts that are gone.
func (f *fullEndpoints) forget(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		delete(f.hosts, name)
	}
}

// reset drops everything. It is called while this replica doesn't lead.
func (f *fullEndpoints) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = map[string]*fullHost{}
	f.list = nil
	f.madeAt = time.Time{}
}

// forHost returns the endpoints that other hosts reported as full and that the host wasn't
// sent before: at most shedding.MaxSent, those that stay full for longest.
func (f *fullEndpoints) forHost(now time.Time, name string) []*rpc.FullEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []shedding.Entry
	for _, e := range f.current(now) {
		until := e.until
		if e.host == name {
			until = e.otherUntil
		}
		remaining := until.Sub(now)
		if remaining < minFullTime {
			continue
		}
		if h := f.hosts[name]; h != nil && !until.After(h.sent[e.key].Add(fullRepeatSlack)) {
			continue
		}
		entries = append(entries, shedding.Entry{
			Key:       e.key,
			Remaining: remaining,
		})
	}
	if len(entries) == 0 {
		return nil
	}
	slices.SortFunc(entries, func(a, b shedding.Entry) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Key, b.Key))
	})
	entries = entries[:min(len(entries), shedding.MaxSent)]
	h := f.host(name)
	dropEnded(h.sent, now)
	list := make([]*rpc.FullEndpoint, 0, len(entries))
	for _, e := range entries {
		h.sent[e.Key] = now.Add(e.Remaining)
		list = append(list, &rpc.FullEndpoint{
			Endpoint: e.Key,
			LeftMs:   uint32(e.Remaining.Milliseconds()),
		})
	}
	return list
}

// current returns the list of full endpoints; it is at most fullListInterval old. The
// caller holds mu.
func (f *fullEndpoints) current(now time.Time) []fullEntry {
	if now.Sub(f.madeAt) < fullListInterval {
		return f.list
	}
	f.madeAt = now
	byKey := map[uint32]*fullEntry{}
	for name, h := range f.hosts {
		dropEnded(h.reported, now)
		for key, until := range h.reported {
			e := byKey[key]
			if e == nil {
				e = &fullEntry{
					key: key,
				}
				byKey[key] = e
			}
			e.add(name, until)
		}
	}
	f.list = make([]fullEntry, 0, len(byKey))
	for _, e := range byKey {
		f.list = append(f.list, *e)
	}
	slices.SortFunc(f.list, func(a, b fullEntry) int {
		return cmp.Or(b.until.Compare(a.until), cmp.Compare(a.key, b.key))
	})
	f.list = f.list[:min(len(f.list), fullListSize)]
	return f.list
}

func (e *fullEntry) add(host string, until time.Time) {
	switch {
	case until.After(e.until):
		e.otherUntil = e.until
		e.until = until
		e.host = host
	case until.After(e.otherUntil):
		e.otherUntil = until
	}
}

// addFull adds the full endpoints that the host lacks to a reply. A host of an older
// version doesn't use them.
func (s *Server) addFull(q *rpc.SyncRequest, reply *rpc.SyncReply, now time.Time) {
	if reportsAdmission(q) {
		reply.Full = s.full.forHost(now, q.GetHost().GetName())
	}
}
