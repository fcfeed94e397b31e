// Package directory holds an entry host's view of the endpoints: what the
// control hosts report, combined with what this host's own requests observe.
package directory

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Directory holds every endpoint that this host knows. It is safe for concurrent
// use.
//
// Invariant: an *Endpoint stays the same object for as long as its address is
// known, so that requests in flight and new ones share its state.
type Directory struct {
	svc timer.Service

	mu             sync.Mutex
	epoch          uint64
	version        uint64
	endpoints      map[string]*Endpoint
	entries        map[string]entryHost
	entriesVersion uint64    // version of the entry hosts
	epochSeenAt    time.Time // when the present epoch was first seen

	// index holds the endpoints that take new work, as of indexedChanges.
	index          map[indexKey][]*Endpoint
	indexedChanges uint64
	changes        atomic.Uint64
}

// entryHost is an entry host as the leader of an epoch reported it.
type entryHost struct {
	info  *rpc.EntryHost
	epoch uint64
}

// settleTime is how long after a change of leader endpoints and entry hosts are
// kept that the new leader doesn't report.
const settleTime = 30 * time.Second

// New returns an empty directory.
func New(svc timer.Service) *Directory {
	return &Directory{
		svc:       svc,
		endpoints: map[string]*Endpoint{},
		entries:   map[string]entryHost{},
	}
}

// Known returns the epoch and the versions of the tables of endpoints and of
// entry hosts that this host holds.
func (d *Directory) Known() (epoch, version, entries uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epoch, d.version, d.entriesVersion
}

// Apply applies a reply of the control hosts. What a new leader's full table lacks
// isn't removed at once, as that leader may not have received it yet.
func (d *Directory) Apply(r *rpc.BeatReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyEntries(r)
	if r.GetEpoch() == 0 {
		return
	}
	if d.epoch != r.GetEpoch() {
		d.epochSeenAt = d.svc.Now()
	}
	d.epoch = r.GetEpoch()
	d.version = r.GetVersion()
	for _, info := range r.GetEndpoints() {
		e := d.endpoints[info.GetAddress()]
		if e == nil {
			e = newEndpoint(d.svc, info, &d.changes)
			d.endpoints[info.GetAddress()] = e
		}
		e.update(info, d.epoch)
	}
	d.removeStale()
	d.changes.Add(1)
}

func (d *Directory) applyEntries(r *rpc.BeatReply) {
	d.entriesVersion = r.GetEntriesVersion()
	for _, e := range r.GetEntries() {
		d.entries[e.GetHost()] = entryHost{
			info:  e,
			epoch: r.GetEpoch(),
		}
		if e.GetGone() {
			delete(d.entries, e.GetHost())
		}
	}
}

// removeStale removes what is dead, and what the present leader hasn't reported
// within settleTime, but no endpoint on which this host has a session open. It is
// called with d.mu held.
func (d *Directory) removeStale() {
	settled := d.svc.Now().Sub(d.epochSeenAt) > settleTime
	for address, e := range d.endpoints {
		if e.gone() || (settled && e.notReportedIn(d.epoch)) {
			delete(d.endpoints, address)
		}
	}
	for host, entry := range d.entries {
		if settled && entry.epoch != d.epoch && entry.epoch != 0 {
			delete(d.entries, host)
		}
	}
}

// Entries returns the entry hosts, sorted by name.
func (d *Directory) Entries() []*rpc.EntryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*rpc.EntryHost, 0, len(d.entries))
	for _, entry := range d.entries {
		list = append(list, entry.info)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetHost() < list[j].GetHost() })
	return list
}

// EntryHostCount returns the number of entry hosts.
func (d *Directory) EntryHostCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// Endpoint returns the endpoint at an address, or nil.
func (d *Directory) Endpoint(address string) *Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints[address]
}

// Engines returns the engines that hold layers of a model's version and take
// new work, sorted by address. The caller must not change the list.
func (d *Directory) Engines(model, version string) []*Endpoint {
	return d.usable(indexKey{
		model:   model,
		version: version,
	})
}

// Service returns the endpoints of a plain service that take new work, sorted
// by address. The caller must not change the list.
func (d *Directory) Service(name string) []*Endpoint {
	return d.usable(indexKey{
		service: name,
	})
}

// indexKey is the key by which endpoints are looked up: a service, or a model
// with its version.
type indexKey struct {
	service string
	model   string
	version string
}

func indexKeyOf(i *rpc.Endpoint) indexKey {
	if i.GetService() != "" {
		return indexKey{
			service: i.GetService(),
		}
	}
	return indexKey{
		model:   i.GetModel(),
		version: i.GetModelVersion(),
	}
}

// usable returns the endpoints of a key that take new work, sorted by address. The
// index is rebuilt only after a change, as lookups are far more frequent.
func (d *Directory) usable(k indexKey) []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	if changes := d.changes.Load(); changes != d.indexedChanges {
		d.index = map[indexKey][]*Endpoint{}
		d.indexedChanges = changes
		for _, e := range d.endpoints {
			info := e.Info()
			if acceptsWork(info.GetState()) && !e.Leaving() {
				d.index[indexKeyOf(info)] = append(d.index[indexKeyOf(info)], e)
			}
		}
		for _, list := range d.index {
			sort.Slice(list, func(i, j int) bool { return list[i].Address() < list[j].Address() })
		}
	}
	return d.index[k]
}

func acceptsWork(s rpc.EndpointState) bool {
	return s == rpc.EndpointState_ENDPOINT_LIVE || s == rpc.EndpointState_ENDPOINT_SUSPECT
}
