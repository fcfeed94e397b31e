// Package directory is an entry host's view of the endpoints: what the
// control hosts say of them, joined with what this host's own requests see.
package directory

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Directory holds every endpoint that this host knows.
//
// Invariant: an *Endpoint stays the same object for as long as its address is
// known, so that requests in flight and new ones share what is learnt.
type Directory struct {
	svc timer.Service

	mu        sync.Mutex
	epoch     uint64
	version   uint64
	endpoints map[string]*Endpoint
	entries   map[string]entryRow
	entriesAt uint64    // version of the entry hosts
	epochAt   time.Time // when epoch was first seen

	// index holds the endpoints that take new work, as of change indexed.
	index   map[kind][]*Endpoint
	indexed uint64
	changes atomic.Uint64
}

// entryRow is an entry host as the leader of an epoch named it.
type entryRow struct {
	info  *rpc.EntryHost
	epoch uint64
}

// settleTime is how long a new leader is given to learn what there is, before
// what it doesn't name is forgotten.
const settleTime = 30 * time.Second

// New returns an empty directory.
func New(svc timer.Service) *Directory {
	return &Directory{
		svc:       svc,
		endpoints: map[string]*Endpoint{},
		entries:   map[string]entryRow{},
	}
}

// Known returns up to which version of which epoch this host holds the tables
// of endpoints and of entry hosts.
func (d *Directory) Known() (epoch, version, entries uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epoch, d.version, d.entriesAt
}

// Take joins a reply of the control hosts to the view. A whole table of a new
// leader doesn't remove what it lacks: that leader may not have learnt it yet.
func (d *Directory) Take(r *rpc.BeatReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.takeEntries(r)
	if r.GetEpoch() == 0 {
		return
	}
	if d.epoch != r.GetEpoch() {
		d.epochAt = d.svc.Now()
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
	d.forget()
	d.changes.Add(1)
}

func (d *Directory) takeEntries(r *rpc.BeatReply) {
	d.entriesAt = r.GetEntriesVersion()
	for _, e := range r.GetEntries() {
		d.entries[e.GetHost()] = entryRow{
			info:  e,
			epoch: r.GetEpoch(),
		}
		if e.GetGone() {
			delete(d.entries, e.GetHost())
		}
	}
}

// forget drops what is dead, and what a leader that has had the time to learn
// of it never named.
func (d *Directory) forget() {
	settled := d.svc.Now().Sub(d.epochAt) > settleTime
	for address, e := range d.endpoints {
		if e.gone() || (settled && e.unnamed(d.epoch)) {
			delete(d.endpoints, address)
		}
	}
	for host, row := range d.entries {
		if settled && row.epoch != d.epoch && row.epoch != 0 {
			delete(d.entries, host)
		}
	}
}

// Entries returns the entry hosts, sorted.
func (d *Directory) Entries() []*rpc.EntryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*rpc.EntryHost, 0, len(d.entries))
	for _, row := range d.entries {
		list = append(list, row.info)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetHost() < list[j].GetHost() })
	return list
}

// Hosts returns how many entry hosts there are.
func (d *Directory) Hosts() int {
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

// Stages returns the engines that hold layers of a model's version and take
// new work, sorted by address. The caller must not change the list.
func (d *Directory) Stages(model, version string) []*Endpoint {
	return d.usable(kind{
		model:   model,
		version: version,
	})
}

// Service returns the endpoints of a plain service that take new work, sorted
// by address. The caller must not change the list.
func (d *Directory) Service(name string) []*Endpoint {
	return d.usable(kind{
		service: name,
	})
}

// kind is what endpoints are looked up by.
type kind struct {
	service string
	model   string
	version string
}

func kindOf(i *rpc.Endpoint) kind {
	if i.GetService() != "" {
		return kind{
			service: i.GetService(),
		}
	}
	return kind{
		model:   i.GetModel(),
		version: i.GetModelVersion(),
	}
}

// usable looks through all endpoints only once after each change: every
// request asks, and changes are few.
func (d *Directory) usable(k kind) []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	if changes := d.changes.Load(); changes != d.indexed {
		d.index = map[kind][]*Endpoint{}
		d.indexed = changes
		for _, e := range d.endpoints {
			info := e.Info()
			if takesWork(info.GetState()) && !e.Leaving() {
				d.index[kindOf(info)] = append(d.index[kindOf(info)], e)
			}
		}
		for _, list := range d.index {
			sort.Slice(list, func(i, j int) bool { return list[i].Address() < list[j].Address() })
		}
	}
	return d.index[k]
}

func takesWork(s rpc.EndpointState) bool {
	return s == rpc.EndpointState_ENDPOINT_LIVE || s == rpc.EndpointState_ENDPOINT_SUSPECT
}
