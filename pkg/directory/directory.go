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

// Endpoint is one endpoint with what this host's own requests learnt of it.
type Endpoint struct {
	svc     timer.Service
	changes *atomic.Uint64 // the directory's

	mu       sync.Mutex
	info     *rpc.Endpoint
	epoch    uint64 // of the leader that named it last
	inflight int
	reported int       // sessions, by the newest report
	since    int       // sessions this host opened less those it closed since
	reportAt time.Time // zero if there was no report
	rtt      time.Duration
	fails    int
	avoid    time.Time // until when this host would rather not use it
	joined   time.Time
	leaving  bool // by its own word to this host, in this life
}

// reportLife is for how long a load report says something.
const reportLife = 2 * time.Second

// An endpoint that failed is avoided for avoidFirst, doubled with each further
// failure up to avoidMost.
const (
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 8 * time.Second
)

// rttShare is the weight of a new round-trip time in the average.
const rttShare = 0.2

func newEndpoint(svc timer.Service, info *rpc.Endpoint, changes *atomic.Uint64) *Endpoint {
	return &Endpoint{
		svc:     svc,
		changes: changes,
		info:    info,
		joined:  svc.Now(),
	}
}

// update takes what a control host says. A new leader that hasn't learnt yet
// whether the endpoint answers doesn't make a live one unusable.
func (e *Endpoint) update(info *rpc.Endpoint, epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch = epoch
	if info.GetState() == rpc.EndpointState_ENDPOINT_JOINING && takesWork(e.info.GetState()) {
		return
	}
	if info.GetIncarnation() > e.info.GetIncarnation() {
		e.joined = e.svc.Now()
		e.fails = 0
		e.avoid = time.Time{}
		e.reportAt = time.Time{}
		e.leaving = false
	}
	e.info = info
}

// unnamed reports whether the leader of an epoch never named the endpoint.
func (e *Endpoint) unnamed(epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch != epoch && e.inflight == 0
}

func (e *Endpoint) gone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info.GetState() == rpc.EndpointState_ENDPOINT_DEAD && e.inflight == 0
}

// Address returns the endpoint's IP number and port.
func (e *Endpoint) Address() string {
	return e.Info().GetAddress()
}

// Info returns what the control hosts say. The caller must not change it.
func (e *Endpoint) Info() *rpc.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info
}

// Leaving reports whether the endpoint leaves on plan and takes no new work.
func (e *Endpoint) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving || e.info.GetState() == rpc.EndpointState_ENDPOINT_LEAVING
}

// SetLeaving notes that the endpoint itself said so.
func (e *Endpoint) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.changes.Add(1)
}

// Opened notes that this host opened a session, what load the answer reported
// and how long the answer took.
func (e *Endpoint) Opened(sessions int, rtt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight++
	e.reported = sessions
	e.since = 0
	e.reportAt = e.svc.Now()
	e.fails = 0
	e.avoid = time.Time{}
	if e.rtt == 0 {
		e.rtt = rtt
		return
	}
	e.rtt += time.Duration(rttShare * float64(rtt-e.rtt))
}

// Closed notes that this host closed a session.
func (e *Endpoint) Closed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight--
	e.since--
}

// Full notes that the endpoint refused a session since every slot is taken.
// That is no failure: it is as loaded as can be, and alive.
func (e *Endpoint) Full() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = int(e.info.GetSlots())
	e.since = 0
	e.reportAt = e.svc.Now()
}

// Failed notes that the endpoint failed a request of this host.
func (e *Endpoint) Failed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := avoidFirst << min(e.fails, 4)
	e.fails++
	e.avoid = e.svc.Now().Add(min(d, avoidMost))
}

// Avoided reports whether this host saw the endpoint fail a short while ago.
func (e *Endpoint) Avoided() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.svc.Now().Before(e.avoid)
}

// Inflight returns how many sessions this host has open.
func (e *Endpoint) Inflight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inflight
}

// RTT returns the average round-trip time of this host's calls; 0 if unknown.
func (e *Endpoint) RTT() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rtt
}

// Age returns for how long the endpoint's present life has been known.
func (e *Endpoint) Age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.svc.Now().Sub(e.joined)
}

// Sessions estimates how many sessions all hosts have open: the newest report,
// corrected by what this host did since. A report that is too old says
// nothing, and then the other hosts are taken to do as this one does.
func (e *Endpoint) Sessions(hosts int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.svc.Now().Sub(e.reportAt) < reportLife {
		return max(e.inflight, e.reported+e.since)
	}
	return e.inflight * max(1, hosts)
}
